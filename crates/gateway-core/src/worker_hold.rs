use crate::prelude::*;

/// Boots remembered as past, for each worker.
const PAST_BOOTS: usize = 8;
/// Errors in a row after which a worker counts as out of reach.
const ERRORS: u32 = 2;
/// Orders without an answer after which a worker with a lease does: what it is given meanwhile is lost until the lease lapses.
const SILENT_ORDERS: u32 = 1;

/// What a boot id says about a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BootNews {
    /// The one known.
    Same,
    /// A newer one: all that ran before has ended.
    New,
    /// One that a newer one followed.
    Past,
}

/// A hold that is out.
#[derive(Clone, Debug)]
struct OpenHold {
    order: HoldOrder,
    step: u64,
}

/// What a gateway knows of one worker from holding it.
#[derive(Clone, Debug)]
pub struct WorkerHold {
    /// Where it takes orders.
    pub address: String,
    /// Whether it is in this gateway's share.
    pub mine: bool,
    /// The assignment under which it is in the share; 0 while it isn't.
    pub assignment: u64,
    boot: String,
    boot_step: u64,
    boot_logged: bool,
    log_boot: String,
    past: VecDeque<(String, bool)>,
    change: u64,
    seen: u64,
    whole: bool,
    open: Option<OpenHold>,
    next_at: Millis,
    errors: u32,
    /// Orders without an answer since the worker last gave one.
    silent_orders: u32,
    listed: BTreeSet<AttemptId>,
    proven: BTreeMap<AttemptId, u64>,
    ended: BTreeMap<AttemptId, bool>,
    draining: Option<bool>,
    log_draining: bool,
    reachable: bool,
    /// Whether it runs work only while its lease lasts.
    pub leased: bool,
    /// Its clock and lease.
    pub lease: WorkerLease,
    ends: EndSequence,
    watch: AttemptWatch,
    lapse_told: bool,
    silence_told: bool,
    /// The next list is wanted at once.
    look_soon: bool,
    /// Until when the worker isn't asked again, since it would list the same ends at once.
    rests_until: Millis,
}

/// What a hold that leaves now may say.
#[derive(Clone, Debug)]
pub struct HoldPermit<'p> {
    /// Local time.
    pub now: Millis,
    /// The step of the core.
    pub step: u64,
    /// Bounds.
    pub settings: &'p GatewaySettings,
    /// The gateway's name.
    pub gateway: &'p str,
    /// Whether a lease may be given.
    pub may_lease: bool,
}

impl WorkerHold {
    /// Nothing known beyond the log's summary.
    pub fn new(w: &WorkerSummary) -> Self {
        WorkerHold {
            address: w.address.clone(),
            mine: false,
            assignment: 0,
            boot: w.boot_id.clone(),
            boot_step: 0,
            boot_logged: true,
            log_boot: w.boot_id.clone(),
            past: VecDeque::new(),
            change: 0,
            seen: 0,
            whole: true,
            open: None,
            next_at: 0,
            errors: 0,
            silent_orders: 0,
            listed: BTreeSet::new(),
            proven: BTreeMap::new(),
            ended: BTreeMap::new(),
            draining: None,
            log_draining: w.draining,
            reachable: w.reachable,
            leased: w.leased,
            lease: WorkerLease::default(),
            ends: EndSequence::default(),
            watch: AttemptWatch::default(),
            lapse_told: false,
            silence_told: false,
            look_soon: false,
            rests_until: 0,
        }
    }

    /// The newest boot known.
    pub fn boot(&self) -> &str {
        &self.boot
    }

