use crate::prelude::*;

/// The size and length of a run.
#[derive(Clone, Debug)]
pub struct SimulationSettings {
    /// All chance comes from it.
    pub seed: u64,
    /// Whose callers and operators.
    pub profile: Profile,
    /// Schedulers.
    pub schedulers: usize,
    /// Gateways.
    pub gateways: usize,
    /// Workers.
    pub workers: usize,
    /// When callers begin.
    pub load_from_ms: Millis,
    /// Share of starts whose executor is held up before it writes them out.
    pub held_up_ratio: f64,
    /// When the load ends.
    pub load_ms: Millis,
    /// Times the profile's rate.
    pub rate: f64,
    /// How long the fleet has to come to rest after the load.
    pub settle_ms: Millis,
    /// What goes wrong, and when.
    pub faults: FaultPlan,
    /// Longest outage that counts as none.
    pub outage_ms: Millis,
    /// The schedulers' election timeout.
    pub election_timeout_ms: Millis,
    /// A run with more events than this has not ended: something goes round in circles.
    pub most_events: u64,
    /// What steps of schedulers cost; none: they take no time.
    pub step_cost: Option<StepCost>,
    /// Bytes of one entry of the log, and of all that aren't committed; none: as usual.
    pub log_bytes: Option<usize>,
    /// Whether workers run work only while their lease lasts.
    pub leased: bool,
    /// With leases: ends that a worker lists at once.
    pub most_ends_listed: usize,
    /// How callers behave; their gateways and seed are set by the run.
    pub callers: CallerSettings,
    /// How operators behave; their gateways and seed are set by the run.
    pub operators: OperatorSettings,
    /// An error planted on purpose.
    pub plant: Option<Plant>,
}

impl SimulationSettings {
    /// A small fleet without faults.
    pub fn new(seed: u64) -> Self {
        let profile = if seed.is_multiple_of(2) { Profile::Thaali } else { Profile::Harwick };
        let mut operators = OperatorSettings::new(profile, Vec::new(), 0);
        (operators.change_every_ms, operators.drain_every_ms, operators.drain_for_ms) = (4_000, 9_000, 8_000);
        (operators.evacuate_every_ms, operators.evacuate_for_ms) = (25_000, 7_000);
        SimulationSettings {
            seed,
            profile,
            callers: CallerSettings::new(profile, Vec::new(), 0),
            operators,
            plant: None,
            schedulers: 3,
            gateways: 3,
            workers: 9,
            load_from_ms: 0,
            held_up_ratio: HELD_UP_RATIO,
            load_ms: 40_000,
            rate: 0.3,
            settle_ms: 40_000,
            faults: Vec::new(),
            outage_ms: 12_000,
            election_timeout_ms: 1_000,
            most_events: MOST_EVENTS,
            step_cost: None,
            log_bytes: None,
            leased: false,
            most_ends_listed: MOST_ENDS_LISTED,
        }
    }

    /// A small fleet with so many faults drawn from the seed. Faults overlap, so that outages have no bound.
    pub fn chaos(seed: u64, faults: usize) -> Self {
        let mut s = Self::new(seed);
        if seed.is_multiple_of(3) {
            (s.schedulers, s.gateways) = (5, 4);
        }
        s.load_ms = 60_000;
        s.outage_ms = s.load_ms;
        s.faults = fault_plan(&s, faults, 4_000, s.load_ms - 2_000);
        s
    }

