mod seeds;

use fleet_simulator::prelude::*;
use seeds::assert_clean;

const SEEDS: u64 = 40;
const FAULTS: usize = 3;

/// Guards against LOST of review case 2: queues leave the tree and return as jobs of theirs run and end, and no job is forgotten early.
#[test]
fn no_job_is_forgotten_early_when_its_queue_leaves_and_returns() {
    assert_clean(SEEDS, |seed| SimulationSettings::queues_out_and_in(seed, FAULTS));
}
