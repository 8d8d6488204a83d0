mod seeds;

use fleet_simulator::prelude::*;
use seeds::assert_clean;

const SEEDS: u64 = 60;
const FAULTS: usize = 4;

/// Logs that refuse batches again and again, while gateways stand still, are cut off and come back.
#[test]
fn no_task_runs_twice_when_the_log_refuses_what_gateways_tell() {
    assert_clean(SEEDS, |seed| SimulationSettings::full_log(seed, FAULTS));
}
