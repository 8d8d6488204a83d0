use crate::prelude::*;

/// What is due when, in order of time and then of setting.
#[derive(Clone, Debug)]
pub struct Timers<T> {
    by_time: BTreeMap<(Millis, u64), T>,
    set: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers { by_time: BTreeMap::new(), set: 0 }
    }
}

impl<T> Timers<T> {
    /// Sets one.
    pub fn set(&mut self, at: Millis, what: T) {
        self.set += 1;
        self.by_time.insert((at, self.set), what);
    }

    /// Takes the first that is due, with its time.
    pub fn take_due(&mut self, now: Millis) -> Option<(Millis, T)> {
        let first = self.by_time.first_entry()?;
        let at = first.key().0;
        (at <= now).then(|| (at, first.remove()))
    }

    /// When the next is due.
    pub fn next_due(&self) -> Option<Millis> {
        self.by_time.first_key_value().map(|(k, _)| k.0)
    }

    /// Drops those that don't fit.
    pub fn retain(&mut self, fits: impl Fn(&T) -> bool) {
        self.by_time.retain(|_, t| fits(t));
    }
}
