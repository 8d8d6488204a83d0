use crate::prelude::*;

/// What an errand was for.
#[derive(Clone, Debug, PartialEq)]
enum Errand {
    Submit(Name),
    Resend(Name),
    Cancel(Name),
    Poll(Name),
    Read,
}

/// What becomes due.
#[derive(Clone, Debug, PartialEq)]
enum Due {
    Arrive(usize),
    Resend(Name),
    Cancel(Name),
    Poll(Name),
    Read(Name),
}

/// First wait before an accepted job is read.
const FIRST_POLL_MS: Span = (50, 700);
/// Longest wait between reads of one job.
const LONGEST_POLL_MS: Millis = 10_000;
/// Growth of that wait.
const POLL_GROWTH: f64 = 1.5;
/// When jobs are cancelled early on, or sent once more.
const SOON_MS: Span = (10, 3_000);
/// Gap between the reads of [`CallerInput::ReadAgain`].
const READ_GAP_MS: Millis = 2;
/// Most tasks in a step that is no gang.
const LARGEST_STEP: u32 = 100_000;
/// How far arrivals catch up after a pause of the process.
const MOST_CATCH_UP_MS: Millis = 1_000;

/// Callers of one deployment: an open loop of new jobs, whatever becomes of the earlier ones. Pure and seeded.
///
/// ```
/// use caller_stand_in::{CallerEffect, CallerInput, CallerModel, CallerSettings, Model, Profile};
/// let mut callers = CallerModel::new(CallerSettings::new(Profile::Thaali, vec!["g1".into(), "g2".into()], 7), 0);
/// let due = callers.next_due().unwrap();
/// let effects = callers.step(due, CallerInput::Tick);
/// assert!(matches!(effects[0], CallerEffect::Observe(_)));
/// assert!(matches!(effects[1], CallerEffect::Send { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct CallerModel {
    settings: CallerSettings,
    streams: Vec<JobStream>,
    courier: Courier<Errand>,
    timers: Timers<Due>,
    jobs: BTreeMap<Name, CallerJob>,
    polled: usize,
    remembered: Vec<Name>,
    figures: CallerFigures,
    rng: ChaCha8Rng,
}

