use crate::prelude::*;

/// What one gateway has shown.
#[derive(Default)]
struct Reader {
    newest: u64,
    newest_at: Millis,
    /// Newest before that: for reads that were under way when `newest` was shown.
    before: u64,
    /// Newest acknowledged version that it has been told late for.
    late_told: u64,
    undone_told: bool,
}

/// A version as acknowledged.
struct AcceptedVersion {
    at: Millis,
    digest: String,
    change_id: String,
    digest_told: bool,
}

/// Judges the configuration's changes and reads.
#[derive(Default)]
pub(crate) struct ConfigurationWatch {
    changes: HashMap<String, ChangeRecord>,
    accepted: BTreeMap<u64, AcceptedVersion>,
    won: HashMap<u64, String>,
    /// How many changes were sent with one base and digest.
    alike: HashMap<(u64, String), u32>,
    /// First digest seen of each version.
    shown: BTreeMap<u64, String>,
    readers: BTreeMap<Name, Reader>,
    /// Kinds by change; only those that say something.
    kinds: HashMap<String, Vec<QueueKinds>>,
    /// Changes without an answer that settles them, by base.
    unsettled: BTreeSet<(u64, String)>,
    last_read: Option<(Millis, u64)>,
    lost_told: bool,
}

impl ConfigurationWatch {
    /// What a change says about kinds.
    pub(crate) fn kinds(&mut self, change_id: String, kinds: Vec<QueueKinds>) {
        self.kinds.insert(change_id, kinds);
    }

    /// Whether a start ordered then may be on that kind: in the configuration that must be in force, or in any newer
    /// one that may be.
    pub(crate) fn allows(&self, ordered_at: Millis, place: (&str, &str, &str), b: &OracleBounds) -> bool {
        if self.kinds.is_empty() {
            return true;
        }
        let (zone, queue, kind) = place;
        let allowed = |id: &str| {
            let here = self.kinds.get(id).and_then(|v| v.iter().find(|k| k.zone == zone && k.queue == queue));
            here.is_none_or(|k| k.kinds.is_empty() || k.kinds.iter().any(|k| k == kind))
        };
        let due = self.due(ordered_at, b);
        let unknown = self.shown.range(due + 1..).any(|(v, _)| !self.accepted.contains_key(v));
        let accepted = self.accepted.range(due..).any(|(_, a)| allowed(&a.change_id));
        let unsettled = self.unsettled.range((due, String::new())..).any(|(_, id)| allowed(id));
        !self.accepted.contains_key(&due) || unknown || accepted || unsettled
    }

    /// The newest version that must be in force for whatever happens at that time; 0 before the first.
    fn due(&self, at: Millis, b: &OracleBounds) -> u64 {
        self.accepted.iter().rev().find(|(_, a)| a.at.saturating_add(b.configuration_ms) < at).map_or(0, |(&v, _)| v)
    }

    /// An operator sent a change.
    pub(crate) fn sent(&mut self, base: u64, change_id: String, digest: String) {
        if self.changes.contains_key(&change_id) {
            return;
        }
        self.unsettled.insert((base, change_id.clone()));
        *self.alike.entry((base, digest.clone())).or_default() += 1;
        self.changes.insert(change_id, ChangeRecord { base, digest, ..ChangeRecord::default() });
    }

    /// An operator was answered.
    pub(crate) fn answered(
        &mut self,
        at: Millis,
        id: &str,
        answer: CallResult<ConfigurationAccepted>,
        book: &mut FigureBook,
        tally: &mut Tally,
    ) {
        match answer {
            Ok(a) => self.acknowledged(at, id, a, book, tally),
            Err(CallError::Shed { .. } | CallError::NoLeader { .. } | CallError::TimeBudgetSpent { .. }) => {}
            Err(e) => {
                let Some(c) = self.changes.get_mut(id) else { return };
                self.unsettled.remove(&(c.base, id.to_owned()));
                c.raced |= matches!(e, CallError::RacedBase { .. });
                if c.accepted.is_some() && !c.resend_told {
                    c.resend_told = true;
                    tally.add(Rule::ConfigurationResendRefused, at, || format!("change {id} was acknowledged, its resend answered: {e}"));
                }
                self.judge_raced(at, id, tally);
            }
        }
    }

