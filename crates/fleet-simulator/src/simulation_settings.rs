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
    /// Whether workers run work only while their lease lasts.
    pub leased: bool,
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
            leased: false,
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

    /// The same with workers that take leases, orders that are carried out late, and gateways that stand still or are cut off
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

/// When the first orders are carried out late.
const LATE_ORDERS_FROM_MS: Millis = 4_000;
/// Gateways that stand still or are cut off in a run with leases.
const GATEWAYS_TROUBLED: u64 = 6;
/// Share of starts whose executor is held up, where a run does not say otherwise.
const HELD_UP_RATIO: f64 = 0.02;
/// Events of the longest runs, many times over.
const MOST_EVENTS: u64 = 5_000_000;
