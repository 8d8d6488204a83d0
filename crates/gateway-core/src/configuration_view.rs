use crate::prelude::*;

/// Why a configuration could not be taken over.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum PatchError {
    /// The patches begin after what is known.
    #[snafu(display("patches begin at version {base}, {have} is known"))]
    Gap { base: u64, have: u64 },
    /// A patch is none, or doesn't fit.
    #[snafu(display("patch to version {version} doesn't fit: {reason}"))]
    Unfit { version: u64, reason: String },
    /// The tree has another digest than was told.
    #[snafu(display("version {version} has digest {found}, {wanted} was told"))]
    Digest { version: u64, found: String, wanted: String },
}

/// The configuration in force, as far as it is known.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationView {
    /// Its version.
    pub version: u64,
    /// SHA-256 of the canonical tree.
    pub digest: String,
    /// The tree.
    pub tree: Arc<Value>,
}

impl Default for ConfigurationView {
    fn default() -> Self {
        let tree = Value::Object(Default::default());
        ConfigurationView { version: 0, digest: tree_digest(&tree), tree: Arc::new(tree) }
    }
}

/// SHA-256, hexadecimal, of a tree's canonical JSON: sorted keys, no blanks.
///
/// ```
/// let a = serde_json::json!({"b": 1, "a": [true]});
/// let b = serde_json::from_str(r#" {"a":[true] , "b":1} "#).unwrap();
/// assert_eq!(gateway_core::tree_digest(&a), gateway_core::tree_digest(&b));
/// ```
pub fn tree_digest(tree: &Value) -> String {
    let mut h = Sha256::new();
    hash_value(tree, &mut h);
    h.finalize().iter().map(|b| format!("{b:02x}")).collect()
}

/// Hashes the canonical form of one value; keys are sorted here, whatever order a map keeps.
fn hash_value(v: &Value, h: &mut Sha256) {
    match v {
        Value::Object(m) => {
            let sorted: BTreeMap<&String, &Value> = m.iter().collect();
            h.update(b"{");
            for (i, (k, v)) in sorted.into_iter().enumerate() {
                h.update(if i > 0 { "," } else { "" });
                h.update(Value::from(k.as_str()).to_string());
                h.update(b":");
                hash_value(v, h);
            }
            h.update(b"}");
        }
        Value::Array(a) => {
            h.update(b"[");
            for (i, v) in a.iter().enumerate() {
                h.update(if i > 0 { "," } else { "" });
                hash_value(v, h);
            }
            h.update(b"]");
        }
        plain => h.update(plain.to_string()),
    }
}

impl ConfigurationView {
    /// The configuration after an update; nothing is taken over unless its digest is the one told.
    pub fn updated(&self, u: &ConfigurationUpdate) -> Result<Self, PatchError> {
        if u.version == self.version && u.digest == self.digest {
            return Ok(self.clone());
        }
        let tree = match &u.tree {
            Some(t) => t.0.clone(),
            None => self.patched(u)?,
        };
        let found = tree_digest(&tree);
        ensure!(found == u.digest, DigestSnafu { version: u.version, found, wanted: u.digest.clone() });
        Ok(ConfigurationView { version: u.version, digest: found, tree: Arc::new(tree) })
    }

    /// The tree after the patches that are new.
    fn patched(&self, u: &ConfigurationUpdate) -> Result<Value, PatchError> {
        let skip = self.version.checked_sub(u.base).context(GapSnafu { base: u.base, have: self.version })?;
        let mut tree = (*self.tree).clone();
        for (i, p) in u.patches.iter().enumerate().skip(skip as usize) {
            let version = u.base + i as u64 + 1;
            let patch: json_patch::Patch =
                serde_json::from_value(p.0.clone()).map_err(|e| PatchError::Unfit { version, reason: e.to_string() })?;
            json_patch::patch(&mut tree, &patch).map_err(|e| PatchError::Unfit { version, reason: e.to_string() })?;
        }
        Ok(tree)
    }
}
