use crate::prelude::*;

/// Hints of a leader followed at once before waiting again.
const HOPS: u32 = 3;
/// Addresses of schedulers kept.
const ADDRESSES: usize = 32;
/// Pulses whose echo is awaited.
const STAMPS: usize = 64;

/// A gateway's standing with the elected scheduler.
#[derive(Clone, Debug)]
pub struct Session {
    state: SessionState,
    channel: Option<ChannelId>,
    address: String,
    seeds: Vec<String>,
    schedulers: Vec<String>,
    hint: Option<String>,
    /// Who was silent last, and until when others are tried instead.
    silent: Option<(String, Millis)>,
    cursor: usize,
    hops: u32,
    tries: u32,
    since: Millis,
    dial_at: Millis,
    pulse_at: Millis,
    stamp: u64,
    stamps: BTreeMap<u64, Millis>,
    first_stamp: u64,
    bound: Option<TimeBound>,
}

impl Session {
    /// Seeking; the first dial goes to any of the seeds.
    pub fn new(seeds: Vec<String>, now: Millis, rng: &mut impl Rng) -> Self {
        let cursor = rng.random_range(0..seeds.len().max(1));
        Session {
            state: SessionState::initial(),
            channel: None,
            address: String::new(),
            seeds,
            schedulers: Vec::new(),
            hint: None,
            silent: None,
            cursor,
            hops: 0,
            tries: 0,
            since: now,
            dial_at: now,
            pulse_at: now,
            stamp: 0,
            stamps: BTreeMap::new(),
            first_stamp: 0,
            bound: None,
        }
    }

    /// The channel of an attached session.
    pub fn attached(&self) -> Option<ChannelId> {
        self.channel.filter(|_| self.state == SessionState::Attached)
    }

    /// Whether a channel is the session's own.
    pub fn owns(&self, channel: ChannelId) -> bool {
        self.channel == Some(channel)
    }

    /// Its state.
    pub fn state(&self) -> SessionState {
        self.state
    }

    /// Where it is attached, or tries to be.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// The bound of cluster time.
    pub fn bound(&self) -> Option<TimeBound> {
        self.bound
    }

    /// Takes one step of the chart; false when it leads nowhere.
    fn go(&mut self, event: SessionEvent, now: Millis) -> bool {
        let Some(s) = self.state.next(event) else { return false };
        self.state = s;
        self.since = now;
        true
    }

