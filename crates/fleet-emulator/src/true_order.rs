use crate::prelude::*;

/// What one recorder saw, in its own order.
pub type Seen = Vec<(Millis, Observation)>;

/// Puts what several recorders saw in the order of true time. Each recorder keeps its own order. Clocks tell
/// milliseconds; within one, what can cause goes before what it can cause: sends, ends of runs, starts of runs, answers.
///
/// ```
/// use fleet_emulator::prelude::*;
/// let cancel = Observation::CancelSent { name: "hold-7".into() };
/// let ordered = true_order(vec![vec![(10, Observation::FinalReads), (30, Observation::FinalReads)], vec![(10, cancel.clone())]]);
/// assert_eq!(ordered[0], (10, cancel));
/// ```
pub fn true_order(mut recorders: Vec<Seen>) -> Seen {
    recorders.iter_mut().for_each(|r| r.sort_by_key(|(at, _)| *at));
    let mut left: Vec<_> = recorders.into_iter().map(|r| r.into_iter().peekable()).collect();
    let mut ordered = Vec::new();
    loop {
        let next = left.iter_mut().enumerate().filter_map(|(i, r)| r.peek().map(|(at, o)| (*at, rank(o), i))).min();
        let Some((_, _, i)) = next else { return ordered };
        ordered.extend(left[i].next());
    }
}

/// Of two things within one millisecond, the lower one can have caused the higher one.
fn rank(o: &Observation) -> u8 {
    match o {
        Observation::JobSent { .. }
        | Observation::CancelSent { .. }
        | Observation::DrainSent { .. }
        | Observation::EvacuationSent { .. }
        | Observation::ConfigurationKinds { .. }
        | Observation::ConfigurationSent { .. }
        | Observation::WorkerKnown { .. } => 0,
        Observation::RunEnded { .. } | Observation::RunLost { .. } | Observation::ResultLost { .. } => 1,
        Observation::RunStarted { .. } | Observation::WorkerUnreachable { .. } => 2,
        Observation::JobAnswered { .. }
        | Observation::JobSeen { .. }
        | Observation::JobAbsent { .. }
        | Observation::CancelAnswered { .. }
        | Observation::DrainAnswered { .. }
        | Observation::EvacuationAnswered { .. }
        | Observation::ConfigurationAnswered { .. }
        | Observation::ConfigurationSeen { .. }
        | Observation::FinalReads => 3,
    }
}
