//! Appending, acknowledging, committing.

use crate::prelude::*;

impl<R: RandomSource> Replica<R> {
    /// Appends an entry of our own term; the first one moves the cluster clock on.
    pub(crate) fn append_own(&mut self, body: LogEntryBody) -> Index {
        let first = u64::from(self.log.last_term() != self.term);
        let log_time = max(self.log_time(self.now), self.log.last_log_time() + first);
        let index = self.log.last_index() + 1;
        let entry = LogEntry { term: self.term, index, log_time, body };
        self.uncommitted_bytes += entry.size();
        if self.append_entry(entry) {
            self.sync_progress();
        }
        index
    }

    /// Appends to memory and to this step's write; says whether it was a membership.
    fn append_entry(&mut self, entry: LogEntry) -> bool {
        let changed = self.members.append(&entry);
        self.outbox.request.entries.push(entry.clone());
        self.log.push(entry);
        self.anchor_log_time();
        self.note_unsynced();
        changed
    }

    fn truncate_from(&mut self, index: Index) {
        self.counters.truncated += self.log.truncate_from(index);
        self.outbox.request.truncate_from = Some(index);
        self.durable = min(self.durable, index - 1);
        for (_, end) in &mut self.unsynced {
            *end = min(*end, index - 1);
        }
        if self.members.truncate_from(index) {
            self.refresh_role();
        }
    }

    /// A leader of our term spoke; false when that cannot be.
    pub(crate) fn heed(&mut self, from: NodeId) -> bool {
        if !self.shift(RoleEvent::LeaderHeard) {
            return false;
        }
        self.leader = Some(from);
        self.leader_heard_at = Some(self.now);
        self.reset_election_due();
        true
    }

    fn own_wall(&self) -> Option<Millis> {
        self.wall.map(|(wall, at)| wall + (self.now - at))
    }

    pub(crate) fn acknowledge(&mut self, to: NodeId, gate: Gate, sent_at: Millis, match_index: Index, conflict: Option<ConflictHint>) {
        let ack = AppendAck { sent_at, match_index, conflict, wall_ms: self.own_wall() };
        self.send(to, gate, MessageBody::AppendAck(ack));
    }

    pub(crate) fn on_append(&mut self, from: NodeId, append: Append) {
        if !self.heed(from) {
            return;
        }
        let Append { mut prev_index, mut prev_term, commit, sent_at, mut entries } = append;
        let numbered = entries.iter().zip(prev_index + 1..).all(|(e, index)| e.index == index);
        if !numbered {
            self.counters.malformed += 1;
            return;
        }
        let base = self.log.base_index();
        if prev_index < base {
            // What is compacted here is committed, hence equal.
            let skipped = min(entries.len(), (base - prev_index) as usize);
            entries.drain(..skipped);
            prev_index += skipped as Index;
            if prev_index < base {
                self.acknowledge(from, Gate::HardState, sent_at, prev_index, None);
                return;
            }
            prev_term = self.log.term_at(base).unwrap_or(prev_term);
        }
        let own_term = self.log.term_at(prev_index);
        if own_term != Some(prev_term) {
            let index = match own_term {
                Some(_) => self.log.first_of_term(prev_index),
                None => self.log.last_index() + 1,
            };
            let hint = ConflictHint { prev_index, term: own_term, index };
            self.acknowledge(from, Gate::HardState, sent_at, 0, Some(hint));
            return;
        }
        let (end, heartbeat) = (prev_index + entries.len() as Index, entries.is_empty());
        if !self.take_entries(entries) {
            return;
        }
        self.commit_to(min(commit, end));
        if heartbeat {
            // Sent at once, also while the disk is slow, with what is synced.
            let synced = min(end, self.durable);
            self.acknowledge(from, Gate::HardState, sent_at, synced, None);
        } else {
            self.acknowledge(from, Gate::Everything, sent_at, end, None);
        }
    }

