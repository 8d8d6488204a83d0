use crate::prelude::*;

/// The greatest length of a change id.
const CHANGE_ID_MOST: usize = 128;

/// The versions of the operators' tree: of two changes on one version the first
/// wins, and the same change again gets the acknowledgement it got before.
///
/// A change forgotten because of the bound can never be applied twice: its base
/// version is long past, so that it is answered as raced.
///
/// ```
/// use declared_settings::prelude::*;
/// let mut history = ConfigurationHistory::default();
/// let first = history.put(0, "a", br#"{"settings":{"urgency":1}}"#).unwrap();
/// assert_eq!((first.version, first.already_applied), (1, false));
/// let raced = history.put(0, "b", br#"{"settings":{"urgency":2}}"#);
/// assert_eq!(raced, Err(PutError::RacedBase { current: 1, base: 0 }));
/// let again = history.put(0, "a", br#"{"settings":{"urgency":1}}"#).unwrap();
/// assert_eq!((again.version, again.already_applied), (1, true));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigurationHistory {
    bounds: ConfigurationSettings,
    version: u64,
    tree: Arc<SettingsTree>,
    changes: VecDeque<RememberedChange>,
    by_id: BTreeMap<String, (u64, TreeDigest)>,
    entries: VecDeque<HistoryEntry>,
    patch_bytes: usize,
}

impl Default for ConfigurationHistory {
    fn default() -> Self {
        Self::new(ConfigurationSettings::default())
    }
}

impl ConfigurationHistory {
    /// Version 0: an empty tree.
    pub fn new(bounds: ConfigurationSettings) -> Self {
        Self {
            bounds,
            version: 0,
            tree: Arc::default(),
            changes: VecDeque::new(),
            by_id: BTreeMap::new(),
            entries: VecDeque::new(),
            patch_bytes: 0,
        }
    }

    /// Applies a whole tree as the change `change_id` on `base_version`.
    ///
    /// A known id is answered from memory whatever its base: the same tree gets the
    /// same acknowledgement, another tree or an invalid one is a conflict. After
    /// that come the tree's faults, then the race.
    pub fn put(&mut self, base_version: u64, change_id: &str, json: &[u8]) -> Result<PutOutcome, PutError> {
        match self.consider(base_version, change_id, json)? {
            (Some(outcome), _) => Ok(outcome),
            (None, tree) => Ok(self.commit(change_id, tree)),
        }
    }

    /// What [`put`](Self::put) would answer, without applying anything.
    pub fn preview(&self, base_version: u64, change_id: &str, json: &[u8]) -> Result<(PutOutcome, Vec<PlannedChange>), PutError> {
        let (applied, tree) = self.consider(base_version, change_id, json)?;
        if let Some(outcome) = applied {
            return Ok((outcome, Vec::new()));
        }
        let (version, digest) = (self.version + 1, tree.digest());
        let outcome = PutOutcome { version, digest, already_applied: false };
        Ok((outcome, plan(&self.tree, &tree)))
    }

    fn consider(&self, base: u64, change_id: &str, json: &[u8]) -> Result<(Option<PutOutcome>, SettingsTree), PutError> {
        let fits = (1..=CHANGE_ID_MOST).contains(&change_id.len()) && change_id.bytes().all(|b| b.is_ascii_graphic());
        ensure!(fits, BadChangeIdSnafu { most: CHANGE_ID_MOST });
        let (most, found) = (self.bounds.most_tree_bytes, json.len() as u64);
        ensure!(found <= most, TooLargeSnafu { most, found });

        let read = SettingsTree::parse_within(json, &self.bounds);
        if let Some(&(version, digest)) = self.by_id.get(change_id) {
            return match read {
                Ok(tree) if tree.digest() == digest => Ok((Some(PutOutcome { version, digest, already_applied: true }), tree)),
                _ => ChangeIdReusedSnafu { change_id, version, digest }.fail(),
            };
        }
        let tree = read.map_err(|faults| PutError::Invalid { faults })?;
        let current = self.version;
        ensure!(base == current, RacedBaseSnafu { current, base });
        Ok((None, tree))
    }

    fn commit(&mut self, change_id: &str, tree: SettingsTree) -> PutOutcome {
        let patch = patch_text(&self.tree, &tree, self.bounds.history_bytes());
        let (version, digest) = (self.version + 1, tree.digest());
        self.version = version;
        self.tree = Arc::new(tree);
        let change_id = change_id.to_owned();
        self.remember(RememberedChange { change_id: change_id.clone(), version, digest });
        self.keep(HistoryEntry { version, change_id, digest, patch });
        PutOutcome { version, digest, already_applied: false }
    }

