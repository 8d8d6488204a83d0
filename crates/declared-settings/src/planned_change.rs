use crate::prelude::*;

/// One line of a plan: what a change of the tree would do.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlannedChange {
    /// The place, as keys joined by dots.
    pub path: String,
    /// The value before; none when added.
    pub from: Option<Value>,
    /// The value after; none when removed.
    pub to: Option<Value>,
    /// How many queues get other values in force by it, or come or go with it.
    pub effective_changes: usize,
}

impl fmt::Display for PlannedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.path)?;
        // Whole parts are named without their JSON, which may be long.
        match (&self.from, &self.to) {
            (Some(from), Some(to)) => write!(f, "{from} becomes {to}")?,
            (None, Some(Value::Object(_))) => write!(f, "is added")?,
            (Some(Value::Object(_)), None) => write!(f, "is removed")?,
            (None, Some(to)) => write!(f, "{to} is added")?,
            (Some(from), None) => write!(f, "{from} is removed")?,
            (None, None) => write!(f, "stays")?,
        }
        let queues = if self.effective_changes == 1 { "queue" } else { "queues" };
        write!(f, " (changes {} {queues})", self.effective_changes)
    }
}

/// What turning `a` into `b` would change, setting by setting, and for how many
/// queues. A queue under two changed levels counts for each that alters a value.
///
/// ```
/// use declared_settings::prelude::*;
/// let a = br#"{"regions":{"r":{"zones":{"z":{"queues":{"x":{},"y":{"settings":{"urgency":5}}}}}}}}"#;
/// let b = br#"{"settings":{"urgency":4},
///   "regions":{"r":{"zones":{"z":{"queues":{"x":{},"y":{"settings":{"urgency":5}}}}}}}}"#;
/// let (a, b) = (SettingsTree::parse(a).unwrap(), SettingsTree::parse(b).unwrap());
/// let lines: Vec<String> = plan(&a, &b).iter().map(PlannedChange::to_string).collect();
/// assert_eq!(lines, [r#"settings.urgency: 4 is added (changes 1 queue)"#]);
/// ```
pub fn plan(a: &SettingsTree, b: &SettingsTree) -> Vec<PlannedChange> {
    let before = EffectiveTree::new(a);
    let after = EffectiveTree::new(b);
    tree_changes(a, b)
        .into_iter()
        .flat_map(by_setting)
        .map(|change| PlannedChange {
            path: change.tokens.join("."),
            from: change.from.map(|part| json!(part)),
            to: change.to.map(|part| json!(part)),
            effective_changes: count_queues(&change, &before, &after),
        })
        .collect()
}

/// A block of settings that came or went, as one change per setting.
fn by_setting(change: TreeChange<'_>) -> Vec<TreeChange<'_>> {
    let (block, added) = match (change.from, change.to) {
        (Some(TreePart::Block(block)), None) => (block, false),
        (None, Some(TreePart::Block(block))) => (block, true),
        _ => return vec![change],
    };
    block
        .iter()
        .map(|(name, value)| {
            let tokens = change.tokens.iter().copied().chain([name]).collect();
            let part = Some(TreePart::Setting(value));
            let (from, to) = if added { (None, part) } else { (part, None) };
            TreeChange { tokens, from, to }
        })
        .collect()
}

/// The names of the region, zone and queue a change lies in, as far as it goes.
type Names<'a> = [Option<&'a str>; 3];

/// Where the tokens lead: the names, and the setting when it is one. Fields and
/// names take turns, so a zone called `settings` is told apart.
fn place<'a>(tokens: &[&'a str]) -> (Names<'a>, Option<&'a str>) {
    let mut names = [None; 3];
    for (depth, pair) in tokens.chunks(2).enumerate() {
        match (pair, names.get_mut(depth)) {
            (["settings", name], _) => return (names, Some(name)),
            ([_, name], Some(slot)) => *slot = Some(*name),
            _ => {}
        }
    }
    (names, None)
}

fn count_queues(change: &TreeChange<'_>, before: &EffectiveTree, after: &EffectiveTree) -> usize {
    let ([region, zone, queue], setting) = place(&change.tokens);
    let count = |here: &EffectiveTree, there: &EffectiveTree, shared: bool| {
        let zones: Vec<(&Arc<str>, &EffectiveZone)> = match zone {
            Some(z) => here.zones().get_key_value(z).into_iter().collect(),
            None => here.zones().iter().collect(),
        };
        zones
            .into_iter()
            .filter(|(_, z)| region.is_none_or(|r| *z.region == *r))
            .flat_map(|(name, z)| z.queues.iter().map(move |(q, e)| (name, z, q, e)))
            .filter(|(_, _, q, _)| queue.is_none_or(|name| ***q == *name))
            .filter(|(name, z, q, e)| {
                let other = there.zone(name).filter(|o| o.region == z.region).and_then(|o| o.queues.get(*q));
                match (other, setting) {
                    (Some(o), Some(s)) => shared && o.settings.get(s) != e.settings.get(s),
                    (None, None) => true,
                    _ => false,
                }
            })
            .count()
    };
    // Queues on both sides are counted once, from before; others on their side.
    count(before, after, true) + count(after, before, false)
}
