//! How a worker takes starts, stops and holds, and answers them.

use crate::prelude::*;

/// Ended attempts that are acknowledged and still remembered, for repeated stops.
const REMEMBERED: usize = 1_024;

impl WorkerModel {
    /// Answers, unless it is out of reach.
    pub(crate) fn answer(&mut self, token: Token, answer: WorkerAnswer) {
        self.effects.push(if self.reach == Reach::Serving {
            WorkerEffect::Answer { token, answer }
        } else {
            WorkerEffect::Silence { token }
        });
    }

    pub(crate) fn start_answer(&mut self, now: Millis, token: Option<Token>, attempt: AttemptId, result: StartResult) {
        let Some(token) = token else { return };
        let (boot_id, clock_ms) = (self.identity.boot_id.clone(), self.clock(now));
        self.answer(token, WorkerAnswer::Start(StartAnswer { attempt, result, boot_id, clock_ms }));
    }

    /// The token, unless this order's answer is to be lost.
    pub(crate) fn answerable(&mut self, token: Token) -> Option<Token> {
        let lost = self.hits(self.behaviour.lost_answer_ratio);
        if lost {
            self.effects.push(WorkerEffect::Silence { token });
        }
        (!lost).then_some(token)
    }

    /// A worker does not shed: not a second start of an attempt, not one beyond its room.
    pub(crate) fn start(&mut self, now: Millis, arrived: Millis, token: Token, o: StartOrder) {
        let token = self.answerable(token);
        if self.void.contains(&o.attempt) {
            return self.start_answer(now, token, o.attempt, StartResult::Void);
        }
        let (least, most) = self.behaviour.late_start_ms;
        let late = if most > 0 { self.rng.random_range(least.min(most)..=most) } else { 0 };
        self.runs.push(Run {
            attempt: o.attempt,
            cpu_millis: o.cpu_millis,
            memory_mb: o.memory_mb,
            ordered_at: arrived,
            until_cancelled: o.run_until_cancelled,
            payload: TaskPayload::of(&o.payload),
            job_name: o.job_name,
            phase: Phase::Ordered { begin_at: now + late, token },
            terms: StartTerms { fence: o.fence, lease_until: o.lease_until_ms },
        });
        self.advance(now);
    }

    pub(crate) fn stop(&mut self, now: Millis, token: Token, attempt: AttemptId) {
        let token = self.answerable(token);
        let (hit, rest): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs).into_iter().partition(|r| r.attempt == attempt);
        self.runs = rest;
        let ran = hit.iter().any(Run::runs);
        let known = self.ended.get(&attempt).or_else(|| self.remembered.iter().find(|e| e.attempt == attempt)).cloned();
        for r in hit {
            match r.phase {
                Phase::Ordered { token, .. } => self.start_answer(now, token, attempt, StartResult::Void),
                Phase::Running { started, .. } => {
                    self.member_left(r.attempt, r.payload);
                    self.end(now, r.attempt, r.job_name, started, Outcome::Stopped);
                }
            }
        }
        let result = match &known {
            _ if ran => StopResult::Stopped,
            Some(e) if e.outcome == Outcome::Stopped => StopResult::Stopped,
            Some(_) => StopResult::Ended,
            None => {
                self.void.insert(attempt);
                StopResult::Void
            }
        };
        let ended = known.filter(|_| result == StopResult::Ended);
        if let Some(token) = token {
            let boot_id = self.identity.boot_id.clone();
            self.answer(token, WorkerAnswer::Stop(StopAnswer { attempt, result, boot_id, ended, clock_ms: None }));
        }
    }

    pub(crate) fn hold(&mut self, now: Millis, token: Token, o: HoldOrder) {
        for a in &o.acknowledged {
            if let Some(e) = self.ended.remove(a) {
                self.job_names.remove(a);
                if self.remembered.len() >= REMEMBERED {
                    self.remembered.pop_front();
                }
                self.remembered.push_back(e);
            }
        }
        self.wait(now, token, o.seen, o.wait_ms);
    }

    /// A hold waits for news.
    pub(crate) fn wait(&mut self, now: Millis, token: Token, seen: u64, wait_ms: Millis) {
        self.registration.held(now);
        self.holds.push(WaitingHold { token, seen, until: now + wait_ms });
    }

    /// Answers the holds that have news or have waited long enough.
    pub(crate) fn answer_holds(&mut self, now: Millis) {
        if self.reach != Reach::Serving {
            return;
        }
        let (change, leased) = (self.change, self.lease.is_some());
        let news = |seen| if leased { !self.ended.is_empty() } else { seen != change };
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.holds).into_iter().partition(|h| news(h.seen) || now >= h.until);
        self.holds = rest;
        for h in due {
            if leased {
                self.registration.held(now);
                self.answer_leased_hold(now, h.token);
                continue;
            }
            let unchanged = h.seen == change;
            let (running, ended) = match unchanged {
                true => (Vec::new(), EndList::default()),
                false => (self.running(), self.ended.values().cloned().collect::<Vec<EndedAttempt>>().into()),
            };
            let (worker, boot_id) = (self.identity.name.clone(), self.identity.boot_id.clone());
            let draining = self.behaviour.draining;
            self.registration.held(now);
            self.answer(
                h.token,
                WorkerAnswer::Hold(HoldAnswer { worker, boot_id, change, draining, unchanged, running, ended, ..HoldAnswer::default() }),
            );
        }
    }
}
