use crate::prelude::*;

/// Something that goes wrong. Times are for how long.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A scheduler's process dies; what was not synced is lost, the write under way may be torn.
    SchedulerCrash { scheduler: usize, for_ms: Millis },
    /// The elected scheduler's process dies.
    LeaderCrash { for_ms: Millis },
    /// The elected scheduler's process is told to end: it hands over, and is gone for a while a moment later.
    LeaderLeaves { for_ms: Millis },
    /// All schedulers lose power together.
    PowerLoss { for_ms: Millis },
    /// A scheduler's disk is lost: it comes back empty.
    DiskLost { scheduler: usize, for_ms: Millis },
    /// A scheduler's machine freezes, then wakes.
    SchedulerFreeze { scheduler: usize, for_ms: Millis },
    /// The elected scheduler's machine freezes, then wakes.
    LeaderFreeze { for_ms: Millis },
    /// A scheduler's disk takes this long for each sync.
    SlowDisk { scheduler: usize, sync_ms: Millis, for_ms: Millis },
    /// A scheduler is cut off from all others, both ways or only what it sends.
    SchedulerCut { scheduler: usize, one_way: bool, for_ms: Millis },
    /// The elected scheduler is cut off from all, both ways or only what it sends.
    LeaderCut { one_way: bool, for_ms: Millis },
    /// The schedulers are split in two.
    CoreSplit { first: usize, for_ms: Millis },
    /// A gateway's process dies.
    GatewayCrash { gateway: usize, for_ms: Millis },
    /// A gateway's machine freezes, then wakes.
    GatewayFreeze { gateway: usize, for_ms: Millis },
    /// A gateway is cut off from the schedulers, but reaches callers and workers.
    GatewayCutFromCore { gateway: usize, one_way: bool, for_ms: Millis },
    /// A gateway is cut off from its workers.
    GatewayCutFromWorkers { gateway: usize, for_ms: Millis },
    /// A worker errs.
    WorkerErrs { worker: usize, behaviour: Behaviour, for_ms: Millis },
    /// A worker's process dies and comes back with a new boot.
    WorkerDies { worker: usize, away_ms: Millis },
    /// As the next gang ends well whose members' workers are held by several gateways, one of these workers dies before it can tell, and
    /// the other gateways are cut off from the schedulers for a while.
    GangTorn { away_ms: Millis, for_ms: Millis },
    /// A machine's wall clock jumps.
    ClockJump { scheduler: usize, by_ms: i64 },
    /// Messages get lost, late and doubled.
    BadNetwork { loss_ratio: f64, late_ms: Millis, for_ms: Millis },
    /// A share of the orders to workers gets no answer and is carried out late.
    LateOrders { ratio: f64, for_ms: Millis },
    /// A gateway is cut off from schedulers and workers alike.
    GatewayCutFromAll { gateway: usize, for_ms: Millis },
    /// A gateway is cut off from callers and operators, both ways or only its answers.
    GatewayCutFromCallers { gateway: usize, one_way: bool, for_ms: Millis },
    /// Large jobs arrive at once: staged ones with so many times the tasks.
    LargeJobs { jobs: u32, times_tasks: u32 },
    /// A crowd: this many times the load.
    Crowd { times: f64, for_ms: Millis },
    /// This share of the remembered jobs is cancelled at once.
    MassCancel { share: f64 },
}
