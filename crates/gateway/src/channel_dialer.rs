use crate::prelude::*;

/// First byte of a gateway's channel to a scheduler.
const PROTOCOL: u8 = b'G';
/// Frames that wait in a channel's inbox.
const INBOX_FRAMES: usize = 8_192;

/// Opens channels to schedulers and reads them.
#[derive(Clone, Debug)]
pub struct ChannelDialer {
    from: IpAddr,
    budget: Duration,
    events: mpsc::Sender<LoopEvent>,
    next: Arc<AtomicU64>,
}

impl ChannelDialer {
    /// Channels come from our own IP number.
    pub fn new(from: IpAddr, budget_ms: Millis, events: mpsc::Sender<LoopEvent>) -> Self {
        ChannelDialer { from, budget: Duration::from_millis(budget_ms), events, next: Arc::new(AtomicU64::new(1)) }
    }

    /// Dials in a task of its own, which then reads the channel until it ends.
    pub fn dial(&self, address: String) {
        let d = self.clone();
        tokio::spawn(async move {
            let opened = async { dial(d.from, parse_address(&address)?, PROTOCOL, d.budget).await }.await;
            let Ok(c) = opened else {
                let _ = d.events.send(GatewayInput::DialFailed { address }.into()).await;
                return;
            };
            let channel = d.next.fetch_add(1, Ordering::Relaxed);
            let inbox = ChannelInbox::spawn(c.sink, INBOX_FRAMES);
            let up = LoopEvent::Up { channel, address, inbox: inbox.clone() };
            if d.events.send(up).await.is_err() {
                return;
            }
            tokio::select! {
                _ = inbox.closed() => {}
                _ = d.read(channel, c.stream) => {}
            }
            inbox.close();
            let _ = d.events.send(GatewayInput::ChannelDown { channel }.into()).await;
        });
    }

    /// Hands frames on until the channel ends or says what can't be read.
    async fn read(&self, channel: ChannelId, mut stream: ChannelStream) {
        while let Some(Ok(b)) = stream.next().await {
            match SchedulerFrame::from_bytes(&b) {
                Ok(frame) => {
                    if self.events.send(GatewayInput::Frame { channel, frame }.into()).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    tracing::warn!(channel, "scheduler's frame: {e}");
                    return;
                }
            }
        }
    }
}
