use crate::prelude::*;

/// Service is back within this after any single loss, and after a split or a power loss ends.
const BACK: Bounds = Bounds { outage_ms: 12_000, urgent_start_p99_ms: None };
/// ... and within this where another machine has only to take over.
const TAKEN_OVER: Bounds = Bounds { outage_ms: 3_000, urgent_start_p99_ms: None };
/// ... and urgent work starts as fast as it always must.
const URGENT: Bounds = Bounds { outage_ms: 3_000, urgent_start_p99_ms: Some(1_900) };
/// Workers, gateways and times the profile's rate where steps take time.
const LARGE_WORKERS: usize = 72;
const LARGE_GATEWAYS: usize = 24;
const LARGE_RATE: f64 = 2.4;
/// When a scenario's first fault comes.
const FIRST: Millis = 10_000;

/// One scenario.
const fn of(
    name: &'static str,
    group: &'static str,
    fault: &'static str,
    mechanism: &'static str,
    bounds: Bounds,
    set: fn(&mut SimulationSettings),
) -> Scenario {
    Scenario { name, group, fault, mechanism, bounds, set }
}

/// A behaviour of some workers from the first fault on.
fn errs(s: &mut SimulationSettings, workers: usize, behaviour: Behaviour, for_ms: Millis) {
    s.faults.extend((0..workers).map(|worker| (FIRST, Fault::WorkerErrs { worker, behaviour: behaviour.clone(), for_ms })));
}

