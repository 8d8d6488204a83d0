use crate::prelude::*;

/// Everything that is wrong or thin in what was seen; the gravest first. A pure function: it asks nobody.
///
/// ```
/// use firlock_client::{DoctorLimits, Evidence, GatewayEvidence, Severity, diagnose};
/// let g = GatewayEvidence { address: "127.0.0.1:1".into(), unreachable: Some("refused".into()), ..Default::default() };
/// let found = diagnose(&Evidence { gateways: vec![g], ..Default::default() }, &DoctorLimits::default());
/// assert_eq!((found[0].code, found[0].severity), ("gateway-unreachable", Severity::Fault));
/// ```
pub fn diagnose(e: &Evidence, limits: &DoctorLimits) -> Vec<Finding> {
    let mut v = Findings::default();
    for check in CHECKS {
        check(e, limits, &mut v);
    }
    v.0.sort_by_key(|f| std::cmp::Reverse(f.severity));
    v.0
}

/// One look at the evidence.
type Check = fn(&Evidence, &DoctorLimits, &mut Findings);

/// All looks.
const CHECKS: &[Check] =
    &[gateways, agreement, view_age, skew, unread, quorum, members, workers, evacuations, queues, kinds, explanations, sheds, memory];

/// What was found so far.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    /// Adds one.
    fn add(&mut self, severity: Severity, code: &'static str, subject: impl ToString, meaning: String, advice: &str) {
        self.0.push(Finding { severity, code, subject: subject.to_string(), meaning, advice: advice.to_owned() });
    }
}

/// Each gateway answers, is healthy and has a leader.
fn gateways(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    for g in &e.gateways {
        if let Some(why) = &g.unreachable {
            v.add(
                Severity::Fault,
                "gateway-unreachable",
                &g.address,
                format!("it doesn't answer ({why}); callers that know only this one are cut off"),
                "see whether its process runs and its machine is reachable; callers should know several gateways",
            );
        } else if let Some(h) = g.health.filter(|h| *h != 200) {
            v.add(
                Severity::Warning,
                "gateway-unhealthy",
                &g.address,
                format!("its health page answers {h}: it runs, yet calls itself unfit"),
                "read its log; it is often without a channel to the elected scheduler",
            );
        }
        if let Some(why) = &g.status_error {
            v.add(
                Severity::Fault,
                "no-leader-seen",
                &g.address,
                format!("it can't show the elected scheduler's view ({why}); new jobs through it are shed"),
                "if all gateways say so, see that a majority of the schedulers runs; if only this one, see its links to them",
            );
        }
    }
    for g in e.status().into_iter().flat_map(|s| &s.gateways).filter(|g| !g.alive) {
        v.add(
            Severity::Warning,
            "gateway-silent",
            &g.name,
            format!("the elected scheduler doesn't hear it (zone {}, {} workers assigned)", g.zone, g.workers),
            "start it again, or forget it if its machine is gone: its workers move to others by themselves",
        );
    }
}

/// All gateways name the same leader and the same configuration.
fn agreement(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    let told = |value: &dyn Fn(&GatewayEvidence) -> Option<String>| {
        let mut by: BTreeMap<String, Vec<&str>> = BTreeMap::new();
        for g in &e.gateways {
            if let Some(x) = value(g) {
                by.entry(x).or_default().push(&g.address);
            }
        }
        by
    };
    let words =
        |by: &BTreeMap<String, Vec<&str>>| by.iter().map(|(x, g)| format!("{x} by {}", g.join(", "))).collect::<Vec<_>>().join("; ");
    let by = told(&|g| g.status.as_ref().map(|s| format!("scheduler {} at {} in term {}", s.leader, s.leader_address, s.term)));
    if by.len() > 1 {
        v.add(
            Severity::Warning,
            "leaders-differ",
            "gateways",
            format!("they name different elected schedulers: {}", words(&by)),
            "run the doctor again: right after an election this passes; if it stays, a gateway is cut off from the new one",
        );
    }
    let by = told(&|g| g.configuration.map(|c| format!("version {c}")));
    if by.len() > 1 {
        v.add(
            Severity::Warning,
            "configurations-differ",
            "gateways",
            format!("they have different configurations in force: {}", words(&by)),
            "right after a change this passes within 2 s; if it stays, the older gateway doesn't get updates: start it again",
        );
    }
    let clusters = told(&|g| g.status.as_ref().map(|s| format!("cluster {}", s.cluster)));
    if clusters.len() > 1 {
        v.add(
            Severity::Fault,
            "clusters-differ",
            "gateways",
            format!("they belong to different clusters: {}", words(&clusters)),
            "name gateways of one cluster alone",
        );
    }
}

