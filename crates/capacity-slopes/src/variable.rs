use crate::prelude::*;

/// What is made larger while all else stays as it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Variable {
    /// Workers, idle.
    Workers,
    /// Tasks that run throughout.
    RunningTasks,
    /// Task starts a second, in jobs of ten tasks.
    Starts,
    /// Jobs a second, of one task each.
    Jobs,
    /// Finished jobs kept.
    JobsKept,
    /// Queues in the tree: queues of a zone times eight.
    Queues,
    /// Changes of a tree of 310 queues in 8 zones, a minute.
    Changes,
    /// Schedulers, idle.
    Members,
    /// Schedulers, under a steady load.
    MembersLoaded,
    /// Gateways, idle.
    Gateways,
    /// Gateways, under a steady load.
    GatewaysLoaded,
    /// Workers with fifteen running tasks each, under a steady load.
    WorkersLoaded,
    /// Queues in the tree, under a steady load.
    QueuesLoaded,
}

impl Variable {
    /// All of them.
    pub const ALL: [Variable; 13] = [
        Variable::Workers,
        Variable::RunningTasks,
        Variable::Starts,
        Variable::Jobs,
        Variable::JobsKept,
        Variable::Queues,
        Variable::Changes,
        Variable::Members,
        Variable::MembersLoaded,
        Variable::Gateways,
        Variable::GatewaysLoaded,
        Variable::WorkersLoaded,
        Variable::QueuesLoaded,
    ];

    /// Its word in tables and file names.
    pub fn word(self) -> &'static str {
        match self {
            Variable::Workers => "workers",
            Variable::RunningTasks => "running-tasks",
            Variable::Starts => "starts-a-second",
            Variable::Jobs => "jobs-a-second",
            Variable::JobsKept => "jobs-kept",
            Variable::Queues => "queues",
            Variable::Changes => "changes-a-minute",
            Variable::Members => "members-idle",
            Variable::MembersLoaded => "members-loaded",
            Variable::Gateways => "gateways-idle",
            Variable::GatewaysLoaded => "gateways-loaded",
            Variable::WorkersLoaded => "workers-loaded",
            Variable::QueuesLoaded => "queues-loaded",
        }
    }

    /// The sizes that are measured.
    ///
    /// ```
    /// use capacity_slopes::Variable;
    /// assert!(Variable::ALL.iter().all(|v| v.sizes().len() >= 4));
    /// ```
    pub fn sizes(self) -> &'static [f64] {
        match self {
            Variable::Workers => &[50.0, 100.0, 200.0, 400.0, 550.0],
            Variable::RunningTasks => &[0.0, 500.0, 1_000.0, 2_000.0, 4_000.0],
            Variable::Starts => &[5.0, 10.0, 20.0, 35.0],
            Variable::Jobs => &[1.0, 2.0, 4.0, 8.0],
            Variable::JobsKept => &[0.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0],
            Variable::Queues => &[80.0, 320.0, 640.0, 1_280.0, 2_480.0],
            Variable::Changes => &[3.0, 6.0, 12.0, 24.0],
            Variable::Members | Variable::MembersLoaded => &[1.0, 3.0, 5.0, 7.0],
            Variable::WorkersLoaded => &[104.0, 208.0, 416.0, 550.0],
            Variable::QueuesLoaded => &[80.0, 640.0, 1_280.0, 2_480.0],
            Variable::Gateways | Variable::GatewaysLoaded => &[2.0, 4.0, 8.0, 13.0],
        }
    }

    /// The fleet of one size.
    pub fn fleet(self, x: f64) -> FleetSize {
        let base = FleetSize::default();
        let steady = FleetSize { workers: 104, jobs_per_s: 2.0, tasks_per_job: 5, running: 1_560, ..base.clone() };
        match self {
            Variable::Workers => FleetSize { workers: x as usize, ..base },
            Variable::RunningTasks => FleetSize { workers: 160, running: x as u64, ..base },
            Variable::Starts => FleetSize { jobs_per_s: x / 10.0, tasks_per_job: 10, workers: 104, running: 1_560, gateways: 8, ..base },
            Variable::Jobs => FleetSize { jobs_per_s: x, workers: 104, running: 1_560, gateways: 8, ..base },
            Variable::JobsKept => FleetSize { jobs_kept: x as u64, ..base },
            Variable::Queues => FleetSize { queues: x as usize / base.zones, ..base },
            Variable::Changes => FleetSize { queues: 310, changes_per_s: x / 60.0, window_ms: 60_000, ..base },
            Variable::Members => FleetSize { members: x as usize, ..base },
            Variable::MembersLoaded => FleetSize { members: x as usize, ..steady },
            Variable::Gateways => FleetSize { gateways: x as usize, workers: 104, ..base },
            Variable::GatewaysLoaded => FleetSize { gateways: x as usize, ..steady },
            Variable::WorkersLoaded => FleetSize { workers: x as usize, running: x as u64 * 15, ..steady },
            Variable::QueuesLoaded => FleetSize { queues: x as usize / base.zones, ..steady },
        }
    }
}
