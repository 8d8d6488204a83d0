use crate::prelude::*;

/// A type that a setting can have: how it is read from JSON and from the command
/// line, and how it is written back.
pub trait SettingType: Sized {
    /// The type in plain words.
    fn type_name() -> String;
    /// Reads a JSON value.
    fn from_json(value: &Value) -> Result<Self, SettingProblem>;
    /// Writes the value in its one canonical JSON form.
    fn to_json(&self) -> Value;
    /// Turns the words of the command line into the JSON value they stand for.
    fn words_to_json(words: &[String]) -> Result<Value, SettingProblem> {
        let last = words.last().map(String::as_str).unwrap_or_default();
        Ok(Value::String(last.to_owned()))
    }
    /// Whether the command line may give it many times.
    const MANY: bool = false;
}

fn parse_word<T: std::str::FromStr + Serialize>(words: &[String], expected: String) -> Result<Value, SettingProblem> {
    let word = words.last().map(String::as_str).unwrap_or_default();
    let value = word.parse::<T>().ok().map(|v| json!(v)).filter(|v| !v.is_null());
    value.ok_or_else(|| SettingProblem::wrong_type(expected, &json!(word)))
}

impl SettingType for u64 {
    fn type_name() -> String {
        "whole number".into()
    }
    fn from_json(value: &Value) -> Result<Self, SettingProblem> {
        value.as_u64().ok_or_else(|| match value.as_i64() {
            Some(n) => SettingProblem::OutOfRange { range: format!("0 to {}", u64::MAX), found: n.to_string() },
            None => SettingProblem::wrong_type(Self::type_name(), value),
        })
    }
    fn to_json(&self) -> Value {
        json!(self)
    }
    fn words_to_json(words: &[String]) -> Result<Value, SettingProblem> {
        parse_word::<i128>(words, Self::type_name())?;
        parse_word::<u64>(words, Self::type_name()).map_err(|_| SettingProblem::OutOfRange {
            range: format!("0 to {}", u64::MAX),
            found: words.last().cloned().unwrap_or_default(),
        })
    }
}

impl SettingType for f64 {
    fn type_name() -> String {
        "number".into()
    }
    fn from_json(value: &Value) -> Result<Self, SettingProblem> {
        value.as_f64().ok_or_else(|| SettingProblem::wrong_type(Self::type_name(), value))
    }
    fn to_json(&self) -> Value {
        json!(self)
    }
    fn words_to_json(words: &[String]) -> Result<Value, SettingProblem> {
        parse_word::<f64>(words, Self::type_name())
    }
}

impl SettingType for bool {
    fn type_name() -> String {
        "true or false".into()
    }
    fn from_json(value: &Value) -> Result<Self, SettingProblem> {
        value.as_bool().ok_or_else(|| SettingProblem::wrong_type(Self::type_name(), value))
    }
    fn to_json(&self) -> Value {
        json!(self)
    }
    fn words_to_json(words: &[String]) -> Result<Value, SettingProblem> {
        parse_word::<bool>(words, Self::type_name())
    }
}

impl SettingType for String {
    fn type_name() -> String {
        "text".into()
    }
    fn from_json(value: &Value) -> Result<Self, SettingProblem> {
        value.as_str().map(str::to_owned).ok_or_else(|| SettingProblem::wrong_type(Self::type_name(), value))
    }
    fn to_json(&self) -> Value {
        json!(self)
    }
}

impl SettingType for SocketAddr {
    fn type_name() -> String {
        "address (ip:port)".into()
    }
    fn from_json(value: &Value) -> Result<Self, SettingProblem> {
        value.as_str().and_then(|s| s.parse().ok()).ok_or_else(|| SettingProblem::wrong_type(Self::type_name(), value))
    }
    fn to_json(&self) -> Value {
        json!(self.to_string())
    }
}

/// Lists: the command line gives them as many flags, or parted by commas.
impl<T: SettingType> SettingType for Vec<T> {
    fn type_name() -> String {
        format!("list of {}", T::type_name())
    }
    fn from_json(value: &Value) -> Result<Self, SettingProblem> {
        value.as_array().ok_or_else(|| SettingProblem::wrong_type(Self::type_name(), value))?.iter().map(T::from_json).collect()
    }
    fn to_json(&self) -> Value {
        self.iter().map(T::to_json).collect()
    }
    fn words_to_json(words: &[String]) -> Result<Value, SettingProblem> {
        words.iter().flat_map(|w| w.split(',')).filter(|w| !w.is_empty()).map(|w| T::words_to_json(&[w.to_owned()])).collect()
    }
    const MANY: bool = true;
}

/// Optional settings: JSON gives null for none.
impl<T: SettingType> SettingType for Option<T> {
    fn type_name() -> String {
        format!("optional {}", T::type_name())
    }
    fn from_json(value: &Value) -> Result<Self, SettingProblem> {
        if value.is_null() { Ok(None) } else { T::from_json(value).map(Some) }
    }
    fn to_json(&self) -> Value {
        self.as_ref().map_or(Value::Null, T::to_json)
    }
    fn words_to_json(words: &[String]) -> Result<Value, SettingProblem> {
        T::words_to_json(words)
    }
    const MANY: bool = T::MANY;
}
