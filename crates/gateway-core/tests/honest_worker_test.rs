use gateway_core::prelude::*;

mod stand;
use stand::*;

/// An honest worker and a link that delays and loses, but never makes anything up.
#[derive(Default)]
struct Honest {
    running: BTreeSet<AttemptId>,
    ended: BTreeSet<AttemptId>,
    lost: BTreeSet<(String, AttemptId)>,
    boot: u32,
    boot_in_log: u32,
    change: u64,
    hold: Option<HoldOrder>,
    answer: Option<HoldAnswer>,
    done: BTreeSet<AttemptId>,
    forgotten: BTreeSet<AttemptId>,
    reports: BTreeMap<u64, Vec<WorkerFacts>>,
    next: JobNumber,
}

impl Honest {
    /// Takes in what left the gateway; a start is carried out at once, its answer may come later or never.
    fn take(&mut self, fx: &[GatewayEffect]) -> Vec<AttemptId> {
        for f in sent(fx) {
            if let GatewayFrame::Facts { report, facts } = f {
                for f in &facts {
                    let missing = |a: &AttemptId| self.lost.contains(&(f.boot_id.clone(), *a));
                    assert!(f.missing.iter().all(missing), "{:?} isn't missing on {}", f.missing, f.boot_id);
                    let known = |a: &AttemptId| self.ended.contains(a) || self.done.contains(a) || self.forgotten.contains(a);
                    assert!(f.ended.iter().all(|e| known(&e.attempt)), "{:?} hasn't ended", f.ended);
                    let ends_alone = WorkerFacts {
                        ended: f.ended.clone(),
                        worker: f.worker.clone(),
                        boot_id: f.boot_id.clone(),
                        ..WorkerFacts::default()
                    };
                    if *f != ends_alone {
                        let boot = f.boot_id[1..].parse().unwrap();
                        assert!(boot >= self.boot_in_log, "b{} is told after b{}", boot, self.boot_in_log);
                        self.boot_in_log = boot;
                    }
                }
                self.reports.insert(report, facts);
            }
        }
        for h in holds(fx) {
            assert!(self.hold.replace(h).is_none(), "two holds are out");
            self.answer = None;
        }
        let v = starts(fx);
        self.running.extend(&v);
        self.change += v.len() as u64;
        v
    }

    /// The worker's process starts anew: all that ran is over, and forgotten like all that had ended.
    fn reboot(&mut self) {
        self.boot += 1;
        self.running.clear();
        self.forgotten.append(&mut self.ended);
        self.change = 1;
    }

    fn boot_id(&self) -> String {
        format!("b{}", self.boot)
    }

    /// Makes the answer to the hold that is out, unless it would be kept waiting.
    fn make_answer(&mut self) {
        let Some(h) = self.hold.as_ref().filter(|_| self.answer.is_none()) else { return };
        for a in &h.acknowledged {
            assert!(self.done.contains(a), "{a} is acknowledged before it is in the log");
            if self.ended.remove(a) {
                self.change += 1;
            }
        }
        let unchanged = h.seen == self.change;
        let all: Vec<AttemptId> = self.ended.iter().copied().filter(|_| !unchanged).collect();
        let running: Vec<AttemptId> = self.running.iter().copied().filter(|_| !unchanged).collect();
        if let Reply::Answer(a) = list(&self.boot_id(), self.change, &running, &all) {
            self.answer = Some(HoldAnswer { unchanged, ..a });
        }
    }
}

/// One random thing; `n` says to which attempt.
fn one(t: &mut Stand, w: &mut Honest, open: &mut Vec<(AttemptId, String)>, what: u8, n: u8) -> Vec<GatewayEffect> {
    let some = |s: &BTreeSet<AttemptId>| s.iter().nth(usize::from(n) % s.len().max(1)).copied();
    match what % 10 {
        0 => {
            w.next += 1;
            t.give(id(w.next))
        }
        1 if !open.is_empty() => {
            let (attempt, boot_id) = open.swap_remove(usize::from(n) % open.len());
            let answer = StartAnswer { attempt, result: StartResult::Started, boot_id, clock_ms: None };
            let reply = if n > 200 { Reply::Unknown } else { Reply::Answer(answer) };
            t.step(GatewayInput::StartAnswered { attempt, reply })
        }
        2 | 3 => {
            if let Some(a) = some(&w.running) {
                w.running.remove(&a);
                w.change += 1;
                if what % 10 == 2 {
                    w.ended.insert(a)
                } else {
                    w.lost.insert((w.boot_id(), a))
                };
            }
            Vec::new()
        }
        4 => {
            w.make_answer();
            Vec::new()
        }
        5 | 6 => {
            if n > 40 {
                w.make_answer();
            }
            // A hold's answer may be lost on its way.
            let reply = w.answer.take().filter(|_| !n.is_multiple_of(8)).map_or(Reply::Unknown, Reply::Answer);
            if w.hold.take().is_some() { t.held(reply) } else { Vec::new() }
        }
        7 => {
            let report = w.reports.keys().nth(usize::from(n) % w.reports.len().max(1)).copied().unwrap_or(0);
            for f in w.reports.range(..=report).flat_map(|(_, f)| f) {
                w.done.extend(f.ended.iter().map(|e| e.attempt));
            }
            t.frame(SchedulerFrame::FactsDone { report })
        }
        8 if n > 200 => {
            let mut fx = t.down();
            fx.extend(t.attach());
            fx
        }
        9 if n < 40 => {
            w.reboot();
            Vec::new()
        }
        9 if n > 150 => {
            // The worker has registered: the log tells its line anew, with what it knows as running.
            w.boot_in_log = w.boot;
            let (held, boot) = (some(&w.running).map(|a| (W.to_owned(), a)), w.boot_id());
            t.update(|u| {
                u.workers = vec![worker(W, &boot, Some(ME))];
                u.held = held.into_iter().collect();
            })
        }
        _ => {
            let mut fx = t.tick(u64::from(n));
            if sent(&fx).iter().any(|f| matches!(f, GatewayFrame::Pulse { .. })) {
                fx.extend(t.echo(&fx));
            }
            fx
        }
    }
}

#[test]
fn of_an_honest_worker_only_the_truth_is_told_and_no_end_is_lost() {
    let steps = bolero::produce::<Vec<(u8, u8)>>().with().len(0..200usize);
    bolero::check!().with_generator(steps).with_iterations(2_000).for_each(|steps| {
        let (mut t, mut w, mut open) = (Stand::new(), Honest::default(), Vec::new());
        w.take(&t.attach());
        w.take(&t.update(|u| u.workers = vec![worker(W, "b0", Some(ME))]));
        for &(what, n) in steps {
            let fx = one(&mut t, &mut w, &mut open, what, n);
            let boot = w.boot_id();
            open.extend(w.take(&fx).into_iter().map(|a| (a, boot.clone())));
        }
    });
}
