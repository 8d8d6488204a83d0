use crate::prelude::*;

/// How an errand ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// With an answer, through this gateway.
    Answered(AnswerBody, usize),
    /// With an error that another try can't mend.
    Error(CallError),
    /// The caller walked away: it may or may not be done.
    GaveUp,
}

/// How an errand is to be run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sending {
    /// The first gateway; the next ones follow in turn.
    pub gateway: usize,
    /// Time for all tries.
    pub time_budget_ms: Millis,
    /// Longest time for one try.
    pub longest_try_ms: Millis,
    /// Most retries.
    pub retries: u32,
}

/// One call under way, with all its tries.
#[derive(Clone, Debug)]
struct Errand<O> {
    what: O,
    call: CallBody,
    plan: RetryPlan,
    tokens: f64,
}

/// One try that is out.
#[derive(Clone, Debug)]
struct Out {
    errand: u64,
    call: CallBody,
    gateway: usize,
    asked_at: Millis,
}

/// Something that becomes due.
#[derive(Clone, Copy, Debug)]
enum Due {
    /// A try's time is over.
    Expire { ticket: u64 },
    /// Try again.
    Try { errand: u64, gateway: usize, time_budget_ms: Millis },
}

/// Carries calls for a model: tries, expiries, backoff and the record of what was sent and answered. `O` is what
/// the model wants to know again at the end of each.
///
/// ```
/// use caller_stand_in::{CallerEffect, Courier, Ending, Sending};
/// use cluster_messages::{CallBody, GetJob};
/// let mut c: Courier<&str> = Courier::new(vec!["a".into(), "b".into()], 7);
/// let call = CallBody::GetJob(GetJob { name: "hold-7".into() });
/// let mut effects = Vec::new();
/// c.send(0, "poll", call, Sending { gateway: 1, time_budget_ms: 100, longest_try_ms: 100, retries: 0 }, &mut effects);
/// let CallerEffect::Send { gateway: 1, time_budget_ms, .. } = effects[0] else { panic!() };
/// assert_eq!(c.tick(time_budget_ms, &mut effects), [("poll", Ending::GaveUp)]);
/// ```
#[derive(Clone, Debug)]
pub struct Courier<O> {
    gateways: Vec<Name>,
    errands: BTreeMap<u64, Errand<O>>,
    out: BTreeMap<u64, Out>,
    /// Expired tries, whose answers may still come.
    late: VecDeque<(u64, Out)>,
    timers: Timers<Due>,
    numbers: u64,
    rng: ChaCha8Rng,
}

/// Expired tries that are remembered.
const MOST_LATE: usize = 1_024;

