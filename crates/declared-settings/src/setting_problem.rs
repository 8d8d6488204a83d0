use crate::prelude::*;

/// What is wrong with one place in the settings; the place itself is in
/// [`SettingFault::path`].
#[derive(Debug, Clone, PartialEq, Serialize, Snafu)]
#[serde(tag = "problem", rename_all = "snake_case")]
#[snafu(visibility(pub))]
pub enum SettingProblem {
    /// No setting has this name.
    #[snafu(display("no setting has this name{}", suggestion(nearest)))]
    UnknownSetting {
        /// The declared name that looks most like it, when one is near.
        nearest: Option<String>,
    },
    /// A level of the tree has no field of this name.
    #[snafu(display("this level has no such field{}", suggestion(nearest)))]
    UnknownField {
        /// The field that looks most like it, when one is near.
        nearest: Option<String>,
    },
    /// The value is of another type.
    #[snafu(display("expected {expected}, found {found}"))]
    WrongType {
        /// The declared type, in words.
        expected: String,
        /// What stands there, in words.
        found: String,
    },
    /// A number outside of its range.
    #[snafu(display("{found} is outside of {range}"))]
    OutOfRange {
        /// The declared range, in words.
        range: String,
        /// The number found.
        found: String,
    },
    /// A text that is none of the allowed ones.
    #[snafu(display("\"{found}\" is none of: {}", allowed.join(", ")))]
    NotAllowed {
        /// Every allowed text.
        allowed: Vec<String>,
        /// The text found.
        found: String,
    },
    /// A setting without a usable default was not given.
    #[snafu(display("has to be given"))]
    Missing,
    /// A name outside of 1 to 63 of a-z, 0-9 and -.
    #[snafu(display("\"{found}\" is no name: 1 to {most} of the characters a-z, 0-9 and \"-\" make one"))]
    BadName {
        /// The name found, cut when long.
        found: String,
        /// The greatest length.
        most: usize,
    },
    /// The same key stands twice in one object.
    #[snafu(display("stands here twice"))]
    DuplicateKey,
    /// Two regions hold a zone of one name.
    #[snafu(display("the zone's name is taken by {first}"))]
    DuplicateZone {
        /// The path of the zone read first.
        first: String,
    },
    /// More entries than allowed.
    #[snafu(display("{found} entries, at most {most} are allowed"))]
    TooMany {
        /// The bound.
        most: u64,
        /// The count found.
        found: u64,
    },
    /// More bytes than allowed.
    #[snafu(display("{found} bytes, at most {most} are allowed"))]
    TooLarge {
        /// The bound in bytes.
        most: u64,
        /// The size found in bytes.
        found: u64,
    },
    /// Objects and lists nested deeper than allowed.
    #[snafu(display("nested deeper than {most} levels"))]
    TooDeep {
        /// The bound.
        most: u64,
    },
    /// The bytes are no JSON.
    #[snafu(display("no JSON at line {line}, column {column}: {reason}"))]
    NotJson {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// The parser's words.
        reason: String,
    },
    /// There are more faults than the answer may list.
    #[snafu(display("{count} further faults are not listed"))]
    Unlisted {
        /// How many are left out.
        count: u64,
    },
}

impl SettingProblem {
    /// The problem that `expected` was wanted and `value` was found.
    pub fn wrong_type(expected: impl Into<String>, value: &Value) -> Self {
        Self::WrongType { expected: expected.into(), found: kind_of(value) }
    }

    /// The problem that `name` is none of `names`, with the nearest of them.
    pub fn unknown_setting(name: &str, names: &[&str]) -> Self {
        Self::UnknownSetting { nearest: nearest_name(name, names) }
    }

    /// The parser's error as a problem.
    pub fn not_json(error: &serde_json::Error) -> Self {
        Self::NotJson { line: error.line(), column: error.column(), reason: error.to_string() }
    }
}

fn suggestion(nearest: &Option<String>) -> String {
    nearest.as_ref().map_or_else(String::new, |name| format!("; is \"{name}\" meant?"))
}

/// Names the kind of a JSON value in plain words.
///
/// ```
/// use declared_settings::prelude::*;
/// assert_eq!(kind_of(&json!([1])), "a list");
/// ```
pub fn kind_of(value: &Value) -> String {
    match value {
        Value::Null => "null".into(),
        Value::Bool(b) => b.to_string(),
        Value::Number(n) => format!("the number {n}"),
        Value::String(s) => format!("the text \"{}\"", cut(s, SHOWN_CHARS)),
        Value::Array(_) => "a list".into(),
        Value::Object(_) => "an object".into(),
    }
}

/// How many characters of a foreign text a fault shows.
pub(crate) const SHOWN_CHARS: usize = 80;

/// The first `most` characters of `text`.
pub(crate) fn cut(text: &str, most: usize) -> &str {
    text.char_indices().nth(most).map_or(text, |(end, _)| &text[..end])
}

/// The greatest edit distance, as a ratio to the name's length, at which a name
/// is still suggested.
const NEAR_RATIO: f64 = 0.4;

/// The name among `names` with the smallest edit distance to `name`, unless even
/// that one is far.
///
/// ```
/// use declared_settings::prelude::*;
/// assert_eq!(nearest_name("urgancy", &["share", "urgency"]).as_deref(), Some("urgency"));
/// assert_eq!(nearest_name("zzzzzz", &["share", "urgency"]), None);
/// ```
pub fn nearest_name(name: &str, names: &[&str]) -> Option<String> {
    let name = cut(name, SHOWN_CHARS);
    let length = name.chars().count();
    let far = |n: &str| (NEAR_RATIO * n.chars().count() as f64) as usize;
    names
        .iter()
        // The distance is at least the difference of the lengths.
        .filter(|n| length.abs_diff(n.chars().count()) <= far(n))
        .map(|n| (edit_distance(name, n), *n))
        .filter(|(d, n)| *d <= far(n))
        .min()
        .map(|(_, n)| n.to_owned())
}

/// Levenshtein's distance, by rows.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let above = row[j + 1];
            row[j + 1] = (diagonal + usize::from(x != *y)).min(above + 1).min(row[j] + 1);
            diagonal = above;
        }
    }
    row[b.len()]
}
