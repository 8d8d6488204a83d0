use crate::prelude::*;

/// Port of every daemon towards other processes.
const INTERNAL_PORT: u16 = 7100;
/// Port of every HTTP server.
const HTTP_PORT: u16 = 7000;
/// Nodes that share the third number of an address.
const PER_NET: u32 = 200;
/// A relay's third number lies this far above that of its node.
const RELAY_OFFSET: u32 = 100;

/// Third number of the addresses of each role; room for 200 nodes each, workers last with as many nets as wanted.
const fn first_net(role: Role) -> u32 {
    match role {
        Role::Scheduler => 1,
        Role::Gateway => 2,
        Role::Caller => 3,
        Role::Operator => 4,
        Role::Observer => 5,
        Role::Worker => 10,
    }
}

/// Which node stands where: `127.{net}.b.c` for the node itself, `127.{net}.b+100.c` for its relays.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Layout {
    /// What is laid out.
    pub deployment: Deployment,
    /// Second number of all its addresses.
    pub net: u8,
    /// All nodes; a node's id is its place.
    pub nodes: Vec<Node>,
}

/// The longest lease that stand-in workers take.
const LEASE_MOST_MS: Millis = 10_000;

impl Layout {
    /// Lays a deployment out. Machines go round the zones, so that no zone holds a quorum of schedulers by itself
    /// where there are enough zones; racks follow each other zone by zone.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// let l = Layout::new(Deployment::named("thaali").unwrap(), 40);
    /// assert_eq!(l.by_name("g1").unwrap().advertised_http().to_string(), "127.40.102.1:7000");
    /// assert_eq!(l.of_role(Role::Worker).count(), 48);
    /// ```
    pub fn new(deployment: Deployment, net: u8) -> Layout {
        let mut l = Layout { deployment: deployment.clone(), net, nodes: Vec::new() };
        let zones = deployment.zones();
        let zone_of = |i: u32| zones[i as usize % zones.len()].clone();
        for i in 0..deployment.schedulers {
            l.push(Role::Scheduler, i, format!("s{}", i + 1), zone_of(i), Name::new());
        }
        for i in 0..deployment.gateways {
            l.push(Role::Gateway, i, format!("g{}", i + 1), zone_of(i), Name::new());
        }
        l.push(Role::Caller, 0, "callers".into(), (Name::new(), Name::new()), Name::new());
        l.push(Role::Operator, 0, "operators".into(), (Name::new(), Name::new()), Name::new());
        l.push(Role::Observer, 0, "observer".into(), (Name::new(), Name::new()), Name::new());
        for i in 0..deployment.workers {
            let rack = i / deployment.workers_per_rack;
            l.push(Role::Worker, i, format!("w{:02}", i + 1), zone_of(rack), format!("rack{}", rack + 1));
        }
        l
    }

    /// Adds a node.
    fn push(&mut self, role: Role, number: u32, name: Name, (zone, region): (Name, Name), rack: Name) {
        let (net, last) = (first_net(role) + number / PER_NET, 1 + number % PER_NET);
        let ip = |third: u32| Ipv4Addr::new(127, self.net, third as u8, last as u8);
        let node = Node {
            id: self.nodes.len() as NodeId,
            name,
            role,
            zone,
            region,
            rack,
            ip: ip(net),
            relay_ip: ip(net + RELAY_OFFSET),
            internal_port: if matches!(role, Role::Scheduler | Role::Gateway) { INTERNAL_PORT } else { 0 },
            http_port: if matches!(role, Role::Scheduler | Role::Gateway | Role::Worker) { HTTP_PORT } else { 0 },
        };
        self.nodes.push(node);
    }

    /// The node of that id.
    pub fn node(&self, id: NodeId) -> &Node {
        &self.nodes[id as usize]
    }

    /// The node of that name.
    pub fn by_name(&self, name: &str) -> Option<&Node> {
        self.nodes.iter().find(|n| n.name == name)
    }

    /// All nodes of a role, in order.
    pub fn of_role(&self, role: Role) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(move |n| n.role == role)
    }

    /// A daemon's settings, as its settings file holds them.
    pub fn daemon_settings(&self, node: &Node, folder: &Path) -> Value {
        let schedulers: Vec<&Node> = self.of_role(Role::Scheduler).collect();
        // Three seeds, each daemon starting at another scheduler.
        let seeds: Vec<String> = (0..schedulers.len().min(3))
            .map(|i| schedulers[(i + node.id as usize) % schedulers.len()].advertised_internal().to_string())
            .collect();
        let mut v = json!({
            "node_name": node.name,
            "cluster": self.deployment.name,
            "listen_http": node.http().to_string(),
            "listen_internal": node.internal().to_string(),
            "advertise_http": node.advertised_http().to_string(),
            "advertise_internal": node.advertised_internal().to_string(),
            "zone": node.zone,
            "region": node.region,
            "seeds": seeds,
        });
        if node.role == Role::Gateway && self.deployment.leased {
            v["lease_most_ms"] = json!(LEASE_MOST_MS);
        }
        if node.role == Role::Scheduler {
            v["data_folder"] = json!(folder.join("data").to_string_lossy());
            v["founders"] = json!(schedulers.iter().map(|n| n.advertised_internal().to_string()).collect::<Vec<_>>());
        }
        v
    }
}
