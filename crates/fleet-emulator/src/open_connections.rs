use crate::prelude::*;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;

/// Pause between two requests of a connection.
const BETWEEN: Duration = Duration::from_millis(25);
/// Pause before a connection is opened anew.
const REOPEN: Duration = Duration::from_millis(100);
/// A connection that ends sooner after a request was sent may have ended before the request arrived.
const CROSSED: Duration = Duration::from_millis(200);
/// An answer that takes longer than this is not waited for.
const PATIENCE: Duration = Duration::from_secs(8);
/// What is asked: the gateway has to ask the elected scheduler.
const PATH: &str = "/v1/status";

/// How one request on an open connection came out.
///
/// ```
/// use fleet_emulator::prelude::*;
/// let cut = RequestEnd::Broken(Duration::from_millis(350));
/// assert!(cut.is_finding(true));
/// assert!(!cut.is_finding(false), "trouble was near");
/// assert!(!RequestEnd::Broken(Duration::from_millis(20)).is_finding(true), "the end may have crossed the request");
/// assert!(!RequestEnd::Answered.is_finding(true));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// By a whole answer.
    Answered,
    /// By the end of the connection, so long after the request was sent.
    Broken(Duration),
    /// By nothing for as long as it was waited for.
    Silent,
}

impl RequestEnd {
    /// Whether it must not happen beside planned work; `calm` where no other trouble was near.
    pub fn is_finding(&self, calm: bool) -> bool {
        matches!(self, RequestEnd::Broken(after) if calm && *after > CROSSED)
    }
}

/// Clients that keep using one open connection to each gateway until its process is gone, whatever it says of being ready.
/// A request that is broken off while nothing but planned work is near its gateway is a finding.
#[derive(Debug)]
pub struct OpenConnections {
    tasks: tokio::task::JoinSet<()>,
    cut: Arc<Mutex<Vec<String>>>,
    answered: Arc<AtomicU64>,
}

impl OpenConnections {
    /// Opens one connection to each gateway.
    pub fn start(layout: &Layout, disturbances: &Arc<Disturbances>) -> Self {
        let mut all = OpenConnections { tasks: tokio::task::JoinSet::new(), cut: Arc::default(), answered: Arc::default() };
        let from = layout.of_role(Role::Operator).next().map(|n| n.ip);
        for gateway in layout.of_role(Role::Gateway) {
            let client = Client {
                id: gateway.id,
                name: gateway.name.clone(),
                address: gateway.advertised_http(),
                from: from.map(|ip| SocketAddr::from((ip, 0))),
                disturbances: disturbances.clone(),
                cut: all.cut.clone(),
                answered: all.answered.clone(),
            };
            all.tasks.spawn(client.use_connections());
        }
        all
    }

    /// Requests that were broken off, in words, and how many were answered.
    pub fn finish(self) -> (Vec<String>, u64) {
        (lock(&self.cut).clone(), self.answered.load(Ordering::Relaxed))
    }
}

/// Who uses the connections to one gateway, one after the other.
struct Client {
    id: NodeId,
    name: Name,
    address: SocketAddr,
    from: Option<SocketAddr>,
    disturbances: Arc<Disturbances>,
    cut: Arc<Mutex<Vec<String>>>,
    answered: Arc<AtomicU64>,
}

impl Client {
    async fn use_connections(self) {
        loop {
            // A gateway that is away is tried again.
            let _ = self.use_one().await;
            tokio::time::sleep(REOPEN).await;
        }
    }

    /// Uses one connection as long as it lasts.
    async fn use_one(&self) -> io::Result<()> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        if let Some(from) = self.from {
            socket.bind(from)?;
        }
        let stream = socket.connect(self.address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let carrier = tokio::spawn(connection);
        while let RequestEnd::Answered = self.request(&mut sender).await {
            tokio::time::sleep(BETWEEN).await;
        }
        carrier.abort();
        Ok(())
    }

    async fn request(&self, sender: &mut http1::SendRequest<Empty<Bytes>>) -> RequestEnd {
        if sender.ready().await.is_err() {
            return RequestEnd::Broken(Duration::ZERO);
        }
        let request = hyper::Request::get(PATH).header("host", self.address.to_string()).body(Empty::new());
        let Ok(request) = request else { return RequestEnd::Silent };
        let (sent, calm_before) = (Instant::now(), self.disturbances.is_calm(self.id));
        let whole = async { sender.send_request(request).await?.into_body().collect().await };
        let outcome = match tokio::time::timeout(PATIENCE, whole).await {
            Ok(Ok(_)) => RequestEnd::Answered,
            Ok(Err(_)) => RequestEnd::Broken(sent.elapsed()),
            Err(_) => RequestEnd::Silent,
        };
        self.judge(outcome, calm_before && self.disturbances.is_calm(self.id));
        outcome
    }

    fn judge(&self, end: RequestEnd, calm: bool) {
        if end == RequestEnd::Answered {
            self.answered.fetch_add(1, Ordering::Relaxed);
        }
        if end.is_finding(calm) {
            lock(&self.cut).push(format!("{}: a request on a kept connection ended as {end:?}", self.name));
        }
    }
}