    /// Takes over the log's summary, and whether it is in the share.
    pub fn update(&mut self, now: Millis, step: u64, s: &GatewaySettings, w: &WorkerSummary, mine: bool) {
        if self.address != w.address {
            self.address = w.address.clone();
            self.errors = 0;
            self.next_at = now;
        }
        self.log_draining = w.draining;
        self.log_boot.clone_from(&w.boot_id);
        self.meet(step, &w.boot_id);
        self.mark_logged(&w.boot_id);
        let assignment = if mine { w.assignment } else { 0 };
        let taken_over = mine && (!self.mine || assignment != self.assignment);
        self.assignment = assignment;
        if taken_over && self.mine {
            // It was elsewhere meanwhile, and what was told of it then may have been passed over.
            self.forget();
        }
        if taken_over {
            self.next_at = now;
            self.errors = 0;
            self.silent_orders = 0;
            self.reachable = w.reachable;
            self.lease.taken_over(now, s.others_lease());
            self.lapse_told = false;
        }
        if !mine && self.mine {
            self.forget();
        }
        self.mine = mine;
    }

    /// Forgets what a boot listed.
    fn forget(&mut self) {
        self.seen = 0;
        self.listed.clear();
        self.proven.clear();
        self.ended.clear();
        self.ends = EndSequence::default();
        self.watch.clear();
        self.draining = None;
    }

    /// The log has met a boot.
    fn mark_logged(&mut self, boot: &str) {
        if boot == self.boot {
            self.boot_logged = true;
        }
        self.past.iter_mut().filter(|p| p.0 == boot).for_each(|p| p.1 = true);
    }

    /// The boot that the log names.
    pub fn logged_boot(&self) -> &str {
        &self.log_boot
    }

    /// Where a boot stands.
    pub fn standing(&self, boot: &str) -> BootStanding {
        match self.past.iter().find(|p| p.0 == boot) {
            _ if boot == self.boot => BootStanding::Newest,
            Some((_, true)) => BootStanding::Past,
            _ => BootStanding::Unknown,
        }
    }

    /// Meets a boot id.
    pub fn meet(&mut self, step: u64, boot: &str) -> BootNews {
        if boot == self.boot {
            return BootNews::Same;
        }
        if self.past.iter().any(|b| b.0 == boot) {
            return BootNews::Past;
        }
        self.past.push_back((std::mem::replace(&mut self.boot, boot.to_owned()), std::mem::take(&mut self.boot_logged)));
        self.boot_step = step;
        if self.past.len() > PAST_BOOTS {
            self.past.pop_front();
        }
        self.change = 0;
        self.forget();
        BootNews::New
    }

    /// The log knows an attempt as running on a boot. What the last list didn't show is looked for in a whole one.
    pub fn told(&mut self, step: u64, boot: &str, a: AttemptId) {
        if boot != self.boot || self.ended.contains_key(&a) {
            return;
        }
        self.proven.entry(a).or_insert(step);
        self.whole |= !self.listed.contains(&a);
    }

    /// A worker's own answer proved a start on a boot.
    pub fn started(&mut self, step: u64, boot: &str, a: AttemptId) {
        if boot == self.boot && self.mine && !self.ended.contains_key(&a) {
            self.proven.entry(a).or_insert(step);
        }
    }

    /// An attempt's end is known.
    pub fn over(&mut self, a: AttemptId) {
        self.proven.remove(&a);
    }

    /// An ended attempt is in the log: the next hold acknowledges it.
    pub fn acknowledge(&mut self, a: AttemptId) {
        self.ends.logged(a);
        if self.ends.is_empty() {
            self.rests_until = 0;
        }
        if let Some(done) = self.ended.get_mut(&a) {
            *done = true;
        }
    }

