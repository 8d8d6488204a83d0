use crate::prelude::*;

/// Faults with the times at which they begin.
pub type FaultPlan = Vec<(Millis, Fault)>;

/// Disks are lost at least this far apart: a machine needs time to be replaced, and losing most disks at once would lose
/// what was acknowledged, rightly.
const DISK_LOSSES_APART_MS: Millis = 45_000;

/// Draws a plan of so many faults between two times, alone and overlapping.
pub fn fault_plan(s: &SimulationSettings, count: usize, from: Millis, to: Millis) -> FaultPlan {
    let mut rng = ChaCha8Rng::seed_from_u64(s.seed ^ 0xfa17);
    let mut at: Vec<Millis> = (0..count).map(|_| rng.random_range(from..to)).collect();
    at.sort_unstable();
    let mut disk_lost_at: Option<Millis> = None;
    let mut plan = Vec::new();
    for at in at {
        let r = &mut rng;
        let scheduler = r.random_range(0..s.schedulers);
        let gateway = r.random_range(0..s.gateways);
        let worker = r.random_range(0..s.workers);
        let short = r.random_range(200..6_000);
        let long = r.random_range(3_000..26_000);
        let fault = match r.random_range(0..30) {
            0 | 1 => Fault::SchedulerCrash { scheduler, for_ms: short },
            2 | 3 => Fault::LeaderCrash { for_ms: short },
            4 => Fault::PowerLoss { for_ms: short },
            5 => Fault::SchedulerFreeze { scheduler, for_ms: long },
            6 | 7 => Fault::LeaderFreeze { for_ms: long },
            8 => Fault::SlowDisk { scheduler, sync_ms: r.random_range(20..400), for_ms: long },
            9 => Fault::SchedulerCut { scheduler, one_way: r.random_bool(0.5), for_ms: long },
            10 | 11 => Fault::LeaderCut { one_way: r.random_bool(0.5), for_ms: long },
            12 => Fault::CoreSplit { first: scheduler, for_ms: short },
            13 | 14 => Fault::GatewayCrash { gateway, for_ms: short },
            15 => Fault::GatewayFreeze { gateway, for_ms: long },
            16 | 17 => Fault::GatewayCutFromCore { gateway, one_way: r.random_bool(0.5), for_ms: long },
            18 => Fault::GatewayCutFromWorkers { gateway, for_ms: short },
            19 => Fault::WorkerDies { worker, away_ms: r.random_range(50..5_000) },
            20 => Fault::ClockJump { scheduler, by_ms: r.random_range(-20_000_000..20_000_000) },
            21 => Fault::BadNetwork { loss_ratio: r.random_range(0.0..0.3), late_ms: r.random_range(10..1_500), for_ms: short },
            22 => Fault::Crowd { times: r.random_range(2.0..10.0), for_ms: r.random_range(500..2_000) },
            23 => Fault::MassCancel { share: r.random_range(0.1..0.6) },
            24 => match disk_lost_at.is_none_or(|d| at >= d + DISK_LOSSES_APART_MS) && s.schedulers >= 3 {
                true => {
                    disk_lost_at = Some(at);
                    Fault::DiskLost { scheduler, for_ms: short }
                }
                false => Fault::SchedulerCrash { scheduler, for_ms: short },
            },
            _ => {
                let mut behaviour = Behaviour::default();
                match r.random_range(0..7) {
                    0 => behaviour.late_start_ms = (100, r.random_range(200..5_000)),
                    1 => behaviour.lost_answer_ratio = r.random_range(0.1..0.9),
                    2 => behaviour.slow_factor = r.random_range(2.0..8.0),
                    3 => behaviour.fail_ratio = r.random_range(0.2..1.0),
                    4 => behaviour.stall_ratio = r.random_range(0.1..0.6),
                    5 => behaviour.draining = true,
                    _ => behaviour.cut_off = true,
                }
                Fault::WorkerErrs { worker, behaviour, for_ms: long }
            }
        };
        plan.push((at, fault));
    }
    plan
}