    /// Skips what is there already, truncates what differs, appends the rest.
    fn take_entries(&mut self, entries: Vec<LogEntry>) -> bool {
        let mut changed = false;
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) if entry.index <= self.commit => {
                    self.counters.committed_conflicts += 1;
                    return false;
                }
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            changed |= self.append_entry(entry);
        }
        if changed {
            self.refresh_role();
        }
        true
    }

    pub(crate) fn on_append_ack(&mut self, from: NodeId, ack: AppendAck) {
        let (now, last) = (self.now, self.log.last_index());
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard(now, ack.sent_at, ack.wall_ms);
        if let Some(hint) = ack.conflict {
            let stale = match progress.pace {
                Pace::Probe { .. } => hint.prev_index + 1 != progress.next_index,
                Pace::Pipeline { .. } => hint.prev_index >= progress.next_index,
                Pace::Snapshot { .. } => true,
            };
            if stale || hint.prev_index <= progress.match_index {
                return;
            }
            let next = match hint.term {
                Some(term) => {
                    let place = self.log.last_not_newer(hint.prev_index, term);
                    let shared = self.log.term_at(place) == Some(term);
                    if shared { place + 1 } else { hint.index }
                }
                None => hint.index,
            };
            let next = min(next, hint.prev_index);
            progress.next_index = next.clamp(progress.match_index + 1, last + 1);
            progress.pace = Pace::Probe { waiting: false };
            return;
        }
        progress.matched(min(ack.match_index, last));
        let arrived = match &progress.pace {
            Pace::Probe { .. } => true,
            Pace::Pipeline { .. } => false,
            Pace::Snapshot { snapshot, .. } => progress.match_index >= snapshot.index,
        };
        if arrived {
            progress.pace = Pace::Pipeline { inflight: VecDeque::new() };
        }
    }

    /// Commits what a quorum has synced, if it is of our own term.
    pub(crate) fn advance_commit(&mut self) {
        let matched = |id: &NodeId| match *id == self.id {
            true => self.durable,
            false => self.progress.get(id).map_or(0, |p| p.match_index),
        };
        let mut matches: Vec<_> = self.membership().voters.keys().map(matched).collect();
        matches.sort_unstable_by(|a, b| b.cmp(a));
        let index = matches.get(self.membership().quorum() - 1).copied().unwrap_or(0);
        if index > self.commit && self.log.term_at(index) == Some(self.term) {
            self.commit_to(index);
        }
    }

    /// Sends each member what it lacks, and a heartbeat when one is due.
    pub(crate) fn feed_members(&mut self) {
        let ids: Vec<_> = self.progress.keys().copied().collect();
        for id in ids {
            let Some(mut progress) = self.progress.remove(&id) else {
                continue;
            };
            self.feed(id, &mut progress);
            self.progress.insert(id, progress);
        }
    }

    fn feed(&mut self, id: NodeId, progress: &mut Progress) {
        let beat = self.now >= progress.last_sent_at + self.settings.heartbeat_ms;
        let lacks = match &progress.pace {
            // Nothing of it arrived yet: a newer one is as good.
            Pace::Snapshot { snapshot, offset: 0, .. } => self.snapshot.as_ref().is_some_and(|s| s.index > snapshot.index),
            Pace::Snapshot { .. } => false,
            _ => self.log.term_at(progress.next_index - 1).is_none(),
        };
        if lacks && let Some(snapshot) = self.snapshot.clone() {
            progress.pace = Pace::Snapshot { snapshot, offset: 0, waiting: false };
        }
        let (last, limit) = (self.log.last_index(), self.settings.max_inflight_batches);
        match &mut progress.pace {
            Pace::Probe { waiting } if !*waiting => {
                *waiting = true;
                let bytes = self.settings.max_batch_bytes;
                self.send_append(id, progress, bytes);
            }
            Pace::Pipeline { inflight } => {
                let mut room = limit.saturating_sub(inflight.len());
                let mut sent = false;
                while room > 0 && progress.next_index <= last {
                    let bytes = self.settings.max_batch_bytes;
                    progress.next_index = self.send_append(id, progress, bytes) + 1;
                    if let Pace::Pipeline { inflight } = &mut progress.pace {
                        inflight.push_back(progress.next_index - 1);
                    }
                    room -= 1;
                    sent = true;
                }
                let pushes = self.settings.push_commits && progress.commit_sent < self.commit;
                if !sent && (beat || pushes) {
                    self.send_append(id, progress, 0);
                }
            }
            Pace::Snapshot { waiting, .. } if beat || !*waiting => {
                self.send_chunk(id, progress);
            }
            Pace::Probe { .. } if beat => {
                self.send_append(id, progress, 0);
            }
            Pace::Probe { .. } | Pace::Snapshot { .. } => {}
        }
    }

    /// Sends entries from the member's next index on, none when `bytes` is 0;
    /// says the last index sent.
    fn send_append(&mut self, id: NodeId, progress: &mut Progress, bytes: usize) -> Index {
        let prev_index = progress.next_index - 1;
        let entries = match bytes {
            0 => Vec::new(),
            _ => self.log.batch(progress.next_index, bytes),
        };
        let last = prev_index + entries.len() as Index;
        let prev_term = self.log.term_at(prev_index).unwrap_or(0);
        let (commit, sent_at) = (self.commit, self.now);
        progress.commit_sent = commit;
        progress.last_sent_at = self.now;
        let append = Append { prev_index, prev_term, commit, sent_at, entries };
        self.send(id, Gate::HardState, MessageBody::Append(append));
        last
    }
}
