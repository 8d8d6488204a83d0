use crate::prelude::*;

/// Calls `each` with every key and raw value of the object `raw`, doubles
/// included, without building the object.
pub(crate) fn for_each_entry<'a>(raw: &'a RawValue, each: impl FnMut(String, &'a RawValue)) -> Result<(), serde_json::Error> {
    struct Entries<F>(F);
    impl<'de, F: FnMut(String, &'de RawValue)> Visitor<'de> for Entries<F> {
        type Value = ();
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("an object")
        }
        fn visit_map<A: MapAccess<'de>>(mut self, mut map: A) -> Result<(), A::Error> {
            while let Some((key, value)) = map.next_entry()? {
                (self.0)(key, value);
            }
            Ok(())
        }
    }
    serde_json::Deserializer::from_str(raw.get()).deserialize_map(Entries(each))
}

/// The kind of a raw JSON value in plain words, by its first character.
pub(crate) fn kind_of_text(raw: &RawValue) -> String {
    let text = raw.get();
    match text.as_bytes().first() {
        Some(b'{') => "an object".into(),
        Some(b'[') => "a list".into(),
        _ => cut(text, SHOWN_CHARS).into(),
    }
}
