use crate::prelude::*;

/// What the parts of a whole view have listed so far; what none of them lists is gone when the last one is folded.
///
/// ```
/// use gateway_core::prelude::*;
/// let first = ViewUpdate { reset: true, ..ViewUpdate::default() };
/// let last = ViewUpdate { upto: 9, ..ViewUpdate::default() };
/// let mut gathered = None;
/// assert!(WholeView::gather(&mut gathered, &first).is_none());
/// assert!(WholeView::gather(&mut gathered, &last).is_some());
/// assert!(WholeView::gather(&mut gathered, &last).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct WholeView {
    /// Workers.
    pub workers: BTreeSet<Name>,
    /// Attempts to stop.
    pub stops: BTreeSet<AttemptId>,
}

impl WholeView {
    /// Adds a part: the first one is marked `reset`, the last one carries the view number. All that was listed, when it is whole.
    pub fn gather(gathered: &mut Option<WholeView>, u: &ViewUpdate) -> Option<WholeView> {
        if u.reset {
            *gathered = Some(WholeView::default());
        }
        let g = gathered.as_mut()?;
        g.workers.extend(u.workers.iter().map(|w| w.name.clone()));
        g.stops.extend(u.stops.iter().map(|o| o.attempt));
        if u.upto > 0 { gathered.take() } else { None }
    }
}
