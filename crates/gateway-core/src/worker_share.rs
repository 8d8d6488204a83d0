use crate::prelude::*;

/// All workers known, those of this gateway's share among them.
#[derive(Clone, Debug, Default)]
pub struct WorkerShare {
    all: BTreeMap<Name, WorkerHold>,
}

impl WorkerShare {
    /// A worker of the share.
    pub fn mine(&self, worker: &str) -> Option<&WorkerHold> {
        self.all.get(worker).filter(|w| w.mine)
    }

    /// A worker of the share, to be changed.
    pub fn mine_mut(&mut self, worker: &str) -> Option<&mut WorkerHold> {
        self.all.get_mut(worker).filter(|w| w.mine)
    }

    /// The silent workers of the share whose lease has just lapsed: each once for each time that this comes about.
    pub fn take_lapses(&mut self, now: Millis) -> Vec<Name> {
        let lapsed = self.all.iter_mut().filter(|(_, w)| w.mine).filter_map(|(n, w)| w.take_lapse(now).then(|| n.clone()));
        lapsed.collect()
    }

    /// Any worker.
    pub fn get_mut(&mut self, worker: &str) -> Option<&mut WorkerHold> {
        self.all.get_mut(worker)
    }

    /// The newest boot known of a worker.
    pub fn boot(&self, worker: &str) -> Option<String> {
        self.all.get(worker).map(|w| w.boot().to_owned())
    }

    /// The assignment under which a worker is held; 0 while it isn't in the share.
    pub fn assignment(&self, worker: &str) -> u64 {
        self.all.get(worker).map_or(0, |w| w.assignment)
    }

    /// Where a boot of a worker stands.
    pub fn standing(&self, worker: &str, boot: &str) -> BootStanding {
        self.all.get(worker).map_or(BootStanding::Unknown, |w| w.standing(boot))
    }

    /// The boot that the log names for a worker.
    pub fn logged_boot(&self, worker: &str) -> Option<String> {
        self.all.get(worker).map(|w| w.logged_boot().to_owned())
    }

    /// How many are in the share.
    pub fn len(&self) -> usize {
        self.all.values().filter(|w| w.mine).count()
    }

    /// Whether the share is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes over what an update says of workers and of the attempts on them.
    pub fn fold(&mut self, now: Millis, step: u64, s: &GatewaySettings, gateway: &str, u: &ViewUpdate) {
        for n in &u.workers_removed {
            self.all.remove(n);
        }
        let mut boots = BTreeMap::new();
        for w in &u.workers {
            let mine = w.gateway.as_deref() == Some(gateway);
            self.all.entry(w.name.clone()).or_insert_with(|| WorkerHold::new(w)).update(now, step, s, w, mine);
            boots.insert(w.name.as_str(), w.boot_id.as_str());
        }
        for (w, a) in &u.held {
            if let (Some(h), Some(boot)) = (self.all.get_mut(w).filter(|h| h.mine), boots.get(w.as_str())) {
                h.told(step, boot, *a);
            }
        }
    }

    /// Forgets workers that a whole view didn't list.
    pub fn keep(&mut self, listed: &BTreeSet<Name>) {
        self.all.retain(|n, _| listed.contains(n));
    }

    /// One worker's hold, if it is due.
    pub fn hold(&mut self, worker: &str, p: &HoldPermit<'_>, fx: &mut Vec<GatewayEffect>) -> u64 {
        let next = self.all.get_mut(worker).and_then(|w| w.hold(worker, p));
        let n = u64::from(next.is_some());
        fx.extend(next);
        n
    }

    /// The holds that are due.
    pub fn holds(&mut self, p: &HoldPermit<'_>, fx: &mut Vec<GatewayEffect>) -> u64 {
        let before = fx.len();
        fx.extend(self.all.iter_mut().filter_map(|(n, w)| w.hold(n, p)));
        (fx.len() - before) as u64
    }
}
