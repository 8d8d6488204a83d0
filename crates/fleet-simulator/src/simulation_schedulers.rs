use crate::prelude::*;

/// A scheduler's machine.
#[derive(Debug)]
pub struct SchedulerNode {
    /// Clocks.
    pub machine: Machine,
    /// The core, while the process runs.
    pub core: Option<Scheduler>,
    /// Its disk.
    pub disk: MemoryLogStorage,
    /// The data folder's own id.
    pub id: u64,
    /// How long a sync takes, least and most.
    pub sync_ms: (Millis, Millis),
    /// Whether a sync is under way.
    pub syncing: bool,
    /// Tickets of staged writes.
    pub tickets: VecDeque<u64>,
    /// True time at which its step is over, in microseconds.
    pub busy_until_us: u64,
    /// What waits until then.
    pub backlog: SchedulerBacklog,
}

impl Default for SchedulerNode {
    fn default() -> Self {
        SchedulerNode {
            machine: Machine::default(),
            core: None,
            disk: MemoryLogStorage::new(RestoredState::joining()),
            id: 0,
            sync_ms: (1, 3),
            syncing: false,
            tickets: VecDeque::new(),
            busy_until_us: 0,
            backlog: SchedulerBacklog::default(),
        }
    }
}

impl SchedulerNode {
    /// When its step is over.
    pub(crate) fn busy_until(&self) -> Millis {
        self.busy_until_us / 1_000
    }
}

/// A channel between a gateway and a scheduler: in order, and whole until it breaks.
#[derive(Clone, Debug)]
pub struct Channel {
    /// The gateway and its process's epoch.
    pub gateway: (usize, u64),
    /// The scheduler and its process's epoch.
    pub scheduler: (usize, u64),
    /// When the last frame up arrives, and the last one down.
    pub last: (Millis, Millis),
    /// Whether the gateway's side is open, and the scheduler's.
    pub open: (bool, bool),
}

/// A scheduler's address.
pub(crate) fn scheduler_address(i: usize) -> String {
    format!("10.0.0.{}:7001", i + 1)
}

/// Which scheduler has an address.
fn scheduler_at(address: &str) -> Option<usize> {
    let n: usize = address.strip_prefix("10.0.0.")?.strip_suffix(":7001")?.parse().ok()?;
    n.checked_sub(1)
}

impl Simulation {
    /// A scheduler's process starts, from its disk or with an empty one.
    pub(crate) fn scheduler_up(&mut self, i: usize, fresh_disk: bool) {
        if self.schedulers[i].core.is_some() {
            return;
        }
        let addresses: Vec<String> = (0..self.settings.schedulers).map(scheduler_address).collect();
        let zone = format!("z{}", i % 3 + 1);
        let mut s = SchedulerSettings::new("sim", &addresses[i], &zone, self.settings.election_timeout_ms);
        s.seeds = addresses.clone();
        s.founders = addresses;
        // Small bounds, so that snapshots, compaction and chunked transfers happen in every run.
        s.log.snapshot_after_bytes = 48 << 10;
        s.log.kept_tail_bytes = 8 << 10;
        s.log.snapshot_chunk_bytes = 8 << 10;
        if let Some(bytes) = self.settings.log_bytes {
            (s.log.max_command_bytes, s.log.max_uncommitted_bytes) = (bytes, bytes);
        }
        let (id, seed) = (self.rng.random::<u64>() >> 11, self.rng.random());
        let now = self.now;
        let n = &mut self.schedulers[i];
        n.machine.epoch += 1;
        n.machine.booted_at = now;
        n.syncing = false;
        n.tickets.clear();
        (n.busy_until_us, n.backlog) = (0, SchedulerBacklog::default());
        if fresh_disk {
            n.disk = MemoryLogStorage::new(RestoredState::joining());
            if self.settings.plant != Some(Plant::OldSelf) || n.id == 0 {
                n.id = id;
            }
        }
        let restored = n.disk.synced_state().clone();
        match Scheduler::new(s, n.id, restored, 0, seed) {
            Ok(core) => n.core = Some(core),
            Err(e) => self.divergences.push(format!("scheduler {i} can't start: {e}")),
        }
        let epoch = self.schedulers[i].machine.epoch;
        self.scheduler_tick(i, epoch);
    }

