use crate::prelude::*;

/// From a gateway to a scheduler.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayFrame {
    /// First on each channel.
    #[n(0)]
    Attach {
        /// [`WIRE_VERSION`].
        #[n(0)]
        wire_version: u32,
        /// The cluster's name.
        #[n(1)]
        cluster: Name,
        /// The gateway's name.
        #[n(2)]
        name: Name,
        /// New for each start of its process.
        #[n(3)]
        instance: u64,
        /// Its zone.
        #[n(4)]
        zone: Name,
        /// Where callers reach it.
        #[n(5)]
        http_address: String,
        /// View number it has; 0: none.
        #[n(6)]
        view: u64,
        /// Configuration version it has.
        #[n(7)]
        configuration: u64,
    },
    /// At least once each pulse interval.
    #[n(1)]
    Pulse {
        /// Echoed, to bound the age of cluster time.
        #[n(0)]
        stamp: u64,
        /// View number it has folded.
        #[n(1)]
        view: u64,
        /// Configuration version it has in force.
        #[n(2)]
        configuration: u64,
    },
    /// A caller's or operator's call.
    #[n(2)]
    Ask {
        /// Unique on this channel.
        #[n(0)]
        request: u64,
        /// What is left of the caller's time.
        #[n(1)]
        time_budget_ms: Millis,
        /// The call.
        #[n(2)]
        body: CallBody,
    },
    /// What workers showed; told again after each attach until `FactsDone` names it.
    #[n(3)]
    Facts {
        /// Rises by one with each report.
        #[n(0)]
        report: u64,
        /// The facts.
        #[n(1)]
        facts: Vec<WorkerFacts>,
    },
    /// The configuration could not be patched: send it whole.
    #[n(4)]
    WantConfiguration,
}

impl GatewayFrame {
    /// Whether a scheduler reads it before other frames that wait: its sender gives the channel up when the answer takes long, and it
    /// needs nothing that was sent before it.
    pub fn overtakes(&self) -> bool {
        matches!(self, GatewayFrame::Attach { .. } | GatewayFrame::Pulse { .. })
    }
}
