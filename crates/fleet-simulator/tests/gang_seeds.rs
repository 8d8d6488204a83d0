mod seeds;

use fleet_simulator::prelude::*;
use seeds::assert_clean;

const SEEDS: u64 = 60;

/// Gangs that end together, while gateways tell of their members late and workers die.
#[test]
fn no_member_of_a_gang_starts_again_after_its_good_end() {
    assert_clean(SEEDS, SimulationSettings::gangs_that_end_together);
}
