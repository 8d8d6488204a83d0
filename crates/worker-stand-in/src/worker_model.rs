use crate::prelude::*;

/// Ends that a worker with a lease lists at once where nothing else is said.
const MOST_ENDS_LISTED: usize = 500;
/// Orders that pile up in front of a frozen worker; more are lost.
const PILED_UP: usize = 4_096;

/// A worker without sockets and clocks: inputs go in with the time, effects come out.
///
/// ```
/// use worker_stand_in::{Behaviour, Reach, WorkerIdentity, WorkerInput, WorkerModel};
/// let mut w = WorkerModel::new(WorkerIdentity::example("w1").registration("boot-1"), Behaviour::default(), 7);
/// w.step(0, WorkerInput::Tick);
/// w.step(5, WorkerInput::Behave(Behaviour { frozen_until: Some(900), ..Behaviour::default() }));
/// assert_eq!((w.reach(), w.next_wake()), (Reach::Frozen, Some(900)));
/// w.step(900, WorkerInput::Tick);
/// assert_eq!(w.reach(), Reach::Serving);
/// ```
pub struct WorkerModel {
    pub(crate) identity: RegisterWorker,
    pub(crate) behaviour: Behaviour,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) reach: Reach,
    known: bool,
    frozen_since: Millis,
    away_until: Millis,
    pub(crate) runs: Vec<Run>,
    /// Attempts that never ran and never will.
    pub(crate) void: BTreeSet<AttemptId>,
    pub(crate) ended: BTreeMap<AttemptId, EndedAttempt>,
    /// Jobs of the ended attempts.
    pub(crate) job_names: BTreeMap<AttemptId, Name>,
    pub(crate) remembered: VecDeque<EndedAttempt>,
    pub(crate) change: u64,
    pub(crate) holds: Vec<WaitingHold>,
    /// Orders in front of a frozen worker, each with the time it arrived.
    piled_up: VecDeque<(Millis, WorkerInput)>,
    pub(crate) registration: Registration,
    /// Its lease, if it runs work only while that lasts.
    pub(crate) lease: Option<RunLease>,
    /// With a lease: so many ends does an answer list at once, those with the lowest numbers.
    pub(crate) most_ends_listed: usize,
    pub(crate) effects: Vec<WorkerEffect>,
}

impl WorkerModel {
    /// A worker that has just booted.
    pub fn new(identity: RegisterWorker, behaviour: Behaviour, seed: u64) -> Self {
        WorkerModel {
            lease: identity.leased.then(|| RunLease::drawn(seed)),
            identity,
            behaviour,
            rng: ChaCha8Rng::seed_from_u64(seed),
            reach: reach_chart().initial(),
            known: false,
            frozen_since: 0,
            away_until: 0,
            runs: Vec::new(),
            void: BTreeSet::new(),
            ended: BTreeMap::new(),
            job_names: BTreeMap::new(),
            remembered: VecDeque::new(),
            change: 1,
            holds: Vec::new(),
            piled_up: VecDeque::new(),
            registration: Registration::default(),
            most_ends_listed: MOST_ENDS_LISTED,
            effects: Vec::new(),
        }
    }

    /// The same worker, whose answers hold so many ends.
    pub fn listing_at_most(self, most_ends_listed: usize) -> Self {
        WorkerModel { most_ends_listed, ..self }
    }

    /// How it registers now.
    pub fn identity(&self) -> &RegisterWorker {
        &self.identity
    }

    /// How it errs now.
    pub fn behaviour(&self) -> &Behaviour {
        &self.behaviour
    }

    /// Whether it can be reached.
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Attempts that run now.
    pub fn running(&self) -> Vec<AttemptId> {
        let mut v: Vec<AttemptId> = self.runs.iter().filter(|r| r.runs()).map(|r| r.attempt).collect();
        v.sort_unstable();
        v
    }

