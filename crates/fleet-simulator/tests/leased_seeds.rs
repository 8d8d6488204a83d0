mod seeds;

use fleet_simulator::prelude::*;
use seeds::assert_clean;

const SEEDS: u64 = 120;
const FAULTS: usize = 4;

/// Orders carried out late while gateways stand still, are cut off and come back.
#[test]
fn no_task_runs_twice_when_a_gateway_that_lost_its_workers_comes_back() {
    assert_clean(SEEDS, |seed| SimulationSettings::leased_chaos(seed, FAULTS));
}