    /// A scheduler's process dies.
    pub(crate) fn scheduler_down(&mut self, i: usize) {
        let whole = self.rng.random_range(0..3);
        let cut = self.rng.random_range(0..200);
        let n = &mut self.schedulers[i];
        if n.core.take().is_none() {
            return;
        }
        n.machine.epoch += 1;
        n.machine.frozen_until = 0;
        (n.busy_until_us, n.backlog) = (0, SchedulerBacklog::default());
        n.disk.tear(whole, cut);
        let broken: Vec<u64> = self.channels.iter().filter(|(_, c)| c.scheduler.0 == i && c.open.1).map(|(n, _)| *n).collect();
        for channel in broken {
            self.close_channel(channel, false);
        }
    }

    /// When a frozen machine's share of an event comes: at once if it isn't frozen.
    pub(crate) fn thaw(m: &Machine, now: Millis) -> Option<Millis> {
        (m.frozen_until > now).then_some(m.frozen_until)
    }

    pub(crate) fn scheduler_tick(&mut self, i: usize, epoch: u64) {
        let n = &self.schedulers[i];
        if n.machine.epoch != epoch || n.core.is_none() {
            return;
        }
        let next = Self::thaw(&n.machine, self.now);
        if next.is_none() {
            let read_to = n.machine.now(n.backlog.unread_since().unwrap_or(self.now));
            let wall_ms = n.machine.wall(self.now);
            self.scheduler(i, SchedulerInput::Tick { wall_ms, read_to });
        }
        self.agenda.set(next.unwrap_or(self.now + TICK_MS), Occurrence::SchedulerTick(i, epoch));
    }

    pub(crate) fn peer_arrives(&mut self, to: usize, bytes: Vec<u8>) {
        match Self::thaw(&self.schedulers[to].machine, self.now) {
            Some(at) => self.agenda.set(at, Occurrence::Peer { to, bytes }),
            None => self.scheduler(to, SchedulerInput::Peer(bytes)),
        }
    }

    pub(crate) fn synced(&mut self, i: usize, epoch: u64, writes: usize) {
        let n = &mut self.schedulers[i];
        if n.machine.epoch != epoch {
            return;
        }
        // The disk goes on while the process is frozen; only the news waits.
        if let Some(at) = Self::thaw(&n.machine, self.now) {
            self.agenda.set(at, Occurrence::Synced { scheduler: i, epoch, writes });
            return;
        }
        n.syncing = false;
        let ticket = n.disk.sync_some(writes);
        if let Some(t) = ticket.filter(|_| self.settings.plant != Some(Plant::AckBeforeSync)) {
            self.scheduler(i, SchedulerInput::Persisted(t));
        }
        self.start_sync(i);
    }

    /// Planted: a write counts as synced while it isn't.
    pub(crate) fn acked(&mut self, i: usize, epoch: u64, ticket: u64) {
        if self.schedulers[i].machine.epoch != epoch {
            return;
        }
        match Self::thaw(&self.schedulers[i].machine, self.now) {
            Some(at) => self.agenda.set(at, Occurrence::Acked { scheduler: i, epoch, ticket }),
            None => self.scheduler(i, SchedulerInput::Persisted(ticket)),
        }
    }

    /// Starts a sync of all that is staged, if none is under way.
    fn start_sync(&mut self, i: usize) {
        let (least, most) = self.schedulers[i].sync_ms;
        let took = self.rng.random_range(least..=most);
        let n = &mut self.schedulers[i];
        if n.syncing || n.disk.unsynced() == 0 {
            return;
        }
        n.syncing = true;
        let o = Occurrence::Synced { scheduler: i, epoch: n.machine.epoch, writes: n.disk.unsynced() };
        self.agenda.set(self.now + took, o);
    }

