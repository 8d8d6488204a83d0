//! Each rule on configurations, broken on purpose.

mod scene;

use fleet_oracle::prelude::*;
use scene::*;

#[test]
fn configuration_late() {
    let mut s = Scene::new();
    s.change(100, 0, "c1", Ok(1));
    s.config(2_111, "g2", 0, "none");
    s.config(2_112, "g1", 0, "none");
    s.config(2_113, "g1", 0, "none");
    s.config(2_200, "g1", 1, "c1");
    s.fires(Rule::ConfigurationLate);
}

#[test]
fn configuration_undone() {
    let mut s = Scene::new();
    s.config(50, "g1", 1, "c1");
    s.config(60, "g1", 0, "none");
    s.fires(Rule::ConfigurationUndone);
    let mut s = Scene::new();
    s.change(100, 0, "c1", Ok(1));
    s.config(200, "g1", 1, "other");
    s.fires(Rule::ConfigurationUndone);
}

#[test]
fn configuration_both_won() {
    let mut s = Scene::new();
    s.change(100, 0, "c1", Ok(1));
    s.change(200, 0, "c2", Ok(2));
    s.fires(Rule::ConfigurationBothWon);
}

#[test]
fn configuration_resend_refused() {
    let mut s = Scene::new();
    s.change(100, 0, "c1", Ok(1));
    s.change(200, 0, "c1", Err(raced()));
    s.fires(Rule::ConfigurationResendRefused);
    // The first answer was lost, so that only reads show that it won.
    let mut s = Scene::new();
    s.change(100, 0, "c1", Err(CallError::TimeBudgetSpent { retry_after_ms: 1 }));
    s.change(200, 0, "c1", Err(raced()));
    s.config(300, "g1", 1, "c1");
    s.fires(Rule::ConfigurationResendRefused);
}
