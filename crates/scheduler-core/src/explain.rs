use crate::prelude::*;

impl ClusterState {
    /// What a job waits for, in plain words.
    pub fn explain(&self, name: &str) -> CallResult<JobExplanation> {
        let j = self.job(name).ok_or_else(|| call_error::not_found("job", name))?;
        let mut reasons = Vec::new();
        let now = self.tables.log_time;
        let t = j.summary.tasks;
        match (j.spec.as_deref(), j.ending) {
            (None, _) => reasons.push(format!("it is over: {}", j.summary.state.word())),
            (_, Some(s)) => reasons.push(format!("it ends as {}: {} tasks are still being stopped", s.word(), j.live())),
            (Some(_), None) if j.occurrences.iter().all(|o| !o.due) => {
                let due_at = j.occurrences.first().map_or(now, |o| o.due_at);
                reasons.push(format!("its time comes in {:.1} s", due_at.saturating_sub(now) as f64 / 1e3));
            }
            (Some(spec), None) => {
                if t.running + t.starting > 0 {
                    reasons.push(format!("{} of its tasks run, {} are starting", t.running, t.starting));
                }
                for (id, s) in j.step_ids().zip(&j.steps).filter(|(id, _)| j.is_due(id.occurrence)) {
                    let st = &spec.steps[id.step as usize];
                    if s.waits_for > 0 {
                        reasons.push(format!("step {} waits for {}", st.name, st.after.join(", ")));
                    } else if s.waiting_count() > 0 {
                        reasons.push(format!("step {}: {} tasks wait: {}", st.name, s.waiting_count(), self.why_step(s, spec, id.step)));
                    }
                }
            }
        }
        Ok(JobExplanation { name: name.to_owned(), state: j.summary.state, reasons })
    }

    /// Why tasks of an open step wait.
    fn why_step(&self, s: &Step, spec: &JobSpec, step: u16) -> String {
        let st = &spec.steps[step as usize];
        if st.gang && s.live > 0 {
            return "its gang is being brought back together".into();
        }
        let room = room_of(st);
        let mut why: BTreeMap<&str, u32> = BTreeMap::new();
        for (i, w) in &self.tables.workers {
            let kind = st.kinds.is_empty() || st.kinds.contains(&w.told.kind);
            let settings = self.placement_queue_settings(&w.told.zone, &spec.queue, &spec.service);
            let live = self.on_worker.get(i).map_or(0, BTreeSet::len);
            let reason = if w.told.service != spec.service {
                "serve another service"
            } else if !kind {
                "are of a kind that the step doesn't name"
            } else if settings.is_none() {
                "are in a zone where the queue isn't"
            } else if settings.is_some_and(|q| !q.settings.kinds.is_empty() && !q.settings.kinds.contains(&w.told.kind)) {
                "are of a kind that the queue may not use"
            } else if !st.labels.iter().all(|l| w.told.labels.contains(l)) {
                "lack a label that the step asks for"
            } else if !room.fits(w.room()) {
                "are too small even when empty"
            } else if self.tables.evacuated.contains(&w.told.zone) {
                "are in an evacuated zone"
            } else if w.draining() {
                "are draining"
            } else if !w.reachable || w.gateway.is_none() {
                "can't be reached"
            } else if self.has_orphans(*i) {
                "still run an attempt that isn't counted on"
            } else if !w.health.may_try(self.tables.log_time, live) {
                "are shunned for what they did with other tasks"
            } else if !room.fits(w.room().sub(w.used)) {
                "have no room now"
            } else {
                "could take it"
            };
            *why.entry(reason).or_default() += 1;
        }
        if self.tables.workers.is_empty() {
            return "no worker is known".into();
        }
        let mut parts: Vec<String> = why.iter().map(|(r, n)| format!("{n} workers {r}")).collect();
        if st.gang {
            parts.extend(self.why_gang(s, spec, step));
        } else if why.contains_key("could take it") {
            parts.push("it waits for its turn, its queue's cap or the urgent reserve".into());
        }
        parts.join("; ")
    }

    /// What a gang lacks: members that find room now, the rack that comes nearest, runs that failed.
    fn why_gang(&self, s: &Step, spec: &JobSpec, step: u16) -> Vec<String> {
        let st = &spec.steps[step as usize];
        let room = room_of(st);
        let (mut now, mut empty) = (0, 0);
        let mut racks: BTreeMap<&Name, u64> = BTreeMap::new();
        for (index, w) in &self.tables.workers {
            let may = self.worker_allows(*index, w, &spec.queue, &spec.service, &st.kinds, &st.labels);
            if !may || !w.health.may_try(self.tables.log_time, 0) {
                continue;
            }
            let members = w.room().sub(w.used).count_of(room);
            now += members;
            empty += w.room().count_of(room);
            *racks.entry(&w.told.rack).or_default() += members;
        }
        let tasks = u64::from(st.tasks);
        let mut parts = vec![format!("its {tasks} members start together: {} of them would find room now", now.min(tasks))];
        if empty < tasks {
            parts.push(format!("all workers that it may use, empty, would hold {empty}"));
        } else if now >= tasks {
            parts.push("it waits for its turn, its queue's cap or the urgent reserve".into());
        }
        if st.same_rack {
            let most = racks.into_values().max().unwrap_or(0);
            parts.push(format!("the rack with most room would hold {}", most.min(tasks)));
        }
        if s.gang_failures > 0 {
            parts.push(format!("{} of its runs failed, {} may", s.gang_failures, spec.allowed_failures.unwrap_or(0)));
        }
        parts
    }
}