    /// When it wants a tick at the latest, if no other input comes.
    pub fn next_wake(&self) -> Option<Millis> {
        match self.reach {
            Reach::Frozen | Reach::FrozenCutOff => self.behaviour.frozen_until,
            Reach::Away | Reach::AwayCutOff => Some(self.away_until),
            Reach::CutOff => self.runs.iter().filter_map(Run::due).chain(self.lapse_due()).min(),
            Reach::Serving => {
                let holds = self.holds.iter().map(|h| h.until);
                let runs = self.runs.iter().filter_map(Run::due);
                runs.chain(self.lapse_due()).chain(holds).chain([self.registration.due()]).min()
            }
        }
    }

    /// Takes one input. Effects come in the order in which they happened.
    pub fn step(&mut self, now: Millis, input: WorkerInput) -> Vec<WorkerEffect> {
        if !self.known {
            self.known = true;
            self.boot_lease(now);
            self.registration = Registration::restart(now, &mut self.rng);
            let i = &self.identity;
            let (name, kind, service, zone, rack) = (i.name.clone(), i.kind.clone(), i.service.clone(), i.zone.clone(), i.rack.clone());
            let (cpu_millis, memory_mb) = (i.cpu_millis, i.memory_mb);
            self.observe(Observation::WorkerKnown { name, cpu_millis, memory_mb, kind, service, zone, rack });
            self.behave(now, self.behaviour.clone(), &Behaviour::default());
        }
        self.wake(now);
        match input {
            WorkerInput::Behave(b) => {
                let old = std::mem::replace(&mut self.behaviour, b);
                self.behave(now, self.behaviour.clone(), &old);
            }
            WorkerInput::Die { boot_id, away_ms } => self.die(now, boot_id, away_ms),
            WorkerInput::Registered(ok) => self.registration.answered(now, ok, &mut self.rng),
            WorkerInput::MemberEnds { attempt, outcome } => self.member_ends(now, attempt, outcome),
            WorkerInput::Tick => {}
            order => self.take_or_lose(now, order),
        }
        self.wake(now);
        self.advance(now);
        self.answer_holds(now);
        if self.reach == Reach::Serving {
            if !self.holds.is_empty() {
                self.registration.held(now);
            }
            if self.registration.send(now) {
                self.effects.push(WorkerEffect::Register(self.identity.clone()));
            }
        }
        std::mem::take(&mut self.effects)
    }

    pub(crate) fn observe(&mut self, o: Observation) {
        self.effects.push(WorkerEffect::Observe(o));
    }

    /// Follows the chart.
    fn on(&mut self, event: ReachEvent) {
        let Some(next) = reach_chart().next(self.reach, event) else { return };
        let before = std::mem::replace(&mut self.reach, next);
        let out = next != Reach::Serving;
        if out != (before != Reach::Serving) {
            self.observe(Observation::WorkerUnreachable { worker: self.identity.name.clone(), on: out });
        }
    }

    /// Thaws or returns when it is time to.
    fn wake(&mut self, now: Millis) {
        if self.reach.is_away() && now >= self.away_until {
            self.on(ReachEvent::Return);
            self.registration = Registration::restart(now, &mut self.rng);
        }
        if matches!(self.reach, Reach::Frozen | Reach::FrozenCutOff) && self.behaviour.frozen_until.is_none_or(|t| now >= t) {
            self.behaviour.frozen_until = None;
            self.on(ReachEvent::Thaw);
            let stood_still = now.saturating_sub(self.frozen_since);
            for r in &mut self.runs {
                if let Phase::Running { end_at: Some(t), .. } = &mut r.phase {
                    *t += stood_still;
                }
            }
            for (arrived, order) in std::mem::take(&mut self.piled_up) {
                self.take(now, arrived, order);
            }
        }
    }

    /// Turns a change of behaviour into events.
    fn behave(&mut self, now: Millis, new: Behaviour, old: &Behaviour) {
        if new.cut_off != old.cut_off {
            self.on(if new.cut_off { ReachEvent::Cut } else { ReachEvent::Heal });
            if new.cut_off {
                self.silence_all();
            }
        }
        if self.reach.is_away() {
            // Nothing is there that could stand still.
            self.behaviour.frozen_until = None;
        }
        if new.frozen_until.is_some_and(|t| t > now) && self.reach.moves() {
            self.frozen_since = now;
            self.on(ReachEvent::Freeze);
        }
        if new.draining != old.draining {
            self.change += 1;
            self.observe(Observation::DrainSent { worker: self.identity.name.clone(), on: new.draining });
        }
    }

