//! What workers answer, and what follows from their silence.

use crate::prelude::*;

impl GatewayCore {
    /// Tells of workers that are silent and whose lease is over: what ran there is lost.
    pub(crate) fn watch_leases(&mut self) {
        if self.settings.lease_most_ms == 0 {
            return;
        }
        for worker in self.share.take_lapses(self.now) {
            self.counters.leases_lapsed += 1;
            self.lose_attempts(&worker, false);
        }
    }

    /// Tells that nothing of a worker's attempts runs any more: its lease has lapsed, or its life is over.
    pub(crate) fn lose_attempts(&mut self, worker: &str, gone: bool) {
        let Some(h) = self.share.get_mut(worker) else { return };
        let (boot, assignment) = (h.boot().to_owned(), h.assignment);
        let (mut lost, checkpoints) = h.take_proven();
        lost.extend(self.starts.sent_to(worker));
        lost.extend(self.stops.open_at(worker));
        for a in &lost {
            self.starts.proof(*a, OrderEvent::Void);
            self.stops.answered(*a);
            self.gangs.gone(*a);
        }
        let line = self.facts.line(worker, &boot, assignment);
        line.lost.extend(lost);
        line.checkpoints.extend(checkpoints.into_iter().map(|c| (c.attempt, c.checkpoint)));
        line.lapsed |= !gone;
        line.gone |= gone;
    }

    /// Another life of a worker answered in its place.
    pub(crate) fn other_life(&mut self, worker: &str) {
        if self.share.mine(worker).is_some_and(|h| h.leased) {
            self.counters.lives_over += 1;
            self.lose_attempts(worker, true);
        }
    }

    /// A start or a stop is over: an answer shows that the worker is there, silence counts against it, and an order that never
    /// left says nothing.
    pub(crate) fn order_over<A>(&mut self, worker: &str, reply: &Reply<A>) {
        let Some(h) = self.share.get_mut(worker) else { return };
        match reply {
            Reply::Answer(_) | Reply::OtherLife => h.order_answered(),
            Reply::Unknown if h.order_error() => {
                self.facts.line(worker, h.boot(), h.assignment).reachable = Some(false);
            }
            Reply::Unknown | Reply::NotSent => {}
        }
    }

    /// What came of a start.
    pub(crate) fn start_answered(&mut self, a: AttemptId, reply: Reply<StartAnswer>) {
        let (event, boot) = match &reply {
            Reply::Answer(r) if r.attempt == a && r.result == StartResult::Started => (Some(OrderEvent::Proof), Some(r.boot_id.as_str())),
            Reply::Answer(r) if r.attempt == a => (Some(OrderEvent::Void), Some(r.boot_id.as_str())),
            Reply::NotSent => (Some(OrderEvent::NotSent), None),
            Reply::OtherLife => (Some(OrderEvent::Void), None),
            Reply::Answer(_) | Reply::Unknown => {
                self.counters.starts_unknown += 1;
                (None, None)
            }
        };
        if let Some(worker) = self.starts.worker(a) {
            self.order_over(&worker, &reply);
            if let Reply::Answer(r) = &reply {
                self.clock_shown(&worker, r.clock_ms);
            }
            if matches!(reply, Reply::OtherLife) {
                self.other_life(&worker);
            }
        }
        let Some(worker) = self.starts.answered(a, event) else { return };
        let Some(known) = self.share.boot(&worker) else { return };
        if boot.is_some_and(|b| b != known) {
            // Another boot than the newest known: a hold's list or a stop proves it, once it is clear which came first.
            return;
        }
        let line = self.facts.line(&worker, &known, self.share.assignment(&worker));
        if event != Some(OrderEvent::Proof) {
            line.voided.insert(a);
            return;
        }
        line.started.insert(a);
        if let Some(h) = self.share.get_mut(&worker) {
            h.started(self.steps, &known, a);
        }
    }

