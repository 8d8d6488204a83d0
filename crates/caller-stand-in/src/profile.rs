use crate::prelude::*;

/// Whose callers they are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Profile {
    /// Table holds, seating plans, menu refreshes.
    Thaali,
    /// Answer submissions, result batches, certificates.
    Harwick,
    /// The size to grow to: 310 teams' queues, gangs, long tasks.
    Target,
}

/// Small jobs: a couple of short steps.
const SMALL: JobStream = JobStream {
    prefix: "",
    queue: "",
    queues: 0,
    service: "",
    per_second: 15.0,
    steps: (2, 2),
    tasks: (1, 3),
    gang_share: 0.0,
    doubling: false,
    run_ms: (200, 2_000),
    cpu_millis: (250, 500),
    memory_mb: (256, 512),
    cancelled_after_ms: None,
    urgency: 8,
};

/// Larger staged jobs: 8 to 24 tasks over three steps.
const STAGED: JobStream = JobStream {
    per_second: 1.0,
    steps: (3, 3),
    tasks: (3, 8),
    gang_share: 0.2,
    run_ms: (2_000, 20_000),
    cpu_millis: (500, 1_000),
    memory_mb: (512, 1_024),
    urgency: 3,
    ..SMALL
};

/// Jobs that run until cancelled, one every four seconds.
const LASTING: JobStream =
    JobStream { per_second: 0.25, steps: (1, 1), tasks: (1, 2), cancelled_after_ms: Some((30_000, 90_000)), urgency: 5, ..SMALL };

/// Queues of the profile `target`.
const TEAMS: u32 = 310;
/// Its task starts a second.
const TARGET_STARTS: f64 = 35.0;

impl Profile {
    /// Reads its word.
    ///
    /// ```
    /// use caller_stand_in::Profile;
    /// assert_eq!(Profile::named("harwick"), Some(Profile::Harwick));
    /// ```
    pub fn named(word: &str) -> Option<Profile> {
        serde_json::from_value(json!(word)).ok()
    }

    /// What its callers send. `running_tasks` sets how long the tasks of `target` are.
    pub fn streams(self, running_tasks: u64) -> Vec<JobStream> {
        match self {
            Profile::Thaali => vec![
                JobStream { prefix: "hold", queue: "table-holds", service: "booking", ..SMALL },
                JobStream { prefix: "plan", queue: "seating-plans", service: "booking", ..STAGED },
                JobStream { prefix: "menu", queue: "menu-refreshes", service: "booking", ..LASTING },
            ],
            Profile::Harwick => vec![
                JobStream { prefix: "answers", queue: "answer-submissions", service: "theory-tests", ..SMALL },
                JobStream { prefix: "results", queue: "result-batches", service: "theory-tests", ..STAGED },
                JobStream { prefix: "certificate", queue: "certificates", service: "theory-tests", ..LASTING },
            ],
            Profile::Target => {
                let mean = (running_tasks as f64 / TARGET_STARTS * 1_000.0) as u64;
                let team = JobStream {
                    queue: "team",
                    queues: TEAMS,
                    service: "teams",
                    steps: (1, 1),
                    run_ms: (mean / 5, mean * 9 / 5),
                    cpu_millis: (250, 1_000),
                    urgency: 4,
                    ..SMALL
                };
                vec![
                    // 20 starts a second: 4.5 tasks a job.
                    JobStream { prefix: "batch", tasks: (1, 8), per_second: 20.0 / 4.5, ..team.clone() },
                    // 12 starts a second: sizes 2 to 64 halve in frequency, 7 on average.
                    JobStream { prefix: "gang", tasks: (2, 64), gang_share: 1.0, doubling: true, per_second: 12.0 / 7.0, ..team.clone() },
                    // 3 starts a second: 2.5 tasks a job.
                    JobStream {
                        prefix: "lasting",
                        tasks: (1, 4),
                        per_second: 3.0 / 2.5,
                        cancelled_after_ms: Some((mean / 5, mean * 9 / 5)),
                        ..team
                    },
                ]
            }
        }
    }

    /// Its regions with their zones.
    pub fn regions(self) -> Regions {
        let of = |region: &str, zones: &[&str]| (region.to_owned(), zones.iter().map(|z| (*z).to_owned()).collect());
        match self {
            Profile::Thaali => Regions::from([of("gujarat", &["z1", "z2", "z3"])]),
            Profile::Harwick => Regions::from([of("england", &["h1", "h2", "h3"])]),
            Profile::Target => Regions::from([of("north", &["n1", "n2", "n3", "n4"]), of("south", &["s1", "s2", "s3", "s4"])]),
        }
    }
}
