use crate::prelude::*;

/// A kind of worker and how many of it a deployment has.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerKind {
    /// The kind's name.
    pub kind: Name,
    /// Of every 100 workers, how many are of this kind.
    pub per_cent: u32,
}

/// What a deployment is made of.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Deployment {
    /// Its name.
    pub name: Name,
    /// Regions with their zones.
    pub regions: Vec<(Name, Vec<Name>)>,
    /// Machines with disks.
    pub schedulers: u32,
    /// Serving machines.
    pub gateways: u32,
    /// Workers in all.
    pub workers: u32,
    /// Workers of one rack.
    pub workers_per_rack: u32,
    /// A worker's CPU in thousandths of a core.
    pub cpu_millis: u64,
    /// A worker's memory in MB.
    pub memory_mb: u64,
    /// The service that the workers run.
    pub service: Name,
    /// Kinds of worker.
    pub kinds: Vec<WorkerKind>,
    /// Queues of the operators.
    pub queues: u32,
    /// Whether workers run work only while their lease lasts.
    pub leased: bool,
}

/// Builds names `prefix1`, `prefix2` and so on.
fn names(prefix: &str, n: u32) -> Vec<Name> {
    (1..=n).map(|i| format!("{prefix}{i}")).collect()
}

impl Deployment {
    /// All names that [`Deployment::named`] knows.
    pub const NAMES: [&'static str; 3] = ["thaali", "harwick", "target"];

    /// One of the known deployments.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// let d = Deployment::named("harwick").unwrap();
    /// assert_eq!(d.schedulers + d.gateways, 9);
    /// assert!(Deployment::named("hardwick").is_err());
    /// ```
    pub fn named(name: &str) -> Result<Deployment, FleetError> {
        let kinds = vec![WorkerKind { kind: "old".into(), per_cent: 50 }, WorkerKind { kind: "new".into(), per_cent: 50 }];
        let thaali = Deployment {
            name: "thaali".into(),
            regions: vec![("gujarat".into(), names("z", 3))],
            schedulers: 5,
            gateways: 9,
            workers: 48,
            workers_per_rack: 8,
            cpu_millis: 16_000,
            memory_mb: 64 * 1024,
            service: "booking".into(),
            kinds,
            queues: 3,
            leased: false,
        };
        match name {
            "thaali" => Ok(thaali),
            "harwick" => Ok(Deployment {
                name: "harwick".into(),
                regions: vec![("england".into(), names("h", 3))],
                schedulers: 3,
                gateways: 6,
                memory_mb: 32 * 1024,
                service: "theory-tests".into(),
                ..thaali
            }),
            "target" => Ok(Deployment {
                name: "target".into(),
                regions: vec![("north".into(), names("n", 4)), ("south".into(), names("s", 4))],
                gateways: 13,
                workers: 550,
                service: "teams".into(),
                queues: 310,
                ..thaali
            }),
            _ => UnknownDeploymentSnafu { name, known: Self::NAMES.join(", ") }.fail(),
        }
    }

    /// All zones with their regions, in order.
    pub fn zones(&self) -> Vec<(Name, Name)> {
        self.regions.iter().flat_map(|(r, zones)| zones.iter().map(move |z| (z.clone(), r.clone()))).collect()
    }

    /// The kind of the worker of that number: kinds alternate inside a rack as far as their shares allow.
    pub fn kind_of(&self, number: u32) -> Name {
        let all: u32 = self.kinds.iter().map(|k| k.per_cent).sum();
        // Steps through the shares by a stride coprime to 100, so that each rack has a mix.
        let mut at = (number * 37) % all.max(1);
        for k in &self.kinds {
            if at < k.per_cent {
                return k.kind.clone();
            }
            at -= k.per_cent;
        }
        Name::new()
    }
}
