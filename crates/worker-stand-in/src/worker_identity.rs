use crate::prelude::*;

/// One worker in the workers file: what it registers as, and how it errs from the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerIdentity {
    /// Its name.
    pub name: Name,
    /// Where it listens: its own IP number and port.
    pub address: SocketAddr,
    /// Where gateways reach it, when that isn't where it listens.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// Its service.
    pub service: Name,
    /// Its kind.
    pub kind: Name,
    /// Its rack.
    pub rack: Name,
    /// Its zone.
    pub zone: Name,
    /// Its room.
    pub cpu_millis: u64,
    /// Its room.
    pub memory_mb: u64,
    /// Whether it runs work only while its lease lasts.
    #[serde(default)]
    pub leased: bool,
    /// How it errs.
    #[serde(default)]
    pub behaviour: Behaviour,
}

impl WorkerIdentity {
    /// As it registers with a boot id.
    pub fn registration(&self, boot_id: &str) -> RegisterWorker {
        RegisterWorker {
            name: self.name.clone(),
            address: self.advertise.unwrap_or(self.address).to_string(),
            boot_id: boot_id.to_owned(),
            service: self.service.clone(),
            kind: self.kind.clone(),
            rack: self.rack.clone(),
            zone: self.zone.clone(),
            cpu_millis: self.cpu_millis,
            memory_mb: self.memory_mb,
            leased: self.leased,
            ..RegisterWorker::default()
        }
    }

    /// A worker for examples and tests, on a free port of the loopback address.
    ///
    /// ```
    /// use worker_stand_in::WorkerIdentity;
    /// let list = serde_json::to_string(&[WorkerIdentity::example("w1")]).unwrap();
    /// let read: Vec<WorkerIdentity> = serde_json::from_str(&list).unwrap();
    /// assert_eq!(read[0].registration("b").name, "w1");
    /// ```
    pub fn example(name: &str) -> Self {
        WorkerIdentity {
            name: name.into(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertise: None,
            service: "booking".into(),
            kind: "new".into(),
            rack: "r1".into(),
            zone: "z1".into(),
            cpu_millis: 16_000,
            memory_mb: 64_000,
            leased: false,
            behaviour: Behaviour::default(),
        }
    }
}
