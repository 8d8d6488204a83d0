use crate::prelude::*;

/// Objects and lists may be nested this deep before the tree is not read at all;
/// a valid one needs 9 levels.
const MOST_DEPTH: u64 = 64;

/// Reads a tree in one pass over raw JSON, so that no second form of the whole
/// tree is built, and shares what is equal: names and blocks of settings.
pub(crate) struct TreeParser<'b> {
    bounds: &'b ConfigurationSettings,
    path: String,
    faults: FaultList,
    names: BTreeSet<Arc<str>>,
    blocks: BTreeMap<Box<str>, Arc<LevelOverrides>>,
    zones: BTreeMap<Arc<str>, String>,
    queues: u64,
    scratch: QueueSettings,
    empty: Arc<LevelOverrides>,
}

impl<'b> TreeParser<'b> {
    pub(crate) fn new(bounds: &'b ConfigurationSettings) -> Self {
        Self {
            bounds,
            path: String::new(),
            faults: FaultList::new(bounds.most_faults as usize),
            names: BTreeSet::new(),
            blocks: BTreeMap::new(),
            zones: BTreeMap::new(),
            queues: 0,
            scratch: QueueSettings::default(),
            empty: Arc::default(),
        }
    }

    pub(crate) fn parse(mut self, json: &[u8]) -> Result<SettingsTree, SettingFaults> {
        let most = self.bounds.most_tree_bytes;
        if json.len() as u64 > most {
            return Err(SettingFaults::one("", SettingProblem::TooLarge { most, found: json.len() as u64 }));
        }
        if depth(json) > MOST_DEPTH {
            return Err(SettingFaults::one("", SettingProblem::TooDeep { most: MOST_DEPTH }));
        }
        let raw: &RawValue = serde_json::from_slice(json).map_err(|e| SettingFaults::one("", SettingProblem::not_json(&e)))?;

        let mut regions = BTreeMap::new();
        let overrides = self.level(raw, "regions", |parser, raw| {
            parser.named(raw, &mut regions, |parser, raw, _| parser.region(raw));
        });
        if self.queues > self.bounds.most_queues {
            self.path.clear();
            self.fault(SettingProblem::TooMany { most: self.bounds.most_queues, found: self.queues });
        }
        let Self { faults, names, blocks, zones, .. } = self;
        drop((names, blocks, zones));
        SettingFaults::unless_none(faults.into_faults(), ())?;
        Ok(SettingsTree::new(overrides, regions))
    }

    fn region(&mut self, raw: &RawValue) -> RegionNode {
        let mut zones = BTreeMap::new();
        let overrides = self.level(raw, "zones", |parser, raw| {
            parser.named(raw, &mut zones, |parser, raw, name| Arc::new(parser.zone(raw, name)));
        });
        RegionNode { overrides, zones }
    }

    fn zone(&mut self, raw: &RawValue, name: &Arc<str>) -> ZoneNode {
        match self.zones.get(name) {
            // A zone that stands twice in one region is a double key already.
            Some(first) if *first != self.path => {
                let first = first.clone();
                self.fault(SettingProblem::DuplicateZone { first });
            }
            Some(_) => {}
            None => {
                self.zones.insert(name.clone(), self.path.clone());
            }
        }
        let mut queues = BTreeMap::new();
        let overrides = self.level(raw, "queues", |parser, raw| {
            parser.named(raw, &mut queues, |parser, raw, _| {
                parser.queues += 1;
                parser.level(raw, "", |_, _| {})
            });
        });
        ZoneNode { overrides, queues }
    }

    /// Reads one level: its `settings`, and by `inner` the field `below`.
    fn level<'a>(&mut self, raw: &'a RawValue, below: &str, mut inner: impl FnMut(&mut Self, &'a RawValue)) -> Arc<LevelOverrides> {
        let fields = if below.is_empty() { &["settings"][..] } else { &["settings", below][..] };
        let mut seen = [false; 2];
        let mut overrides = self.empty.clone();
        self.entries(raw, |parser, name, value| match fields.iter().position(|f| *f == name) {
            None => parser.fault(SettingProblem::UnknownField { nearest: nearest_name(&name, fields) }),
            Some(i) => {
                if mem::replace(&mut seen[i], true) {
                    parser.fault(SettingProblem::DuplicateKey);
                }
                if i == 0 {
                    overrides = parser.block(value);
                } else {
                    inner(parser, value);
                }
            }
        });
        overrides
    }

