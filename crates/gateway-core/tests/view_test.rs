use gateway_core::prelude::*;

mod stand;
use stand::*;

fn whole(t: &mut Stand) {
    let fx = t.until(|e| matches!(e, GatewayEffect::Send { frame: GatewayFrame::Pulse { .. }, .. }));
    t.echo(&fx);
}

fn configuration(version: u64, base: u64, tree: &Value, patch: Value) -> ConfigurationUpdate {
    ConfigurationUpdate { version, digest: tree_digest(tree), patches: vec![Payload(patch)], base, tree: None }
}

#[test]
fn reads_are_answered_while_the_view_is_young() {
    let mut t = Stand::attached();
    t.update(|u| u.jobs = vec![job(4, JobState::Running)]);
    let get = GetJob { name: "j4".into() }.into_body();
    assert!(t.core.view().answer(t.now, &get).is_none());
    whole(&mut t);
    let (a, age) = t.core.view().answer(t.now, &get).unwrap();
    assert!(matches!(a, AnswerBody::GetJob(s) if s.summary.job == 4 && s.steps.is_empty()));
    assert_eq!(age, 0);
    assert!(t.core.view().answer(t.now, &GetJob { name: "j5".into() }.into_body()).is_none());
    assert!(t.core.view().answer(t.now, &ListQueues {}.into_body()).is_none());
    let most = GatewaySettings::default().view_age_most();
    assert!(t.core.view().answer(t.now + most - 1, &get).is_some());
    assert!(t.core.view().answer(t.now + most, &get).is_none());
}

#[test]
fn lists_come_in_pages_and_parts() {
    let mut t = Stand::attached();
    t.update(|u| u.jobs = (1..=700).map(|n| job(n, if n == 600 { JobState::Failed } else { JobState::Running })).collect());
    t.update(|u| u.jobs_forgotten = vec![2]);
    let v = t.core.view();
    let page = v.list_jobs(&ListJobs { queue: Some("even".into()), limit: Some(300), ..ListJobs::default() });
    assert_eq!((page.jobs.len(), page.jobs[0].job, page.next), (300, 4, Some(602)));
    let rest = v.list_jobs(&ListJobs { queue: Some("even".into()), after: page.next, ..ListJobs::default() });
    assert_eq!((rest.jobs.len(), rest.next), (49, None));
    assert_eq!(v.list_jobs(&ListJobs { state: Some(JobState::Failed), ..ListJobs::default() }).jobs[0].job, 600);
    assert_eq!(v.list_workers(&ListWorkers { zone: Some("z2".into()) }).workers.len(), 0);
    assert_eq!(v.list_workers(&ListWorkers::default()).workers.len(), 1);
    t.update(|u| u.reset = true);
    assert!(t.core.view().jobs.is_empty() && !v.jobs.is_empty());
}

#[test]
fn patches_are_taken_over_in_order_and_known_ones_skipped() {
    let mut t = Stand::attached();
    let (one, two) = (serde_json::json!({"a": 1}), serde_json::json!({"a": 2, "b": {"c": null}}));
    let first = serde_json::json!([{"op": "add", "path": "/a", "value": 1}]);
    let second = serde_json::json!([{"op": "replace", "path": "/a", "value": 2}, {"op": "add", "path": "/b", "value": {"c": null}}]);
    t.update(|u| u.configuration = Some(configuration(1, 0, &one, first.clone())));
    assert_eq!(*t.core.view().configuration.tree, one);
    let both = ConfigurationUpdate { patches: vec![Payload(first), Payload(second)], ..configuration(2, 0, &two, Value::Null) };
    t.update(|u| u.configuration = Some(both));
    assert_eq!((t.core.view().configuration.version, &*t.core.view().configuration.tree), (2, &two));
}

#[test]
fn a_digest_that_differs_is_not_taken_over_but_asked_for_whole() {
    let mut t = Stand::attached();
    whole(&mut t);
    let tree = serde_json::json!({"a": 1});
    let wrong = serde_json::json!([{"op": "add", "path": "/a", "value": 7}]);
    let fx = t.update(|u| u.configuration = Some(configuration(1, 0, &tree, wrong)));
    assert!(sent(&fx).contains(&GatewayFrame::WantConfiguration));
    assert_eq!(t.core.view().configuration.version, 0);
    assert!(t.core.view().answer(t.now, &GetConfiguration {}.into_body()).is_none());
    let gap = serde_json::json!([]);
    assert!(sent(&t.update(|u| u.configuration = Some(configuration(9, 8, &tree, gap)))).contains(&GatewayFrame::WantConfiguration));
    let whole_tree = ConfigurationUpdate { tree: Some(Payload(tree.clone())), patches: vec![], ..configuration(9, 9, &tree, Value::Null) };
    t.update(|u| u.configuration = Some(whole_tree));
    let (a, _) = t.core.view().answer(t.now, &GetConfiguration {}.into_body()).unwrap();
    assert!(matches!(a, AnswerBody::GetConfiguration(c) if c.version == 9 && c.tree.0 == tree));
}

#[test]
fn a_whole_view_in_parts_is_read_and_pruned_only_once_it_is_whole() {
    let mut t = Stand::attached();
    t.update(|u| u.workers = vec![worker("w2", "b", Some(ME))]);
    whole(&mut t);
    let part = ViewUpdate { reset: true, jobs: vec![job(1, JobState::Running)], ..ViewUpdate::default() };
    t.frame(SchedulerFrame::Update(part));
    whole(&mut t);
    assert!(t.core.view().answer(t.now, &ListJobs::default().into_body()).is_none());
    // The hold that is out stays the only one: its worker isn't forgotten in between.
    let fx = t.update(|u| u.workers = vec![worker(W, "b1", Some(ME))]);
    assert!(holds(&fx).is_empty());
    assert_eq!(t.core.sizes()[4], ("gateway_workers_held", 1));
    whole(&mut t);
    assert!(t.core.view().answer(t.now, &ListJobs::default().into_body()).is_some());
}

#[test]
fn after_a_new_attach_an_old_view_waits_for_news_or_a_second_echo() {
    let mut t = Stand::attached();
    whole(&mut t);
    t.down();
    let fx = t.attach();
    t.now += GatewaySettings::default().view_age_most();
    t.echo(&fx);
    assert!(t.core.view().answer(t.now, &ListJobs::default().into_body()).is_none());
    whole(&mut t);
    assert!(t.core.view().answer(t.now, &ListJobs::default().into_body()).is_some());
}
