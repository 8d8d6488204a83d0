use crate::prelude::*;

/// A gateway's frame that came while this scheduler led without a lease: it waits until the lease is back or the lead is lost.
#[derive(Clone, Debug)]
pub struct HeldFrame {
    /// The channel that it came on.
    pub channel: ChannelId,
    /// When it arrived.
    pub arrived_at: Millis,
    /// The frame.
    pub frame: GatewayFrame,
}