    /// Steps a scheduler and carries out its effects.
    pub(crate) fn scheduler(&mut self, i: usize, input: SchedulerInput) {
        let n = &mut self.schedulers[i];
        let local = n.machine.now(self.now);
        let Some(core) = n.core.as_mut() else { return };
        let commit = core.replica().commit_index();
        let looked = core.counters.looks.total();
        let effects = core.step(local, input);
        let looks = core.counters.looks.total() - looked;
        self.spend(i, looks, &effects);
        self.check_state(i, commit);
        for e in effects {
            match e {
                SchedulerEffect::Persist(r) => {
                    let ticket = r.ticket;
                    self.schedulers[i].disk.stage(r);
                    self.start_sync(i);
                    if self.settings.plant == Some(Plant::AckBeforeSync) {
                        let epoch = self.schedulers[i].machine.epoch;
                        self.agenda.set(self.now, Occurrence::Acked { scheduler: i, epoch, ticket });
                    }
                }
                SchedulerEffect::Peer { address, bytes } => self.send_peer(i, &address, &bytes),
                SchedulerEffect::Gateway(channel, f) => self.send_frame(channel, Direction::Down((*f).clone())),
                // Nobody calls a scheduler itself here.
                SchedulerEffect::Answer { .. } => {}
                SchedulerEffect::Halt(reason) if matches!(*reason, HaltReason::Retired { .. }) => {
                    // Its store is put aside, and its process comes back as a new member.
                    self.scheduler_down(i);
                    self.agenda.set(self.now + RETURN_MS, Occurrence::SchedulerUp { scheduler: i, fresh_disk: true });
                    return;
                }
                SchedulerEffect::Halt(reason) => self.divergences.push(format!("scheduler {i} halted: {reason}")),
                SchedulerEffect::Leading(l) => {
                    if self.verbose {
                        println!("{:>7} scheduler {i} leads: {l:?}", self.now);
                    }
                }
            }
        }
    }

    /// Compares the folded state with that of whoever was at the same index first.
    fn check_state(&mut self, i: usize, before: u64) {
        let Some(core) = self.schedulers[i].core.as_ref() else { return };
        let at = core.replica().commit_index();
        // Each few entries are enough: a state that differs stays so.
        if at == before || at % DIGEST_EVERY != 0 {
            return;
        }
        if core.counters.unreadable > 0 {
            self.divergences.push(format!("scheduler {i} could not read {} entries or snapshots", core.counters.unreadable));
        }
        if core.replica().counters().committed_conflicts > 0 {
            self.divergences.push(format!("scheduler {i} was told to change committed entries"));
        }
        let digest = core.state().digest();
        let first = self.digests.entry(at).or_insert_with(|| digest.clone());
        if *first != digest {
            self.divergences.push(format!("scheduler {i} differs at index {at}"));
        }
    }

    fn send_peer(&mut self, from: usize, address: &str, bytes: &[u8]) {
        let Some(to) = scheduler_at(address) else { return };
        let (a, b) = (Node::Scheduler(from), Node::Scheduler(to));
        if self.network.cut_until(self.now, a, b).is_some() {
            return;
        }
        for _ in 0..self.network.copies() {
            let delay = self.network.delay();
            let leaves_at = self.schedulers[from].busy_until().max(self.now);
            self.agenda.set(leaves_at + delay, Occurrence::Peer { to, bytes: bytes.to_vec() });
        }
    }

    pub(crate) fn dialled(&mut self, gateway: usize, epoch: u64, address: String) {
        if self.gateways[gateway].machine.epoch != epoch {
            return;
        }
        if let Some(at) = Self::thaw(&self.gateways[gateway].machine, self.now) {
            self.agenda.set(at, Occurrence::Dialled { gateway, epoch, address });
            return;
        }
        let there = scheduler_at(&address).filter(|s| self.schedulers[*s].core.is_some());
        let open = there.filter(|s| {
            let (a, b) = (Node::Gateway(gateway), Node::Scheduler(*s));
            self.network.cut_until(self.now, a, b).is_none() && self.network.cut_until(self.now, b, a).is_none()
        });
        let Some(s) = open else {
            self.gateway(gateway, GatewayInput::DialFailed { address });
            return;
        };
        self.next_channel += 1;
        let channel = self.next_channel;
        let c = Channel {
            gateway: (gateway, epoch),
            scheduler: (s, self.schedulers[s].machine.epoch),
            last: (self.now, self.now),
            open: (true, true),
        };
        self.channels.insert(channel, c);
        if self.schedulers[s].busy_until() <= self.now {
            self.scheduler(s, SchedulerInput::GatewayUp(channel));
        }
        self.gateway(gateway, GatewayInput::ChannelUp { channel, address });
    }

    /// Puts a frame on its way: in order, late over a cut, lost once the channel is closed.
    pub(crate) fn send_frame(&mut self, channel: u64, direction: Direction) {
        let Some(c) = self.channels.get(&channel) else { return };
        let (g, s) = (Node::Gateway(c.gateway.0), Node::Scheduler(c.scheduler.0));
        let up = matches!(direction, Direction::Up(_));
        let (from, to) = if up { (g, s) } else { (s, g) };
        let leaves_at = if up { self.now } else { self.schedulers[c.scheduler.0].busy_until().max(self.now) };
        let base = self.network.cut_until(self.now, from, to).unwrap_or(self.now).max(leaves_at);
        let delay = self.network.delay();
        let Some(c) = self.channels.get_mut(&channel) else { return };
        let last = if up { &mut c.last.0 } else { &mut c.last.1 };
        *last = (base + delay).max(*last);
        let at = *last;
        self.agenda.set(at, Occurrence::Frame { channel, direction: Box::new(direction) });
    }

