use crate::prelude::*;

/// One zone with everything in force in it.
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveZone {
    /// The region it is in.
    pub region: Arc<str>,
    /// What a queue inherits that sets nothing itself.
    pub inherited: Arc<EffectiveQueue>,
    /// What is in force for each queue.
    pub queues: BTreeMap<Arc<str>, Arc<EffectiveQueue>>,
}

/// Everything in force, worked out beforehand. Queues that inherit the same and
/// set the same share one allocation.
///
/// ```
/// use declared_settings::prelude::*;
/// let tree = SettingsTree::parse(
///     br#"{"regions":{"r":{"zones":{"a":{"queues":{"x":{},"y":{}}},"b":{"queues":{"x":{}}}}}}}"#,
/// ).unwrap();
/// let effective = EffectiveTree::new(&tree);
/// assert!(Arc::ptr_eq(effective.get("a", "x").unwrap(), effective.get("b", "x").unwrap()));
/// assert_eq!(effective.iter().count(), 3);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct EffectiveTree {
    zones: BTreeMap<Arc<str>, EffectiveZone>,
    digest: TreeDigest,
}

impl Default for EffectiveTree {
    fn default() -> Self {
        Self::new(&SettingsTree::default())
    }
}

impl EffectiveTree {
    /// Works out what is in force everywhere in `tree`.
    pub fn new(tree: &SettingsTree) -> Self {
        // Blocks that are equal are one allocation within a tree, so addresses tell
        // them apart while the tree is borrowed.
        type Known<K> = BTreeMap<K, Arc<EffectiveQueue>>;
        let address = |block: &Arc<LevelOverrides>| Arc::as_ptr(block) as usize;
        let fleet = EffectiveQueue::default().with(&tree.overrides, SettingLevel::Fleet);
        let mut known_zones: Known<(usize, usize)> = BTreeMap::new();
        let mut known_queues: Known<(usize, usize)> = BTreeMap::new();
        let mut zones = BTreeMap::new();
        for (region_name, region) in &tree.regions {
            let in_region = fleet.with(&region.overrides, SettingLevel::Region);
            for (zone_name, zone) in &region.zones {
                let inherited = known_zones
                    .entry((address(&region.overrides), address(&zone.overrides)))
                    .or_insert_with(|| Arc::new(in_region.with(&zone.overrides, SettingLevel::Zone)))
                    .clone();
                let mut queues = BTreeMap::new();
                for (name, overrides) in &zone.queues {
                    let queue = if overrides.is_empty() {
                        inherited.clone()
                    } else {
                        known_queues
                            .entry((Arc::as_ptr(&inherited) as usize, address(overrides)))
                            .or_insert_with(|| Arc::new(inherited.with(overrides, SettingLevel::Queue)))
                            .clone()
                    };
                    queues.insert(name.clone(), queue);
                }
                let region = region_name.clone();
                zones.insert(zone_name.clone(), EffectiveZone { region, inherited, queues });
            }
        }
        Self { zones, digest: tree.digest() }
    }

    /// What is in force for one queue of a zone.
    pub fn get(&self, zone: &str, queue: &str) -> Option<&Arc<EffectiveQueue>> {
        self.zones.get(zone)?.queues.get(queue)
    }

    /// One zone.
    pub fn zone(&self, zone: &str) -> Option<&EffectiveZone> {
        self.zones.get(zone)
    }

    /// Every zone by name.
    pub fn zones(&self) -> &BTreeMap<Arc<str>, EffectiveZone> {
        &self.zones
    }

    /// Every queue as ((zone, queue), what is in force), sorted.
    pub fn iter(&self) -> impl Iterator<Item = ((&str, &str), &Arc<EffectiveQueue>)> {
        self.zones.iter().flat_map(|(z, zone)| zone.queues.iter().map(move |(q, e)| ((&**z, &**q), e)))
    }

    /// The digest of the tree this was worked out from.
    pub fn digest(&self) -> TreeDigest {
        self.digest
    }
}
