use crate::prelude::*;

/// What of some events can't wait for the next flush: orders for the gateways that hold the workers, and ends of jobs, which callers
/// ask for.
#[derive(Clone, Debug, Default)]
pub struct UrgentNews<'s> {
    /// A job ended: all gateways get all news.
    job_ended: bool,
    /// Something that all gateways act on.
    for_all: bool,
    /// Gateways with orders.
    holders: BTreeSet<&'s Name>,
}

impl<'s> UrgentNews<'s> {
    /// Sorts events out.
    pub fn of(state: &'s ClusterState, events: impl Iterator<Item = impl Borrow<Event>>) -> Self {
        let tables = &state.tables;
        let holder = |worker: &WorkerIndex| tables.workers.get(worker).and_then(|worker| worker.gateway.as_ref());
        let mut news = UrgentNews::default();
        for event in events {
            let ordered = match event.borrow() {
                Event::AttemptIntended { worker, .. }
                | Event::WorkerKnown { worker, .. }
                | Event::WorkerReborn { worker, .. }
                | Event::WorkerShared { worker, .. }
                | Event::WorkerDraining { worker, .. }
                | Event::OrphanSeen { worker, .. } => holder(worker),
                Event::StopWanted { task, .. } => tables.attempts.get(task).and_then(|attempt| holder(&attempt.worker)),
                Event::ConfigurationChanged { .. } | Event::ZoneEvacuated { .. } => {
                    news.for_all = true;
                    None
                }
                Event::JobOver { .. } => {
                    news.job_ended = true;
                    None
                }
                _ => None,
            };
            news.holders.extend(ordered);
        }
        news
    }

    /// Which news a gateway is to get now.
    pub fn wanted(&self, gateway: &Name) -> Flush {
        match (self.job_ended, self.for_all || self.holders.contains(gateway)) {
            (true, _) => Flush::All,
            (false, true) => Flush::Orders,
            (false, false) => Flush::Later,
        }
    }
}
