mod seeds;

use fleet_simulator::prelude::*;
use seeds::assert_clean;

const SEEDS: u64 = 500;
const FAULTS: usize = 8;

/// Faults of all sorts, alone and overlapping: whatever comes, nothing that must never happen does.
#[test]
fn chaos_seeds() {
    assert_clean(SEEDS, |seed| SimulationSettings::chaos(seed, FAULTS));
}