    fn remember(&mut self, change: RememberedChange) {
        self.by_id.insert(change.change_id.clone(), (change.version, change.digest));
        self.changes.push_back(change);
        while self.changes.len() as u64 > self.bounds.remembered_changes {
            if let Some(oldest) = self.changes.pop_front() {
                self.by_id.remove(&oldest.change_id);
            }
        }
    }

    fn keep(&mut self, entry: HistoryEntry) {
        let bytes = |e: &HistoryEntry| e.patch.as_ref().map_or(0, String::len);
        self.patch_bytes += bytes(&entry);
        self.entries.push_back(entry);
        while self.entries.len() > self.bounds.history_changes() {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.patch_bytes -= bytes(&oldest);
        }
        // The oldest patches go first; their entries stay to be listed.
        for entry in &mut self.entries {
            if self.patch_bytes <= self.bounds.history_bytes() {
                break;
            }
            self.patch_bytes -= bytes(entry);
            entry.patch = None;
        }
    }

    /// The version in force; 0 before the first change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The tree in force.
    pub fn tree(&self) -> &Arc<SettingsTree> {
        &self.tree
    }

    /// The digest of the tree in force.
    pub fn digest(&self) -> TreeDigest {
        self.tree.digest()
    }

    /// The bounds it was made with.
    pub fn bounds(&self) -> &ConfigurationSettings {
        &self.bounds
    }

    /// The newest changes with their patches, oldest first.
    pub fn entries(&self) -> impl DoubleEndedIterator<Item = &HistoryEntry> + ExactSizeIterator {
        self.entries.iter()
    }

    /// The acknowledgement that a remembered change got.
    pub fn applied(&self, change_id: &str) -> Option<PutOutcome> {
        let &(version, digest) = self.by_id.get(change_id)?;
        Some(PutOutcome { version, digest, already_applied: true })
    }

    /// The changes that lead from `version` to the one in force, oldest first; none
    /// when their patches are not all kept, so that the whole tree has to be sent.
    pub fn since(&self, version: u64) -> Option<Vec<&HistoryEntry>> {
        let missing = self.version.checked_sub(version)?;
        let skip = (self.entries.len() as u64).checked_sub(missing)?;
        let kept = |e: &'_ HistoryEntry| e.patch.is_some();
        self.entries.iter().skip(skip as usize).map(|e| kept(e).then_some(e)).collect()
    }

    /// The stored form.
    pub fn snapshot(&self) -> HistorySnapshot {
        HistorySnapshot {
            version: self.version,
            digest: self.digest(),
            tree: self.tree.canonical_json(),
            changes: self.changes.iter().cloned().collect(),
            entries: self.entries.iter().cloned().collect(),
        }
    }

    /// The stored form as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let written = minicbor::encode(self.snapshot(), &mut bytes);
        debug_assert!(written.is_ok(), "a vector takes every byte");
        bytes
    }

    /// Reads back what [`encode`](Self::encode) wrote.
    ///
    /// ```
    /// use declared_settings::prelude::*;
    /// let mut history = ConfigurationHistory::default();
    /// history.put(0, "a", b"{}").unwrap();
    /// let bounds = history.bounds().clone();
    /// assert_eq!(ConfigurationHistory::decode(&history.encode(), bounds), Ok(history));
    /// ```
    pub fn decode(bytes: &[u8], bounds: ConfigurationSettings) -> Result<Self, SnapshotError> {
        let snapshot: HistorySnapshot = minicbor::decode(bytes).map_err(|e| SnapshotError::Unreadable { reason: e.to_string() })?;
        let tree = SettingsTree::parse_within(&snapshot.tree, &bounds).map_err(|faults| SnapshotError::InvalidTree { faults })?;
        let (named, found) = (snapshot.digest, tree.digest());
        ensure!(named == found, OtherDigestSnafu { named, found });
        let mut history = Self::new(bounds);
        history.version = snapshot.version;
        history.tree = Arc::new(tree);
        snapshot.changes.into_iter().for_each(|c| history.remember(c));
        snapshot.entries.into_iter().for_each(|e| history.keep(e));
        Ok(history)
    }
}
