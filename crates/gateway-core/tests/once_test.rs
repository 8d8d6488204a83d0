use gateway_core::prelude::*;

mod stand;
use stand::*;

/// One random thing, for attempt `1 + n % 5`.
fn one(t: &mut Stand, what: u8, n: u8) -> Vec<GatewayEffect> {
    let a = id(1 + u64::from(n % 5));
    let others = [id(1 + u64::from(n / 5 % 5)), id(1 + u64::from(n / 25 % 5))];
    let boot = if n > 200 { "b2" } else { "b1" };
    match what % 14 {
        0 | 1 => t.give(a),
        2 => t.stop(a),
        3 => t.started(a, Reply::Answer(if n > 128 { StartResult::Started } else { StartResult::Void })),
        4 => t.started(a, if n > 128 { Reply::NotSent } else { Reply::Unknown }),
        5 => t.stopped(a, Reply::Answer([StopResult::Void, StopResult::Stopped, StopResult::Ended][usize::from(n % 3)])),
        6 => t.stopped(a, Reply::Unknown),
        7 => t.held(list(boot, u64::from(n), &others, &[a])),
        8 => t.held(Reply::Unknown),
        9 => {
            let mut fx = t.down();
            fx.extend(t.attach());
            fx
        }
        10 => t.frame(SchedulerFrame::FactsDone { report: u64::from(n) }),
        11 => t.update(|u| {
            u.reset = n > 200;
            u.workers = vec![worker(W, boot, Some(if n.is_multiple_of(4) { "g2" } else { ME }))];
            u.held = vec![(W.into(), a)];
        }),
        12 => t.update(|u| u.jobs = vec![job(a.task.job, if n > 128 { JobState::Failed } else { JobState::Running })]),
        _ => t.tick(u64::from(n) * 5),
    }
}

#[test]
fn no_sequence_sends_a_start_twice_or_after_its_void() {
    let steps = bolero::produce::<Vec<(u8, u8)>>().with().len(0..200usize);
    bolero::check!().with_generator(steps).with_iterations(3_000).for_each(|steps| {
        let mut t = Stand::attached();
        let (mut left, mut void) = (BTreeSet::new(), BTreeSet::new());
        for &(what, n) in steps {
            // A worker's word on a start that never left would be made up by the test.
            if matches!(what % 14, 3 | 4) && !left.contains(&id(1 + u64::from(n % 5))) {
                continue;
            }
            let by_worker = matches!(what % 14, 5);
            for e in one(&mut t, what, n) {
                match e {
                    GatewayEffect::Start { order, leave_by, .. } => {
                        assert!(leave_by >= t.now);
                        assert!(!void.contains(&order.attempt), "{} left after it was told as void", order.attempt);
                        assert!(left.insert(order.attempt), "{} left twice", order.attempt);
                    }
                    GatewayEffect::Send { frame: GatewayFrame::Facts { facts, .. }, .. } if !by_worker => {
                        void.extend(facts.into_iter().flat_map(|f| f.voided));
                    }
                    _ => {}
                }
            }
        }
    });
}
