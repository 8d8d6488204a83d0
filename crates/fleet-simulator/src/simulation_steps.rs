//! Steps of schedulers that take time.

use crate::prelude::*;

impl Simulation {
    /// A step takes its time.
    pub(crate) fn spend(&mut self, i: usize, looks: u64, effects: &[SchedulerEffect]) {
        let Some(cost) = self.settings.step_cost else { return };
        let step_us = cost.step_us(looks, lines_of(effects));
        let (now, node) = (self.now, &mut self.schedulers[i]);
        let was_busy = node.busy_until() > now;
        node.busy_until_us = node.busy_until_us.max(now * 1_000) + step_us;
        if !was_busy && node.busy_until() > now {
            self.agenda.set(node.busy_until(), Occurrence::StepOver(i, node.machine.epoch));
        }
    }

    /// The scheduler that is still busy with a step, if something happens to one.
    pub(crate) fn busy_scheduler(&self, o: &Occurrence) -> Option<usize> {
        self.settings.step_cost?;
        let scheduler = match o {
            Occurrence::SchedulerTick(i, _) => Some(*i),
            Occurrence::Peer { to, .. } => Some(*to),
            Occurrence::Synced { scheduler, .. } | Occurrence::Acked { scheduler, .. } => Some(*scheduler),
            Occurrence::SchedulerChannelDown { channel } => self.channels.get(channel).map(|c| c.scheduler.0),
            Occurrence::Frame { channel, direction } if matches!(**direction, Direction::Up(_)) => {
                self.channels.get(channel).map(|c| c.scheduler.0)
            }
            _ => None,
        };
        scheduler.filter(|i| self.schedulers[*i].busy_until() > self.now || !self.schedulers[*i].backlog.is_empty())
    }

    /// A scheduler goes on with what came meanwhile.
    pub(crate) fn step_over(&mut self, i: usize, epoch: u64) {
        while self.schedulers[i].machine.epoch == epoch {
            let node = &mut self.schedulers[i];
            if node.busy_until() > self.now {
                let over = node.busy_until();
                return self.agenda.set(over, Occurrence::StepOver(i, epoch));
            }
            let Some((arrived_at, o)) = node.backlog.pop() else { return };
            self.handle(arrived_at, o);
        }
    }
}

/// Jobs and workers in updates to gateways, those that several get counted once.
fn lines_of(effects: &[SchedulerEffect]) -> u64 {
    let mut counted: HashSet<*const SchedulerFrame> = HashSet::new();
    let frames = effects.iter().filter_map(|effect| match effect {
        SchedulerEffect::Gateway(_, frame) => Some(frame),
        _ => None,
    });
    let updates = frames.filter(|frame| counted.insert(Arc::as_ptr(frame))).filter_map(|frame| match &**frame {
        SchedulerFrame::Update(update) => Some(update.jobs.len() + update.job_changes.len() + update.workers.len()),
        _ => None,
    });
    updates.sum::<usize>() as u64
}
