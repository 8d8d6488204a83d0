use crate::prelude::*;

/// Pause between looks at one gateway.
const LOOK: Duration = Duration::from_millis(200);
/// Looks between two whole reads of an unchanged configuration.
const LOOKS_A_READ: u32 = 10;
/// Time for one look.
const LOOK_MS: Millis = 1_000;

/// Looks at the configuration in force at every gateway, over the emulated links, as an operator would: often by its
/// version alone, and whole when that changed or has not for a while.
#[derive(Debug)]
pub struct ConfigurationProbe {
    tasks: tokio::task::JoinSet<()>,
}

impl ConfigurationProbe {
    /// Looks until dropped; what it sees goes on the desk's record.
    pub fn start(layout: &Layout, desk: &Arc<OrderDesk>, tree: &Value) -> ConfigurationProbe {
        let mut tasks = tokio::task::JoinSet::new();
        // Any queue will do: the answer tells the version.
        let Some(about) = first_queue(tree) else { return ConfigurationProbe { tasks } };
        let from = layout.of_role(Role::Operator).next().map(|n| n.ip.into());
        for g in layout.of_role(Role::Gateway) {
            let gateways = vec![g.advertised_http().to_string()];
            let client = GatewayClient::new(HyperTransport::new(from), TokioClock::default(), gateways, RetrySettings::default(), 1);
            tasks.spawn(look(g.advertised_http().to_string(), client, desk.clone(), about.clone()));
        }
        ConfigurationProbe { tasks }
    }

    /// Gateways that are looked at.
    pub fn count(&self) -> usize {
        self.tasks.len()
    }
}

/// Looks at one gateway for ever.
async fn look(gateway: String, client: GatewayClient<HyperTransport, TokioClock>, desk: Arc<OrderDesk>, about: GetEffectiveSettings) {
    let (mut known, mut looks) = (None, 0);
    loop {
        tokio::time::sleep(LOOK).await;
        looks += 1;
        let version = client.call_at(&gateway, &about, LOOK_MS).await.ok().map(|a| a.answer.version);
        if version.is_none() || (version == known && looks % LOOKS_A_READ != 0) {
            continue;
        }
        let asked_at = true_now();
        if let Ok(c) = client.call_at(&gateway, &GetConfiguration {}, LOOK_MS).await {
            known = Some(c.answer.version);
            let (version, digest) = (c.answer.version, c.answer.digest);
            desk.note(Observation::ConfigurationSeen { through: gateway.clone(), version, digest, asked_at });
        }
    }
}

/// A zone with a queue of it.
fn first_queue(tree: &Value) -> Option<GetEffectiveSettings> {
    let regions = tree["regions"].as_object()?;
    let (zone, settings) = regions.values().find_map(|r| r["zones"].as_object()?.iter().next())?;
    let queue = settings["queues"].as_object()?.keys().next()?;
    Some(GetEffectiveSettings { zone: zone.clone(), queue: queue.clone() })
}
