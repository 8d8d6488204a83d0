use crate::prelude::*;

/// What reaches the core's task from others.
#[derive(Debug)]
pub enum LoopEvent {
    /// A channel is open; its inbox comes along.
    Up {
        /// Its number.
        channel: ChannelId,
        /// Where it leads.
        address: String,
        /// Where its frames go.
        inbox: ChannelInbox,
    },
    /// Anything else.
    Input(Box<GatewayInput>),
}

impl From<GatewayInput> for LoopEvent {
    fn from(i: GatewayInput) -> Self {
        LoopEvent::Input(Box::new(i))
    }
}
