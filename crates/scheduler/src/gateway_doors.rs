use crate::prelude::*;

/// Channels that gateways opened.
#[derive(Default)]
pub struct GatewayDoors {
    doors: BTreeMap<ChannelId, ChannelInbox>,
    /// Frames that several gateways get, with their bytes, until all effects of a step are carried out.
    encoded: Vec<(Arc<SchedulerFrame>, Bytes)>,
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

    /// What a channel brings, as an input of the core.
    pub fn take(&mut self, incoming: Incoming) -> SchedulerInput {
        match incoming {
            Incoming::Door(id, inbox) => {
                self.open(id, inbox);
                SchedulerInput::GatewayUp(id)
            }
            Incoming::Input(input) => input,
        }
    }

    /// A channel is gone.
    pub fn close(&mut self, id: ChannelId) {
        if let Some(d) = self.doors.remove(&id) {
            d.close();
        }
    }

    /// Sends a frame.
    pub fn send(&mut self, id: ChannelId, frame: Arc<SchedulerFrame>) {
        let bytes = self.bytes_of(frame);
        if let Some(door) = self.doors.get(&id)
            && door.send(bytes).is_err()
        {
            self.close(id);
        }
    }

    /// All effects of a step are carried out.
    pub fn flushed(&mut self) {
        self.encoded.clear();
    }

    /// The bytes of a frame; those of one that others get as well are kept.
    fn bytes_of(&mut self, frame: Arc<SchedulerFrame>) -> Bytes {
        if let Some((_, bytes)) = self.encoded.iter().find(|(known, _)| Arc::ptr_eq(known, &frame)) {
            return bytes.clone();
        }
        let bytes = Bytes::from(frame.to_bytes());
        if Arc::strong_count(&frame) > 1 {
            self.encoded.push((frame, bytes.clone()));
        }
        bytes
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
/// which the lease rests, and new channels with their attach and their pulses, whose senders give the channel up when the answer
/// takes long.
#[derive(Clone)]
pub struct Inlets {
    /// Messages of schedulers, in their order, and channels, attaches and pulses of gateways.
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
        if inlets.first.send(door).await.is_err() {
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
                    if f.overtakes() {
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
