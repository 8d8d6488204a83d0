//! What the elected scheduler says.

use crate::prelude::*;

impl GatewayCore {
    /// A frame of the session's own channel.
    pub(crate) fn frame(&mut self, channel: ChannelId, frame: SchedulerFrame, fx: &mut Vec<GatewayEffect>) {
        let attached = self.session.attached().is_some();
        self.session.heard(self.now);
        match frame {
            SchedulerFrame::Attached { log_time_ms, schedulers, .. } => self.attached(channel, log_time_ms, &schedulers, fx),
            SchedulerFrame::NotLeader { leader, schedulers } => {
                self.session.learn(&schedulers);
                self.session.not_leader(self.now, &self.settings, leader, &mut self.rng, fx);
                self.leader_lost();
                self.session.dial(self.now, fx);
            }
            SchedulerFrame::PulseEcho { stamp, log_time_ms } => {
                if let Some((asked_at, first)) = self.session.echo(self.now, stamp, log_time_ms) {
                    // The first echo may be ahead of the news since the last channel; by the second they have come.
                    self.caught_up |= !first;
                    if self.caught_up {
                        self.share_sure_at = Some(asked_at);
                    }
                    if self.caught_up && self.view.number > 0 {
                        self.change_view().whole_at = Some(asked_at);
                    }
                }
            }
            SchedulerFrame::Answer { request, result } => {
                if let Some(p) = self.asks.remove(&self.settings, request) {
                    fx.push(GatewayEffect::Answer { ask: p.ask, result });
                }
            }
            SchedulerFrame::Update(u) if attached => self.update(channel, u, fx),
            SchedulerFrame::FactsDone { report } if attached => {
                self.facts_done(report);
                self.send_holds(None, fx);
            }
            SchedulerFrame::Shed(_) if !attached => {
                self.session.lose(self.now, &self.settings, false, &mut self.rng, fx);
            }
            SchedulerFrame::Update(_) | SchedulerFrame::FactsDone { .. } | SchedulerFrame::Shed(_) => {}
        }
    }

    /// The elected scheduler took the attach: all that waits for it leaves.
    pub(crate) fn attached(&mut self, channel: ChannelId, log_time_ms: Millis, schedulers: &[String], fx: &mut Vec<GatewayEffect>) {
        if !self.session.attach_taken(self.now, log_time_ms) {
            return;
        }
        self.counters.attaches += 1;
        self.session.learn(schedulers);
        let leader = Some(self.session.address().to_owned());
        self.change_view().leader = leader;
        self.pulse(fx);
        self.tell_again = true;
        for n in self.asks.without_leader() {
            self.forward(channel, n, fx);
        }
    }

    /// Folds an update.
    pub(crate) fn update(&mut self, channel: ChannelId, mut u: ViewUpdate, fx: &mut Vec<GatewayEffect>) {
        self.share.fold(self.now, self.steps, &self.settings, &self.name, &u);
        let whole = WholeView::gather(&mut self.whole, &u);
        if let Some(w) = &whole {
            self.share.keep(&w.workers);
            self.stops.keep(|a, _| w.stops.contains(&a));
        }
        if let Some(a) = &u.schedulers {
            self.session.learn(a);
        }
        if let Some(c) = &u.configuration {
            self.configure(channel, c, fx);
        }
        let most = self.settings.settled_bound();
        for j in u.jobs.iter().filter(|j| j.state.is_final()) {
            self.starts.settle_job(j.job, most);
        }
        for c in u.job_changes.iter().filter(|c| c.state.is_final()) {
            self.starts.settle_job(c.job, most);
        }
        for &j in &u.jobs_forgotten {
            self.starts.settle_job(j, most);
        }
        self.caught_up |= u.upto > 0;
        if self.caught_up {
            self.share_sure_at = self.share_sure_at.max(self.session.bound().map(|b| b.asked_at));
        }
        self.fold_orders(&mut u);
        self.change_view().fold(&mut u);
        self.send_holds(None, fx);
    }

    /// Takes a stop over: what has not left never leaves, what has is stopped at its worker.
    pub(crate) fn stop(&mut self, o: StopOrder) {
        self.gangs.gone(o.attempt);
        if self.starts.forbid(&o) {
            self.voided(&o.worker, o.attempt);
        } else if self.share.mine(&o.worker).is_some() {
            self.stops.give(self.now, o);
        }
    }

    /// Takes over stops, then starts.
    pub(crate) fn fold_orders(&mut self, u: &mut ViewUpdate) {
        let share = &self.share;
        self.stops.keep(|_, w| share.mine(w).is_some());
        for o in std::mem::take(&mut u.stops) {
            self.stop(o);
        }
        for step in std::mem::take(&mut u.gangs_settled) {
            self.gangs.settled(step);
        }
        for o in std::mem::take(&mut u.starts) {
            let (worker, a) = (o.worker.clone(), o.attempt);
            if let Some(by) = o.gang_by_ms {
                let due = self.session.bound().and_then(|b| b.leave_by(by, self.settings.gang_grace()));
                self.gangs.note(a, &worker, due.unwrap_or(self.now));
            }
            if self.starts.give(o) {
                self.voided(&worker, a);
            }
        }
    }

    /// Takes a configuration over, or asks for it whole.
    pub(crate) fn configure(&mut self, channel: ChannelId, c: &ConfigurationUpdate, fx: &mut Vec<GatewayEffect>) {
        match self.view.configuration.updated(c) {
            Ok(new) => {
                self.want_configuration = false;
                let v = self.change_view();
                v.ingress = Arc::new(IngressTable::of(&new.tree));
                v.configuration = new;
                v.configuration_sure = true;
            }
            Err(_) => {
                self.counters.configurations_unfit += 1;
                self.want_configuration = true;
                self.change_view().configuration_sure = false;
                fx.push(GatewayEffect::Send { channel, frame: GatewayFrame::WantConfiguration });
            }
        }
    }

    /// Facts are in the log.
    pub(crate) fn facts_done(&mut self, report: u64) {
        let most = self.settings.settled_bound();
        for f in self.facts.done(report) {
            let ended = f.ended.iter().map(|e| e.attempt);
            f.ended.iter().for_each(|e| self.gangs.gone(e.attempt));
            for a in f.started.into_iter().chain(f.voided).chain(f.missing).chain(f.lost).chain(ended) {
                self.starts.settle(a, most);
            }
            if let Some(h) = self.share.get_mut(&f.worker) {
                f.ended.iter().for_each(|e| h.acknowledge(e.attempt));
            }
        }
    }
}
