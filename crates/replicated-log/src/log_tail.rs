use crate::prelude::*;

/// The part of the log held in memory: what follows a compacted base.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LogTail {
    base_index: Index,
    base_term: Term,
    base_log_time: Millis,
    entries: VecDeque<LogEntry>,
    bytes: usize,
}

impl LogTail {
    /// An empty tail after a base.
    pub fn new(base_index: Index, base_term: Term, base_log_time: Millis) -> Self {
        Self { base_index, base_term, base_log_time, entries: VecDeque::new(), bytes: 0 }
    }

    /// Last compacted index.
    pub fn base_index(&self) -> Index {
        self.base_index
    }

    /// Last index, held or compacted.
    pub fn last_index(&self) -> Index {
        self.base_index + self.entries.len() as Index
    }

    /// Term at the last index.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Cluster clock at the last index.
    pub fn last_log_time(&self) -> Millis {
        self.entries.back().map_or(self.base_log_time, |e| e.log_time)
    }

    /// Rough bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The entry at an index, if held.
    pub fn get(&self, index: Index) -> Option<&LogEntry> {
        let place = index.checked_sub(self.base_index + 1)?;
        self.entries.get(place as usize)
    }

    /// Term at an index, if known.
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Adds the next entry.
    pub fn push(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Drops entries from an index on; says how many.
    pub fn truncate_from(&mut self, index: Index) -> u64 {
        let mut dropped = 0;
        while self.last_index() >= index {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes -= entry.size();
            dropped += 1;
        }
        dropped
    }

    /// Drops entries up to and with an index that is held.
    pub fn compact_to(&mut self, index: Index) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= entry.size();
            self.base_index = entry.index;
            self.base_term = entry.term;
            self.base_log_time = entry.log_time;
        }
    }

    /// First index of the run of equal terms that holds this index.
    pub fn first_of_term(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base_index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Last index at or before a bound whose term is not newer than the one given.
    pub fn last_not_newer(&self, bound: Index, term: Term) -> Index {
        let mut last = min(bound, self.last_index());
        while last > self.base_index && self.term_at(last).is_some_and(|t| t > term) {
            last -= 1;
        }
        last
    }

    /// Entries from an index on, at least one if there is one, up to a size.
    pub fn batch(&self, from: Index, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.range(from, self.last_index()) {
            bytes += entry.size();
            if !batch.is_empty() && bytes > max_bytes {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Held entries of a closed range.
    pub fn range(&self, from: Index, to: Index) -> impl Iterator<Item = &LogEntry> {
        let skip = from.saturating_sub(self.base_index + 1) as usize;
        let end = to.saturating_sub(self.base_index) as usize;
        self.entries.iter().take(end).skip(skip)
    }

    /// Largest index up to which entries may go while a size and all entries
    /// past a bound stay.
    pub fn compactable(&self, bound: Index, keep_bytes: usize) -> Index {
        let mut kept = 0;
        let mut index = min(bound, self.last_index());
        while index > self.base_index {
            kept += self.get(index).map_or(0, LogEntry::size);
            if kept > keep_bytes {
                break;
            }
            index -= 1;
        }
        index
    }
}