    /// Many gangs that end together, at workers that take leases: again and again a gateway is cut off from the schedulers for a moment,
    /// so that what it has to tell piles up, while a worker dies or falls silent that another gateway holds.
    pub fn gangs_that_end_together(seed: u64) -> Self {
        let mut s = Self::new(seed);
        s.leased = true;
        (s.load_ms, s.settle_ms) = (40_000, 50_000);
        s.outage_ms = s.load_ms;
        (s.callers.together_share, s.callers.gang_share, s.callers.time_scale) = (1.0, Some(1.0), GANG_TIME_SCALE);
        s.rate = 0.5;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x9a79);
        for at in (4_000..s.load_ms - 4_000).step_by(GANG_TROUBLE_EVERY_MS as usize) {
            let (gateway, worker) = (rng.random_range(0..s.gateways), rng.random_range(0..s.workers));
            let cut = Fault::GatewayCutFromCore { gateway, one_way: rng.random_bool(0.3), for_ms: rng.random_range(600..2_400) };
            s.faults.push((at, cut));
            let after = at + rng.random_range(100..1_500);
            s.faults.push((
                after,
                match rng.random_range(0..9) {
                    0..4 => Fault::GangTorn { away_ms: rng.random_range(20..300), for_ms: rng.random_range(600..2_400) },
                    4 => Fault::WorkerDies { worker, away_ms: rng.random_range(50..1_000) },
                    5 => {
                        let behaviour = Behaviour { cut_off: true, ..Behaviour::default() };
                        Fault::WorkerErrs { worker, behaviour, for_ms: rng.random_range(6_000..14_000) }
                    }
                    6 => {
                        let behaviour = Behaviour { fail_ratio: 0.5, ..Behaviour::default() };
                        Fault::WorkerErrs { worker, behaviour, for_ms: rng.random_range(2_000..6_000) }
                    }
                    7 => Fault::LeaderLeaves { for_ms: rng.random_range(300..1_500) },
                    _ => Fault::LeaderCut { one_way: rng.random_bool(0.5), for_ms: rng.random_range(300..2_500) },
                },
            ));
        }
        s
    }

    /// The faults of [`Self::chaos`] with operators who take queues out of the tree and put them in again, as jobs of theirs run and end, and
    /// a run that lasts longer than any finished job is kept where nothing was promised.
    pub fn queues_out_and_in(seed: u64, faults: usize) -> Self {
        let mut s = Self::chaos(seed, faults);
        s.operators.change_every_ms = QUEUES_CHANGE_EVERY_MS;
        (s.operators.queue_out_share, s.operators.invalid_share, s.operators.race_share) = (0.7, 0.0, 0.0);
        s.callers.time_scale = SHORT_TASKS_TIME_SCALE;
        s.settle_ms = QUEUES_SETTLE_MS;
        s
    }

    /// The faults of [`Self::leased_chaos`] with short tasks at workers that list few ends at once, so that a list is cut whenever one isn't
    /// heard for a moment.
    pub fn cut_lists(seed: u64, faults: usize) -> Self {
        let mut s = Self::leased_chaos(seed, faults);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xc07);
        s.most_ends_listed = rng.random_range(FEW_ENDS_LISTED);
        s.callers.time_scale = SHORT_TASKS_TIME_SCALE;
        for at in (UNHEARD_EVERY_MS..s.load_ms).step_by(UNHEARD_EVERY_MS as usize) {
            let (gateway, for_ms) = (rng.random_range(0..s.gateways), rng.random_range(800..2_500));
            s.faults.push((at, Fault::GatewayCutFromWorkers { gateway, for_ms }));
        }
        s
    }

    /// The faults of [`Self::leased_chaos`] with a log that takes little at a time on slow disks, so that it refuses batches again and
    /// again, and with handovers, during which it refuses all.
    pub fn full_log(seed: u64, faults: usize) -> Self {
        let mut s = Self::leased_chaos(seed, faults);
        s.log_bytes = Some(FULL_LOG_BYTES);
        s.faults
            .extend((0..s.schedulers).map(|scheduler| (0, Fault::SlowDisk { scheduler, sync_ms: FULL_LOG_SYNC_MS, for_ms: s.load_ms })));
        for at in (HANDOVER_EVERY_MS..s.load_ms).step_by(HANDOVER_EVERY_MS as usize) {
            s.faults.push((at, Fault::LeaderLeaves { for_ms: HANDOVER_EVERY_MS / 8 }));
        }
        s.callers.time_scale = GANG_TIME_SCALE;
        s
    }

    /// The faults of [`Self::chaos`] with workers that take leases, orders that are carried out late, and gateways that stand still or are cut off
    /// from all one after another.
    pub fn leased_chaos(seed: u64, faults: usize) -> Self {
        let mut s = Self::chaos(seed, faults);
        s.leased = true;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x1ea5ed);
        s.faults.push((LATE_ORDERS_FROM_MS, Fault::LateOrders { ratio: rng.random_range(0.0..0.5), for_ms: s.load_ms }));
        for n in 0..GATEWAYS_TROUBLED {
            let at = LATE_ORDERS_FROM_MS + (s.load_ms - LATE_ORDERS_FROM_MS) * n / GATEWAYS_TROUBLED + rng.random_range(0..2_000);
            let (gateway, for_ms) = (rng.random_range(0..s.gateways), rng.random_range(3_500..12_000));
            s.faults.push((
                at,
                match rng.random_bool(0.5) {
                    true => Fault::GatewayFreeze { gateway, for_ms },
                    false => Fault::GatewayCutFromAll { gateway, for_ms },
                },
            ));
        }
        s
    }
}

/// Ends that a worker lists at once, as on the users' platform.
const MOST_ENDS_LISTED: usize = 500;
/// Ends that a worker lists at once where lists are to be cut.
const FEW_ENDS_LISTED: std::ops::RangeInclusive<usize> = 1..=6;
/// How long tasks run there, in times the profile's.
const SHORT_TASKS_TIME_SCALE: f64 = 0.15;
/// Between two times at which a gateway hears none of its workers there.
const UNHEARD_EVERY_MS: Millis = 3_000;
/// Between two changes of the tree where queues leave and return.
const QUEUES_CHANGE_EVERY_MS: Millis = 2_000;
/// How long is waited there for jobs to be forgotten early.
const QUEUES_SETTLE_MS: Millis = 90_000;
/// What a log takes that refuses batches again and again.
const FULL_LOG_BYTES: usize = 4 << 10;
/// How long its disks take for a sync.
const FULL_LOG_SYNC_MS: Millis = 120;
/// Between two handovers there.
const HANDOVER_EVERY_MS: Millis = 7_000;
/// How long gangs that end together work, in times the profile's.
const GANG_TIME_SCALE: f64 = 0.15;
/// Between two losses of a gateway's way to the schedulers, with a worker that dies meanwhile.
const GANG_TROUBLE_EVERY_MS: Millis = 2_500;
/// When the first orders are carried out late.
const LATE_ORDERS_FROM_MS: Millis = 4_000;
/// Gateways that stand still or are cut off in a run with leases.
const GATEWAYS_TROUBLED: u64 = 6;
/// Share of starts whose executor is held up, where a run does not say otherwise.
const HELD_UP_RATIO: f64 = 0.02;
/// Events of the longest runs, many times over.
const MOST_EVENTS: u64 = 5_000_000;
