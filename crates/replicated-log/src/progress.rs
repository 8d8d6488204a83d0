use crate::prelude::*;

/// How a member is fed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Pace {
    /// One append at a time until one fits.
    Probe {
        /// Whether an append is on its way.
        waiting: bool,
    },
    /// Appends follow one another without waiting.
    Pipeline {
        /// Last index of each append on its way.
        inflight: VecDeque<Index>,
    },
    /// The log no longer reaches back far enough.
    Snapshot {
        /// What is sent.
        snapshot: Arc<Snapshot>,
        /// Bytes the member has.
        offset: u64,
        /// Whether a piece is on its way.
        waiting: bool,
    },
}

/// What a leader knows of a member.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Progress {
    /// Last index known to be equal and synced there.
    pub match_index: Index,
    /// Next index to send.
    pub next_index: Index,
    /// How it is fed.
    pub pace: Pace,
    /// Sending time of the newest message it acknowledged.
    pub acked_sent_at: Option<Millis>,
    /// When anything was last sent to it.
    pub last_sent_at: Millis,
    /// Newest commit index sent to it.
    pub commit_sent: Index,
    /// Its wall clock, and when we learned it.
    pub wall: Option<(Millis, Millis)>,
}

impl Progress {
    /// A member of which nothing is known.
    pub fn new(next_index: Index, now: Millis) -> Self {
        Self {
            match_index: 0,
            next_index,
            pace: Pace::Probe { waiting: false },
            acked_sent_at: None,
            last_sent_at: now,
            commit_sent: 0,
            wall: None,
        }
    }

    /// Notes a sign of life.
    pub fn heard(&mut self, now: Millis, sent_at: Millis, wall_ms: Option<Millis>) {
        self.acked_sent_at = max(self.acked_sent_at, Some(min(sent_at, now)));
        if let Some(wall_ms) = wall_ms {
            self.wall = Some((wall_ms, now));
        }
    }

    /// Notes that the member has the log up to an index; says whether it is news.
    pub fn matched(&mut self, index: Index) -> bool {
        self.next_index = max(self.next_index, index + 1);
        if let Pace::Pipeline { inflight } = &mut self.pace {
            while inflight.front().is_some_and(|last| *last <= index) {
                inflight.pop_front();
            }
        }
        let news = index > self.match_index;
        self.match_index = max(self.match_index, index);
        news
    }
}
