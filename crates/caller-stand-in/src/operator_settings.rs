use crate::prelude::*;

/// What operators do, and how often. A pause of 0 leaves it out.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    /// Whose deployment it is.
    pub profile: Profile,
    /// Its regions with their zones.
    pub regions: Regions,
    /// Names of the gateways, as observations tell them.
    pub gateways: Vec<Name>,
    /// All chance comes from it.
    pub seed: u64,
    /// First part of all ids: differs between operators that work side by side.
    pub tag: Name,
    /// How long an order is sent again before the operator gives up.
    pub time_budget_ms: Millis,
    /// Pause between changes of the configuration.
    pub change_every_ms: Millis,
    /// Share of changes that race with a second one on the same base.
    pub race_share: f64,
    /// Share of changes that are invalid.
    pub invalid_share: f64,
    /// Share of acknowledged orders that are sent again, as if the answer were lost.
    pub resend_share: f64,
    /// Queues that changes add one by one, up to this many, so that the tree grows large.
    pub most_added_queues: u32,
    /// Share of changes that take a queue out of all zones; the next change puts it in again.
    pub queue_out_share: f64,
    /// Pause between reads of the configuration, each through the next gateway.
    pub read_every_ms: Millis,
    /// Pause between evacuations.
    pub evacuate_every_ms: Millis,
    /// How long a zone stays evacuated.
    pub evacuate_for_ms: Millis,
    /// Pause between drains.
    pub drain_every_ms: Millis,
    /// How long a worker stays drained.
    pub drain_for_ms: Millis,
}

impl OperatorSettings {
    /// Usual operators of a profile: hundreds of changes a day come down to one in a few minutes; here it is one in
    /// ten seconds, so that a short run sees many.
    pub fn new(profile: Profile, gateways: Vec<Name>, seed: u64) -> Self {
        OperatorSettings {
            profile,
            regions: profile.regions(),
            gateways,
            seed,
            tag: format!("o{seed}"),
            time_budget_ms: 20_000,
            change_every_ms: 10_000,
            race_share: 0.2,
            invalid_share: 0.1,
            resend_share: 0.2,
            most_added_queues: 0,
            queue_out_share: 0.0,
            read_every_ms: 500,
            evacuate_every_ms: 90_000,
            evacuate_for_ms: 20_000,
            drain_every_ms: 20_000,
            drain_for_ms: 30_000,
        }
    }
}
