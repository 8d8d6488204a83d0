use crate::prelude::*;

/// `tree` with `patch` applied, when that is a valid tree within the default bounds.
pub fn apply_patch(tree: &SettingsTree, patch: &Patch) -> Result<SettingsTree, PatchFault> {
    apply_patch_within(tree, patch, &ConfigurationSettings::default())
}

/// `tree` with `patch` applied, when that is a valid tree within `bounds`.
///
/// Only the zones that the patch names are turned into JSON; the others are shared
/// with `tree`. A patch that moves, copies, names a whole region or more, or makes
/// the tree invalid is applied to the JSON of the whole tree.
pub fn apply_patch_within(tree: &SettingsTree, patch: &Patch, bounds: &ConfigurationSettings) -> Result<SettingsTree, PatchFault> {
    if let Some(named) = named_zones(patch) {
        match patched(sparse_value(tree, &named), patch, bounds) {
            Ok(sparse) => {
                if let Some(regions) = join(tree, sparse.regions, &named) {
                    let joined = SettingsTree::new(sparse.overrides, regions);
                    return within_bounds(joined, bounds);
                }
            }
            Err(unfit @ PatchFault::Unfit { .. }) => return Err(unfit),
            // Only the whole tree shows every fault.
            Err(PatchFault::Invalid { .. }) => {}
        }
    }
    within_bounds(patched(tree.to_value(), patch, bounds)?, bounds)
}

/// (region, zone) pairs.
type ZoneNames = BTreeSet<(String, String)>;

/// The zones that the patch names; none when it reaches further than into zones and
/// the settings of regions and fleet.
fn named_zones(patch: &Patch) -> Option<ZoneNames> {
    let mut named = ZoneNames::new();
    for operation in patch.iter() {
        match operation {
            PatchOperation::Move(_) | PatchOperation::Copy(_) => return None,
            PatchOperation::Add(_) | PatchOperation::Remove(_) | PatchOperation::Replace(_) | PatchOperation::Test(_) => {}
        }
        let tokens: Vec<String> = operation.path().tokens().map(|t| t.decoded().into_owned()).collect();
        let tokens: Vec<&str> = tokens.iter().map(String::as_str).collect();
        match tokens[..] {
            ["settings", ..] | ["regions", _, "settings", ..] => {}
            ["regions", region, "zones", zone, ..] => {
                named.insert((region.to_owned(), zone.to_owned()));
            }
            _ => return None,
        }
    }
    Some(named)
}

/// The JSON of the tree without the zones that are not named.
fn sparse_value(tree: &SettingsTree, named: &ZoneNames) -> Value {
    let is_named = |r: &str, z: &str| named.contains(&(r.to_owned(), z.to_owned()));
    let mut value = json!({});
    if !tree.overrides.is_empty() {
        value["settings"] = json!(*tree.overrides);
    }
    if !tree.regions.is_empty() {
        value["regions"] = json!({});
    }
    for (r, region) in &tree.regions {
        let mut node = json!({});
        if !region.overrides.is_empty() {
            node["settings"] = json!(*region.overrides);
        }
        if !region.zones.is_empty() {
            let zones = region.zones.iter().filter(|(z, _)| is_named(r, z));
            node["zones"] = zones.map(|(z, zone)| (z.to_string(), json!(TreePart::Zone(zone)))).collect();
        }
        value["regions"][&**r] = node;
    }
    value
}

/// Applies the patch to JSON and reads the outcome.
fn patched(mut value: Value, patch: &Patch, bounds: &ConfigurationSettings) -> Result<SettingsTree, PatchFault> {
    // The value is ours and dropped on an error, so nothing has to be undone; the
    // undoing of `json_patch::patch` panics on some moves.
    json_patch::patch_unsafe(&mut value, patch).map_err(|e| PatchFault::Unfit {
        operation: e.operation,
        path: e.path.to_string(),
        reason: e.kind.to_string(),
    })?;
    SettingsTree::parse_within(value.to_string().as_bytes(), bounds).map_err(|faults| PatchFault::Invalid { faults })
}

type Regions = BTreeMap<Arc<str>, RegionNode>;

/// Puts the zones that were not named back, shared with `tree`; none when a zone's
/// name then stands in two regions.
fn join(tree: &SettingsTree, mut regions: Regions, named: &ZoneNames) -> Option<Regions> {
    for (r, region) in &tree.regions {
        let joined = regions.get_mut(r)?;
        for (z, zone) in &region.zones {
            if !named.contains(&(r.to_string(), z.to_string())) {
                joined.zones.insert(z.clone(), zone.clone());
            }
        }
    }
    let mut names = BTreeSet::new();
    let once = regions.values().flat_map(|r| r.zones.keys()).all(|z| names.insert(z));
    once.then_some(regions)
}

/// Holds the whole tree to the bounds that its parts kept.
fn within_bounds(tree: SettingsTree, bounds: &ConfigurationSettings) -> Result<SettingsTree, PatchFault> {
    let (most, found) = (bounds.most_tree_bytes, tree.bytes());
    let mut faults = Vec::new();
    if found > most {
        faults.push(SettingFault::new("", SettingProblem::TooLarge { most, found }));
    }
    let (most, found) = (bounds.most_queues, tree.queues().count() as u64);
    if found > most {
        faults.push(SettingFault::new("", SettingProblem::TooMany { most, found }));
    }
    SettingFaults::unless_none(faults, tree).map_err(|faults| PatchFault::Invalid { faults })
}