impl<O> Courier<O> {
    /// A courier to these gateways.
    pub fn new(gateways: Vec<Name>, seed: u64) -> Self {
        Courier {
            gateways,
            errands: BTreeMap::new(),
            out: BTreeMap::new(),
            late: VecDeque::new(),
            timers: Timers::default(),
            numbers: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// How many gateways there are, at least 1.
    pub fn gateway_count(&self) -> usize {
        self.gateways.len().max(1)
    }

    /// Calls under way.
    pub fn errand_count(&self) -> usize {
        self.errands.len()
    }

    /// When it wants the next tick.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.next_due()
    }

    /// Begins an errand.
    pub fn send(&mut self, now: Millis, what: O, call: CallBody, how: Sending, effects: &mut Vec<CallerEffect>) {
        self.numbers += 1;
        let errand = self.numbers;
        let settings = RetrySettings { longest_try_ms: how.longest_try_ms, ..RetrySettings::with_budget(how.time_budget_ms.max(1)) };
        let mut plan = RetryPlan::new(settings, self.gateway_count(), how.gateway, now, self.rng.random());
        let step = plan.first(now);
        self.errands.insert(errand, Errand { what, call, plan, tokens: f64::from(how.retries) });
        self.obey(now, errand, step, effects);
    }

    /// Does what the plan says; true when that is to give up.
    fn obey(&mut self, now: Millis, errand: u64, step: RetryStep, effects: &mut Vec<CallerEffect>) -> bool {
        match step {
            RetryStep::GiveUp => return true,
            RetryStep::Try { gateway, wait_ms: 0, time_budget_ms } => self.try_now(now, errand, gateway, time_budget_ms, effects),
            RetryStep::Try { gateway, wait_ms, time_budget_ms } => {
                self.timers.set(now + wait_ms, Due::Try { errand, gateway, time_budget_ms });
            }
        }
        false
    }

    /// One try.
    fn try_now(&mut self, now: Millis, errand: u64, gateway: usize, time_budget_ms: Millis, effects: &mut Vec<CallerEffect>) {
        let Some(e) = self.errands.get(&errand) else { return };
        self.numbers += 1;
        let ticket = self.numbers;
        self.out.insert(ticket, Out { errand, call: e.call.clone(), gateway, asked_at: now });
        self.timers.set(now + time_budget_ms, Due::Expire { ticket });
        effects.extend(observe_sent(&e.call).map(CallerEffect::Observe));
        effects.push(CallerEffect::Send { ticket, gateway, call: e.call.clone(), time_budget_ms });
    }

    /// Time passed: expiries and retries. Returns what ended.
    pub fn tick(&mut self, now: Millis, effects: &mut Vec<CallerEffect>) -> Vec<(O, Ending)> {
        let mut ended = Vec::new();
        while let Some((_, due)) = self.timers.take_due(now) {
            match due {
                Due::Expire { ticket } => ended.extend(self.lost(now, ticket, effects)),
                Due::Try { errand, gateway, time_budget_ms } => self.try_now(now, errand, gateway, time_budget_ms, effects),
            }
        }
        ended
    }

    /// A try is lost, or its time is over.
    pub fn lost(&mut self, now: Millis, ticket: u64, effects: &mut Vec<CallerEffect>) -> Option<(O, Ending)> {
        let out = self.out.remove(&ticket)?;
        let (errand, asked_at) = (out.errand, out.asked_at);
        self.late.push_back((ticket, out));
        if self.late.len() > MOST_LATE {
            self.late.pop_front();
        }
        let lost = TryError::Transport { source: TransportError::TimedOut { after_ms: now.saturating_sub(asked_at) } };
        self.failed(now, errand, &lost, effects)
    }

    /// A try went wrong: again, or the end.
    fn failed(&mut self, now: Millis, errand: u64, error: &TryError, effects: &mut Vec<CallerEffect>) -> Option<(O, Ending)> {
        let e = self.errands.get_mut(&errand)?;
        let step = e.plan.after_error(now, error, &mut e.tokens);
        if !self.obey(now, errand, step, effects) {
            return None;
        }
        let e = self.errands.remove(&errand)?;
        Some(match error {
            TryError::Call { source } if !error.may_pass() => (e.what, Ending::Error(source.clone())),
            _ => {
                effects.push(CallerEffect::GiveUp { call: e.call });
                (e.what, Ending::GaveUp)
            }
        })
    }

    /// A try is answered, perhaps late. Whatever comes goes on record; an errand that is over stays over.
    pub fn answered(
        &mut self,
        now: Millis,
        ticket: u64,
        result: CallResult<AnswerBody>,
        effects: &mut Vec<CallerEffect>,
    ) -> Option<(O, Ending)> {
        let (out, late) = match self.out.remove(&ticket) {
            Some(o) => (o, false),
            None => (self.late.iter().position(|(t, _)| *t == ticket).and_then(|i| self.late.remove(i))?.1, true),
        };
        let through = self.gateways.get(out.gateway).cloned().unwrap_or_default();
        effects.extend(observe_answer(&out.call, &through, out.asked_at, &result).map(CallerEffect::Observe));
        match result {
            Ok(a) => self.errands.remove(&out.errand).map(|e| (e.what, Ending::Answered(a, out.gateway))),
            // A late error changes nothing: the errand went on without it.
            Err(_) if late => None,
            Err(e) => self.failed(now, out.errand, &TryError::Call { source: e }, effects),
        }
    }
}
