use crate::prelude::*;

/// A figure of the wanted size: worked out from the slopes, and as a whole fleet of that size gave it.
#[derive(Clone, Debug, Serialize)]
pub struct WorkedOut {
    /// The role.
    pub role: Role,
    /// The quantity.
    pub quantity: Quantity,
    /// The base reading and what each variable adds to it.
    pub parts: Vec<(String, f64)>,
    /// Their sum.
    pub sum: f64,
    /// The whole fleet's figure, when it was measured.
    pub whole: Option<f64>,
}

/// Variables that add up for an idle fleet of a size.
const STATE: [Variable; 6] =
    [Variable::Workers, Variable::RunningTasks, Variable::JobsKept, Variable::Queues, Variable::Members, Variable::Gateways];

impl SlopeReport {
    /// Works the idle figures of a size out: the smallest fleet's reading and, for each variable, its slope times how much
    /// more there is. What a gateway spends on its own workers is measured with four gateways, so it is scaled to its part.
    pub fn worked_out(&self, base: &Reading, wanted: &FleetSize, whole: Option<&Reading>) -> Vec<WorkedOut> {
        let (b, w) = (&base.size, wanted);
        let more = |v: Variable| match v {
            Variable::Workers => w.workers as f64 - b.workers as f64,
            Variable::RunningTasks => w.running as f64 - b.running as f64,
            Variable::JobsKept => w.jobs_kept as f64 - b.jobs_kept as f64,
            Variable::Queues => (w.queues * w.zones) as f64 - (b.queues * b.zones) as f64,
            Variable::Members => w.members as f64 - b.members as f64,
            _ => w.gateways as f64 - b.gateways as f64,
        };
        let mut all = Vec::new();
        for role in Role::ALL {
            for quantity in Quantity::ALL {
                let Some(start) = base.figure(role, quantity) else { continue };
                let share = matches!(quantity, Quantity::WorkerMessages | Quantity::WorkerBytes);
                let mut parts = vec![("smallest fleet".to_owned(), start)];
                for v in STATE {
                    let Some(s) = self.slope(v, role, quantity) else { continue };
                    let mut part = s.fit.slope * more(v);
                    if share && v == Variable::Workers {
                        let held = |f: &FleetSize| f.workers as f64 / f.gateways as f64;
                        part = s.fit.slope * b.gateways as f64 * (held(w) - held(b));
                    }
                    if !(share && matches!(v, Variable::Gateways | Variable::Members)) {
                        parts.push((v.word().to_owned(), part));
                    }
                }
                let sum = parts.iter().map(|p| p.1).sum();
                let whole = whole.and_then(|r| r.figure(role, quantity));
                if sum != 0.0 || whole.is_some_and(|x| x != 0.0) {
                    all.push(WorkedOut { role, quantity, parts, sum, whole });
                }
            }
        }
        self.with_journal(all)
    }

    /// What a scheduler holds: its state and its log are lines, its journal has a bound that is soon reached.
    fn with_journal(&self, mut all: Vec<WorkedOut>) -> Vec<WorkedOut> {
        for role in [Role::Leader, Role::Follower] {
            let of = |q| all.iter().find(|w| w.role == role && w.quantity == q).map(|w| w.sum);
            let (Some(state), Some(log)) = (of(Quantity::State), of(Quantity::Log)) else { continue };
            let rest =
                |r: &Reading| Some(r.figure(role, Quantity::Held)? - r.figure(role, Quantity::State)? - r.figure(role, Quantity::Log)?);
            let journal = self.readings.iter().filter_map(rest).fold(0.0, f64::max);
            if let Some(w) = all.iter_mut().find(|w| w.role == role && w.quantity == Quantity::Held) {
                w.parts = vec![("state".to_owned(), state), ("log".to_owned(), log), ("journal and the rest, at most".to_owned(), journal)];
                w.sum = state + log + journal;
            }
        }
        all
    }
}

/// Gateways, members and starts a second of the fleets that the slopes of load are measured with.
const LOADED: (f64, f64, f64) = (8.0, 3.0, 10.0);

/// Gateways of the fleets that changes are measured with.
const GATEWAYS_CHANGED: f64 = 4.0;
/// Workers and queues of these fleets.
const LOADED_FLEET: (f64, f64) = (104.0, 32.0);
/// Running tasks that come with each of these workers.
const TASKS_A_WORKER: f64 = 15.0;

