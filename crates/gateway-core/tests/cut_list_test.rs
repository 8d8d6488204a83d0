//! Workers with more ends than one answer holds.

mod stand;

use gateway_core::prelude::*;
use stand::*;

/// Ends that the worker lists at once.
const LISTED_AT_ONCE: usize = 500;
/// How long a report takes into the log and back.
const COMMIT_MS: Millis = 50;
/// What the worker's clock shows at first.
const CLOCK_MS: Millis = 50_000;

/// A worker with ends numbered from 1, of which it forgets what is observed.
struct EndedWork {
    ends: Vec<EndedAttempt>,
}

impl EndedWork {
    fn new(count: u64) -> Self {
        let end = |sequence| EndedAttempt { sequence, ..EndedAttempt::new(id(sequence), Outcome::Succeeded) };
        EndedWork { ends: (1..=count).map(end).collect() }
    }

    /// Its answer to a hold.
    fn answer(&mut self, order: &HoldOrder, clock_ms: Millis) -> Reply<HoldAnswer> {
        self.ends.retain(|end| end.sequence > order.observed);
        let first = self.ends.iter().take(LISTED_AT_ONCE).cloned().collect();
        Reply::Answer(HoldAnswer {
            worker: W.into(),
            boot_id: W.into(),
            change: clock_ms,
            ended: EndList::limited(first, LISTED_AT_ONCE),
            clock_ms: Some(clock_ms),
            ..HoldAnswer::default()
        })
    }
}

/// A gateway that holds a worker with a lease, and its first hold.
fn holder() -> (Stand, HoldOrder) {
    let mut stand = Stand::with(GatewaySettings { lease_most_ms: 10_000, hold_interval_ms: 500, ..GatewaySettings::default() });
    stand.attach();
    let fx = stand.update(|u| u.workers = vec![WorkerSummary { leased: true, ..worker(W, W, Some(ME)) }]);
    let order = holds(&fx).remove(0);
    (stand, order)
}

/// Has all of so many ends taken note of: how long that took, and how many answers.
fn take_note_of(count: u64) -> (Millis, usize) {
    let (mut stand, first) = holder();
    let mut work = EndedWork::new(count);
    let (began, mut answers) = (stand.now, 0);
    let mut open = Some(first);
    let mut reports: VecDeque<(Millis, u64)> = VecDeque::new();
    while !work.ends.is_empty() {
        assert!(stand.now < began + 60_000, "{} ends are left", work.ends.len());
        let mut fx = stand.tick(5);
        if sent(&fx).iter().any(|f| matches!(f, GatewayFrame::Pulse { .. })) {
            fx.extend(stand.echo(&fx));
        }
        if reports.front().is_some_and(|(at, _)| *at <= stand.now) {
            let (_, report) = reports.pop_front().unwrap();
            fx.extend(stand.frame(SchedulerFrame::FactsDone { report }));
        }
        if let Some(order) = open.take() {
            answers += 1;
            let clock_ms = CLOCK_MS + stand.now;
            fx.extend(stand.held(work.answer(&order, clock_ms)));
        }
        open = holds(&fx).pop().or(open);
        let told = sent(&fx).into_iter().filter_map(|f| if let GatewayFrame::Facts { report, .. } = f { Some(report) } else { None });
        reports.extend(told.map(|report| (stand.now + COMMIT_MS, report)));
    }
    (stand.now - began, answers)
}

/// The next list is asked for as soon as the one before is in the log: ends beyond a cut list wait for nothing else.
#[test]
fn ends_beyond_a_cut_list_are_taken_note_of_as_fast_as_the_log_takes_them() {
    for count in [1_800_u64, 5_000] {
        let lists = count.div_ceil(LISTED_AT_ONCE as u64);
        let (took, answers) = take_note_of(count);
        // For each list: its report, the log, and the next look.
        let each = 25 + COMMIT_MS + 25;
        assert!(took <= (lists + 1) * each, "{count} ends took {took} ms");
        // While a list is on its way into the log the worker isn't asked for the same one again.
        assert!(answers as u64 <= lists + 2, "{answers} answers for {lists} lists");
    }
}

/// A cut list acknowledges what it shows, and nothing else.
#[test]
fn a_cut_list_is_acknowledged_up_to_its_last_end() {
    let (mut stand, first) = holder();
    let mut work = EndedWork::new(LISTED_AT_ONCE as u64 + 100);
    let mut fx = stand.held(work.answer(&first, CLOCK_MS));
    fx.extend(stand.tick(50));
    assert!(sent(&fx).iter().any(|f| matches!(f, GatewayFrame::Facts { report: 1, .. })));
    let mut fx = stand.frame(SchedulerFrame::FactsDone { report: 1 });
    fx.extend(stand.tick(50));
    assert_eq!(holds(&fx).last().map(|h| h.observed), Some(LISTED_AT_ONCE as u64));
}
