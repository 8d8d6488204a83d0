//! Snapshots: making, sending, taking.

use crate::prelude::*;

impl<R: RandomSource> Replica<R> {
    /// Keeps a snapshot of the state machine and forgets entries it covers, but
    /// for a tail that spares members which lag a little.
    pub(crate) fn snapshot_made(&mut self, index: Index, bytes: Vec<u8>) {
        let newer = self.snapshot.as_ref().is_none_or(|s| s.index < index);
        if !newer || index > self.commit {
            return;
        }
        let Some(entry) = self.log.get(index) else {
            return;
        };
        let (term, log_time) = (entry.term, entry.log_time);
        let membership = self.members.at(index).clone();
        let snapshot = Arc::new(Snapshot { index, term, log_time, membership, bytes });
        self.outbox.request.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
        let end = self.log.compactable(index, self.settings.kept_tail_bytes);
        if end > self.log.base_index() {
            self.log.compact_to(end);
            self.outbox.request.compact_to = Some(end);
        }
        self.members.compact_to(index);
        self.bytes_since_snapshot = self.log.range(index + 1, self.commit).map(LogEntry::size).sum();
    }

    pub(crate) fn send_chunk(&mut self, id: NodeId, progress: &mut Progress) {
        let Pace::Snapshot { snapshot, offset, waiting } = &mut progress.pace else {
            return;
        };
        *waiting = true;
        let total = snapshot.bytes.len();
        let start = min(*offset as usize, total);
        let end = min(start + max(1, self.settings.snapshot_chunk_bytes), total);
        let bytes = snapshot.bytes[start..end].to_vec();
        let head = Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            log_time: snapshot.log_time,
            membership: snapshot.membership.clone(),
            bytes: Vec::new(),
        };
        progress.last_sent_at = self.now;
        let (offset, total, sent_at) = (start as u64, total as u64, self.now);
        let chunk = SnapshotChunk { head, offset, total, sent_at, bytes };
        self.send(id, Gate::HardState, MessageBody::SnapshotChunk(chunk));
    }

    pub(crate) fn on_snapshot_ack(&mut self, from: NodeId, ack: &SnapshotAck) {
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard(now, ack.sent_at, ack.wall_ms);
        if let Pace::Snapshot { snapshot, offset, waiting } = &mut progress.pace
            && snapshot.index == ack.index
            && *offset != ack.received
        {
            *offset = ack.received;
            // The last piece is answered by an `AppendAck` once it is synced.
            *waiting = ack.received >= snapshot.bytes.len() as u64;
        }
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: NodeId, chunk: SnapshotChunk) {
        if !self.heed(from) {
            return;
        }
        let sent_at = chunk.sent_at;
        if chunk.head.index <= self.commit {
            // Committed here, hence equal; only what is synced is acknowledged.
            let synced = min(chunk.head.index, self.durable);
            self.acknowledge(from, Gate::HardState, sent_at, synced, None);
            return;
        }
        if chunk.total > self.settings.max_snapshot_bytes || chunk.bytes.len() as u64 > chunk.total {
            self.counters.malformed += 1;
            return;
        }
        let fits = self.incoming.as_ref().is_some_and(|t| t.fits(from, self.term, &chunk));
        if !fits {
            let partial = Snapshot { bytes: Vec::new(), ..chunk.head.clone() };
            let (term, total) = (self.term, chunk.total);
            self.incoming = Some(SnapshotTransfer { from, term, partial, total });
        }
        let Some(transfer) = &mut self.incoming else {
            return;
        };
        let end = chunk.offset.saturating_add(chunk.bytes.len() as u64);
        if chunk.offset == transfer.received() && end <= transfer.total {
            transfer.partial.bytes.extend_from_slice(&chunk.bytes);
        }
        let received = transfer.received();
        if received < transfer.total {
            let wall_ms = self.wall.map(|(wall, at)| wall + (self.now - at));
            let ack = SnapshotAck { index: chunk.head.index, received, sent_at, wall_ms };
            self.send(from, Gate::HardState, MessageBody::SnapshotAck(ack));
            return;
        }
        if let Some(transfer) = self.incoming.take() {
            self.install(transfer.partial);
        }
        self.acknowledge(from, Gate::Everything, sent_at, chunk.head.index, None);
    }

    fn install(&mut self, snapshot: Snapshot) {
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.commit_to(snapshot.index);
            return;
        }
        self.counters.snapshots_installed += 1;
        let snapshot = Arc::new(snapshot);
        self.log = LogTail::new(snapshot.index, snapshot.term, snapshot.log_time);
        self.members = MembershipHistory::new(snapshot.index, snapshot.membership.clone());
        self.commit = snapshot.index;
        self.bytes_since_snapshot = 0;
        self.durable = 0;
        for (_, end) in &mut self.unsynced {
            *end = 0;
        }
        self.outbox.request.truncate_from = Some(0);
        self.outbox.request.snapshot = Some(snapshot.clone());
        self.note_unsynced();
        self.anchor_log_time();
        self.snapshot = Some(snapshot.clone());
        self.outbox.push(Effect::InstallSnapshot(snapshot));
        self.refresh_role();
    }
}
