use crate::prelude::*;

declare_settings! {
    /// What an operator says about queues; any level of the tree may set any of them.
    pub struct QueueSettings {
        /// Whether the queue takes new jobs.
        enabled: bool = true;
        /// The kinds of worker it may use; empty for every kind.
        kinds: Vec<String> = [], check(Names(64));
        /// The services whose jobs it takes; empty for every service.
        services: Vec<String> = [], check(Names(1024));
        /// How urgent its jobs are; 9 goes first and is shed last.
        urgency: u64 = 3, check(Integers(0, 9));
        /// Its part of the room against the other queues of its zone.
        share: f64 = 1.0, check(Above(0.0, 1000000.0)), unit "parts";
        /// The most tasks that run at once; 0 for no cap.
        cap_tasks: u64 = 0, check(Integers(0, 100000000)), unit "tasks";
        /// The most CPU it may hold, as a ratio of its zone's.
        cap_cpu_share: f64 = 1.0, check(Numbers(0.0, 1.0)), unit "ratio";
        /// The most memory it may hold, as a ratio of its zone's.
        cap_memory_share: f64 = 1.0, check(Numbers(0.0, 1.0)), unit "ratio";
        /// The most jobs that wait; more are shed.
        max_waiting_jobs: u64 = 10000, check(Integers(0, 10000000)), unit "jobs";
        /// How long a finished job can still be asked for.
        retention_s: u64 = 86400, check(Integers(0, 31536000)), unit "s";
        /// The part of its zone's room kept free for urgency 7 and above.
        urgent_reserve: f64 = 0.05, check(Numbers(0.0, 0.5)), unit "ratio";
        /// The most attempts that a job may allow to end in an error.
        allowed_failures_max: u64 = 10, check(Integers(0, 1000)), unit "attempts";
        /// Where its jobs come in: host and path prefix, as `host/prefix/`.
        ingress: Vec<String> = [], check(Most(64));
        /// The time within which a task should start once its job is accepted.
        start_time_budget_ms: u64 = 10000, check(Integers(1, 86400000)), unit "ms";
    }
}
