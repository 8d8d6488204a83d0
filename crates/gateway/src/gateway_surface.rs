use crate::prelude::*;

/// What a gateway speaks: to callers by its routes, to workers by its protocol.
pub trait GatewaySurface: Send + Sync + 'static {
    /// The workers' protocol.
    type Workers: WorkerProtocol;

    /// The workers' protocol.
    fn workers(&self) -> Self::Workers;

    /// What callers reach.
    fn routes(&self, ports: &Arc<GatewayPorts>) -> Router;
}

/// Firlock's own API and worker protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnSurface;

impl GatewaySurface for OwnSurface {
    type Workers = OwnWorkerProtocol;

    fn workers(&self) -> OwnWorkerProtocol {
        OwnWorkerProtocol
    }

    fn routes(&self, ports: &Arc<GatewayPorts>) -> Router {
        routes(ports)
    }
}
