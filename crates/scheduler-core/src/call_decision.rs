use crate::prelude::*;

/// What is to be done about a call: asked of the state, carried out by the scheduler.
#[derive(Clone, Debug)]
pub enum CallDecision {
    /// Answer at once, from the state as committed.
    Answer(CallResult<AnswerBody>),
    /// Put it in the log; the answer is what its application brings.
    Propose(Command),
    /// Change the members of the log.
    Member(u64, MembershipChange),
    /// Hand over leadership.
    Transfer(u64),
}

impl CallDecision {
    /// Decides about a call. `wall` is the cluster's wall clock, where it is known.
    ///
    /// ```
    /// use cluster_messages::{ControlCall, GetJob, JobSpec, SubmitJob};
    /// use scheduler_core::{CallDecision, ClusterRules, ClusterState};
    /// let s = ClusterState::new(ClusterRules::new(1_000)).unwrap();
    /// let d = CallDecision::of(&s, GetJob { name: "x".into() }.into_body(), None);
    /// assert!(matches!(d, CallDecision::Answer(Err(_))));
    /// let spec = JobSpec::single("x", "q", "s", 1, 1, 1);
    /// assert!(matches!(CallDecision::of(&s, SubmitJob { spec }.into_body(), None), CallDecision::Propose(_)));
    /// ```
    pub fn of(s: &ClusterState, body: CallBody, wall: Option<Millis>) -> CallDecision {
        let now = |r: CallResult<AnswerBody>| CallDecision::Answer(r);
        match body {
            CallBody::SubmitJob(c) => Self::submit(s, c.spec, wall),
            CallBody::CancelJob(c) => match s.job(&c.name) {
                None => now(Err(call_error::not_found("job", &c.name))),
                Some(j) if j.ending.is_some() || j.summary.state.is_final() => {
                    now(Ok(AnswerBody::CancelJob(JobCancelled { name: c.name, state: j.summary.state })))
                }
                Some(_) => CallDecision::Propose(Command::Cancel(c)),
            },
            CallBody::GetJob(c) => now(s.get_job(&c.name).map(AnswerBody::GetJob)),
            CallBody::ListJobs(c) => now(Ok(AnswerBody::ListJobs(s.list_jobs(&c)))),
            CallBody::ExplainJob(c) => now(s.explain(&c.name).map(AnswerBody::ExplainJob)),
            CallBody::RegisterWorker(c) => match s.worker(&c.name) {
                Some((_, w))
                    if w.told == RegisterWorker { boot_id: w.told.boot_id.clone(), ..c.clone() } && !w.old_boots.contains(&c.boot_id) =>
                {
                    now(Ok(AnswerBody::RegisterWorker(WorkerRegistered { reborn: w.told.boot_id != c.boot_id, name: c.name })))
                }
                _ => CallDecision::Propose(Command::Register(c)),
            },
            CallBody::DrainWorker(c) => match s.worker(&c.name) {
                // A worker that says so again and again costs no log entry.
                Some((i, w)) if c.order_id.is_none() && c.on && w.drain_ordered && w.leaving >= c.leaves => {
                    let attempts = s.on_worker.get(&i).map_or(0, BTreeSet::len) as u32;
                    now(Ok(AnswerBody::DrainWorker(WorkerDrained { name: c.name, draining: true, attempts })))
                }
                _ => CallDecision::Propose(Command::Drain(c)),
            },
            CallBody::RemoveWorker(c) => CallDecision::Propose(Command::Remove(c)),
            CallBody::ListWorkers(c) => now(Ok(AnswerBody::ListWorkers(s.list_workers(&c)))),
            CallBody::EvacuateZone(c) => CallDecision::Propose(Command::Evacuate(c)),
            CallBody::GetConfiguration(_) => now(Ok(AnswerBody::GetConfiguration(s.get_configuration()))),
            CallBody::PutConfiguration(c) => {
                let tree = c.tree.0.to_string().into_bytes();
                // A change that can't win is answered without a log entry; the log decides about the rest.
                match s.configuration.preview(c.base_version, &c.change_id, &tree) {
                    Err(e) => now(Err(call_error::of_put(e))),
                    Ok((o, _)) => CallDecision::Propose(Self::put(s, c, tree, o.digest.to_string())),
                }
            }
            CallBody::GetConfigurationHistory(c) => {
                now(Ok(AnswerBody::GetConfigurationHistory(s.configuration_history(c.limit.unwrap_or(HISTORY_SHOWN)))))
            }
            CallBody::GetEffectiveSettings(c) => now(s.effective_settings(&c).map(AnswerBody::GetEffectiveSettings)),
            CallBody::ListQueues(_) => now(Ok(AnswerBody::ListQueues(s.list_queues()))),
            CallBody::RemoveMember(c) => CallDecision::Member(c.id, MembershipChange::Remove { id: c.id }),
            CallBody::TransferLeadership(c) => CallDecision::Transfer(c.id),
            CallBody::ListMembers(_) | CallBody::GetClusterStatus(_) => {
                now(Err(CallError::NotAllowed { name: body.name().to_owned(), reason: "is answered by the scheduler itself".to_owned() }))
            }
        }
    }

    /// The shortest command for a tree: a patch on its base, or the whole of it.
    fn put(s: &ClusterState, c: PutConfiguration, tree: Vec<u8>, digest: String) -> Command {
        let PutConfiguration { base_version, change_id, source, .. } = c;
        let current = &s.configuration;
        let patch = (base_version == current.version())
            .then(|| SettingsTree::parse_within(&tree, current.bounds()).ok())
            .flatten()
            .and_then(|new| patch_text(current.tree(), &new, tree.len() / 2));
        match patch {
            Some(patch) => Command::PatchConfiguration { base_version, change_id, digest, patch, source },
            None => Command::PutConfiguration { base_version, change_id, tree, source },
        }
    }

    fn submit(s: &ClusterState, spec: JobSpec, wall: Option<Millis>) -> CallDecision {
        if let Some(j) = s.job(&spec.name) {
            let same = j.digest == job_digest(&spec);
            return CallDecision::Answer(match same {
                true => Ok(AnswerBody::SubmitJob(JobAccepted { name: spec.name, job: j.number, state: j.summary.state, already: true })),
                false => Err(CallError::Conflict { what: "job".to_owned(), name: spec.name }),
            });
        }
        if let Err(e) = s.may_accept(&spec) {
            return CallDecision::Answer(Err(e));
        }
        let mut due_in_ms = spec.start_after_ms.unwrap_or(0) as i64;
        if let Some(t) = spec.repeat.map(|r| r.first_unix_ms).or(spec.not_before_unix_ms) {
            match wall {
                Some(w) if spec.repeat.is_some() => due_in_ms = t as i64 - w as i64,
                Some(w) => due_in_ms = due_in_ms.max(t.saturating_sub(w) as i64),
                None => return CallDecision::Answer(Err(CallError::NoLeader { retry_after_ms: s.tables.rules.hold_interval_ms })),
            }
        }
        CallDecision::Propose(Command::Submit { spec, due_in_ms })
    }
}

/// Changes listed when the caller names no limit.
const HISTORY_SHOWN: u32 = 20;
