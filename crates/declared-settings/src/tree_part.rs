use crate::prelude::*;

/// A part of a tree, borrowed: what a change adds, removes or replaces. It writes
/// its own JSON, so that a large part needs no second form in memory.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TreePart<'a> {
    /// The value of one setting.
    Setting(&'a Value),
    /// All that one level sets.
    Block(&'a LevelOverrides),
    /// One queue.
    Queue(&'a LevelOverrides),
    /// All queues of a zone.
    Queues(&'a BTreeMap<Arc<str>, Arc<LevelOverrides>>),
    /// One zone.
    Zone(&'a ZoneNode),
    /// All zones of a region.
    Zones(&'a BTreeMap<Arc<str>, Arc<ZoneNode>>),
    /// One region.
    Region(&'a RegionNode),
    /// All regions.
    Regions(&'a BTreeMap<Arc<str>, RegionNode>),
}

impl Serialize for TreePart<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match *self {
            Self::Setting(value) => value.serialize(serializer),
            Self::Block(block) => block.serialize(serializer),
            Self::Queue(block) => {
                let mut map = serializer.serialize_map(None)?;
                if !block.is_empty() {
                    map.serialize_entry("settings", block)?;
                }
                map.end()
            }
            Self::Queues(all) => serializer.collect_map(all.iter().map(|(n, q)| (&**n, TreePart::Queue(q)))),
            Self::Zone(zone) => {
                let mut map = serializer.serialize_map(None)?;
                if !zone.queues.is_empty() {
                    map.serialize_entry("queues", &TreePart::Queues(&zone.queues))?;
                }
                if !zone.overrides.is_empty() {
                    map.serialize_entry("settings", &*zone.overrides)?;
                }
                map.end()
            }
            Self::Zones(all) => serializer.collect_map(all.iter().map(|(n, z)| (&**n, TreePart::Zone(z)))),
            Self::Region(region) => {
                let mut map = serializer.serialize_map(None)?;
                if !region.overrides.is_empty() {
                    map.serialize_entry("settings", &*region.overrides)?;
                }
                if !region.zones.is_empty() {
                    map.serialize_entry("zones", &TreePart::Zones(&region.zones))?;
                }
                map.end()
            }
            Self::Regions(all) => serializer.collect_map(all.iter().map(|(n, r)| (&**n, TreePart::Region(r)))),
        }
    }
}
