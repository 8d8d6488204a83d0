//! Reports that are told again to another leader: what they cover is what was told.

use gateway_core::prelude::*;

mod stand;
use stand::*;

#[test]
fn an_end_that_was_left_out_when_a_report_was_told_again_is_not_acknowledged() {
    let mut t = Stand::attached();
    let a = id(1);
    let told = t.held(list("b1", 1, &[], &[a]));
    let report = sent(&told).into_iter().find_map(|f| if let GatewayFrame::Facts { report, .. } = f { Some(report) } else { None });
    let report = report.expect("the end is told");
    // The next leader's log doesn't know the worker: nothing of it is told again.
    t.down();
    t.attach();
    let again = t.update(|u| u.workers_removed = vec![W.into()]);
    let told: Vec<WorkerFacts> = facts(&again).into_iter().chain(t.facts()).collect();
    assert!(told.iter().all(|f| f.ended.is_empty()), "{told:?}");
    // It is known anew, and lists the same end, before the report is done.
    let mut fx = t.update(|u| u.workers = vec![worker(W, "b1", Some(ME))]);
    while holds(&fx).is_empty() {
        fx = t.tick(20);
    }
    t.held(list("b1", 2, &[], &[a]));
    let mut fx = t.frame(SchedulerFrame::FactsDone { report });
    while holds(&fx).is_empty() {
        fx = t.tick(20);
    }
    assert!(holds(&fx).iter().all(|h| h.acknowledged.is_empty()), "{fx:?}");
}
