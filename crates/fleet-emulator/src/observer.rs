use crate::prelude::*;

/// Time for one look.
const LOOK_MS: Millis = 1_000;

/// Reads through gateways directly, past all relays: the fleet's own eyes, which no fault of a link dims.
#[derive(Debug)]
pub struct Observer {
    client: GatewayClient<HyperTransport, TokioClock>,
    layout: Arc<Layout>,
    next: AtomicU64,
    leader: Mutex<Option<NodeId>>,
}

impl Observer {
    /// Eyes on all gateways of a layout.
    pub fn new(layout: Arc<Layout>) -> Observer {
        let from = layout.of_role(Role::Observer).next().map(|n| n.ip.into());
        let gateways = layout.of_role(Role::Gateway).map(|n| n.http().to_string()).collect();
        let client = GatewayClient::new(HyperTransport::new(from), TokioClock::default(), gateways, RetrySettings::default(), 1);
        Observer { client, layout, next: AtomicU64::new(0), leader: Mutex::new(None) }
    }

    /// Asks all gateways at once; the first answer wins.
    async fn first<R: firlock_client::HttpCall>(&self, call: &R) -> Option<R::Answer> {
        let gateways = self.client.gateways();
        let turn = self.next.fetch_add(1, Ordering::Relaxed) as usize;
        let some = (0..gateways.len().min(3)).map(|i| &gateways[(turn + i) % gateways.len()]);
        let tries: Vec<_> = some.map(|g| Box::pin(self.client.call_at(g, call, LOOK_MS))).collect();
        if tries.is_empty() {
            return None;
        }
        futures::future::select_ok(tries).await.ok().map(|(a, _)| a.answer)
    }

    /// The elected scheduler's own view, if one answers.
    pub async fn status(&self) -> Option<ClusterStatus> {
        let s = self.first(&GetClusterStatus {}).await?;
        let id = self.layout.of_role(Role::Scheduler).find(|n| n.advertised_internal().to_string() == s.leader_address).map(|n| n.id);
        *lock(&self.leader) = id;
        Some(s)
    }

    /// The leader now; the last one known when nobody tells.
    pub async fn leader(&self) -> Option<NodeId> {
        self.status().await;
        self.last_leader()
    }

    /// The last leader that was told.
    pub fn last_leader(&self) -> Option<NodeId> {
        *lock(&self.leader)
    }

    /// One typed read at one gateway.
    pub async fn read_at<R: firlock_client::HttpCall>(&self, gateway: &Node, call: &R) -> Result<R::Answer, TryError> {
        Ok(self.client.call_at(&gateway.http().to_string(), call, LOOK_MS).await?.answer)
    }
}
