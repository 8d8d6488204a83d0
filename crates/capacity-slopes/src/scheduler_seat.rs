use crate::prelude::*;

/// A scheduler's core with its hollow disk, timed and counted.
pub struct SchedulerSeat {
    /// The core.
    pub core: Scheduler,
    /// What it spent in the window.
    pub usage: RoleUsage,
    /// The newest write that is staged.
    pub staged: Option<u64>,
    /// Whether a sync is under way.
    pub syncing: bool,
}

/// What a step of a scheduler sends, encoded.
#[derive(Debug, Default)]
pub struct SchedulerOutput {
    /// To schedulers.
    pub peers: Vec<(String, Vec<u8>)>,
    /// To gateways.
    pub gateways: Vec<(u64, &'static str, Vec<u8>)>,
    /// Whether something was staged for the disk.
    pub wrote: bool,
}

impl SchedulerSeat {
    /// A seat around a core.
    pub fn new(core: Scheduler) -> Self {
        SchedulerSeat { core, usage: RoleUsage::default(), staged: None, syncing: false }
    }

    /// One step, its decoding and encoding timed.
    pub fn step(&mut self, now: Millis, input: impl FnOnce() -> Option<SchedulerInput>) -> SchedulerOutput {
        let began = thread_cpu_ns();
        let effects = match input() {
            Some(i) => self.core.step(now, i),
            None => Vec::new(),
        };
        let mut out = SchedulerOutput::default();
        for e in effects {
            match e {
                SchedulerEffect::Persist(r) => {
                    let (bytes, snapshot) = record_bytes(&r);
                    self.usage.disk_bytes += bytes + snapshot;
                    self.usage.snapshot_bytes += snapshot;
                    self.staged = Some(r.ticket);
                    out.wrote = true;
                }
                SchedulerEffect::Peer { address, bytes } => out.peers.push((address, bytes)),
                SchedulerEffect::Gateway(c, f) => out.gateways.push((c, frame_kind(&f), f.to_bytes())),
                // A core that halts serves no more, and the driver tells that its load was not reached.
                SchedulerEffect::Leading(_) | SchedulerEffect::Halt(_) | SchedulerEffect::Answer { .. } => {}
            }
        }
        let took = thread_cpu_ns() - began;
        self.usage.cpu_ns += took;
        self.usage.longest_ns = self.usage.longest_ns.max(took);
        self.usage.steps += 1;
        for (_, b) in &out.peers {
            self.usage.sent.frame(peer_kind(b), b.len());
        }
        for (_, kind, b) in &out.gateways {
            self.usage.sent.frame(kind, b.len());
        }
        out
    }
}

/// Bytes of a log record's key in the store.
const KEY: u64 = 8;

/// Bytes of the records of a write, and of its snapshot.
fn record_bytes(r: &PersistRequest) -> (u64, u64) {
    let entries: u64 = r.entries.iter().map(|e: &LogEntry| KEY + StoredRecord::encode(e).len() as u64).sum();
    let state = r.hard_state.map_or(0, |h| KEY + StoredRecord::encode(&h).len() as u64);
    (entries + state, r.snapshot.as_ref().map_or(0, |s| s.bytes.len() as u64))
}

/// The kind of a frame to a gateway.
fn frame_kind(f: &SchedulerFrame) -> &'static str {
    match f {
        SchedulerFrame::Attached { .. } => "attached",
        SchedulerFrame::NotLeader { .. } => "not leader",
        SchedulerFrame::PulseEcho { .. } => "pulse echo",
        SchedulerFrame::Answer { .. } => "answer",
        SchedulerFrame::Update(_) => "update",
        SchedulerFrame::FactsDone { .. } => "facts done",
        SchedulerFrame::Shed(_) => "shed",
    }
}

/// The kind of a frame between schedulers.
pub(crate) fn peer_kind(b: &[u8]) -> &'static str {
    let Ok(PeerFrame::Log(m)) = PeerFrame::from_bytes(b) else { return "hello" };
    match replicated_log::prelude::Message::from_bytes(&m).map(|m| m.body) {
        Ok(MessageBody::Append(a)) if a.entries.is_empty() => "heartbeat",
        Ok(MessageBody::Append(_)) => "append",
        Ok(MessageBody::AppendAck(_)) => "append ack",
        Ok(MessageBody::SnapshotChunk(_) | MessageBody::SnapshotAck(_)) => "snapshot",
        _ => "election",
    }
}