/// Every scenario.
pub fn scenarios() -> Vec<Scenario> {
    vec![
        of("calm", "control", "nothing", "-", URGENT, |_| {}),
        of(
            "leader-crash",
            "control",
            "the elected scheduler dies right amid its work",
            "election; starts stand in the log",
            TAKEN_OVER,
            |s| {
                s.faults = vec![(FIRST, Fault::LeaderCrash { for_ms: 5_000 }), (25_000, Fault::LeaderCrash { for_ms: 100 })];
            },
        ),
        of(
            "leader-freeze",
            "control",
            "the elected scheduler stands still for 25 s and wakes",
            "lease checked on waking",
            TAKEN_OVER,
            |s| {
                s.faults = vec![(FIRST, Fault::LeaderFreeze { for_ms: 25_000 })];
            },
        ),
        of("leader-cut", "control", "the elected scheduler is cut off for 25 s", "lease; election", TAKEN_OVER, |s| {
            s.faults = vec![(FIRST, Fault::LeaderCut { one_way: false, for_ms: 25_000 })];
        }),
        of("leader-cut-one-way", "control", "nothing the elected scheduler sends arrives for 25 s", "lease; election", TAKEN_OVER, |s| {
            s.faults = vec![(FIRST, Fault::LeaderCut { one_way: true, for_ms: 25_000 })];
        }),
        of("core-split", "control", "five schedulers are split two and three, 20 s long", "quorum", TAKEN_OVER, |s| {
            s.schedulers = 5;
            s.faults = vec![(FIRST, Fault::CoreSplit { first: 0, for_ms: 20_000 })];
        }),
        of(
            "core-apart",
            "control",
            "each of three schedulers is cut off from the others for 3 s",
            "quorum; election after the split",
            BACK,
            |s| {
                s.faults = (0..3).map(|scheduler| (FIRST, Fault::SchedulerCut { scheduler, one_way: false, for_ms: 3_000 })).collect();
            },
        ),
        of("power-loss", "control", "all machines with disks lose power, twice", "synced before acknowledged", BACK, |s| {
            s.faults = vec![(FIRST, Fault::PowerLoss { for_ms: 3_000 }), (25_000, Fault::PowerLoss { for_ms: 500 })];
        }),
        of(
            "power-loss-in-a-crowd",
            "control",
            "all schedulers and gateways lose power amid a crowd, and steps take as long as on large fleets",
            "a round's looks and the whole views at once are bounded",
            BACK,
            |s| {
                (s.workers, s.gateways, s.rate) = (LARGE_WORKERS, LARGE_GATEWAYS, LARGE_RATE);
                s.step_cost = Some(StepCost::as_in_large_fleets());
                s.faults = vec![(FIRST, Fault::Crowd { times: 6.0, for_ms: 6_000 }), (FIRST + 4_000, Fault::PowerLoss { for_ms: 1_300 })];
                s.faults.extend((0..s.gateways).map(|gateway| (FIRST + 4_000, Fault::GatewayCrash { gateway, for_ms: 1_300 })));
            },
        ),
        of("rolling-restart", "control", "schedulers restart in turns", "election; log on disk", TAKEN_OVER, |s| {
            s.faults = (0..3).map(|i| (FIRST + 8_000 * i as Millis, Fault::SchedulerCrash { scheduler: i, for_ms: 1_000 })).collect();
        }),
        of(
            "disk-lost-then-leader",
            "control",
            "a disk is lost, and right after its repair the elected scheduler dies",
            "a new member without a vote until it caught up",
            BACK,
            |s| {
                s.faults = vec![(FIRST, Fault::DiskLost { scheduler: 1, for_ms: 1_000 }), (25_000, Fault::LeaderCrash { for_ms: 60_000 })];
            },
        ),
        of(
            "disk-lost-twice",
            "control",
            "a disk is lost, and right after its repair another",
            "replaced by itself before the next loss",
            BACK,
            |s| {
                s.load_ms = 50_000;
                s.faults = vec![
                    (FIRST, Fault::DiskLost { scheduler: 1, for_ms: 1_000 }),
                    (28_000, Fault::DiskLost { scheduler: 2, for_ms: 1_000 }),
                ];
            },
        ),
        of("slow-disks", "control", "all disks take up to 150 ms for each sync", "group commit", TAKEN_OVER, |s| {
            s.faults = (0..3).map(|scheduler| (FIRST, Fault::SlowDisk { scheduler, sync_ms: 150, for_ms: 20_000 })).collect();
        }),
        of(
            "lost-messages",
            "control",
            "a fifth of the schedulers' messages get lost, late or doubled",
            "terms, indexes, repeats",
            BACK,
            |s| {
                s.faults = vec![(FIRST, Fault::BadNetwork { loss_ratio: 0.2, late_ms: 1_000, for_ms: 20_000 })];
            },
        ),
        of("gateway-crash", "gateways", "a gateway dies and returns", "nothing kept that can't be rebuilt; shares move", TAKEN_OVER, |s| {
            s.faults = vec![(FIRST, Fault::GatewayCrash { gateway: 0, for_ms: 5_000 })];
        }),
        of("gateway-herd", "gateways", "all gateways but one die at once", "shares move to the one left", TAKEN_OVER, |s| {
            s.faults = (1..3).map(|gateway| (FIRST, Fault::GatewayCrash { gateway, for_ms: 8_000 })).collect();
        }),
        of(
            "gateway-freeze",
            "gateways",
            "a gateway stands still for 25 s and wakes",
            "starts have a time by which they leave",
            TAKEN_OVER,
            |s| {
                s.faults = vec![(FIRST, Fault::GatewayFreeze { gateway: 1, for_ms: 25_000 })];
            },
        ),
        of(
            "gateway-cut",
            "gateways",
            "a gateway is cut off from the schedulers, then only what it sends",
            "starts have a time by which they leave; shares move",
            TAKEN_OVER,
            |s| {
                s.faults = vec![
                    (FIRST, Fault::GatewayCutFromCore { gateway: 0, one_way: false, for_ms: 10_000 }),
                    (25_000, Fault::GatewayCutFromCore { gateway: 1, one_way: true, for_ms: 10_000 }),
                ];
            },
        ),
        of("gateway-cut-from-workers", "gateways", "a gateway can't reach any worker for 10 s", "no fate without proof", TAKEN_OVER, |s| {
            s.faults = vec![(FIRST, Fault::GatewayCutFromWorkers { gateway: 0, for_ms: 10_000 })];
        }),
        of(
            "answers-lost",
            "gateways",
            "answers to callers and operators go missing",
            "names and ids: a resend gets the same answer",
            BACK,
            |s| {
                s.faults = (0..3)
                    .map(|g| (FIRST + 5_000 * g as Millis, Fault::GatewayCutFromCallers { gateway: g, one_way: true, for_ms: 4_000 }))
                    .collect();
            },
        ),
        of("workers-slow", "workers", "a third of the workers run six times slower", "predictions and bands", TAKEN_OVER, |s| {
            errs(s, 3, Behaviour { slow_factor: 6.0, ..Behaviour::default() }, 25_000)
        }),
        of("black-hole", "workers", "a worker fails all it starts at once", "compared with its peers and shunned", TAKEN_OVER, |s| {
            errs(s, 1, Behaviour { fail_ratio: 1.0, fail_after_ms: 20, ..Behaviour::default() }, 25_000)
        }),
        of(
            "workers-fail-some",
            "workers",
            "a third of the workers fail a third of what they start",
            "attempts counted in the log",
            TAKEN_OVER,
            |s| errs(s, 3, Behaviour { fail_ratio: 0.3, ..Behaviour::default() }, 25_000),
        ),
        of(
            "workers-stall",
            "workers",
            "a third of the workers never end half of what they start",
            "compared with its like, stopped, tried elsewhere",
            TAKEN_OVER,
            |s| errs(s, 3, Behaviour { stall_ratio: 0.5, ..Behaviour::default() }, 15_000),
        ),
        of(
            "late-orders",
            "workers",
            "workers carry out starts up to 5 s late, amid drains and cancellations",
            "void; stops remembered",
            TAKEN_OVER,
            |s| {
                (s.operators.drain_every_ms, s.callers.cancel_share) = (3_000, 0.2);
                errs(s, 9, Behaviour { late_start_ms: (100, 5_000), ..Behaviour::default() }, 25_000);
            },
        ),
        of(
            "lost-worker-answers",
            "workers",
            "half of the workers' answers to starts and stops get lost",
            "never repeated; proven by holds and stops",
            TAKEN_OVER,
            |s| errs(s, 9, Behaviour { lost_answer_ratio: 0.5, ..Behaviour::default() }, 25_000),
        ),
        of(
            "workers-cut",
            "workers",
            "a third of the workers are cut off and run on",
            "a silent worker keeps its tasks and room",
            TAKEN_OVER,
            |s| errs(s, 3, Behaviour { cut_off: true, ..Behaviour::default() }, 15_000),
        ),
        of(
            "workers-cold",
            "workers",
            "a third of the workers come back cold",
            "a new boot proves the end of the old one's runs",
            TAKEN_OVER,
            |s| {
                s.faults = (0..3).map(|worker| (FIRST + 100 * worker as Millis, Fault::WorkerDies { worker, away_ms: 3_000 })).collect();
            },
        ),
        of(
            "workers-drain",
            "workers",
            "workers announce drains and operators drain and evacuate all the time",
            "decided in the log; voided at the worker",
            TAKEN_OVER,
            |s| {
                (s.operators.drain_every_ms, s.operators.evacuate_every_ms, s.operators.evacuate_for_ms) = (2_000, 9_000, 4_000);
                errs(s, 2, Behaviour { draining: true, ..Behaviour::default() }, 10_000);
            },
        ),
        of("crowd", "crowds", "eight times the load for 5 s", "urgent first; reserve", URGENT, |s| {
            // Room as Thaali has it for such a crowd: urgent work asks for under half of it. On nine workers it asks for
            // four fifths, which no order of starts can give at once.
            s.workers = 18;
            s.faults = vec![(FIRST, Fault::Crowd { times: 8.0, for_ms: 5_000 })];
        }),
        of("large-jobs", "crowds", "forty staged jobs of ten times the tasks at once", "urgent first; reserve", URGENT, |s| {
            s.settle_ms = 90_000;
            s.faults = vec![(FIRST, Fault::LargeJobs { jobs: 40, times_tasks: 10 })];
        }),
        of("mass-cancel", "crowds", "a crowd, and most of it is cancelled, twice", "waiting tasks are dropped in one sweep", URGENT, |s| {
            s.faults = vec![
                (FIRST, Fault::Crowd { times: 6.0, for_ms: 4_000 }),
                (14_000, Fault::MassCancel { share: 0.8 }),
                (20_000, Fault::MassCancel { share: 0.8 }),
            ];
        }),
        of("impossible-jobs", "crowds", "every third job can never be done", "groups that fit nowhere are passed over", URGENT, |s| {
            s.callers.impossible_share = 0.3
        }),
        of("callers-walk-away", "crowds", "callers give up after 300 ms, amid a leader's death", "time budgets; names", BACK, |s| {
            (s.callers.time_budget_ms, s.callers.retries) = (300, 0);
            s.faults = vec![(FIRST, Fault::LeaderCrash { for_ms: 3_000 })];
        }),
        of(
            "configurations-race",
            "configuration",
            "each change races, half are invalid, half are resent",
            "base version and change id in the log",
            TAKEN_OVER,
            |s| {
                (s.operators.change_every_ms, s.operators.race_share, s.operators.invalid_share, s.operators.resend_share) =
                    (400, 1.0, 0.5, 0.5);
            },
        ),
        of(
            "configuration-leader-crash",
            "configuration",
            "changes amid leaders' deaths and cuts",
            "synced before acknowledged; sure or not acted on",
            TAKEN_OVER,
            |s| {
                s.operators.change_every_ms = 300;
                s.faults =
                    vec![(FIRST, Fault::LeaderCrash { for_ms: 3_000 }), (20_000, Fault::LeaderCut { one_way: false, for_ms: 15_000 })];
            },
        ),
        of("restart-after-hundreds", "configuration", "all restart after hundreds of changes", "snapshots and log on disk", BACK, |s| {
            (s.operators.change_every_ms, s.operators.race_share, s.operators.invalid_share) = (60, 0.0, 0.0);
            s.faults = vec![(30_000, Fault::PowerLoss { for_ms: 1_000 })];
        }),
        of(
            "configuration-large",
            "configuration",
            "the tree grows by hundreds of queues, amid a leader's death",
            "versioned deltas with a digest",
            TAKEN_OVER,
            |s| {
                (s.operators.change_every_ms, s.operators.most_added_queues) = (150, 300);
                s.faults = vec![(25_000, Fault::LeaderCrash { for_ms: 2_000 })];
            },
        ),
        of(
            "clock-jumps",
            "clocks",
            "all wall clocks jump by hours, then the leader dies",
            "steady clocks; wall time agreed through the log",
            TAKEN_OVER,
            |s| {
                s.callers.timed_share = 0.5;
                s.faults = (0..3)
                    .map(|i| (FIRST, Fault::ClockJump { scheduler: i, by_ms: if i == 1 { -9_000_000 } else { 9_000_000 } }))
                    .collect();
                s.faults.extend([(15_000, Fault::LeaderCrash { for_ms: 2_000 }), (25_000, Fault::LeaderCrash { for_ms: 2_000 })]);
            },
        ),
    ]
}

/// The scenario of a name.
///
/// ```
/// assert!(fleet_simulator::scenario("leader-crash").is_some());
/// assert!(fleet_simulator::scenario("none").is_none());
/// ```
pub fn scenario(name: &str) -> Option<Scenario> {
    scenarios().into_iter().find(|s| s.name == name)
}
