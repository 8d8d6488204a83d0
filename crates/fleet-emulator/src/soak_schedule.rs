use crate::prelude::*;

/// Series of faults in a run.
const SERIES: std::ops::RangeInclusive<usize> = 7..=11;
/// Faults of one series.
const LENGTH: std::ops::RangeInclusive<usize> = 2..=5;
/// Seconds between two faults of a series.
const APART_S: std::ops::Range<f64> = 0.2..2.5;
/// The first fault comes no sooner.
const FROM_S: f64 = 2.0;
/// All faults are over so long before the load ends.
const CALM_S: f64 = 4.0;
/// Workers that one fault hits.
const WORKERS: usize = 5;

/// Signals, restarts, cuts and changes drawn from a seed, in series that overlap.
///
/// ```
/// use fleet_emulator::prelude::*;
/// let d = Deployment::named("harwick").unwrap();
/// let s = soak_schedule(7, &d, 25.0);
/// assert_eq!(s, soak_schedule(7, &d, 25.0));
/// assert!(s.events.len() > 14 && s.ends_s() < 25.0);
/// ```
pub fn soak_schedule(seed: u64, deployment: &Deployment, seconds: f64) -> FaultSchedule {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x50a4);
    let last = (seconds - CALM_S).max(FROM_S + 1.0);
    let mut events = Vec::new();
    for _ in 0..rng.random_range(SERIES) {
        let kind = match SoakKind::ALL[rng.random_range(0..SoakKind::ALL.len())] {
            // Each life of such a worker has a name of its own, which faults don't know.
            SoakKind::ColdWorkers if deployment.leased => SoakKind::CutWorkers,
            kind => kind,
        };
        let mut at_s = rng.random_range(FROM_S..last);
        for _ in 0..rng.random_range(LENGTH) {
            events.extend(kind.event(at_s, last, deployment, &mut rng));
            at_s += rng.random_range(APART_S);
        }
    }
    events.sort_by(|a: &FaultEvent, b| a.at_s.total_cmp(&b.at_s));
    FaultSchedule { events }
}

/// What a series is made of.
#[derive(Clone, Copy, Debug)]
enum SoakKind {
    RestartGateways,
    RestartSchedulers,
    Hups,
    KillGateways,
    KillSchedulers,
    FreezeGateways,
    FreezeLeader,
    CutGateways,
    CutLeader,
    ResetGateways,
    ConfigRaces,
    LateWorkers,
    ColdWorkers,
    DrainWorkers,
    CutWorkers,
}

impl SoakKind {
    const ALL: [SoakKind; 15] = [
        SoakKind::RestartGateways,
        SoakKind::RestartSchedulers,
        SoakKind::Hups,
        SoakKind::KillGateways,
        SoakKind::KillSchedulers,
        SoakKind::FreezeGateways,
        SoakKind::FreezeLeader,
        SoakKind::CutGateways,
        SoakKind::CutLeader,
        SoakKind::ResetGateways,
        SoakKind::ConfigRaces,
        SoakKind::LateWorkers,
        SoakKind::ColdWorkers,
        SoakKind::DrainWorkers,
        SoakKind::CutWorkers,
    ];

    /// One fault at a time; none where there is no time left for it.
    fn event(self, at_s: f64, last_s: f64, d: &Deployment, rng: &mut ChaCha8Rng) -> Option<FaultEvent> {
        let left = last_s - at_s;
        if left <= 0.0 {
            return None;
        }
        let short = rng.random_range(0.1..2.0_f64).min(left);
        let long = rng.random_range(1.0..6.0_f64).min(left);
        let gateway = format!("gateway:{}", rng.random_range(1..=d.gateways));
        let scheduler = format!("scheduler:{}", rng.random_range(1..=d.schedulers));
        let workers = format!("workers:{WORKERS}");
        let (kind, whom, for_s) = match self {
            SoakKind::RestartGateways => (FaultKind::Restart, Some(gateway), None),
            SoakKind::RestartSchedulers => (FaultKind::Restart, Some(scheduler), None),
            SoakKind::Hups => (FaultKind::Hup, Some("schedulers+gateways".to_owned()), None),
            SoakKind::KillGateways => (FaultKind::Kill, Some(gateway), Some(short)),
            SoakKind::KillSchedulers => (FaultKind::Kill, Some(scheduler), Some(short)),
            SoakKind::FreezeGateways => (FaultKind::Freeze, Some(gateway), Some(long)),
            SoakKind::FreezeLeader => (FaultKind::Freeze, Some("leader".to_owned()), Some(long)),
            SoakKind::CutGateways => (FaultKind::Cut, Some(gateway), Some(long)),
            SoakKind::CutLeader => (FaultKind::CutOneWay { inwards: rng.random_bool(0.5) }, Some("leader".to_owned()), Some(long)),
            SoakKind::ResetGateways => (FaultKind::ResetLinks, Some(gateway), None),
            SoakKind::ConfigRaces => (FaultKind::ConfigRace { rounds: 1 }, None, None),
            SoakKind::LateWorkers => {
                let behaviour = json!({"late_start_ms": [200, 3_000], "lost_answer_ratio": 0.5});
                (FaultKind::Behaviour { behaviour }, Some(workers), Some(long))
            }
            SoakKind::ColdWorkers => (FaultKind::ColdWorker, Some(workers), Some(short)),
            SoakKind::DrainWorkers => (FaultKind::DrainWorker, Some(workers), Some(long)),
            SoakKind::CutWorkers => (FaultKind::Cut, Some(workers), Some(long)),
        };
        let whom = whom.and_then(|w| w.parse().ok());
        Some(FaultEvent { at_s, kind, whom, others: None, for_s })
    }
}
