use crate::prelude::*;

/// Members of gangs that wait for their partners.
impl Oracle {
    pub(crate) fn gang_started(&mut self, at: Millis, job_name: &str, step: u16, index: u32) {
        let Some(j) = self.jobs.get_mut(job_name) else { return };
        let size = j.sure_spec().and_then(|s| s.steps.get(usize::from(step))).map_or(0, |s| s.tasks as usize);
        let before = || j.tasks.iter().filter(|((s, _), t)| *s == step && t.succeeded_ever).map(|((_, i), _)| *i).collect();
        let bound = self.bounds.gang_ms;
        let g = j.gangs.entry(step).or_insert_with(|| {
            self.gang_checks.insert((at.saturating_add(bound + 1), job_name.to_owned(), step));
            GangRound { since: at, came: before(), settled: false }
        });
        g.came.insert(index);
        g.settled |= g.came.len() >= size;
    }

    /// Looks at the gangs whose time has come.
    pub(crate) fn check_gangs(&mut self, at: Millis) {
        while let Some((due, name, step)) = self.gang_checks.pop_first() {
            if due > at {
                self.gang_checks.insert((due, name, step));
                return;
            }
            let bound = self.bounds.gang_ms;
            let Some(j) = self.jobs.get_mut(&name) else { continue };
            let Some(g) = j.gangs.get_mut(&step).filter(|g| !g.settled) else { continue };
            if g.since.saturating_add(bound) >= due {
                // This round is younger than the one that the check was meant for, and has its own.
                continue;
            }
            let members = j.tasks.iter().filter(|((s, _), _)| *s == step).flat_map(|(_, t)| &t.open);
            // A member that no stop could reach is not to blame: it is looked at again once it could.
            let alone = members.filter(|r| self.workers.get(&r.worker).is_none_or(|w| w.reached_for(r.started, due, bound))).count();
            if alone == 0 {
                self.gang_checks.insert((due.saturating_add(bound), name, step));
                continue;
            }
            g.settled = true;
            let (came, since) = (g.came.len(), g.since);
            self.tally.add(Rule::GangMemberAlone, due, || {
                format!("step {step} of {name}: {came} members came since {since}, {alone} ran on without the others")
            });
        }
    }
}