/// Read views are young.
fn view_age(e: &Evidence, limits: &DoctorLimits, v: &mut Findings) {
    for g in &e.gateways {
        if let Some(a) = g.view_age_ms.filter(|a| *a > limits.visibility_ms) {
            v.add(
                Severity::Warning,
                "view-old",
                &g.address,
                format!("its read view is {a} ms old: lists and states through it are behind by as much"),
                "see its links to the schedulers and whether its machine is overloaded",
            );
        }
    }
}

/// Machines' clocks agree.
fn skew(e: &Evidence, limits: &DoctorLimits, v: &mut Findings) {
    for g in &e.gateways {
        let Some((skew, doubt)) = g.skew else { continue };
        if skew.unsigned_abs().saturating_sub(doubt) > limits.skew_ms() {
            v.add(Severity::Warning, "clock-skew", &g.address, format!("its wall clock differs from this machine's by about {skew} ms; jobs timed by wall clock are fixed by the clock of the machine that accepts them"),
                "see the time service of both machines");
        }
    }
}

/// What could not be read.
fn unread(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    for (what, why) in &e.unread {
        v.add(
            Severity::Fault,
            "unread",
            what,
            format!("could not be read: {why}; nothing is known of it"),
            "run the doctor again; if it stays, look for a leader first",
        );
    }
}

/// How many more losses the log survives.
fn quorum(e: &Evidence, limits: &DoctorLimits, v: &mut Findings) {
    let Some(l) = &e.members else { return };
    let voters: Vec<_> = l.members.iter().filter(|m| m.role == "voter").collect();
    let up = voters.iter().filter(|m| m.leader || m.silent_ms.is_some_and(|s| s <= limits.silence_ms())).count();
    let need = voters.len() / 2 + 1;
    let subject = format!("{} voters", voters.len());
    if up < need {
        v.add(
            Severity::Fault,
            "quorum-lost",
            subject,
            format!("{up} of them answer, {need} are needed: nothing new is accepted"),
            "start the missing schedulers again with their disks",
        );
    } else if up == need {
        v.add(
            if voters.len() > 1 { Severity::Fault } else { Severity::Warning },
            "quorum-thin",
            subject,
            format!("{up} of them answer and {need} are needed: the next loss stops all acceptance"),
            "bring a scheduler back, or start one more on a machine with a disk: it is taken in by itself",
        );
    } else if voters.len().is_multiple_of(2) {
        v.add(
            Severity::Notice,
            "voters-even",
            subject,
            format!("{} more losses are survived, as many as with one voter fewer", up - need),
            "an odd number serves better",
        );
    }
}