    /// Whatever waits for an answer gets none.
    fn silence_all(&mut self) {
        let starts = self.runs.iter_mut().filter_map(|r| match &mut r.phase {
            Phase::Ordered { token, .. } => token.take(),
            Phase::Running { .. } => None,
        });
        let tokens: Vec<Token> = starts.chain(std::mem::take(&mut self.holds).into_iter().map(|h| h.token)).collect();
        self.effects.extend(tokens.into_iter().map(|token| WorkerEffect::Silence { token }));
    }

    /// The process ends, and all it knew with it.
    fn die(&mut self, now: Millis, boot_id: String, away_ms: Millis) {
        self.silence_all();
        for (_, order) in std::mem::take(&mut self.piled_up) {
            self.lose(&order);
        }
        let (worker, boot) = (self.identity.name.clone(), self.identity.boot_id.clone());
        for r in std::mem::take(&mut self.runs) {
            if r.runs() {
                let (worker, boot) = (worker.clone(), boot.clone());
                self.observe(Observation::RunLost { worker, boot, attempt: r.attempt, job_name: r.job_name });
                self.member_left(r.attempt, r.payload);
            }
        }
        for e in std::mem::take(&mut self.ended).into_values() {
            let (worker, boot, job_name) = (worker.clone(), boot.clone(), self.job_names.remove(&e.attempt).unwrap_or_default());
            self.observe(Observation::ResultLost { worker, boot, attempt: e.attempt, job_name, outcome: e.outcome });
        }
        self.void.clear();
        self.remembered.clear();
        self.change = 1;
        if self.identity.leased {
            // Each life of such a worker has a name of its own.
            self.identity.name.clone_from(&boot_id);
            self.known = false;
        }
        self.identity.boot_id = boot_id;
        self.behaviour.frozen_until = None;
        if std::mem::take(&mut self.behaviour.draining) {
            // The new process will not say that it drains: that ends it.
            self.observe(Observation::DrainSent { worker, on: false });
        }
        self.away_until = now + away_ms;
        self.on(ReachEvent::Die);
    }

    /// An order arrives, piles up, or is lost on its way.
    fn take_or_lose(&mut self, now: Millis, order: WorkerInput) {
        match self.reach {
            Reach::Serving => self.take(now, now, order),
            Reach::Frozen if self.piled_up.len() < PILED_UP => self.piled_up.push_back((now, order)),
            _ => self.lose(&order),
        }
    }

    fn lose(&mut self, order: &WorkerInput) {
        if let WorkerInput::Start { token, .. } | WorkerInput::Stop { token, .. } | WorkerInput::Hold { token, .. } = order {
            self.effects.push(WorkerEffect::Silence { token: *token });
        }
    }

    fn take(&mut self, now: Millis, arrived: Millis, order: WorkerInput) {
        if let Some(refusal) = self.refuses(&order) {
            return self.effects.push(refusal);
        }
        match order {
            WorkerInput::Stop { token, order } if self.lease.is_some() => self.leased_stop(now, token, order.attempt),
            WorkerInput::Hold { token, order } if self.lease.is_some() => self.leased_hold(now, token, &order),
            WorkerInput::Start { token, order } => self.start(now, arrived, token, order),
            WorkerInput::Stop { token, order } => self.stop(now, token, order.attempt),
            WorkerInput::Hold { token, order } => self.hold(now, token, order),
            WorkerInput::Registered(_)
            | WorkerInput::Behave(_)
            | WorkerInput::Die { .. }
            | WorkerInput::MemberEnds { .. }
            | WorkerInput::Tick => {}
        }
    }

    pub(crate) fn hits(&mut self, ratio: f64) -> bool {
        ratio > 0.0 && self.rng.random_bool(ratio.min(1.0))
    }