    /// The next hold, when it is due.
    pub fn hold(&mut self, worker: &str, p: &HoldPermit<'_>) -> Option<GatewayEffect> {
        let (now, s) = (p.now, p.settings);
        let rests = now < self.rests_until && !self.look_soon;
        if !self.mine || self.open.is_some() || now < self.next_at || rests {
            return None;
        }
        let (wait_ms, give_up_after_ms) = self.hold_times(s);
        self.look_soon = false;
        // A worker that doesn't answer gets no longer lease: only then does the one it has run out.
        let may_lease = self.leased && p.may_lease && self.errors == 0;
        let lease = if may_lease { self.lease.grant(now, s.lease()) } else { None };
        let order = HoldOrder {
            worker: worker.to_owned(),
            gateway: p.gateway.to_owned(),
            seen: if std::mem::take(&mut self.whole) { 0 } else { self.seen },
            wait_ms,
            acknowledged: self.ended.iter().filter(|(_, done)| **done).map(|(a, _)| *a).collect(),
            observed: self.ends.observed(),
            lease_until_ms: lease,
            fence: self.assignment,
        };
        self.open = Some(OpenHold { order: order.clone(), step: p.step });
        self.next_at = now + s.hold_gap();
        Some(GatewayEffect::Hold { address: self.address.clone(), order, give_up_after_ms })
    }

    /// How long the worker may keep a hold, and when that is given up.
    fn hold_times(&self, s: &GatewaySettings) -> (Millis, Millis) {
        if !self.leased {
            return (s.hold_wait(), s.hold_budget());
        }
        // Its clock is wanted first of all, and after an error whether it is there at all.
        let at_once = self.lease.at_least(0).is_none() || self.errors > 0 || self.look_soon;
        let wait = if at_once { 0 } else { s.leased_wait(!self.proven.is_empty()) };
        (wait, wait + s.leased_slack())
    }

    /// Something waits for the next list.
    pub fn look_soon(&mut self) {
        self.look_soon = true;
    }

    /// The step in which the hold left that is out.
    pub fn hold_step(&self) -> Option<u64> {
        self.open.as_ref().map(|o| o.step)
    }

    /// The worker doesn't answer, and its lease is over: true once for each time that this comes about.
    pub fn take_lapse(&mut self, now: Millis) -> bool {
        let over = self.mine && self.leased && self.errors >= ERRORS && !self.lapse_told && self.lease.lapsed(now);
        self.lapse_told |= over;
        over
    }

    /// A look at the worker got no answer while it was out of reach already: true once for each time that this comes about.
    pub fn take_silence(&mut self) -> bool {
        let silent = self.mine && self.leased && !self.reachable && self.errors > 0 && !self.silence_told;
        self.silence_told |= silent;
        silent
    }

    /// The attempts that were proven to run here, and their last checkpoints; they are forgotten.
    pub fn take_proven(&mut self) -> (Vec<AttemptId>, Vec<AttemptCheckpoint>) {
        let checkpoints = self.watch.checkpoints();
        self.watch.clear();
        (std::mem::take(&mut self.proven).into_keys().collect(), checkpoints)
    }

    /// Ends are on their way to the log: until they are there, or for a while, the worker would list just them again.
    pub fn rest(&mut self, now: Millis, s: &GatewaySettings) {
        if !self.ends.is_empty() {
            self.rests_until = now + s.idle_rest();
        }
    }

    /// Looks at how far all is that runs; those that are held up are given back, once each.
    pub fn progress(&mut self, now: Millis, list: &[AttemptProgress], expected: impl Fn(AttemptId) -> Expectation) -> Vec<AttemptId> {
        self.watch.saw(now, list, expected)
    }

    /// No answer came. True when it now counts as out of reach.
    pub fn error(&mut self, now: Millis, s: &GatewaySettings, rng: &mut impl Rng) -> bool {
        let Some(open) = self.open.take() else { return false };
        self.whole |= open.order.seen == 0;
        if !self.mine {
            return false;
        }
        self.next_at = now + backoff(s.worker_backoff(), s.worker_backoff_most(), self.errors, rng);
        self.errors = self.errors.saturating_add(1);
        let lost = self.errors >= ERRORS && self.reachable;
        if lost {
            self.reachable = false;
        }
        lost
    }

    /// A boot answered an order that was sent in `sent`. If the boot known was known by then, another one is newer: a worker
    /// never goes back to an older boot. A hold, which the old one may have taken along, would tell it seconds later.
    pub fn answered_as(&mut self, step: u64, sent: u64, boot: &str) {
        if self.mine && boot != self.boot && sent > self.boot_step && !self.past.iter().any(|p| p.0 == boot) {
            self.meet(step, boot);
        }
    }