/// Each scheduler answers and keeps up.
fn members(e: &Evidence, limits: &DoctorLimits, v: &mut Findings) {
    let Some(l) = &e.members else { return };
    let furthest = l.members.iter().map(|m| m.matched).max().unwrap_or(0);
    for m in l.members.iter().filter(|m| m.role != "retired") {
        let subject = format!("member {} at {}", m.id, m.address);
        let behind = furthest - m.matched;
        if !m.leader && m.silent_ms.is_none_or(|s| s > limits.silence_ms()) {
            let since = m.silent_ms.map_or("it never answered the leader".to_owned(), |s| format!("it has been silent for {s} ms"));
            v.add(
                Severity::Warning,
                "member-silent",
                subject,
                format!("{since}: one loss less is survived while it is a {}", m.role),
                "start it again; if its machine is gone for good: firlock members remove ID",
            );
        } else if m.role == "learner" && behind > 0 {
            v.add(
                Severity::Notice,
                "learner-behind",
                subject,
                format!("it is {behind} entries behind and has no vote yet"),
                "wait until it has caught up",
            );
        } else if behind > limits.lag_entries() {
            v.add(
                Severity::Warning,
                "member-behind",
                subject,
                format!("its log is {behind} entries behind: a slow disk or link"),
                "see its disk and its links",
            );
        }
    }
    if l.members.iter().filter(|m| m.leader).count() > 1 {
        v.add(
            Severity::Fault,
            "two-leaders",
            format!("term {}", l.term),
            "the list names two leaders in one term".to_owned(),
            "keep all data folders and report it: this must never be",
        );
    }
}

/// Workers answer, are held and are trusted.
fn workers(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    let Some(all) = &e.workers else { return };
    if all.is_empty() {
        v.add(
            Severity::Fault,
            "no-workers",
            "workers",
            "no worker is known: every job waits".to_owned(),
            "see that workers can reach a gateway",
        );
    }
    for w in all {
        let subject = format!("worker {} ({})", w.name, w.zone);
        match &w.gateway {
            None => v.add(
                Severity::Warning,
                "worker-unheld",
                subject,
                format!("no gateway holds it; its {} attempts go on unwatched", w.attempts),
                "passes within seconds after a gateway's loss; if it stays, see that any gateway of its zone lives",
            ),
            Some(g) if !w.reachable => v.add(
                Severity::Warning,
                "worker-silent",
                subject,
                format!("{g} gets no answer from it; its {} attempts keep their room until their fate is proven", w.attempts),
                "see its machine; only if that is gone for good: firlock remove WORKER --declare-lost",
            ),
            Some(_) if w.shun_level > 0 => v.add(
                Severity::Warning,
                "worker-shunned",
                subject,
                format!("it fails or stalls more than its peers (level {}): it gets less work, or none but trials", w.shun_level),
                "look at the machine; drain it if in doubt",
            ),
            Some(_) if w.draining && w.attempts == 0 => v.add(
                Severity::Notice,
                "worker-drained",
                subject,
                "it drains, and the list shows nothing on it (lists lag in what is on a worker)".to_owned(),
                "firlock remove WORKER, which errs while anything is on it; or firlock drain WORKER --off to use it again",
            ),
            Some(_) => {}
        }
    }
}

/// Zones that were evacuated, and perhaps forgotten.
fn evacuations(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    let Some(s) = e.status() else { return };
    for z in &s.evacuated_zones {
        let here: Vec<_> = e.workers.iter().flatten().filter(|w| w.zone == *z).collect();
        let busy: u64 = e.queues.iter().flatten().filter(|q| q.zone == *z).map(|q| q.tasks).sum();
        if busy > 0 {
            v.add(
                Severity::Notice,
                "zone-evacuated",
                z,
                format!("it is evacuated; {busy} attempts still end in it"),
                "wait, or firlock evacuate ZONE --off",
            );
        } else if s.waiting_tasks > 0 && !here.is_empty() {
            v.add(
                Severity::Warning,
                "zone-forgotten",
                z,
                format!("it is evacuated and its {} workers stand empty while {} tasks wait for room", here.len(), s.waiting_tasks),
                "if the work there is done: firlock evacuate ZONE --off",
            );
        } else {
            v.add(
                Severity::Notice,
                "zone-evacuated",
                z,
                format!("it is evacuated and empty ({} workers)", here.len()),
                "if the work there is done: firlock evacuate ZONE --off",
            );
        }
    }
}

