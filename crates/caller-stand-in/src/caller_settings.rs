use crate::prelude::*;

/// How callers behave, beside what their profile sends.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerSettings {
    /// What they send.
    pub profile: Profile,
    /// Names of the gateways, as observations tell them.
    pub gateways: Vec<Name>,
    /// All chance comes from it.
    pub seed: u64,
    /// First part of all job names: differs between callers that run side by side.
    pub tag: Name,
    /// Unix time at `now` 0, for jobs timed by the wall clock.
    pub unix_at_zero_ms: u64,
    /// Times the profile's rate.
    pub rate: f64,
    /// Times the profile's run times and pauses.
    pub time_scale: f64,
    /// How long a caller waits before it walks away.
    pub time_budget_ms: Millis,
    /// How often it sends again within that.
    pub retries: u32,
    /// Failures that each task may have.
    pub allowed_failures: u32,
    /// Share of jobs that take their queue's whole urgency; the others say half of it.
    pub urgent_share: f64,
    /// Share of gangs whose members end together.
    pub together_share: f64,
    /// Share of staged steps that are gangs; `None`: as the profile has it.
    pub gang_share: Option<f64>,
    /// Share of jobs that are not to start before a time.
    pub timed_share: f64,
    /// Share of jobs that can never be done.
    pub impossible_share: f64,
    /// Share of jobs that are cancelled early on.
    pub cancel_share: f64,
    /// Share of jobs whose last step fails on every try.
    pub failing_share: f64,
    /// Share of accepted jobs that are sent once more all the same.
    pub resend_share: f64,
    /// Share of accepted jobs that are read through other gateways until they are final.
    pub poll_share: f64,
    /// Most jobs that are polled at once.
    pub most_polled: usize,
    /// Most accepted jobs that are remembered for [`CallerInput::ReadAgain`].
    pub most_remembered: usize,
    /// Tasks that the profile `target` keeps running.
    pub running_tasks: u64,
}

impl CallerSettings {
    /// Usual callers of a profile.
    pub fn new(profile: Profile, gateways: Vec<Name>, seed: u64) -> Self {
        CallerSettings {
            profile,
            gateways,
            seed,
            tag: format!("s{seed}"),
            unix_at_zero_ms: 0,
            rate: 1.0,
            time_scale: 1.0,
            time_budget_ms: 4_000,
            retries: 6,
            allowed_failures: 3,
            urgent_share: 0.9,
            together_share: 0.0,
            gang_share: None,
            timed_share: 0.05,
            impossible_share: 0.002,
            cancel_share: 0.03,
            failing_share: 0.005,
            resend_share: 0.02,
            poll_share: 0.3,
            most_polled: 1_000,
            most_remembered: 10_000,
            running_tasks: 8_200,
        }
    }
}
