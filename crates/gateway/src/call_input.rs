use crate::prelude::*;

/// What a request says: the name in its path, its query, its body.
#[derive(Clone, Debug, Default)]
pub struct CallInput {
    /// The name in the path, decoded; empty when the path has none.
    pub name: String,
    /// The query.
    pub query: BTreeMap<String, String>,
    /// The body.
    pub body: Bytes,
}

/// One fault.
fn invalid(path: impl Into<String>, problem: impl ToString) -> CallError {
    CallError::Invalid { faults: vec![Fault::new(path, problem.to_string())] }
}

impl CallInput {
    /// The body as JSON; a fault names the path in it.
    ///
    /// ```
    /// use gateway::CallInput;
    /// use cluster_messages::{CallError, JobSpec};
    /// let body = r#"{"name":"a","queue":"q","service":"s","steps":[{"name":"x","tasks":"many"}]}"#.into();
    /// let e = CallInput { body, ..CallInput::default() }.json::<JobSpec>().unwrap_err();
    /// assert!(matches!(e, CallError::Invalid { faults } if faults[0].path == "steps[0].tasks"));
    /// ```
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        let mut d = serde_json::Deserializer::from_slice(&self.body);
        let v = serde_path_to_error::deserialize(&mut d).map_err(|e| {
            let path = e.path().to_string();
            invalid(if path == "." { String::new() } else { path }, e.inner())
        })?;
        d.end().map_err(|e| invalid("", e))?;
        Ok(v)
    }

    /// The body as JSON, `{}` when there is none.
    pub fn json_or_empty<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        if self.body.is_empty() { CallInput { body: Bytes::from_static(b"{}"), ..CallInput::default() }.json() } else { self.json() }
    }

    /// Sheds queries with other keys.
    pub fn only(&self, keys: &[&str]) -> Result<&Self, CallError> {
        let faults: Vec<Fault> =
            self.query.keys().filter(|k| !keys.contains(&k.as_str())).map(|k| Fault::new(format!("?{k}"), "is not known here")).collect();
        if faults.is_empty() { Ok(self) } else { Err(CallError::Invalid { faults }) }
    }

    /// One value of the query.
    pub fn text(&self, key: &str) -> Option<String> {
        self.query.get(key).filter(|v| !v.is_empty()).cloned()
    }

    /// One number of the query.
    pub fn number<T: FromStr<Err = std::num::ParseIntError>>(&self, key: &str) -> Result<Option<T>, CallError> {
        self.text(key).map(|v| v.parse().map_err(|e| invalid(format!("?{key}"), e))).transpose()
    }

    /// One word of the query, as its type names it.
    pub fn word<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, CallError> {
        let read = |v: String| serde_json::from_value(v.into()).map_err(|e| invalid(format!("?{key}"), e));
        self.text(key).map(read).transpose()
    }

    /// A value of the query that has to be there.
    pub fn wanted(&self, key: &str) -> Result<String, CallError> {
        self.text(key).ok_or_else(|| invalid(format!("?{key}"), "is missing"))
    }

    /// The number in the path.
    pub fn id(&self) -> Result<u64, CallError> {
        self.name.parse().map_err(|e: std::num::ParseIntError| invalid("id", e))
    }
}