    /// What came of a stop.
    pub(crate) fn stop_answered(&mut self, a: AttemptId, worker: &str, reply: Reply<StopAnswer>) {
        if let (Reply::Answer(r), Some(sent)) = (&reply, self.stops.sent_step(a))
            && let Some(h) = self.share.get_mut(worker)
        {
            h.answered_as(self.steps, sent, &r.boot_id);
        }
        let known = self.share.boot(worker);
        self.order_over(worker, &reply);
        if matches!(reply, Reply::OtherLife) {
            return self.other_life(worker);
        }
        if let Reply::Answer(r) = &reply {
            self.clock_shown(worker, r.clock_ms);
        }
        let Some(r) = reply.answer().filter(|r| r.attempt == a && known.as_ref() == Some(&r.boot_id)) else {
            self.stops.again(self.now, &self.settings, a, &mut self.rng);
            return;
        };
        if r.result == StopResult::Accepted {
            self.starts.forbid(&StopOrder::unsent(a, worker.to_owned()));
            self.stops.accepted(self.now, self.steps, &self.settings, a, &mut self.rng);
            if let Some(h) = self.share.get_mut(worker) {
                h.look_soon();
            }
            return;
        }
        self.stops.answered(a);
        // Whatever the worker said, this attempt doesn't leave from here any more.
        self.starts.forbid(&StopOrder::unsent(a, worker.to_owned()));
        let line = self.facts.line(worker, &r.boot_id, self.share.assignment(worker));
        let event = match r.result {
            StopResult::Void => {
                line.voided.insert(a);
                OrderEvent::Void
            }
            StopResult::Stopped => {
                let e = r.ended.unwrap_or_else(|| EndedAttempt::new(a, Outcome::Stopped));
                line.ended.insert(a, e);
                OrderEvent::Proof
            }
            // Handled above: only a list tells what came of it.
            StopResult::Accepted => return,
            StopResult::Ended => {
                line.ended.extend(r.ended.map(|e| (a, e)));
                OrderEvent::Proof
            }
        };
        self.starts.proof(a, event);
        if let Some(h) = self.share.get_mut(worker) {
            h.over(a);
        }
    }

    /// What came of a hold.
    pub(crate) fn hold_answered(&mut self, worker: &str, address: &str, reply: Reply<HoldAnswer>, fx: &mut Vec<GatewayEffect>) {
        if matches!(reply, Reply::OtherLife) {
            return self.other_life(worker);
        }
        let Some(h) = self.share.get_mut(worker) else { return };
        let answer = reply.answer().filter(|a| a.worker == worker && h.address == address);
        let Some(a) = answer else {
            self.counters.hold_errors += 1;
            let lost = h.error(self.now, &self.settings, &mut self.rng);
            let silent = h.take_silence();
            if lost || silent {
                let line = self.facts.line(worker, h.boot(), h.assignment);
                line.silent |= silent;
                if lost {
                    line.reachable = Some(false);
                }
            }
            return;
        };
        let mut line = FactLine::default();
        let (left_in, leased, assignment) = (h.hold_step(), h.leased && h.mine, h.assignment);
        if let Some(clock) = a.clock_ms {
            h.lease.showed(self.now, clock);
        }
        let lists = AttemptLists::of(&a);
        self.counters.lists_cut += u64::from(!a.ended.is_whole());
        if !h.answer(self.steps, &a, &lists, &mut line) {
            self.counters.holds_crossed += 1;
        } else if leased {
            self.leased_lists(worker, &a, &lists, left_in.unwrap_or(0), &mut line);
        }
        self.counters.attempts_missing += line.missing.len() as u64;
        let ended: Vec<AttemptId> = line.ended.keys().copied().collect();
        for x in line.started.iter().chain(&ended) {
            self.starts.proof(*x, OrderEvent::Proof);
        }
        if !line.is_empty() {
            self.facts.line(worker, &a.boot_id, assignment).merge(line);
        }
        self.send_holds(Some(worker), fx);
    }

    /// A worker's clock came along with an answer.
    pub(crate) fn clock_shown(&mut self, worker: &str, clock_ms: Option<Millis>) {
        if let (Some(clock), Some(h)) = (clock_ms, self.share.get_mut(worker)) {
            h.lease.showed(self.now, clock);
        }
    }

    /// What the lists of a worker with a lease prove beyond what they show: starts that can't be carried out any more, stops
    /// that are over, attempts that stand still.
    pub(crate) fn leased_lists(&mut self, worker: &str, a: &HoldAnswer, lists: &AttemptLists, left_in: u64, line: &mut FactLine) {
        let void = self.starts.void_by_clock(worker, a.clock_ms.unwrap_or(0), lists);
        self.counters.starts_late += void.len() as u64;
        line.voided.extend(void);
        line.voided.extend(self.stops.settle_by_lists(worker, left_in, lists));
        let usual = Expectation { patience: 2 * self.settings.stall_patience(Millis::MAX), estimate_ms: 0 };
        let starts = &self.starts;
        if let Some(h) = self.share.get_mut(worker) {
            let stalled = h.progress(self.now, &a.progress, |x| starts.expected(x).unwrap_or(usual));
            self.counters.attempts_stalled += stalled.len() as u64;
            line.stalled.extend(stalled);
            h.rest(self.now, &self.settings);
        }
    }
}
