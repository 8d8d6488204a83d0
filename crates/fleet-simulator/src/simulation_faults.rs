use crate::prelude::*;

/// How long a scheduler that is told to end has to hand over.
const LEAVE_MS: Millis = 1_500;

impl Simulation {
    /// The elected scheduler, or the first that runs.
    pub(crate) fn leader(&self) -> usize {
        let serves = |n: &SchedulerNode| n.core.as_ref().is_some_and(|c| c.is_serving(n.machine.now(self.now)));
        self.schedulers.iter().position(serves).or_else(|| self.schedulers.iter().position(|n| n.core.is_some())).unwrap_or(0)
    }

    /// Cuts a node off from many, both ways or only what it sends.
    fn cut_off(&mut self, who: Node, others: &[Node], one_way: bool, until: Millis) {
        for o in others.iter().filter(|o| **o != who) {
            self.network.cut(who, *o, until);
            if !one_way {
                self.network.cut(*o, who, until);
            }
        }
    }

    fn all_schedulers(&self) -> Vec<Node> {
        (0..self.schedulers.len()).map(Node::Scheduler).collect()
    }

    fn core_and_gateways(&self) -> Vec<Node> {
        (0..self.schedulers.len()).map(Node::Scheduler).chain((0..self.gateways.len()).map(Node::Gateway)).collect()
    }

    fn crash(&mut self, i: usize, for_ms: Millis, fresh_disk: bool) {
        self.scheduler_down(i);
        self.agenda.set(self.now + for_ms, Occurrence::SchedulerUp { scheduler: i, fresh_disk });
    }

