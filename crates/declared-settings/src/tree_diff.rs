use crate::prelude::*;

/// The JSON patch (RFC 6902) that turns the canonical JSON of `a` into that of `b`.
///
/// ```
/// use declared_settings::prelude::*;
/// let a = SettingsTree::parse(br#"{"settings":{"urgency":1}}"#).unwrap();
/// let b = SettingsTree::parse(br#"{"settings":{"urgency":2}}"#).unwrap();
/// let patch = diff(&a, &b);
/// assert_eq!(json!(patch), json!([{"op":"replace","path":"/settings/urgency","value":2}]));
/// assert_eq!(apply_patch(&a, &patch), Ok(b));
/// ```
pub fn diff(a: &SettingsTree, b: &SettingsTree) -> Patch {
    Patch(tree_changes(a, b).iter().map(TreeChange::operation).collect())
}

/// The JSON of [`diff`], written without building it; none when it has more than
/// `most` bytes.
///
/// ```
/// use declared_settings::prelude::*;
/// let a = SettingsTree::default();
/// let b = SettingsTree::parse(br#"{"settings":{"urgency":2}}"#).unwrap();
/// let text = r#"[{"op":"add","path":"/settings","value":{"urgency":2}}]"#;
/// assert_eq!(patch_text(&a, &b, 100).as_deref(), Some(text));
/// assert_eq!(patch_text(&a, &b, 10), None);
/// ```
pub fn patch_text(a: &SettingsTree, b: &SettingsTree, most: usize) -> Option<String> {
    let mut text = BoundedText { bytes: Vec::new(), most };
    serde_json::to_writer(&mut text, &tree_changes(a, b)).ok()?;
    String::from_utf8(text.bytes).ok()
}

/// Takes bytes up to a bound.
struct BoundedText {
    bytes: Vec<u8>,
    most: usize,
}

impl io::Write for BoundedText {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let room = self.most - self.bytes.len();
        let taken = bytes.len().min(room);
        self.bytes.extend_from_slice(&bytes[..taken]);
        Ok(taken)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
