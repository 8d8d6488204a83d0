use crate::prelude::*;

/// Time for one call of the control pages.
const CALL_MS: Millis = 3_000;
/// Observations in one page.
const PAGE: usize = 5_000;

/// Calls the control pages of one process of stand-ins, past all relays.
#[derive(Debug)]
pub struct StandInControl {
    /// Where its control pages are.
    pub address: SocketAddr,
    transport: HyperTransport,
    /// The last observation read.
    after: AtomicU64,
}

impl StandInControl {
    /// Control of the process whose pages are there.
    pub fn new(address: SocketAddr) -> StandInControl {
        StandInControl { address, transport: HyperTransport::new(None), after: AtomicU64::new(0) }
    }

    /// One call; its answer's body.
    pub async fn call(&self, method: Method, target: &str, body: Option<&Value>) -> FleetResult<Bytes> {
        let body = body.map(|b| b.to_string().into()).unwrap_or_default();
        let request = HttpRequest { method, target: target.to_owned(), body };
        let at = || format!("http://{}{target}", self.address);
        let a = self.transport.send(&self.address.to_string(), &request, CALL_MS).await;
        let a = a.map_err(|e| FleetError::Call { url: at(), problem: e.to_string() })?;
        ensure!(
            (200..300).contains(&a.status),
            CallSnafu { url: at(), problem: format!("status {}: {}", a.status, String::from_utf8_lossy(&a.body)) }
        );
        Ok(a.body)
    }

    /// One typed read.
    pub async fn read<T: DeserializeOwned>(&self, target: &str) -> FleetResult<T> {
        let body = self.call(Method::Get, target, None).await?;
        serde_json::from_slice(&body).context(JsonSnafu { path: format!("http://{}{target}", self.address) })
    }

    /// All that was observed since the last call.
    pub async fn observations(&self) -> FleetResult<Vec<RecordedObservation>> {
        let mut all = Vec::new();
        loop {
            let after = self.after.load(Ordering::Relaxed);
            let target = format!("/observations?after={after}&limit={PAGE}");
            let body = self.call(Method::Get, &target, None).await?;
            let page = read_page(&body).context(JsonSnafu { path: target })?;
            let Some(last) = page.last() else { return Ok(all) };
            self.after.store(last.number, Ordering::Relaxed);
            all.extend(page);
        }
    }
}

/// Reads observations from a JSON list or from one JSON object a line.
///
/// ```
/// use fleet_emulator::prelude::*;
/// let one = r#"{"number":1,"at":5,"observation":"final_reads"}"#;
/// assert_eq!(read_page(format!("[{one}]").as_bytes()).unwrap(), read_page(format!("{one}\n").as_bytes()).unwrap());
/// ```
pub fn read_page(body: &[u8]) -> Result<Vec<RecordedObservation>, serde_json::Error> {
    if body.first() == Some(&b'[') {
        return serde_json::from_slice(body);
    }
    body.split(|&b| b == b'\n').filter(|l| !l.is_empty()).map(serde_json::from_slice).collect()
}