    /// Takes over other seeds.
    pub fn seed(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Learns the schedulers' addresses.
    pub fn learn(&mut self, addresses: &[String]) {
        if !addresses.is_empty() {
            let mut seen = BTreeSet::new();
            self.schedulers = addresses.iter().filter(|a| seen.insert(a.as_str())).take(ADDRESSES).cloned().collect();
        }
    }

    /// Gives up what channel there is; dials again after a wait, or at once.
    pub fn lose(&mut self, now: Millis, s: &GatewaySettings, at_once: bool, rng: &mut impl Rng, fx: &mut Vec<GatewayEffect>) {
        if !self.go(SessionEvent::Lost, now) {
            return;
        }
        if let Some(channel) = self.channel.take() {
            fx.push(GatewayEffect::CloseChannel { channel });
        }
        self.stamps.clear();
        self.dial_at = if at_once { now } else { now + backoff(s.dial_backoff(), s.dial_backoff_most(), self.tries, rng) };
        self.tries = self.tries.saturating_add(1);
    }

    /// Drops a channel that was silent too long; true when it did.
    pub fn watch(&mut self, now: Millis, s: &GatewaySettings, rng: &mut impl Rng, fx: &mut Vec<GatewayEffect>) -> bool {
        let most = match self.state {
            SessionState::Seeking => return false,
            // An attach is answered from memory, or by a frozen machine not at all: it has no more patience than a dial.
            SessionState::Dialing | SessionState::Attaching => s.dial_budget(),
            SessionState::Attached => s.echo_silence(),
        };
        let silent = now >= self.since + most;
        if silent {
            // Followers name it as their leader until they elect another: a dial to it would cost its whole budget again.
            self.silent = Some((self.address.clone(), now + s.echo_silence()));
            self.lose(now, s, false, rng, fx);
        }
        silent
    }

    /// Whether an address was silent a short time ago.
    fn was_silent(&self, address: &str, now: Millis) -> bool {
        self.silent.as_ref().is_some_and(|(a, until)| a == address && now < *until)
    }

    /// Dials when it is time.
    pub fn dial(&mut self, now: Millis, fx: &mut Vec<GatewayEffect>) {
        if self.state != SessionState::Seeking || now < self.dial_at {
            return;
        }
        let all: Vec<&String> = self.schedulers.iter().chain(self.seeds.iter().filter(|a| !self.schedulers.contains(a))).collect();
        let next = match self.hint.take() {
            Some(a) => a,
            None if all.is_empty() => return,
            None => {
                self.cursor = (self.cursor + 1) % all.len();
                if self.was_silent(all[self.cursor], now) {
                    self.cursor = (self.cursor + 1) % all.len();
                }
                all[self.cursor].clone()
            }
        };
        self.go(SessionEvent::Dial, now);
        self.address = next.clone();
        fx.push(GatewayEffect::Dial { address: next });
    }

    /// A dialled channel is open: true when the attach may be sent.
    pub fn up(&mut self, now: Millis, channel: ChannelId, address: &str, fx: &mut Vec<GatewayEffect>) -> bool {
        if self.state != SessionState::Dialing || self.address != address || !self.go(SessionEvent::Up, now) {
            fx.push(GatewayEffect::CloseChannel { channel });
            return false;
        }
        self.channel = Some(channel);
        true
    }

    /// The dial to an address failed.
    pub fn dial_failed(&mut self, now: Millis, s: &GatewaySettings, address: &str, rng: &mut impl Rng, fx: &mut Vec<GatewayEffect>) {
        if self.state == SessionState::Dialing && self.address == address {
            self.lose(now, s, false, rng, fx);
        }
    }

    /// The scheduler took the attach, which was sent when this state began.
    pub fn attach_taken(&mut self, now: Millis, log_time_ms: Millis) -> bool {
        let asked_at = self.since;
        if !self.go(SessionEvent::Attached, now) {
            return false;
        }
        self.bound = Some(TimeBound { log_time_ms, asked_at });
        (self.tries, self.hops, self.hint) = (0, 0, None);
        self.first_stamp = self.stamp + 1;
        self.pulse_at = now;
        true
    }

    /// This scheduler doesn't lead: follows its hint at once, a few times.
    pub fn not_leader(
        &mut self,
        now: Millis,
        s: &GatewaySettings,
        leader: Option<String>,
        rng: &mut impl Rng,
        fx: &mut Vec<GatewayEffect>,
    ) {
        let hint = leader.filter(|l| *l != self.address && self.hops < HOPS && !self.was_silent(l, now));
        let at_once = hint.is_some();
        self.hops = if at_once { self.hops + 1 } else { 0 };
        self.hint = hint;
        self.lose(now, s, at_once, rng, fx);
    }

    /// The stamp of a pulse, when one is due.
    pub fn pulse(&mut self, now: Millis, s: &GatewaySettings) -> Option<(ChannelId, u64)> {
        let channel = self.attached().filter(|_| now >= self.pulse_at)?;
        self.pulse_at = now + s.pulse_interval();
        self.stamp += 1;
        self.stamps.insert(self.stamp, now);
        if self.stamps.len() > STAMPS {
            self.stamps.pop_first();
        }
        Some((channel, self.stamp))
    }

    /// Something came on the session's channel: a long view on a slow link may hold up an echo behind it.
    pub fn heard(&mut self, now: Millis) {
        if self.state == SessionState::Attached {
            self.since = now;
        }
    }

    /// A pulse came back: when it was sent, if that was on this channel, and whether it was the channel's first.
    pub fn echo(&mut self, now: Millis, stamp: u64, log_time_ms: Millis) -> Option<(Millis, bool)> {
        if self.state != SessionState::Attached || stamp < self.first_stamp {
            return None;
        }
        let asked_at = self.stamps.remove(&stamp)?;
        self.stamps = self.stamps.split_off(&stamp);
        self.since = now;
        self.bound = Some(TimeBound { log_time_ms, asked_at });
        Some((asked_at, stamp == self.first_stamp))
    }
}
