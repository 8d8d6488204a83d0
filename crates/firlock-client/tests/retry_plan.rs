//! The rules of retrying.
use firlock_client::prelude::*;

fn shed(retry_after_ms: Millis) -> TryError {
    TryError::Call { source: CallError::Shed { limit: "inbox".into(), retry_after_ms } }
}

fn lost() -> TryError {
    TryError::Transport { source: TransportError::TimedOut { after_ms: 1 } }
}

#[test]
fn no_try_begins_past_the_budget_and_hints_are_kept() {
    bolero::check!().with_iterations(2_000).with_type::<(u64, u16, u8, Vec<(u16, Option<u16>)>)>().for_each(
        |(seed, budget, gateways, errors)| {
            let settings = RetrySettings::with_budget(Millis::from(*budget));
            let mut tokens = settings.retry_tokens;
            let mut plan = RetryPlan::new(settings, usize::from(*gateways), 0, 1_000, *seed);
            let end = 1_000 + Millis::from(*budget);
            let mut now = 1_000;
            let (mut step, mut hint, mut tries) = (plan.first(now), 0, 0);
            for (took, next_hint) in errors {
                let RetryStep::Try { gateway, wait_ms, time_budget_ms } = step else { return };
                tries += 1;
                assert!(gateway < usize::from(*gateways).max(1));
                assert!(wait_ms >= hint && now + wait_ms + time_budget_ms <= end && time_budget_ms > 0);
                now += wait_ms + Millis::from(*took);
                hint = next_hint.map_or(0, Millis::from);
                let e = next_hint.map_or_else(lost, |h| shed(Millis::from(h)));
                step = plan.after_error(now, &e, &mut tokens);
            }
            assert!(tries <= settings.retry_tokens as u32 + 1);
        },
    );
}

#[test]
fn tries_go_round_all_gateways_until_the_tokens_are_gone() {
    let settings = RetrySettings::with_budget(60_000);
    let mut tokens = 4.0;
    let mut plan = RetryPlan::new(settings, 3, 2, 0, 7);
    let mut at = Vec::new();
    let mut step = plan.first(0);
    while let RetryStep::Try { gateway, .. } = step {
        at.push(gateway);
        step = plan.after_error(0, &lost(), &mut tokens);
    }
    assert_eq!(at, [2, 0, 1, 2, 0]);
    assert!(tokens < 1.0);
}

#[test]
fn the_same_seed_gives_the_same_plan_and_waits_grow() {
    let waits = |seed| {
        let settings = RetrySettings::with_budget(60_000);
        let mut tokens = 9.0;
        let mut plan = RetryPlan::new(settings, 1, 0, 0, seed);
        plan.first(0);
        (0..8).map(|_| plan.after_error(0, &lost(), &mut tokens)).collect::<Vec<_>>()
    };
    assert_eq!(waits(5), waits(5));
    assert_ne!(waits(5), waits(6));
    let s = RetrySettings::with_budget(10_000);
    assert_eq!([0, 1, 2, 3, 4, 5, 9].map(|r| s.backoff_ms(r)), [100, 200, 400, 800, 1_600, 2_500, 2_500]);
}

#[test]
fn errors_that_stay_are_not_tried_again() {
    let settings = RetrySettings::default();
    let stay = [
        CallError::NotFound { what: "job".into(), name: "a".into() },
        CallError::Invalid { faults: Vec::new() },
        CallError::Conflict { what: "job".into(), name: "a".into() },
        CallError::RacedBase { base: 1, current: 2 },
        CallError::NotAllowed { name: "w".into(), reason: "busy".into() },
    ];
    for source in stay {
        let mut tokens = 9.0;
        let mut plan = RetryPlan::new(settings, 2, 0, 0, 1);
        plan.first(0);
        assert_eq!(plan.after_error(0, &TryError::Call { source }, &mut tokens), RetryStep::GiveUp);
        assert_eq!(tokens, 9.0);
    }
}
