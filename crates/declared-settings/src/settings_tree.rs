use crate::prelude::*;

/// The place of a queue: its region, its zone and its name.
pub type QueuePlace<'a> = (&'a str, &'a str, &'a str);

/// The operators' tree: settings of the fleet, its regions, their zones and their
/// queues, each level passing down what the next does not set itself.
///
/// ```
/// use declared_settings::prelude::*;
/// let tree = SettingsTree::parse(br#"{
///     "settings": {"urgency": 4},
///     "regions": {"gujarat": {"zones": {"z1": {
///         "settings": {"share": 2},
///         "queues": {"table-holds": {"settings": {"urgency": 8}}, "bulk": {}}
///     }}}}
/// }"#).unwrap();
/// let holds = tree.effective("gujarat", "z1", "table-holds").unwrap();
/// assert_eq!((holds.settings.urgency, holds.settings.share), (8, 2.0));
/// assert_eq!(holds.origins.get("share"), Some(SettingLevel::Zone));
/// let bulk = tree.effective("gujarat", "z1", "bulk").unwrap();
/// assert_eq!(bulk.origins.get("urgency"), Some(SettingLevel::Fleet));
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct SettingsTree {
    pub(crate) overrides: Arc<LevelOverrides>,
    pub(crate) regions: BTreeMap<Arc<str>, RegionNode>,
    digest: TreeDigest,
    bytes: u64,
}

/// Hashes and counts the bytes written to it.
#[derive(Default)]
struct HashAndCount {
    hash: Sha256,
    bytes: u64,
}

impl io::Write for HashAndCount {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.hash.update(bytes);
        self.bytes += bytes.len() as u64;
        Ok(bytes.len())
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Default for SettingsTree {
    fn default() -> Self {
        Self::new(Arc::default(), BTreeMap::new())
    }
}

impl SettingsTree {
    pub(crate) fn new(overrides: Arc<LevelOverrides>, regions: BTreeMap<Arc<str>, RegionNode>) -> Self {
        let mut tree = Self { overrides, regions, digest: TreeDigest([0; 32]), bytes: 0 };
        // The writer's small pieces are gathered before they are hashed.
        let mut seen = io::BufWriter::new(HashAndCount::default());
        let written = serde_json::to_writer(&mut seen, &tree);
        debug_assert!(written.is_ok(), "a hash takes every byte");
        if let Ok(HashAndCount { hash, bytes }) = seen.into_inner() {
            tree.digest = TreeDigest(hash.finalize().into());
            tree.bytes = bytes;
        }
        tree
    }

    /// Reads a tree from JSON within the default bounds; all faults at once.
    pub fn parse(json: &[u8]) -> Result<Self, SettingFaults> {
        Self::parse_within(json, &ConfigurationSettings::default())
    }

    /// Reads a tree from JSON within `bounds`; all faults at once.
    pub fn parse_within(json: &[u8], bounds: &ConfigurationSettings) -> Result<Self, SettingFaults> {
        TreeParser::new(bounds).parse(json)
    }

    /// Reads a tree from a JSON value within the default bounds; all faults at once.
    pub fn from_value(value: &Value) -> Result<Self, SettingFaults> {
        Self::parse(value.to_string().as_bytes())
    }

    /// The canonical JSON: sorted keys, no blanks, empty parts left out.
    pub fn canonical_json(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let written = serde_json::to_writer(&mut bytes, self);
        debug_assert!(written.is_ok(), "a vector takes every byte");
        bytes
    }

    /// The canonical JSON as a value.
    pub fn to_value(&self) -> Value {
        json!(self)
    }

    /// SHA-256 of the canonical JSON.
    pub fn digest(&self) -> TreeDigest {
        self.digest
    }

    /// The size of the canonical JSON in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The regions by name.
    pub fn regions(&self) -> &BTreeMap<Arc<str>, RegionNode> {
        &self.regions
    }

    /// What the whole fleet sets.
    pub fn overrides(&self) -> &LevelOverrides {
        &self.overrides
    }

    /// The place of every queue, sorted.
    pub fn queues(&self) -> impl Iterator<Item = QueuePlace<'_>> {
        self.regions
            .iter()
            .flat_map(|(r, region)| region.zones.iter().flat_map(move |(z, zone)| zone.queues.keys().map(move |q| (&**r, &**z, &**q))))
    }

    /// What is in force for one queue, and which level each value came from; none
    /// when the tree has no such queue.
    pub fn effective(&self, region: &str, zone: &str, queue: &str) -> Option<EffectiveQueue> {
        let overrides = self.regions.get(region)?.zones.get(zone)?.queues.get(queue)?;
        Some(self.effective_at(region, zone)?.with(overrides, SettingLevel::Queue))
    }

    /// What is in force for a zone, as a queue that sets nothing inherits it; none
    /// when the tree has no such zone.
    pub fn effective_zone(&self, zone: &str) -> Option<EffectiveQueue> {
        let (region, _) = self.regions.iter().find(|(_, r)| r.zones.contains_key(zone))?;
        self.effective_at(region, zone)
    }

    fn effective_at(&self, region: &str, zone: &str) -> Option<EffectiveQueue> {
        let region = self.regions.get(region)?;
        let zone = region.zones.get(zone)?;
        Some(
            EffectiveQueue::default()
                .with(&self.overrides, SettingLevel::Fleet)
                .with(&region.overrides, SettingLevel::Region)
                .with(&zone.overrides, SettingLevel::Zone),
        )
    }
}

impl Serialize for SettingsTree {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        if !self.regions.is_empty() {
            map.serialize_entry("regions", &TreePart::Regions(&self.regions))?;
        }
        if !self.overrides.is_empty() {
            map.serialize_entry("settings", &*self.overrides)?;
        }
        map.end()
    }
}
