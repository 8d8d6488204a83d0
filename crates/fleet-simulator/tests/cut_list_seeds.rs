mod seeds;

use fleet_simulator::prelude::*;
use seeds::assert_clean;

const SEEDS: u64 = 60;
const FAULTS: usize = 4;

/// Guards against TWICE of review case 1: workers list a few of their ends at once, and nothing is taken for void, missing or over by
/// what such a list lacks.
#[test]
fn no_task_starts_again_after_its_end_stood_beyond_a_cut_list() {
    assert_clean(SEEDS, |seed| SimulationSettings::cut_lists(seed, FAULTS));
}
