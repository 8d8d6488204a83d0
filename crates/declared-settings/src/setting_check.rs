use crate::prelude::*;

/// The check of one setting, as declared in [`declare_settings!`](crate::declare_settings)
/// by `check(..)`. Lists are checked item by item.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SettingCheck {
    /// Every value of the type.
    Any,
    /// Whole numbers from the first to the second, both included.
    Integers(u64, u64),
    /// Numbers from the first to the second, both included.
    Numbers(f64, f64),
    /// Numbers above the first, up to the second, which is included.
    Above(f64, f64),
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// Something has to stand there: no empty text or list, no null.
    NotEmpty,
    /// A name, `[a-z0-9-]{1,63}`.
    Name,
    /// A list of names with at most this many items.
    Names(usize),
    /// A list with at most this many items.
    Most(usize),
}

/// The greatest length of a name.
pub(crate) const NAME_MOST: usize = 63;

/// Whether `name` is one of `[a-z0-9-]{1,63}`.
pub(crate) fn is_name(name: &str) -> bool {
    (1..=NAME_MOST).contains(&name.len()) && name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-')
}

/// The problem of a text that is no name.
pub(crate) fn bad_name(name: &str) -> SettingProblem {
    SettingProblem::BadName { found: cut(name, NAME_MOST + 1).into(), most: NAME_MOST }
}

impl SettingCheck {
    /// Checks a value in its JSON form.
    ///
    /// ```
    /// use declared_settings::prelude::*;
    /// assert!(SettingCheck::Integers(0, 9).test(&json!(9)).is_ok());
    /// assert!(SettingCheck::Integers(0, 9).test(&json!(10)).is_err());
    /// ```
    pub fn test(&self, value: &Value) -> Result<(), SettingProblem> {
        let fits = match (self, value) {
            (Self::NotEmpty, Value::Null) => false,
            (Self::NotEmpty, Value::String(s)) => !s.is_empty(),
            (Self::NotEmpty, Value::Array(a)) => !a.is_empty(),
            (Self::Any | Self::NotEmpty, _) | (_, Value::Null) => true,
            (Self::Names(most) | Self::Most(most), Value::Array(a)) => {
                if a.len() > *most {
                    return Err(SettingProblem::TooMany { most: *most as u64, found: a.len() as u64 });
                }
                match self {
                    Self::Names(_) => return a.iter().try_for_each(|v| Self::Name.test(v)),
                    _ => true,
                }
            }
            (_, Value::Array(a)) => return a.iter().try_for_each(|v| self.test(v)),
            (Self::Integers(a, b), v) => v.as_u64().is_some_and(|n| (*a..=*b).contains(&n)),
            (Self::Numbers(a, b), v) => v.as_f64().is_some_and(|n| (*a..=*b).contains(&n)),
            (Self::Above(a, b), v) => v.as_f64().is_some_and(|n| n > *a && n <= *b),
            (Self::OneOf(texts), v) => v.as_str().is_some_and(|s| texts.contains(&s)),
            (Self::Name, v) => v.as_str().is_some_and(is_name),
            (Self::Names(_) | Self::Most(_), _) => true,
        };
        if fits { Ok(()) } else { Err(self.problem(value)) }
    }

    fn problem(&self, value: &Value) -> SettingProblem {
        match self {
            Self::OneOf(texts) => SettingProblem::NotAllowed {
                allowed: texts.iter().map(|t| (*t).to_owned()).collect(),
                found: cut(value.as_str().unwrap_or_default(), SHOWN_CHARS).into(),
            },
            Self::NotEmpty => SettingProblem::Missing,
            Self::Name => bad_name(value.as_str().unwrap_or_default()),
            _ => SettingProblem::OutOfRange { range: self.to_string(), found: value.to_string() },
        }
    }
}

impl fmt::Display for SettingCheck {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Any => write!(f, "any"),
            Self::Integers(a, b) => write!(f, "{a} to {b}"),
            Self::Numbers(a, b) => write!(f, "{a} to {b}"),
            Self::Above(a, b) => write!(f, "above {a}, up to {b}"),
            Self::OneOf(texts) => write!(f, "one of: {}", texts.join(", ")),
            Self::NotEmpty => write!(f, "not empty"),
            Self::Name => write!(f, "a name: 1 to {NAME_MOST} of a-z, 0-9 and -"),
            Self::Names(most) => write!(f, "at most {most} names of 1 to {NAME_MOST} of a-z, 0-9 and -"),
            Self::Most(most) => write!(f, "at most {most} items"),
        }
    }
}