    pub(crate) fn frame_arrives(&mut self, arrived_at: Millis, channel: u64, direction: Box<Direction>) {
        let Some(c) = self.channels.get(&channel) else { return };
        let (g, s, open) = (c.gateway, c.scheduler, c.open);
        let machine = match &*direction {
            Direction::Up(_) => &self.schedulers[s.0].machine,
            Direction::Down(_) => &self.gateways[g.0].machine,
        };
        if let Some(at) = Self::thaw(machine, self.now) {
            self.agenda.set(at, Occurrence::Frame { channel, direction });
            return;
        }
        match *direction {
            Direction::Up(mut f) if open.1 && self.schedulers[s.0].machine.epoch == s.1 => {
                if self.settings.plant == Some(Plant::FormerHolderBelieved) {
                    self.believe(s.0, &mut f);
                }
                let arrived_at = self.schedulers[s.0].machine.now(arrived_at);
                self.scheduler(s.0, SchedulerInput::Gateway { channel, arrived_at, frame: Box::new(f) })
            }
            Direction::Down(frame) if open.0 && self.gateways[g.0].machine.epoch == g.1 => {
                self.gateway(g.0, GatewayInput::Frame { channel, frame });
            }
            _ => {}
        }
    }

    /// Planted: facts count as if their teller held the workers.
    fn believe(&self, scheduler: usize, frame: &mut GatewayFrame) {
        let GatewayFrame::Facts { facts, .. } = frame else { return };
        let Some(core) = self.schedulers[scheduler].core.as_ref() else { return };
        for f in facts {
            f.assignment = core.state().worker(&f.worker).map_or(f.assignment, |w| w.1.assignment);
        }
    }

    /// One side closes a channel; the other learns of it if the way there is open.
    pub(crate) fn close_channel(&mut self, channel: u64, by_gateway: bool) {
        let Some(c) = self.channels.get_mut(&channel) else { return };
        match by_gateway {
            true => c.open.0 = false,
            false => c.open.1 = false,
        }
        let (g, s) = (Node::Gateway(c.gateway.0), Node::Scheduler(c.scheduler.0));
        let (from, to) = if by_gateway { (g, s) } else { (s, g) };
        let last = if by_gateway { c.last.0 } else { c.last.1 };
        let base = self.network.cut_until(self.now, from, to).unwrap_or(self.now);
        let at = (base + self.network.delay()).max(last);
        let o = match by_gateway {
            true => Occurrence::SchedulerChannelDown { channel },
            false => Occurrence::GatewayChannelDown { channel },
        };
        self.agenda.set(at, o);
    }

    pub(crate) fn gateway_channel_down(&mut self, channel: u64) {
        let Some(c) = self.channels.get_mut(&channel) else { return };
        let (g, epoch) = c.gateway;
        if let Some(at) = Self::thaw(&self.gateways[g].machine, self.now) {
            self.agenda.set(at, Occurrence::GatewayChannelDown { channel });
            return;
        }
        let was = std::mem::replace(&mut c.open.0, false);
        self.channels.remove(&channel);
        if was && self.gateways[g].machine.epoch == epoch {
            self.gateway(g, GatewayInput::ChannelDown { channel });
        }
    }

    pub(crate) fn scheduler_channel_down(&mut self, channel: u64) {
        let Some(c) = self.channels.get_mut(&channel) else { return };
        let (s, epoch) = c.scheduler;
        if let Some(at) = Self::thaw(&self.schedulers[s].machine, self.now) {
            self.agenda.set(at, Occurrence::SchedulerChannelDown { channel });
            return;
        }
        let was = std::mem::replace(&mut c.open.1, false);
        self.channels.remove(&channel);
        if was && self.schedulers[s].machine.epoch == epoch {
            self.scheduler(s, SchedulerInput::GatewayDown(channel));
        }
    }
}

/// How long a process that ended by itself is away.
const RETURN_MS: Millis = 500;
/// Log indexes at which folded states are compared.
const DIGEST_EVERY: u64 = 64;
