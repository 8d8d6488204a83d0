use crate::prelude::*;

/// An error planted in an executor or a worker, to show that a rule fires on it end to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// A gateway sends an unanswered start once more.
    StartRepeated,
    /// A scheduler's disk says that a write is synced before it is.
    AckBeforeSync,
    /// A gateway's executor sends a start past the time by which it had to leave.
    LeaveByIgnored,
    /// An order that its gateway gave up on arrives all the same once a cut heals.
    AbandonedArrives,
    /// A worker does not remember a stop for an attempt that it has not seen.
    StopForgotten,
    /// A scheduler whose disk was lost comes back under its old id.
    OldSelf,
    /// A scheduler believes whatever a gateway tells of a worker, also one that doesn't hold it any more.
    FormerHolderBelieved,
    /// A gateway takes a list of ends that was cut for a whole one.
    CutListTakenAsWhole,
}

impl Plant {
    /// Each of them, with the rules of which it must break one.
    pub const ALL: &'static [(Plant, &'static [Rule])] = &[
        (Plant::StartRepeated, &[Rule::TaskRanTwiceAtOnce, Rule::TaskStartedAfterSuccess]),
        (Plant::AckBeforeSync, &[Rule::AcknowledgedLost, Rule::JobDisappeared]),
        (Plant::LeaveByIgnored, &[Rule::StartOnDrainingWorker, Rule::StartInEvacuatedZone, Rule::StartAfterCancel]),
        (Plant::AbandonedArrives, &[Rule::StartOnDrainingWorker, Rule::StartInEvacuatedZone, Rule::StartAfterCancel]),
        (Plant::StopForgotten, &[Rule::TaskRanTwiceAtOnce, Rule::TaskStartedAfterSuccess, Rule::StartAfterCancel]),
        (Plant::OldSelf, &[Rule::AcknowledgedLost, Rule::JobDisappeared]),
        (Plant::FormerHolderBelieved, &[Rule::TaskRanTwiceAtOnce, Rule::RoomExceeded]),
        (Plant::CutListTakenAsWhole, &[Rule::TaskStartedAfterSuccess]),
    ];

    /// A run in which it should show.
    pub fn settings(self, seed: u64) -> SimulationSettings {
        let mut s = match self {
            Plant::FormerHolderBelieved => SimulationSettings::leased_chaos(seed, 0),
            Plant::CutListTakenAsWhole => SimulationSettings::cut_lists(seed, 0),
            _ => SimulationSettings::new(seed),
        };
        s.outage_ms = s.load_ms;
        s.plant = Some(self);
        if self == Plant::LeaveByIgnored {
            s.operators.drain_every_ms = 500;
        }
        s.faults = match self {
            Plant::FormerHolderBelieved | Plant::CutListTakenAsWhole => return s,
            Plant::AckBeforeSync => (0..s.schedulers)
                .map(|scheduler| (2_000, Fault::SlowDisk { scheduler, sync_ms: 400, for_ms: s.load_ms }))
                .chain([(15_000, Fault::PowerLoss { for_ms: 500 }), (25_000, Fault::PowerLoss { for_ms: 500 })])
                .collect(),
            Plant::OldSelf => vec![
                (6_000, Fault::SchedulerCut { scheduler: 2, one_way: false, for_ms: 8_000 }),
                (13_900, Fault::SchedulerCrash { scheduler: 0, for_ms: 8_000 }),
                (14_000, Fault::DiskLost { scheduler: 1, for_ms: 100 }),
            ],
            Plant::AbandonedArrives => (0..s.gateways)
                .map(|gateway| (10_000 + 3_000 * gateway as Millis, Fault::GatewayCutFromWorkers { gateway, for_ms: 10_000 }))
                .collect(),
            Plant::StopForgotten => vec![(4_000, Fault::BadNetwork { loss_ratio: 0.0, late_ms: 8_000, for_ms: s.load_ms })],
            Plant::StartRepeated | Plant::LeaveByIgnored => {
                let mut late = Behaviour { late_start_ms: (500, 4_000), lost_answer_ratio: 0.5, ..Behaviour::default() };
                if self == Plant::LeaveByIgnored {
                    late = Behaviour::default();
                }
                let errs = (0..s.workers).map(|worker| (3_000, Fault::WorkerErrs { worker, behaviour: late.clone(), for_ms: s.load_ms }));
                let cuts = (0..s.gateways as u64).flat_map(|g| {
                    (0..3).map(move |n| {
                        (6_000 + 3_000 * g + 10_000 * n, Fault::GatewayCutFromCore { gateway: g as usize, one_way: false, for_ms: 6_000 })
                    })
                });
                match self {
                    Plant::StartRepeated => errs.collect(),
                    _ => errs.chain(cuts).collect(),
                }
            }
        };
        s
    }
}