/// Queues within their caps.
fn queues(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    for q in e.queues.iter().flatten() {
        let subject = format!("queue {} in {}", q.queue, q.zone);
        for (what, used, cap) in [("tasks", q.tasks, q.cap_tasks), ("thousandths of a core", q.used_cpu_millis, q.cap_cpu_millis)] {
            if cap > 0 && used > cap {
                v.add(
                    Severity::Warning,
                    "queue-over-cap",
                    &subject,
                    format!("it uses {used} {what} of {cap}: its cap was lowered below what runs, or its workers went"),
                    "it takes no more until it is below; raise the cap if that is not meant",
                );
            } else if cap > 0 && used == cap && q.waiting_jobs > 0 {
                v.add(
                    Severity::Notice,
                    "queue-at-cap",
                    &subject,
                    format!("it uses all {cap} {what} and {} jobs wait", q.waiting_jobs),
                    "raise its cap if they should run sooner",
                );
            }
        }
    }
}

/// Queues whose jobs no worker can take.
fn kinds(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    let Some(all) = &e.workers else { return };
    let evacuated: BTreeSet<&str> = e.status().into_iter().flat_map(|s| &s.evacuated_zones).map(String::as_str).collect();
    let takes = |z: &str, kinds: &[Name]| {
        !evacuated.contains(z)
            && all.iter().any(|w| w.zone == z && !w.draining && w.reachable && (kinds.is_empty() || kinds.contains(&w.kind)))
    };
    let waiting: BTreeSet<&Name> = e.queues.iter().flatten().filter(|q| q.waiting_jobs > 0).map(|q| &q.queue).collect();
    for q in waiting {
        let zones: Vec<_> = e.kinds.iter().filter(|((_, queue), _)| queue == q).collect();
        if !zones.is_empty() && zones.iter().all(|((z, _), k)| !takes(z, k)) {
            let wanted: BTreeSet<&str> = zones.iter().flat_map(|(_, k)| k.iter().map(String::as_str)).collect();
            let wanted = if wanted.is_empty() { "any kind".to_owned() } else { wanted.into_iter().collect::<Vec<_>>().join(", ") };
            v.add(
                Severity::Fault,
                "queue-without-workers",
                format!("queue {q}"),
                format!("jobs wait, and no zone has a worker in use of a kind it may use ({wanted})"),
                "add such workers, end a drain or an evacuation, or allow it more kinds",
            );
        }
    }
}

/// Why the oldest jobs wait.
fn explanations(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    for x in &e.explanations {
        if !x.reasons.is_empty() {
            v.add(
                Severity::Notice,
                "job-waits",
                format!("job {}", x.name),
                x.reasons.join("; "),
                "firlock why JOB shows the same for any job",
            );
        }
    }
}

/// Sheds since each gateway's start.
fn sheds(e: &Evidence, _: &DoctorLimits, v: &mut Findings) {
    for g in &e.gateways {
        let n = g.metrics.as_ref().map_or(0.0, |m| m.sum(|n| n.split('_').any(|w| w == "shed" || w == "sheds")));
        if n > 0.0 {
            v.add(
                Severity::Notice,
                "calls-shed",
                &g.address,
                format!("it has shed {n} calls since its start: callers came faster than its limits allow"),
                "see /metrics for which limit; add gateways, or raise the limit if memory allows",
            );
        }
    }
}

/// Memory of each gateway.
fn memory(e: &Evidence, limits: &DoctorLimits, v: &mut Findings) {
    for g in &e.gateways {
        let Some(m) = &g.metrics else { continue };
        let b = m.sum(|n| n.ends_with("resident_memory_bytes")).max(m.sum(|n| n.ends_with("resident_memory_kb")) * 1024.0);
        if b > limits.memory_bytes {
            v.add(
                Severity::Warning,
                "memory-high",
                &g.address,
                format!("it takes {:.0} MB of memory, above {:.0} MB", b / 1048576.0, limits.memory_bytes / 1048576.0),
                "see whether it holds many workers or slow callers; start it again if it doesn't fall",
            );
        }
    }
}