impl CallerModel {
    /// Callers that begin now.
    pub fn new(settings: CallerSettings, now: Millis) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(settings.seed);
        let mut m = CallerModel {
            streams: settings.profile.streams(settings.running_tasks),
            courier: Courier::new(settings.gateways.clone(), rng.random()),
            timers: Timers::default(),
            jobs: BTreeMap::new(),
            polled: 0,
            remembered: Vec::new(),
            figures: CallerFigures::default(),
            rng,
            settings,
        };
        m.arm(now);
        m
    }

    /// What they came to so far.
    pub fn figures(&self) -> CallerFigures {
        self.figures
    }

    /// Jobs with which something is still to be done.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Calls under way.
    pub fn open_calls(&self) -> usize {
        self.courier.errand_count()
    }

    /// Sets the next arrival of each stream anew.
    fn arm(&mut self, now: Millis) {
        self.timers.retain(|d| !matches!(d, Due::Arrive(_)));
        for i in 0..self.streams.len() {
            self.arm_one(now, i);
        }
    }

    /// Sets the next arrival of one stream: gaps are exponential.
    fn arm_one(&mut self, from: Millis, stream: usize) {
        let per_ms = self.streams[stream].per_second * self.settings.rate / 1_000.0;
        if per_ms > 0.0 {
            let u: f64 = self.rng.random();
            let gap = -(1.0 - u).ln() / per_ms;
            self.timers.set(from + gap as Millis, Due::Arrive(stream));
        }
    }

    /// A wait, by the time scale.
    fn scaled(&mut self, span: Span) -> Millis {
        (within(&mut self.rng, span) as f64 * self.settings.time_scale) as Millis
    }

    /// Sends a call, first to the given gateway.
    fn send(&mut self, now: Millis, what: Errand, call: CallBody, gateway: usize, retries: u32, effects: &mut Vec<CallerEffect>) {
        let time_budget_ms = self.settings.time_budget_ms;
        let how = Sending { gateway, time_budget_ms, longest_try_ms: time_budget_ms, retries };
        self.courier.send(now, what, call, how, effects);
    }

    /// A gateway by chance, other than the given one where there is another.
    fn other_gateway(&mut self, than: Option<usize>) -> usize {
        let n = self.courier.gateway_count();
        match than {
            Some(g) if n > 1 => (g + self.rng.random_range(1..n)) % n,
            _ => self.rng.random_range(0..n),
        }
    }

    /// A new job arrives.
    fn arrive(&mut self, now: Millis, stream: usize, times_tasks: u32, effects: &mut Vec<CallerEffect>) {
        self.figures.jobs += 1;
        let s = &self.streams[stream];
        let name = format!("{}-{}-{}", s.prefix, self.settings.tag, self.figures.jobs);
        let mut spec = s.job(name.clone(), &self.settings, now, &mut self.rng);
        for s in &mut spec.steps {
            s.tasks = s.tasks.saturating_mul(times_tasks).min(if s.gang { LARGEST_GANG } else { LARGEST_STEP });
            state_members(s);
        }
        self.jobs.insert(name.clone(), CallerJob::new(spec.clone()));
        let gateway = self.other_gateway(None);
        self.send(now, Errand::Submit(name), SubmitJob { spec }.into_body(), gateway, self.settings.retries, effects);
    }

    /// Something is due.
    fn due(&mut self, now: Millis, at: Millis, due: Due, effects: &mut Vec<CallerEffect>) {
        match due {
            Due::Arrive(stream) => {
                self.arm_one(at.max(now.saturating_sub(MOST_CATCH_UP_MS)), stream);
                self.arrive(now, stream, 1, effects);
            }
            Due::Resend(name) => {
                let Some(j) = self.jobs.get(&name) else { return };
                let (call, by) = (SubmitJob { spec: j.spec.clone() }.into_body(), j.accepted_by);
                let gateway = self.other_gateway(by);
                self.send(now, Errand::Resend(name), call, gateway, self.settings.retries, effects);
            }
            Due::Cancel(name) => {
                let gateway = self.other_gateway(None);
                let call = CancelJob { name: name.clone() }.into_body();
                self.send(now, Errand::Cancel(name), call, gateway, self.settings.retries, effects);
            }
            Due::Poll(name) => {
                let Some(by) = self.jobs.get(&name).map(|j| j.accepted_by) else { return };
                let gateway = self.other_gateway(by);
                // One try: the next read comes soon enough.
                self.send(now, Errand::Poll(name.clone()), GetJob { name }.into_body(), gateway, 0, effects);
            }
            Due::Read(name) => {
                let gateway = self.other_gateway(None);
                self.send(now, Errand::Read, GetJob { name }.into_body(), gateway, self.settings.retries, effects);
            }
        }
    }

    /// An errand ended.
    fn ended(&mut self, now: Millis, what: Errand, ending: Ending) {
        match what {
            Errand::Submit(name) => self.submitted(now, name, ending),
            Errand::Resend(name) => {
                if let Some(j) = self.jobs.get_mut(&name) {
                    j.resending = false;
                }
                self.drop_done(&name);
            }
            Errand::Cancel(name) => {
                self.figures.cancelled += u64::from(matches!(ending, Ending::Answered(..)));
                let Some(j) = self.jobs.get_mut(&name) else { return };
                match ending {
                    Ending::Answered(..) => j.cancelling = false,
                    _ if !j.cancelling => {}
                    // Never accepted, and nothing of it under way any more.
                    Ending::Error(CallError::NotFound { .. }) if j.accepted_by.is_none() => j.cancelling = false,
                    Ending::Error(_) | Ending::GaveUp => {
                        let again = now + within(&mut self.rng, SOON_MS);
                        self.timers.set(again, Due::Cancel(name.clone()));
                    }
                }
                self.drop_done(&name);
            }
            Errand::Poll(name) => {
                let Some(j) = self.jobs.get_mut(&name) else { return };
                let seen_final = matches!(&ending, Ending::Answered(AnswerBody::GetJob(a), _) if a.summary.state.is_final());
                if seen_final {
                    j.polling = false;
                    self.polled -= 1;
                    self.figures.seen_final += 1;
                } else {
                    j.poll_wait_ms = ((j.poll_wait_ms as f64 * POLL_GROWTH) as Millis).clamp(1, LONGEST_POLL_MS);
                    self.timers.set(now + j.poll_wait_ms, Due::Poll(name.clone()));
                }
                self.drop_done(&name);
            }
            Errand::Read => {}
        }
    }

    /// A submit ended: what comes next for the job.
    fn submitted(&mut self, now: Millis, name: Name, ending: Ending) {
        let Some(mut j) = self.jobs.remove(&name) else { return };
        j.submitting = false;
        let lasting = j.spec.run_until_cancelled;
        match ending {
            Ending::Answered(_, gateway) => {
                self.figures.accepted += 1;
                j.accepted_by = Some(gateway);
                self.remember(&name);
                let life = self
                    .streams
                    .iter()
                    .find(|s| j.spec.labels.get("stream").is_some_and(|l| l == s.prefix))
                    .and_then(|s| s.cancelled_after_ms);
                let early = self.rng.random_bool(self.settings.cancel_share);
                if let Some(span) = life.or(early.then_some(SOON_MS)) {
                    let at = now + self.scaled(span);
                    j.cancelling = true;
                    self.timers.set(at, Due::Cancel(name.clone()));
                }
                if self.rng.random_bool(self.settings.resend_share) {
                    j.resending = true;
                    let at = now + within(&mut self.rng, SOON_MS);
                    self.timers.set(at, Due::Resend(name.clone()));
                }
                if self.polled < self.settings.most_polled && self.rng.random_bool(self.settings.poll_share) {
                    j.polling = true;
                    j.poll_wait_ms = within(&mut self.rng, FIRST_POLL_MS);
                    self.polled += 1;
                    self.timers.set(now + j.poll_wait_ms, Due::Poll(name.clone()));
                }
            }
            Ending::Error(_) => self.figures.errors += 1,
            Ending::GaveUp => {
                self.figures.given_up += 1;
                // It may have been accepted all the same, and would then run for ever.
                if lasting {
                    j.cancelling = true;
                    self.timers.set(now + 2 * self.settings.time_budget_ms, Due::Cancel(name.clone()));
                }
            }
        }
        if !j.is_done() {
            self.jobs.insert(name, j);
        }
    }

    /// Forgets a job with which nothing is left to do.
    fn drop_done(&mut self, name: &str) {
        if self.jobs.get(name).is_some_and(CallerJob::is_done) {
            self.jobs.remove(name);
        }
    }

    /// Remembers an accepted job, or by chance instead of an earlier one, so that all are equally likely.
    fn remember(&mut self, name: &str) {
        let most = self.settings.most_remembered;
        if self.remembered.len() < most {
            self.remembered.push(name.to_owned());
        } else if let Some(kept) = self.remembered.get_mut(self.rng.random_range(0..self.figures.accepted as usize)) {
            *kept = name.to_owned();
        }
    }
}