    fn acknowledged(&mut self, at: Millis, id: &str, a: ConfigurationAccepted, book: &mut FigureBook, tally: &mut Tally) {
        let Some(c) = self.changes.get_mut(id) else { return };
        if let Some((v, d)) = &c.accepted {
            if (*v, d.as_str()) != (a.version, a.digest.as_str()) {
                tally.add(Rule::ConfigurationUndone, at, || format!("change {id} was acknowledged as version {v}, then as {}", a.version));
            }
            return;
        }
        c.accepted = Some((a.version, a.digest.clone()));
        if c.raced && !c.resend_told {
            c.resend_told = true;
            tally.add(Rule::ConfigurationResendRefused, at, || format!("change {id} was answered as raced, then acknowledged"));
        }
        let base = c.base;
        self.unsettled.remove(&(base, id.to_owned()));
        if let Some(other) = self.won.get(&base) {
            tally.add(Rule::ConfigurationBothWon, at, || format!("changes {other} and {id} were both acknowledged on base {base}"));
            return;
        }
        self.won.insert(base, id.to_owned());
        if let Some(v) = self.accepted.get(&a.version) {
            let other = &v.change_id;
            tally.add(Rule::ConfigurationUndone, at, || format!("version {} was acknowledged to {other}, then to {id}", a.version));
            return;
        }
        let digest_told = self.shown.get(&a.version).is_some_and(|d| *d != a.digest);
        if digest_told {
            tally.add(Rule::ConfigurationUndone, at, || format!("version {} was acknowledged with another digest than read", a.version));
        }
        for _ in self.readers.values().filter(|r| r.newest >= a.version) {
            book.config.saturating_record(0);
        }
        self.accepted.insert(a.version, AcceptedVersion { at, digest: a.digest, change_id: id.to_owned(), digest_told });
    }

    /// A change answered as raced has won all the same when its own version shows: then the answer was wrong to its resend.
    fn judge_raced(&mut self, at: Millis, id: &str, tally: &mut Tally) {
        let Some(c) = self.changes.get_mut(id) else { return };
        let alone = !c.digest.is_empty() && self.alike.get(&(c.base, c.digest.clone())) == Some(&1);
        let shown = self.shown.get(&c.base.saturating_add(1)) == Some(&c.digest);
        if c.raced && c.accepted.is_none() && !c.resend_told && alone && shown {
            c.resend_told = true;
            tally.add(Rule::ConfigurationResendRefused, at, || format!("change {id} is in force, yet was answered as raced"));
        }
    }

    /// A read showed a version.
    pub(crate) fn seen(&mut self, at: Millis, read: (&str, u64, &str, Millis), b: &OracleBounds, book: &mut FigureBook, tally: &mut Tally) {
        let (through, version, digest, asked_at) = read;
        if self.last_read.is_none_or(|(t, _)| asked_at >= t) {
            self.last_read = Some((asked_at, version));
        }
        let due = self.due(asked_at, b);
        let r = self.readers.entry(through.to_owned()).or_default();
        let floor = if r.newest_at <= asked_at { r.newest } else { r.before };
        if version < floor && !r.undone_told {
            r.undone_told = true;
            tally.add(Rule::ConfigurationUndone, at, || format!("{through} showed version {floor}, then {version}"));
        }
        if version < due && due > r.late_told && version >= floor {
            let v = due;
            r.late_told = v;
            tally
                .add(Rule::ConfigurationLate, at, || format!("{through} showed version {version}, while {v} was acknowledged long before"));
        }
        if version > r.newest {
            for (_, a) in self.accepted.range(r.newest + 1..=version) {
                book.config.saturating_record(at.saturating_sub(a.at));
            }
            r.before = r.newest;
            r.newest = version;
            r.newest_at = at;
        }
        if let Some(a) = self.accepted.get_mut(&version)
            && a.digest != digest
            && !a.digest_told
        {
            a.digest_told = true;
            tally.add(Rule::ConfigurationUndone, at, || format!("version {version} shows another digest than acknowledged"));
        }
        let first = !self.shown.contains_key(&version);
        if first {
            self.shown.insert(version, digest.to_owned());
            let raced: Vec<String> =
                self.changes.iter().filter(|(_, c)| c.raced && c.base + 1 == version).map(|(id, _)| id.clone()).collect();
            for id in raced {
                self.judge_raced(at, &id, tally);
            }
        }
    }

    /// A read at the end: what was acknowledged must be there, whatever the time.
    pub(crate) fn seen_at_end(&mut self, at: Millis, through: &str, version: u64, digest: &str, tally: &mut Tally) {
        let Some((&v, a)) = self.accepted.last_key_value() else { return };
        if (version < v || (version == v && a.digest != digest)) && !self.lost_told {
            self.lost_told = true;
            tally.add(Rule::AcknowledgedLost, at, || format!("{through} shows configuration {version} at the end, {v} was acknowledged"));
        }
        self.last_read = None;
    }

    /// Without reads at the end, the last read is taken.
    pub(crate) fn finish(&mut self, at: Millis, b: &OracleBounds, tally: &mut Tally) {
        let Some((asked_at, version)) = self.last_read else { return };
        let v = self.due(asked_at, b);
        if version < v {
            tally.add(Rule::AcknowledgedLost, at, || format!("the last read showed configuration {version}, {v} was acknowledged"));
        }
    }
}
