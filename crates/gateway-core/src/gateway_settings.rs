use crate::prelude::*;

/// What a gateway is set to. All other times and bounds are ratios of these.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewaySettings {
    /// The cluster's name.
    pub cluster: Name,
    /// The schedulers' election timeout.
    pub election_timeout_ms: Millis,
    /// After this long without a pulse a gateway loses its workers.
    pub gateway_silence_ms: Millis,
    /// How often a worker's hold is at least renewed, in fifths.
    pub hold_interval_ms: Millis,
    /// The longest lease that workers take; 0 where they take none.
    pub lease_most_ms: Millis,
    /// How long members of a gang wait for each other at their workers.
    /// Most asks that wait for an answer.
    pub inbox: usize,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        GatewaySettings {
            cluster: "firlock".into(),
            election_timeout_ms: 1_000,
            gateway_silence_ms: 3_000,
            hold_interval_ms: 1_000,
            lease_most_ms: 0,
            inbox: 4_096,
        }
    }
}

/// A part of a time, never 0.
fn part(whole: Millis, by: Millis) -> Millis {
    (whole / by).max(1)
}

impl GatewaySettings {
    /// Between two pulses: several fit into the silence.
    pub fn pulse_interval(&self) -> Millis {
        part(self.gateway_silence_ms, 6)
    }

    /// Without an echo for this long a channel is dropped: half the silence is left to find the next leader.
    pub fn echo_silence(&self) -> Millis {
        part(self.gateway_silence_ms, 2)
    }

    /// How long a dial may take: a packet that a dead machine swallowed is sent again soon.
    pub fn dial_budget(&self) -> Millis {
        part(self.gateway_silence_ms, 8)
    }

    /// First wait between two dials.
    pub fn dial_backoff(&self) -> Millis {
        part(self.election_timeout_ms, 20)
    }

    /// Longest wait between two dials: a new leader is found soon after it is elected.
    pub fn dial_backoff_most(&self) -> Millis {
        part(self.election_timeout_ms, 4)
    }

    /// How long an ask waits for a leader while one is being looked for: as long as most elections take, and no longer. Then
    /// its caller is told when to come back.
    pub fn patience(&self) -> Millis {
        self.election_timeout_ms * 5 / 2
    }

    /// Oldest view that answers reads.
    pub fn view_age_most(&self) -> Millis {
        self.pulse_interval() * 2
    }

    /// How long a worker may keep a hold.
    pub fn hold_wait(&self) -> Millis {
        self.hold_interval_ms * 5
    }

    /// When a hold is given up: its wait, and room for the way.
    pub fn hold_budget(&self) -> Millis {
        self.hold_wait() + self.hold_interval_ms * 2
    }

    /// Least time between two holds of a worker, so that many small changes share one answer.
    pub fn hold_gap(&self) -> Millis {
        part(self.hold_interval_ms, 20)
    }

    /// First wait after a worker's error.
    pub fn worker_backoff(&self) -> Millis {
        part(self.hold_interval_ms, 5)
    }

    /// Longest wait after a worker's errors.
    pub fn worker_backoff_most(&self) -> Millis {
        self.hold_interval_ms * 2
    }

    /// Least time between two reports of facts.
    pub fn fact_interval(&self) -> Millis {
        part(self.hold_interval_ms, 25)
    }

    /// Lines of facts that make one report, however soon after the last one.
    pub fn fact_batch(&self) -> usize {
        (self.inbox / 8).max(1)
    }

    /// Lines of facts not yet done above which workers aren't asked for more.
    pub fn fact_bound(&self) -> usize {
        self.inbox * 4
    }

    /// How long past its time a gang is left to the scheduler before its members are stopped from here.
    pub fn gang_grace(&self) -> Millis {
        self.hold_interval_ms * 2
    }

    /// The lease that a hold gives to all that runs on a worker.
    pub fn lease(&self) -> Millis {
        (self.lease_most_ms * 30 / 100).max(self.hold_interval_ms * 6).min(self.lease_most_ms * 3 / 5)
    }

    /// The lease that a start carries: once it is over, the start can't be carried out any more.
    pub fn start_lease(&self) -> Millis {
        self.hold_interval_ms.min(self.lease())
    }

    /// Without a word of an elected scheduler for this long, no more leases are given.
    pub fn grant_silence(&self) -> Millis {
        part(self.lease_most_ms * 6, 5)
    }

    /// How long after a worker changed hands leases of its former gateway may last, by clocks that run unlike.
    pub fn others_lease(&self) -> Millis {
        let longest = self.grant_silence() + self.lease();
        longest + part(longest, 20)
    }

    /// How long a worker with a lease may keep a hold: while something runs there, and else.
    pub fn leased_wait(&self, busy: bool) -> Millis {
        if busy { self.hold_interval_ms } else { self.hold_interval_ms * 2 }
    }

    /// How long after its wait a hold of a worker with a lease is given up.
    pub fn leased_slack(&self) -> Millis {
        part(self.hold_interval_ms * 2, 5)
    }

    /// How long a start or a stop waits for its answer. Where workers list what runs by their own clock, a list tells soon what
    /// came of an order, and silence is worth knowing at once.
    pub fn order_budget(&self) -> Millis {
        if self.lease_most_ms > 0 { part(self.hold_interval_ms, 2) } else { self.hold_budget() }
    }

    /// How long a connection to a worker may take to open.
    pub fn connect_budget(&self) -> Millis {
        self.hold_interval_ms.min(self.order_budget())
    }

    /// How long a worker that would answer at once with nothing new is left alone.
    pub fn idle_rest(&self) -> Millis {
        part(self.hold_interval_ms * 2, 5)
    }

    /// How long a task of such an estimate may stand still: half of it, within bounds.
    pub fn stall_patience(&self, estimate_ms: Millis) -> Millis {
        (estimate_ms / 2).clamp(self.hold_interval_ms * 6 / 5, self.hold_interval_ms * 6)
    }

    /// Starts out at once.
    pub fn starts_out(&self) -> usize {
        (self.inbox / 8).max(1)
    }

    /// Settled attempts remembered, so that none is sent again.
    pub fn settled_bound(&self) -> usize {
        self.inbox * 16
    }
}
