use crate::prelude::*;

/// A process's (or a stand-in's) place in the layout.
pub type NodeId = u32;

/// What a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A daemon with a disk.
    Scheduler,
    /// A daemon on a serving machine.
    Gateway,
    /// A stand-in worker.
    Worker,
    /// Stand-in callers, as one.
    Caller,
    /// Stand-in operators, as one.
    Operator,
    /// The fleet itself, when it reads through a gateway.
    Observer,
}

/// What the bytes of a link are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TrafficClass {
    /// Between schedulers.
    Replication,
    /// Between gateways and schedulers.
    Control,
    /// Between gateways and workers.
    Worker,
    /// Between callers or operators and daemons.
    Caller,
}

impl TrafficClass {
    /// The class of the link between two roles.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// assert_eq!(TrafficClass::between(Role::Gateway, Role::Scheduler), TrafficClass::Control);
    /// ```
    pub fn between(a: Role, b: Role) -> TrafficClass {
        match (a, b) {
            (Role::Scheduler, Role::Scheduler) => TrafficClass::Replication,
            (Role::Scheduler | Role::Gateway, Role::Scheduler | Role::Gateway) => TrafficClass::Control,
            (Role::Worker, _) | (_, Role::Worker) => TrafficClass::Worker,
            _ => TrafficClass::Caller,
        }
    }
}

/// One node of the layout.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Node {
    /// Its place in the layout.
    pub id: NodeId,
    /// Its name: `s1`, `g2`, `w07`, `callers`, `operators`.
    pub name: Name,
    /// What it is.
    pub role: Role,
    /// Its zone; empty for callers and operators.
    pub zone: Name,
    /// Its region.
    pub region: Name,
    /// Its rack, for workers.
    pub rack: Name,
    /// Its own address: it listens here, and its outgoing sockets bind to it.
    pub ip: Ipv4Addr,
    /// Where its relays listen: what others dial.
    pub relay_ip: Ipv4Addr,
    /// Port towards other processes; 0: none.
    pub internal_port: u16,
    /// Port of its HTTP server; 0: none.
    pub http_port: u16,
}

impl Node {
    /// Where it really takes frames of other processes.
    pub fn internal(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.internal_port)
    }

    /// Where it really takes HTTP.
    pub fn http(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), self.http_port)
    }

    /// What other processes dial for frames.
    pub fn advertised_internal(&self) -> SocketAddr {
        SocketAddr::new(self.relay_ip.into(), self.internal_port)
    }

    /// What others dial for HTTP.
    pub fn advertised_http(&self) -> SocketAddr {
        SocketAddr::new(self.relay_ip.into(), self.http_port)
    }

    /// Whether it is a daemon.
    pub fn is_daemon(&self) -> bool {
        matches!(self.role, Role::Scheduler | Role::Gateway)
    }
}
