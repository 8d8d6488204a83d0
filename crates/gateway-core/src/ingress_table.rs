use crate::prelude::*;

/// Which queue the jobs at a host and path go through, as the configuration says.
///
/// ```
/// use gateway_core::IngressTable;
/// let tree = serde_json::json!({"regions": {"r": {"zones": {"z": {"queues": {
///     "holds": {"settings": {"ingress": ["book.example/hold/"]}},
///     "all": {"settings": {"ingress": ["book.example/"]}},
/// }}}}}});
/// let t = IngressTable::of(&tree);
/// assert_eq!(t.find("book.example", "/hold/17").map(|r| (r.queue.as_str(), r.prefix.as_str())), Some(("holds", "/hold/")));
/// assert_eq!(t.find("book.example", "/menu").map(|r| r.queue.as_str()), Some("all"));
/// assert!(t.find("else.example", "/hold/17").is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IngressTable {
    /// By host; the longest prefix first.
    rules: BTreeMap<String, Vec<IngressRule>>,
}

/// One rule of the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IngressRule {
    /// The start of the path.
    pub prefix: String,
    /// The queue.
    pub queue: Name,
}

/// The objects under a name in a tree.
fn children<'t>(node: &'t Value, name: &str) -> impl Iterator<Item = (&'t String, &'t Value)> {
    node.get(name).and_then(Value::as_object).into_iter().flatten()
}

impl IngressTable {
    /// Reads the settings named `ingress` of all queues.
    pub fn of(tree: &Value) -> Self {
        let mut rules: BTreeMap<String, Vec<IngressRule>> = BTreeMap::new();
        let zones = children(tree, "regions").flat_map(|(_, region)| children(region, "zones"));
        for (queue, node) in zones.flat_map(|(_, zone)| children(zone, "queues")) {
            let list = node.pointer("/settings/ingress").and_then(Value::as_array);
            for text in list.into_iter().flatten().filter_map(Value::as_str) {
                let Some(slash) = text.find('/') else { continue };
                let rule = IngressRule { prefix: text[slash..].to_owned(), queue: queue.clone() };
                let host = rules.entry(text[..slash].to_owned()).or_default();
                // A queue stands in each zone that may run it.
                if !host.contains(&rule) {
                    host.push(rule);
                }
            }
        }
        for host in rules.values_mut() {
            host.sort_by_key(|r| Reverse(r.prefix.len()));
        }
        IngressTable { rules }
    }

    /// The rule for a host and path.
    pub fn find(&self, host: &str, path: &str) -> Option<&IngressRule> {
        self.rules.get(host)?.iter().find(|r| path.starts_with(&r.prefix))
    }
}