    /// A start or a stop was answered.
    pub fn order_answered(&mut self) {
        self.silent_orders = 0;
    }

    /// A start or a stop got no answer. True when the worker now counts as out of reach: a hold that it may keep for long
    /// would tell so much later.
    pub fn order_error(&mut self) -> bool {
        self.silent_orders = self.silent_orders.saturating_add(1);
        let most = if self.leased { SILENT_ORDERS } else { ERRORS };
        let lost = self.mine && self.reachable && self.silent_orders >= most;
        if lost {
            self.reachable = false;
        }
        lost
    }

    /// Compares an answer with what is known and adds what it proves; false when it is older than that.
    pub fn answer(&mut self, step: u64, a: &HoldAnswer, lists: &AttemptLists, line: &mut FactLine) -> bool {
        let Some(open) = self.open.take() else { return false };
        if !self.mine {
            return true;
        }
        self.errors = 0;
        self.silent_orders = 0;
        self.lapse_told = false;
        self.silence_told = false;
        let mut asked_seen = open.order.seen;
        if a.boot_id != self.boot && open.step < self.boot_step {
            // This hold left before the newest boot was known: an answer of another boot is an older one's.
            return false;
        }
        match self.meet(step, &a.boot_id) {
            BootNews::Past => return false,
            BootNews::New => {
                line.reachable = Some(true);
                asked_seen = 0;
            }
            BootNews::Same => {}
        }
        if !std::mem::replace(&mut self.reachable, true) {
            line.reachable = Some(true);
        }
        if a.change < self.change {
            return false;
        }
        self.change = a.change;
        self.say_draining(a.draining, line);
        if a.unchanged {
            self.drop_acknowledged(&open.order, |_| true);
            return true;
        }
        // Knowledge of a step comes before the holds of that step, hence `<=` below.
        // A list that isn't newer than the one this hold named is an older hold's: it proves what it shows, not what it lacks.
        let fresh = a.change > asked_seen;
        self.seen = a.change;
        self.fold_lists(step, a, line);
        if fresh {
            let gone: Vec<AttemptId> =
                self.proven.iter().filter(|(x, known)| **known <= open.step && lists.lack(**x)).map(|(x, _)| *x).collect();
            for x in gone {
                self.proven.remove(&x);
                line.missing.insert(x);
            }
        }
        // Proven while this hold was out: the next whole list has to show it.
        self.whole |= self.proven.keys().any(|x| !self.listed.contains(x));
        self.drop_acknowledged(&open.order, |x| lists.lack(x));
        true
    }

    /// Adds what the lists show.
    fn fold_lists(&mut self, step: u64, a: &HoldAnswer, line: &mut FactLine) {
        self.listed = a.running.iter().copied().collect();
        for &x in &a.running {
            if let Entry::Vacant(v) = self.proven.entry(x) {
                v.insert(step);
                line.started.insert(x);
            }
        }
        for e in a.ended.listed() {
            self.proven.remove(&e.attempt);
            self.ends.listed(e.sequence, e.attempt);
            if let Entry::Vacant(v) = self.ended.entry(e.attempt) {
                v.insert(false);
                line.ended.insert(e.attempt, e.clone());
            }
        }
    }

    /// The worker has seen the acknowledgements of a hold; what it may list still is kept.
    fn drop_acknowledged(&mut self, order: &HoldOrder, forgotten: impl Fn(AttemptId) -> bool) {
        for x in order.acknowledged.iter().filter(|x| forgotten(**x)) {
            self.ended.remove(x);
        }
    }

    /// What the worker says of draining, when that changed, and at first where it matters to the log.
    fn say_draining(&mut self, now_says: bool, line: &mut FactLine) {
        if self.draining.map_or(now_says || self.log_draining, |before| before != now_says) {
            line.draining = Some(now_says);
        }
        self.draining = Some(now_says);
    }
}
