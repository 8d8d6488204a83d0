use crate::prelude::*;

/// Outgoing channels to the other schedulers, opened when there is something to send. What can't be sent is dropped: the
/// log sends it again.
pub struct PeerLinks {
    from: IpAddr,
    budget: Duration,
    links: BTreeMap<String, mpsc::Sender<Bytes>>,
}

/// First byte of a channel between schedulers.
pub const PEER_PROTOCOL: u8 = b'P';
/// How long a dial may take, as a part of an election timeout: a packet that a dead machine swallowed is tried again soon.
const DIAL_PART: u32 = 4;
/// Frames that wait for one peer at most.
const INBOX_FRAMES: usize = 1_024;

impl PeerLinks {
    /// No links yet; they leave from our own IP number.
    pub fn new(from: IpAddr, budget: Duration) -> Self {
        PeerLinks { from, budget, links: BTreeMap::new() }
    }

    /// Sends a frame; it may be lost.
    pub fn send(&mut self, address: &str, b: Vec<u8>) {
        let alive = self.links.get(address).is_some_and(|l| !l.is_closed());
        if !alive {
            let Ok(to) = address.parse::<SocketAddr>() else { return };
            let (tx, rx) = mpsc::channel(INBOX_FRAMES);
            tokio::spawn(run(self.from, to, self.budget / DIAL_PART, rx));
            self.links.insert(address.to_owned(), tx);
        }
        if let Some(l) = self.links.get(address)
            && l.try_send(Bytes::from(b)).is_err()
        {
            counter!("peer_frames_dropped_total").increment(1);
        }
    }
}

/// One link: dials, then passes frames on until the channel breaks. The next frame after that dials again.
async fn run(from: IpAddr, to: SocketAddr, budget: Duration, mut rx: mpsc::Receiver<Bytes>) {
    let Ok(mut c) = dial(from, to, PEER_PROTOCOL, budget).await else {
        counter!("peer_dial_errors_total").increment(1);
        return;
    };
    let inbox = ChannelInbox::spawn(c.sink, INBOX_FRAMES);
    loop {
        tokio::select! {
            f = rx.recv() => {
                let Some(f) = f else { return };
                if inbox.send(f).is_err() {
                    return;
                }
            }
            // Nothing comes back on an outgoing link but its end.
            _ = c.stream.next() => return,
            () = inbox.closed() => return,
        }
    }
}