impl SlopeReport {
    /// Works the busy figures of a size out from the idle ones: what starts, jobs and changes add. A leader sends what its
    /// followers and gateways receive, and the other way round.
    pub fn worked_out_busy(&self, idle: &[WorkedOut], wanted: &FleetSize, whole: Option<&Reading>) -> Vec<WorkedOut> {
        let starts = wanted.jobs_per_s * f64::from(wanted.tasks_per_job);
        // The slope of starts is taken with jobs of ten tasks.
        let more_jobs = wanted.jobs_per_s - starts / 10.0;
        let slope = |v, r, q| self.slope(v, r, q).map_or(0.0, |s| s.fit.slope);
        let mut all: Vec<WorkedOut> = Vec::new();
        for w in idle {
            let (r, q) = (w.role, w.quantity);
            let jobs = slope(Variable::Jobs, r, q) - slope(Variable::Starts, r, q);
            // What is ordered, reported and asked is shared out among the gateways; the news of jobs goes to each.
            let shared = r == Role::Gateway
                && matches!(
                    q,
                    Quantity::WorkerMessages | Quantity::WorkerBytes | Quantity::Sent | Quantity::SentBytes | Quantity::SentWireBytes
                );
            let of_gateways = |measured: f64| if shared { measured / wanted.gateways as f64 } else { 1.0 };
            let share = of_gateways(LOADED.0);
            let mut parts = vec![
                ("idle".to_owned(), w.sum),
                ("starts".to_owned(), slope(Variable::Starts, r, q) * starts * share),
                ("more jobs".to_owned(), jobs * more_jobs * share),
                ("changes".to_owned(), slope(Variable::Changes, r, q) * wanted.changes_per_s * 60.0 * of_gateways(GATEWAYS_CHANGED)),
            ];
            if r == Role::Leader && q == Quantity::Cpu {
                let load = starts / LOADED.2;
                let gateways = slope(Variable::GatewaysLoaded, r, q) - slope(Variable::Gateways, r, q);
                parts.push(("more gateways under load".to_owned(), gateways * (wanted.gateways as f64 - LOADED.0) * load));
                let members = slope(Variable::Members, r, q);
                let workers = slope(Variable::WorkersLoaded, r, q)
                    - slope(Variable::Workers, r, q)
                    - TASKS_A_WORKER * slope(Variable::RunningTasks, r, q);
                parts.push(("more workers under load".to_owned(), workers * (wanted.workers as f64 - LOADED_FLEET.0) * load));
                let queues = slope(Variable::QueuesLoaded, r, q) - slope(Variable::Queues, r, q);
                parts.push(("more queues under load".to_owned(), queues * ((wanted.queues * wanted.zones) as f64 - LOADED_FLEET.1) * load));
                parts.push(("more members under load".to_owned(), members * (wanted.members as f64 - LOADED.1) * (load - 1.0)));
            }
            let sum = parts.iter().map(|p| p.1).sum();
            all.push(WorkedOut { role: r, quantity: q, parts, sum, whole: whole.and_then(|x| x.figure(r, q)) });
        }
        let of = |all: &[WorkedOut], r, q| all.iter().find(|w| w.role == r && w.quantity == q).map_or(0.0, |w| w.sum);
        let links = |r, q| {
            let n = if r == Role::Follower { wanted.members - 1 } else { wanted.gateways } as f64;
            n * of(&all, r, q)
        };
        let pairs = [
            (Quantity::Sent, Quantity::Received),
            (Quantity::SentBytes, Quantity::ReceivedBytes),
            (Quantity::Received, Quantity::Sent),
            (Quantity::ReceivedBytes, Quantity::SentBytes),
        ];
        let sums: Vec<(Quantity, f64, f64)> =
            pairs.iter().map(|(l, o)| (*l, links(Role::Follower, *o), links(Role::Gateway, *o))).collect();
        for (q, followers, gateways) in sums {
            if let Some(w) = all.iter_mut().find(|w| w.role == Role::Leader && w.quantity == q) {
                w.parts = vec![("to or from followers".to_owned(), followers), ("to or from gateways".to_owned(), gateways)];
                w.sum = followers + gateways;
            }
        }
        // What no slope is linear in across members and gateways is left to the whole fleet's run.
        all.retain(|w| !(w.role == Role::Leader && w.quantity == Quantity::SentWireBytes));
        self.with_journal(all)
    }
}

impl fmt::Display for WorkedOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts: Vec<String> = self.parts.iter().filter(|p| p.1.abs() >= 0.05).map(|(n, x)| format!("{n} {x:.0}")).collect();
        let whole = self.whole.map_or("-".to_owned(), |x| format!("{x:.0}"));
        write!(f, "| {} | {} | {} | {:.0} | {whole} |", self.role.word(), self.quantity, parts.join(", "), self.sum)
    }
}