    /// Reads an object of named nodes into `nodes`.
    fn named<'a, T>(
        &mut self,
        raw: &'a RawValue,
        nodes: &mut BTreeMap<Arc<str>, T>,
        mut node: impl FnMut(&mut Self, &'a RawValue, &Arc<str>) -> T,
    ) {
        self.entries(raw, |parser, name, value| {
            if !is_name(&name) {
                parser.fault(bad_name(&name));
            }
            let name = parser.shared_name(&name);
            let read = node(parser, value, &name);
            if nodes.insert(name, read).is_some() {
                parser.fault(SettingProblem::DuplicateKey);
            }
        });
    }

    /// Reads one block of settings.
    fn block(&mut self, raw: &RawValue) -> Arc<LevelOverrides> {
        let mut entries: Vec<(&'static str, Value)> = Vec::new();
        self.entries(raw, |parser, name, raw| {
            let known = QueueSettings::NAMES.iter().copied().find(|n| *n == name);
            if known.is_some_and(|n| entries.iter().any(|(e, _)| *e == n)) {
                parser.fault(SettingProblem::DuplicateKey);
            }
            let set = parser.value(raw).and_then(|value| parser.scratch.set(&name, &value));
            match (set, known) {
                (Ok(()), Some(known)) => {
                    let value = parser.scratch.get(known).unwrap_or_default();
                    entries.push((known, value));
                }
                (Err(problem), _) => parser.fault(problem),
                (Ok(()), None) => {}
            }
        });
        if entries.is_empty() {
            return self.empty.clone();
        }
        let block = LevelOverrides::new(entries);
        let text = json!(block).to_string();
        self.blocks.entry(text.into()).or_insert_with(|| Arc::new(block)).clone()
    }

    /// Builds the value of one setting, unless it is too large to be any.
    fn value(&self, raw: &RawValue) -> Result<Value, SettingProblem> {
        let (most, found) = (self.bounds.most_value_bytes, raw.get().len() as u64);
        if found > most {
            return Err(SettingProblem::TooLarge { most, found });
        }
        serde_json::from_str(raw.get()).map_err(|e| SettingProblem::not_json(&e))
    }

    /// Goes over the entries of an object, with the path led along.
    fn entries<'a>(&mut self, raw: &'a RawValue, mut each: impl FnMut(&mut Self, String, &'a RawValue)) {
        if !raw.get().starts_with('{') {
            let found = kind_of_text(raw);
            return self.fault(SettingProblem::WrongType { expected: "an object".into(), found });
        }
        let end = self.path.len();
        let read = for_each_entry(raw, |name, value| {
            if end > 0 {
                self.path.push('.');
            }
            self.path.push_str(cut(&name, SHOWN_CHARS));
            each(self, name, value);
            self.path.truncate(end);
        });
        if let Err(e) = read {
            self.fault(SettingProblem::not_json(&e));
        }
    }

    fn fault(&mut self, problem: SettingProblem) {
        self.faults.add(&self.path, problem);
    }

    fn shared_name(&mut self, name: &str) -> Arc<str> {
        if let Some(shared) = self.names.get(name) {
            return shared.clone();
        }
        let shared: Arc<str> = name.into();
        self.names.insert(shared.clone());
        shared
    }
}

/// The deepest nesting of objects and lists, texts left aside.
fn depth(json: &[u8]) -> u64 {
    let (mut now, mut most, mut in_text, mut escaped) = (0u64, 0u64, false, false);
    for b in json {
        match (in_text, b) {
            (true, _) if escaped => escaped = false,
            (true, b'\\') => escaped = true,
            (_, b'"') => in_text = !in_text,
            (false, b'{' | b'[') => {
                now += 1;
                most = most.max(now);
            }
            (false, b'}' | b']') => now = now.saturating_sub(1),
            _ => {}
        }
    }
    most
}