impl Model for CallerModel {
    fn step(&mut self, now: Millis, input: CallerInput) -> Vec<CallerEffect> {
        let mut effects = Vec::new();
        match input {
            CallerInput::Tick => {}
            CallerInput::Answered { ticket, result } => {
                if let Some((what, ending)) = self.courier.answered(now, ticket, result, &mut effects) {
                    self.ended(now, what, ending);
                }
            }
            CallerInput::Lost { ticket } => {
                if let Some((what, ending)) = self.courier.lost(now, ticket, &mut effects) {
                    self.ended(now, what, ending);
                }
            }
            CallerInput::Rate(rate) => {
                self.settings.rate = rate;
                self.arm(now);
            }
            CallerInput::Burst { stream, jobs, times_tasks } => {
                if let Some(i) = self.streams.iter().position(|s| s.prefix == stream) {
                    for _ in 0..jobs {
                        self.arrive(now, i, times_tasks, &mut effects);
                    }
                }
            }
            CallerInput::CancelSome(share) => {
                let share = share.clamp(0.0, 1.0);
                let some: Vec<Name> = self.remembered.iter().filter(|_| self.rng.random_bool(share)).cloned().collect();
                for name in some {
                    self.timers.set(now, Due::Cancel(name));
                }
            }
            CallerInput::ReadAgain => {
                for (i, name) in self.remembered.iter().enumerate() {
                    self.timers.set(now + i as Millis * READ_GAP_MS, Due::Read(name.clone()));
                }
            }
        }
        for (what, ending) in self.courier.tick(now, &mut effects) {
            self.ended(now, what, ending);
        }
        while let Some((at, due)) = self.timers.take_due(now) {
            self.due(now, at, due, &mut effects);
        }
        effects
    }

    fn next_due(&self) -> Option<Millis> {
        [self.timers.next_due(), self.courier.next_due()].into_iter().flatten().min()
    }
}