    /// Something goes wrong.
    pub(crate) fn fault(&mut self, f: Fault) {
        if self.calm {
            return;
        }
        if self.verbose {
            println!("{:>7} {f:?}", self.now);
        }
        let now = self.now;
        // What lasts beyond the load ends with it.
        let until = |for_ms: Millis| (now + for_ms).min(self.settings.load_ms);
        match f.clone() {
            Fault::SchedulerCrash { scheduler, for_ms } => self.crash(scheduler, for_ms, false),
            Fault::LeaderCrash { for_ms } => self.crash(self.leader(), for_ms, false),
            Fault::LeaderLeaves { for_ms } => {
                let scheduler = self.leader();
                self.scheduler(scheduler, SchedulerInput::Leave);
                self.agenda.set(now + LEAVE_MS, Occurrence::Fault(Fault::SchedulerCrash { scheduler, for_ms }));
            }
            Fault::PowerLoss { for_ms } => {
                for i in 0..self.schedulers.len() {
                    self.crash(i, for_ms + i as Millis * 13, false);
                }
            }
            Fault::DiskLost { scheduler, for_ms } => self.crash(scheduler, for_ms, true),
            Fault::SchedulerFreeze { scheduler, for_ms } => self.schedulers[scheduler].machine.frozen_until = until(for_ms),
            Fault::LeaderFreeze { for_ms } => {
                let l = self.leader();
                self.schedulers[l].machine.frozen_until = until(for_ms);
            }
            Fault::SlowDisk { scheduler, sync_ms, .. } => self.schedulers[scheduler].sync_ms = (sync_ms / 2, sync_ms),
            Fault::SchedulerCut { scheduler, one_way, for_ms } => {
                let others = self.all_schedulers();
                self.cut_off(Node::Scheduler(scheduler), &others, one_way, until(for_ms));
            }
            Fault::LeaderCut { one_way, for_ms } => {
                let (l, others) = (self.leader(), self.core_and_gateways());
                self.cut_off(Node::Scheduler(l), &others, one_way, until(for_ms));
            }
            Fault::CoreSplit { first, for_ms } => {
                let n = self.schedulers.len();
                let side: Vec<usize> = (0..n / 2).map(|k| (first + k) % n).collect();
                for a in 0..n {
                    for b in (0..n).filter(|b| side.contains(&a) != side.contains(b)) {
                        self.network.cut(Node::Scheduler(a), Node::Scheduler(b), until(for_ms));
                    }
                }
            }
            Fault::GatewayCrash { gateway, for_ms } => {
                self.gateway_down(gateway);
                self.agenda.set(now + for_ms, Occurrence::GatewayUp(gateway));
            }
            Fault::GatewayFreeze { gateway, for_ms } => self.gateways[gateway].machine.frozen_until = until(for_ms),
            Fault::GatewayCutFromCore { gateway, one_way, for_ms } => {
                let others = self.all_schedulers();
                self.cut_off(Node::Gateway(gateway), &others, one_way, until(for_ms));
            }
            Fault::GatewayCutFromWorkers { gateway, for_ms } => {
                let others: Vec<Node> = (0..self.workers.len()).map(Node::Worker).collect();
                self.cut_off(Node::Gateway(gateway), &others, false, until(for_ms));
            }
            Fault::LateOrders { ratio, .. } => self.network.late_order_ratio = ratio,
            Fault::GatewayCutFromAll { gateway, for_ms } => {
                let others: Vec<Node> = self.all_schedulers().into_iter().chain((0..self.workers.len()).map(Node::Worker)).collect();
                self.cut_off(Node::Gateway(gateway), &others, false, until(for_ms));
            }
            Fault::GatewayCutFromCallers { gateway, one_way, for_ms } => {
                self.cut_off(Node::Gateway(gateway), &[Node::Callers], one_way, until(for_ms))
            }
            Fault::LargeJobs { jobs, times_tasks } => {
                let stream = self.settings.profile.streams(1)[1].prefix.to_owned();
                self.model(true, CallerInput::Burst { stream, jobs, times_tasks });
            }
            Fault::WorkerErrs { worker, behaviour, .. } => self.worker(worker, WorkerInput::Behave(behaviour)),
            Fault::GangTorn { away_ms, for_ms } => self.gang_to_tear = Some(GangTear { away_ms, for_ms }),
            Fault::WorkerDies { worker, away_ms } => self.worker_dies(worker, away_ms),
            Fault::ClockJump { scheduler, by_ms } => self.schedulers[scheduler].machine.wall_off_ms += by_ms,
            Fault::BadNetwork { loss_ratio, late_ms, .. } => {
                (self.network.loss_ratio, self.network.double_ratio) = (loss_ratio, loss_ratio);
                (self.network.late_ratio, self.network.late_ms) = (0.05, late_ms);
            }
            Fault::Crowd { times, .. } => self.model(true, CallerInput::Rate(self.settings.rate * times)),
            Fault::MassCancel { share } => self.model(true, CallerInput::CancelSome(share)),
        }
        self.end_later(&f);
    }

    /// Sets the end of faults that do not end by themselves.
    fn end_later(&mut self, f: &Fault) {
        let (end, for_ms) = match f {
            Fault::SlowDisk { scheduler, for_ms, .. } if self.schedulers[*scheduler].sync_ms != (1, 3) => {
                (Fault::SlowDisk { scheduler: *scheduler, sync_ms: 3, for_ms: 0 }, *for_ms)
            }
            Fault::WorkerErrs { worker, for_ms, .. } if *for_ms > 0 => {
                (Fault::WorkerErrs { worker: *worker, behaviour: Behaviour::default(), for_ms: 0 }, *for_ms)
            }
            Fault::LateOrders { for_ms, .. } if *for_ms > 0 => (Fault::LateOrders { ratio: 0.0, for_ms: 0 }, *for_ms),
            Fault::BadNetwork { for_ms, .. } if *for_ms > 0 => (Fault::BadNetwork { loss_ratio: 0.0, late_ms: 0, for_ms: 0 }, *for_ms),
            Fault::Crowd { for_ms, .. } if *for_ms > 0 => (Fault::Crowd { times: 1.0, for_ms: 0 }, *for_ms),
            _ => return,
        };
        if for_ms > 0 {
            self.agenda.set(self.now + for_ms, Occurrence::Fault(end));
        }
    }
}