    /// Begins and ends what is due; ends first, so that room is given back before it is taken.
    pub(crate) fn advance(&mut self, now: Millis) {
        while self.reach.moves() {
            self.lapse(now);
            let due = |r: &Run| r.due().is_some_and(|t| t <= now);
            let ended = self.runs.iter().position(|r| r.runs() && due(r));
            if let Some(i) = ended {
                let r = self.runs.remove(i);
                self.member_left(r.attempt, r.payload);
                if let Phase::Running { started, outcome, .. } = r.phase {
                    self.end(now, r.attempt, r.job_name, started, outcome);
                }
            } else if let Some(i) = self.runs.iter().position(due) {
                self.begin(now, i);
            } else {
                return;
            }
        }
    }

    fn begin(&mut self, now: Millis, i: usize) {
        if !self.may_begin(now, i) {
            let r = self.runs.remove(i);
            if let Phase::Ordered { token, .. } = r.phase {
                self.start_answer(now, token, r.attempt, StartResult::Void);
            }
            return;
        }
        let fails = self.hits(self.behaviour.fail_ratio);
        let stalls = self.hits(self.behaviour.stall_ratio);
        let b = &self.behaviour;
        let r = &mut self.runs[i];
        let ms = (r.payload.run_ms as f64 * b.slow_factor) as Millis;
        let (run_ms, outcome) = match (fails, stalls || r.until_cancelled) {
            (true, true) => (Some(b.fail_after_ms), Outcome::Failed),
            (true, false) => (Some(b.fail_after_ms.min(ms)), Outcome::Failed),
            (false, true) => (None, Outcome::Succeeded),
            (false, false) => (Some(ms), r.payload.outcome),
        };
        let member = r.payload.members > 0;
        let end_at = run_ms.filter(|_| !member).map(|ms| now + ms);
        let begun = Phase::Running { started: now, end_at, outcome };
        let token = match std::mem::replace(&mut r.phase, begun) {
            Phase::Ordered { token, .. } => token,
            Phase::Running { .. } => None,
        };
        let (attempt, job_name, members) = (r.attempt, r.job_name.clone(), r.payload.members);
        let (cpu_millis, memory_mb, ordered_at) = (r.cpu_millis, r.memory_mb, r.ordered_at);
        self.change += 1;
        let (worker, boot) = (self.identity.name.clone(), self.identity.boot_id.clone());
        self.observe(Observation::RunStarted { worker, boot, attempt, job_name, cpu_millis, memory_mb, ordered_at });
        self.start_answer(now, token, attempt, StartResult::Started);
        if member {
            self.effects.push(WorkerEffect::MemberCame(GangMember { attempt, members, run_ms, outcome }));
        }
    }

    /// The gang of a member is over: so is its run here.
    fn member_ends(&mut self, now: Millis, attempt: AttemptId, outcome: Outcome) {
        let Some(at) = self.runs.iter().position(|run| run.attempt == attempt && run.runs()) else { return };
        let run = self.runs.remove(at);
        if let Phase::Running { started, .. } = run.phase {
            self.end(now, run.attempt, run.job_name, started, outcome);
        }
    }

    /// A run is over: if it was a member's, its gang learns of it.
    pub(crate) fn member_left(&mut self, attempt: AttemptId, payload: TaskPayload) {
        if payload.members > 0 {
            self.effects.push(WorkerEffect::MemberLeft(attempt));
        }
    }

    pub(crate) fn end(&mut self, now: Millis, attempt: AttemptId, job_name: Name, started: Millis, outcome: Outcome) {
        self.change += 1;
        let sequence = self.count_end(attempt);
        self.ended.insert(attempt, EndedAttempt { ran_ms: now.saturating_sub(started), sequence, ..EndedAttempt::new(attempt, outcome) });
        self.job_names.insert(attempt, job_name.clone());
        let (worker, boot) = (self.identity.name.clone(), self.identity.boot_id.clone());
        self.observe(Observation::RunEnded { worker, boot, attempt, job_name, outcome });
    }
}
