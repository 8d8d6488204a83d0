use crate::prelude::*;

/// Channels that gateways opened.
#[derive(Default)]
pub struct GatewayDoors {
    doors: BTreeMap<ChannelId, ChannelInbox>,
}

/// First byte of a gateway's channel.
pub const GATEWAY_PROTOCOL: u8 = b'G';
/// Frames that wait for one gateway at most; over that its channel is dropped, and it attaches again.
const INBOX_FRAMES: usize = 4_096;

impl GatewayDoors {
    /// A gateway opened a channel.
    pub fn open(&mut self, id: ChannelId, inbox: ChannelInbox) {
        self.doors.insert(id, inbox);
    }

    /// A channel is gone.
    pub fn close(&mut self, id: ChannelId) {
        if let Some(d) = self.doors.remove(&id) {
            d.close();
        }
    }

    /// Sends a frame.
    pub fn send(&mut self, id: ChannelId, f: &SchedulerFrame) {
        if let Some(d) = self.doors.get(&id)
            && d.send(Bytes::from(f.to_bytes())).is_err()
        {
            self.close(id);
        }
    }
}

/// Something that a channel brings to the core's task.
pub enum Incoming {
    /// A gateway opened a channel.
    Door(ChannelId, ChannelInbox),
    /// An input for the core.
    Input(SchedulerInput),
}

/// Where what channels bring goes. What keeps the cluster together has a way of its own past the load: the log's messages, on
/// which the lease rests, and pulses, whose senders give the channel up when the echo takes long. A pulse needs nothing that was
/// sent before it on its channel.
#[derive(Clone)]
pub struct Inlets {
    /// Messages of schedulers, in their order, and pulses of gateways.
    pub first: mpsc::Sender<Incoming>,
    /// All else.
    pub rest: mpsc::Sender<Incoming>,
}

/// Reads one incoming channel, of a gateway or of a scheduler, until it ends.
pub async fn read(id: ChannelId, incoming: IncomingChannel, budget: Duration, clock: MonotonicClock, inlets: Inlets) {
    let tx = &inlets.rest;
    let Ok(Channel { protocol, sink, mut stream, .. }) = incoming.open(budget).await else { return };
    let inbox = ChannelInbox::spawn(sink, INBOX_FRAMES);
    if protocol == GATEWAY_PROTOCOL {
        let door = Incoming::Door(id, inbox.clone());
        if tx.send(door).await.is_err() {
            return;
        }
    } else if protocol != crate::peer_links::PEER_PROTOCOL {
        counter!("unknown_protocols_total").increment(1);
        return;
    }
    loop {
        let b = tokio::select! {
            b = stream.next() => b,
            () = inbox.closed() => None,
        };
        let Some(Ok(b)) = b else { break };
        let mut inlet = &inlets.rest;
        let input = match protocol {
            GATEWAY_PROTOCOL => match GatewayFrame::from_bytes(&b) {
                Ok(f) => {
                    if matches!(f, GatewayFrame::Pulse { .. }) {
                        inlet = &inlets.first;
                    }
                    SchedulerInput::Gateway { channel: id, arrived_at: clock.now(), frame: Box::new(f) }
                }
                Err(e) => {
                    warn!(error = %e, "a gateway's frame can't be read: its channel is dropped");
                    counter!("unreadable_frames_total").increment(1);
                    break;
                }
            },
            _ => {
                inlet = &inlets.first;
                SchedulerInput::Peer(b.to_vec())
            }
        };
        if inlet.send(Incoming::Input(input)).await.is_err() {
            return;
        }
    }
    if protocol == GATEWAY_PROTOCOL {
        let _ = tx.send(Incoming::Input(SchedulerInput::GatewayDown(id))).await;
    }
}
