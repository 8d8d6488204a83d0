//! Sessions with gateways: what they say, and the news they get.

use crate::prelude::*;

/// After this part of a gateway's silence its channel is given up, by the gateway as well.
const STALE_PART: u64 = 2;
/// Frames that wait for the lease at most.
const MOST_HELD: usize = 8_192;
/// Whole views that leave at once at most.
const MOST_WHOLE_VIEWS: usize = 16;
/// Batches of whole views in one hold interval at most.
const WHOLE_VIEW_BATCHES_A_HOLD: u64 = 8;
/// A gateway whose channel broke has this part of a silence to attach again.
const REATTACH_PART: u64 = 4;

impl Scheduler {
    /// Who leads, as far as this one knows.
    pub(crate) fn not_leader(&self) -> SchedulerFrame {
        let leader = self.replica.leader_hint().filter(|l| *l != self.replica.id()).and_then(|l| self.address_of(l));
        SchedulerFrame::NotLeader { leader, schedulers: self.addresses() }
    }

    /// The schedulers' addresses.
    pub(crate) fn addresses(&self) -> Vec<String> {
        let mut v: Vec<String> = self.replica.membership().members().map(|m| m.1.endpoint.clone()).collect();
        v.sort_unstable();
        v.dedup();
        v
    }

    /// A gateway's frame. Its silence and its callers' time count from the frame's arrival, not from when it is read.
    pub(crate) fn gateway(&mut self, now: Millis, c: ChannelId, arrived_at: Millis, f: GatewayFrame) {
        if self.leading.is_some() && !self.is_serving(now) && self.held.len() < MOST_HELD {
            return self.hold_frame(c, arrived_at, f);
        }
        if !self.is_serving(now) {
            let frame = self.not_leader();
            self.sessions.remove(&c);
            self.send_gateway(c, frame);
            return;
        }
        if let GatewayFrame::Attach { wire_version, cluster, name, instance, zone, http_address, view, configuration } = f {
            if wire_version != WIRE_VERSION || cluster != self.settings.cluster {
                let error = match wire_version != WIRE_VERSION {
                    true => CallError::UnknownVersion { found: wire_version, wanted: WIRE_VERSION },
                    false => CallError::NotAllowed { name: cluster, reason: "is another cluster".to_owned() },
                };
                self.send_gateway(c, SchedulerFrame::Shed(error));
                return;
            }
            let record = GatewayRecord { instance, zone, http_address, alive: true };
            self.sessions.retain(|_, s| s.name != name);
            let session = GatewaySession {
                name: name.clone(),
                record: record.clone(),
                view,
                ordered: view,
                scanned: view,
                configuration,
                heard_at: arrived_at,
                flushed_at: 0,
                reports: VecDeque::new(),
                reported: 0,
            };
            self.sessions.insert(c, session);
            self.flushed.start_over();
            self.heard.insert(name.clone(), (instance, arrived_at));
            let log_time_ms = self.replica.log_time(now);
            let attached =
                SchedulerFrame::Attached { node: self.replica.id(), term: self.replica.term(), log_time_ms, schedulers: self.addresses() };
            self.send_gateway(c, attached);
            if self.ledger.state.tables.gateways.get(&name) != Some(&record) {
                let GatewayRecord { instance, zone, http_address, .. } = record;
                self.propose(now, Command::GatewayAttached { name, instance, zone, http_address }, None, Millis::MAX);
            }
            return;
        }
        let log_time_ms = self.replica.log_time(now);
        // A gateway gives up a channel that was silent for half of this: what comes after was stuck on its way, and an
        // order among it could undo a newer one that came another way.
        let stale = |s: &GatewaySession| arrived_at.saturating_sub(s.heard_at) > self.settings.gateway_silence_ms / STALE_PART;
        if self.sessions.get(&c).is_some_and(stale) {
            self.sessions.remove(&c);
        }
        let Some(s) = self.sessions.get_mut(&c) else {
            let frame = self.not_leader();
            self.send_gateway(c, frame);
            return;
        };
        s.heard_at = s.heard_at.max(arrived_at);
        let name = s.name.clone();
        if let Some(h) = self.heard.get_mut(&name) {
            h.1 = h.1.max(arrived_at);
        }
        match f {
            GatewayFrame::Attach { .. } => {}
            GatewayFrame::Pulse { stamp, .. } => {
                // It may have been given up while it was silent.
                let record = s.record.clone();
                self.send_gateway(c, SchedulerFrame::PulseEcho { stamp, log_time_ms });
                if self.ledger.state.tables.gateways.get(&name) != Some(&record) {
                    let GatewayRecord { instance, zone, http_address, .. } = record;
                    let again = Command::GatewayAttached { name, instance, zone, http_address };
                    if !self.inbox.iter().any(|i| i.command == again) {
                        self.propose(now, again, None, Millis::MAX);
                    }
                }
            }
            GatewayFrame::Ask { request, time_budget_ms, body } => self.ask(now, (c, request), arrived_at + time_budget_ms, body),
            GatewayFrame::Facts { report, facts } => {
                if report <= s.reported {
                    return;
                }
                s.reported = report;
                s.reports.push_back(OpenReport { report, open: facts.len(), since: now });
                let part = ReportPart { channel: c, report };
                self.inbox.extend(facts.into_iter().map(|f| QueuedCommand::fact(f, part, now)));
                self.acknowledge_reports(c);
            }
            GatewayFrame::WantConfiguration => {
                s.configuration = 0;
                self.flushed.start_over();
            }
        }
    }

