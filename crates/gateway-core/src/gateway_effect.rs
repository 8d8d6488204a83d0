use crate::prelude::*;

/// What the executor is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayEffect {
    /// Open a channel to a scheduler.
    Dial { address: String },
    /// Close a channel; its `ChannelDown` need not follow.
    CloseChannel { channel: ChannelId },
    /// Send a frame.
    Send { channel: ChannelId, frame: GatewayFrame },
    /// Answer an ask, for good.
    Answer { ask: u64, result: CallResult<AnswerBody> },
    /// Post a start once; never after `leave_by` of the local clock, checked again right before it is written.
    Start { address: String, order: StartOrder, leave_by: Millis },
    /// Post a stop.
    Stop { address: String, order: StopOrder },
    /// Post a hold.
    Hold { address: String, order: HoldOrder, give_up_after_ms: Millis },
    /// The read view changed: publish it.
    ViewChanged,
}
