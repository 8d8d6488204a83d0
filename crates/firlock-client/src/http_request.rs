use crate::prelude::*;

/// The methods that the API uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    Get,
    /// Submits, or orders.
    Post,
    /// Replaces whole.
    Put,
}

impl Method {
    /// Its word on the line.
    pub fn word(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Post => "POST",
            Method::Put => "PUT",
        }
    }
}

/// One call as HTTP carries it: everything but the gateway and the time budget.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpRequest {
    /// The method.
    pub method: Method,
    /// Path and query, escaped.
    pub target: String,
    /// JSON; empty for reads.
    pub body: Bytes,
}

/// What stays as it is in paths and queries.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

impl HttpRequest {
    /// A read of a path, each part escaped.
    ///
    /// ```
    /// use firlock_client::HttpRequest;
    /// let r = HttpRequest::get(&["jobs", "a?b"]).with("limit", Some(5));
    /// assert_eq!(r.target, "/v1/jobs/a%3Fb?limit=5");
    /// ```
    pub fn get(parts: &[&str]) -> Self {
        let mut target = String::from("/v1");
        for p in parts {
            target.push('/');
            target.extend(utf8_percent_encode(p, ESCAPED));
        }
        HttpRequest { method: Method::Get, target, body: Bytes::new() }
    }

    /// An order with a JSON body.
    pub fn post<B: Serialize>(parts: &[&str], body: &B) -> Self {
        // Values of this crate's calls always serialize: their maps have text keys alone.
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        HttpRequest { method: Method::Post, body, ..HttpRequest::get(parts) }
    }

    /// A whole replacement with a JSON body.
    pub fn put<B: Serialize>(parts: &[&str], body: &B) -> Self {
        HttpRequest { method: Method::Put, ..HttpRequest::post(parts, body) }
    }

    /// Adds a query parameter, where there is a value.
    pub fn with<V: fmt::Display>(mut self, name: &str, value: Option<V>) -> Self {
        if let Some(v) = value {
            self.target.push(if self.target.contains('?') { '&' } else { '?' });
            self.target.push_str(name);
            self.target.push('=');
            self.target.extend(utf8_percent_encode(&v.to_string(), ESCAPED));
        }
        self
    }
}