    /// Tells a gateway which of its reports are in the log.
    pub(crate) fn acknowledge_reports(&mut self, channel: ChannelId) {
        if let Some(report) = self.sessions.get_mut(&channel).and_then(GatewaySession::take_done) {
            self.send_gateway(channel, SchedulerFrame::FactsDone { report });
        }
    }

    /// A fact can't get into the log. Acknowledgements are cumulative, so none may follow on its channel: the gateway attaches again, and
    /// tells all that isn't acknowledged.
    pub(crate) fn give_session_up(&mut self, channel: ChannelId) {
        if self.sessions.remove(&channel).is_some() {
            let frame = self.not_leader();
            self.send_gateway(channel, frame);
        }
    }

    /// A frame that came while this scheduler leads but has no lease, or hasn't applied what was committed before. Both are over in a
    /// moment as a rule; a gateway that was sent away would ask for all it knows anew. Until then it is told nothing, not even that this
    /// one is there.
    fn hold_frame(&mut self, channel: ChannelId, arrived_at: Millis, frame: GatewayFrame) {
        if let (GatewayFrame::Pulse { .. }, Some(s)) = (&frame, self.sessions.get_mut(&channel)) {
            s.heard_at = s.heard_at.max(arrived_at);
            if let Some(h) = self.heard.get_mut(&s.name) {
                h.1 = h.1.max(arrived_at);
            }
            return;
        }
        self.held.push_back(HeldFrame { channel, arrived_at, frame });
    }

    /// Carries out what waited for the lease.
    pub(crate) fn release_held(&mut self, now: Millis) {
        for HeldFrame { channel, arrived_at, frame } in std::mem::take(&mut self.held) {
            self.gateway(now, channel, arrived_at, frame);
        }
    }

    /// A gateway's channel is gone: a process that ended won't come back on it, so it has little time left to attach again.
    pub(crate) fn gateway_down(&mut self, now: Millis, c: ChannelId) {
        self.held.retain(|held| held.channel != c);
        let Some(s) = self.sessions.remove(&c) else { return };
        let patience = self.settings.gateway_silence_ms / REATTACH_PART;
        if let Some(h) = self.heard.get_mut(&s.name).filter(|h| h.0 == s.record.instance) {
            h.1 = h.1.min((now + patience).saturating_sub(self.settings.gateway_silence_ms));
        }
    }

    /// News to the gateways.
    pub(crate) fn flush(&mut self, now: Millis) {
        let last = self.ledger.journal.last();
        if last == 0 || self.flushed.is_done(now, last) {
            return;
        }
        let every = self.settings.view_flush_ms();
        let configuration = self.ledger.state.configuration.version();
        // Most gateways have been told as much as all others: what is urgent is sorted out once for them.
        let (told_to, whole_views_at) = (self.flushed.told_to, self.flushed.whole_views_at);
        let (mut due_at, mut whole_views) = (Millis::MAX, 0);
        let urgent = self.ledger.journal.since(told_to).map(|news| UrgentNews::of(&self.ledger.state, news));
        let mut builder = ViewBuilder::new(&self.ledger);
        for (c, s) in &mut self.sessions {
            if s.view == last && s.configuration == configuration {
                continue;
            }
            let wanted = match (s.ordered, &urgent) {
                (0, _) => None,
                (_, Some(urgent)) if s.scanned == told_to => Some(urgent.wanted(&s.name)),
                _ => self.ledger.journal.since(s.scanned).map(|news| UrgentNews::of(&self.ledger.state, news).wanted(&s.name)),
            };
            let due = wanted == Some(Flush::All) || now >= s.flushed_at + every;
            if !due && wanted == Some(Flush::Later) {
                s.scanned = last;
                due_at = due_at.min(s.flushed_at + every);
                continue;
            }
            if wanted.is_none() {
                // Whole views leave in batches: however many gateways attach at once, the leader has other things to do.
                if now < whole_views_at || whole_views == MOST_WHOLE_VIEWS {
                    due_at = due_at.min(whole_views_at.max(now + 1));
                    continue;
                }
                whole_views += 1;
                let count = if s.ordered == 0 { &mut self.counters.first_views } else { &mut self.counters.overtaken_views };
                *count += 1;
                for part in builder.whole(&s.name, s.record.instance) {
                    self.effects.push(SchedulerEffect::Gateway(*c, part));
                }
                self.counters.updates += 1;
                (s.view, s.ordered, s.scanned, s.flushed_at) = (last, last, last, now);
                s.configuration = configuration;
                continue;
            }
            // Orders and ends of jobs go at once; other news of jobs gathers until it is due.
            for u in builder.updates(&s.name, s.record.instance, (s.view, s.ordered), s.configuration, due) {
                if let Some(c) = &u.configuration {
                    s.configuration = c.version;
                }
                s.view = u.upto.max(s.view);
                self.counters.updates += 1;
                self.effects.push(SchedulerEffect::Gateway(*c, Arc::new(SchedulerFrame::Update(u))));
            }
            (s.ordered, s.scanned) = (last, last);
            if due {
                s.flushed_at = now;
            }
            if s.view != last {
                due_at = due_at.min(s.flushed_at + every);
            }
        }
        let pause = self.settings.hold_interval_ms / WHOLE_VIEW_BATCHES_A_HOLD;
        let whole_views_at = if whole_views > 0 { now + pause } else { whole_views_at };
        if whole_views == MOST_WHOLE_VIEWS {
            due_at = due_at.min(whole_views_at);
        }
        self.flushed = FlushProgress { told_to: last, due_at, whole_views_at };
    }

    /// Sends a frame to a gateway.
    pub(crate) fn send_gateway(&mut self, to: ChannelId, frame: SchedulerFrame) {
        self.effects.push(SchedulerEffect::Gateway(to, Arc::new(frame)));
    }
}
