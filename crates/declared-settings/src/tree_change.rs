use crate::prelude::*;

/// One difference between two trees: a setting or a whole part that was added,
/// removed or replaced. `tokens` lead to it from the root of the JSON form.
#[derive(Debug, Clone, PartialEq)]
pub struct TreeChange<'a> {
    /// The keys from the root.
    pub tokens: Vec<&'a str>,
    /// The part before; none when added.
    pub from: Option<TreePart<'a>>,
    /// The part after; none when removed.
    pub to: Option<TreePart<'a>>,
}

impl TreeChange<'_> {
    /// The change as an operation of a JSON patch.
    pub fn operation(&self) -> PatchOperation {
        let path = PointerBuf::from_tokens(self.tokens.iter().copied());
        match (&self.from, &self.to) {
            (Some(_), Some(to)) => PatchOperation::Replace(ReplaceOperation { path, value: json!(to) }),
            (None, Some(to)) => PatchOperation::Add(AddOperation { path, value: json!(to) }),
            (_, None) => PatchOperation::Remove(RemoveOperation { path }),
        }
    }
}

/// Written as the operation of a JSON patch, without building it.
impl Serialize for TreeChange<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let op = match (&self.from, &self.to) {
            (Some(_), Some(_)) => "replace",
            (None, Some(_)) => "add",
            (_, None) => "remove",
        };
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("op", op)?;
        map.serialize_entry("path", PointerBuf::from_tokens(self.tokens.iter().copied()).as_str())?;
        if let Some(to) = &self.to {
            map.serialize_entry("value", to)?;
        }
        map.end()
    }
}

/// All differences from `a` to `b`, sorted. Parts that are equal are skipped, and
/// none is copied.
pub fn tree_changes<'a>(a: &'a SettingsTree, b: &'a SettingsTree) -> Vec<TreeChange<'a>> {
    let mut walk = Walk { tokens: Vec::new(), changes: Vec::new() };
    if a.digest() != b.digest() {
        walk.blocks(&a.overrides, &b.overrides);
        walk.nodes("regions", (&a.regions, &b.regions), TreePart::Regions, TreePart::Region, Walk::regions);
    }
    walk.changes
}

/// Nodes of one kind by name.
type Nodes<T> = BTreeMap<Arc<str>, T>;

struct Walk<'a> {
    tokens: Vec<&'a str>,
    changes: Vec<TreeChange<'a>>,
}

impl<'a> Walk<'a> {
    fn regions(&mut self, a: &'a RegionNode, b: &'a RegionNode) {
        self.blocks(&a.overrides, &b.overrides);
        let one = |z: &'a Arc<ZoneNode>| TreePart::Zone(z);
        self.nodes("zones", (&a.zones, &b.zones), TreePart::Zones, one, Walk::zones);
    }

    fn zones(&mut self, a: &'a Arc<ZoneNode>, b: &'a Arc<ZoneNode>) {
        if Arc::ptr_eq(a, b) {
            return;
        }
        self.blocks(&a.overrides, &b.overrides);
        let one = |q: &'a Arc<LevelOverrides>| TreePart::Queue(q);
        self.nodes("queues", (&a.queues, &b.queues), TreePart::Queues, one, Walk::blocks);
    }

    fn note(&mut self, from: Option<TreePart<'a>>, to: Option<TreePart<'a>>) {
        self.changes.push(TreeChange { tokens: self.tokens.clone(), from, to });
    }

    fn within(&mut self, token: &'a str, inner: impl FnOnce(&mut Self)) {
        self.tokens.push(token);
        inner(self);
        self.tokens.pop();
    }

    /// Compares two blocks of settings. The canonical form has no empty block, so
    /// one that comes or goes is one change.
    fn blocks(&mut self, a: &'a Arc<LevelOverrides>, b: &'a Arc<LevelOverrides>) {
        if Arc::ptr_eq(a, b) || a == b {
            return;
        }
        self.within("settings", |walk| {
            if a.is_empty() || b.is_empty() {
                let whole = |block: &'a LevelOverrides| (!block.is_empty()).then_some(TreePart::Block(block));
                return walk.note(whole(a), whole(b));
            }
            let names: BTreeSet<_> = a.iter().chain(b.iter()).map(|(name, _)| name).collect();
            for name in names {
                let (from, to) = (a.get(name), b.get(name));
                if from != to {
                    let part = |v: Option<&'a Value>| v.map(TreePart::Setting);
                    walk.within(name, |walk| walk.note(part(from), part(to)));
                }
            }
        });
    }

    /// Compares two sets of named nodes; an empty set has no JSON of its own.
    fn nodes<T>(
        &mut self,
        field: &'a str,
        (a, b): (&'a Nodes<T>, &'a Nodes<T>),
        all: impl Fn(&'a Nodes<T>) -> TreePart<'a>,
        one: impl Fn(&'a T) -> TreePart<'a>,
        both: impl Fn(&mut Self, &'a T, &'a T),
    ) {
        self.within(field, |walk| {
            if a.is_empty() || b.is_empty() {
                if a.len() != b.len() {
                    let whole = |n: &'a Nodes<T>| (!n.is_empty()).then(|| all(n));
                    walk.note(whole(a), whole(b));
                }
                return;
            }
            let names: BTreeSet<&'a Arc<str>> = a.keys().chain(b.keys()).collect();
            for name in names {
                walk.within(name, |walk| match (a.get(name), b.get(name)) {
                    (Some(x), Some(y)) => both(walk, x, y),
                    (x, y) => walk.note(x.map(&one), y.map(&one)),
                });
            }
        });
    }
}
