use crate::prelude::*;

/// Most bytes that wait in one inbox, as a multiple of the largest frame.
const INBOX_FRAMES: usize = 8;

/// The bounded inbox of a channel's writer task. When it is full the channel is dropped.
#[derive(Clone, Debug)]
pub struct ChannelInbox {
    frames: mpsc::Sender<Bytes>,
    bytes: Arc<AtomicUsize>,
    gone: CancellationToken,
}

impl ChannelInbox {
    /// Starts the writer task of a channel; `frames` bounds its inbox.
    pub fn spawn(sink: ChannelSink, frames: usize) -> Self {
        let (tx, rx) = mpsc::channel(frames.max(1));
        let inbox = ChannelInbox { frames: tx, bytes: Arc::default(), gone: CancellationToken::new() };
        let (bytes, gone) = (inbox.bytes.clone(), inbox.gone.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = gone.cancelled() => {}
                _ = write_all(sink, rx, bytes) => {}
            }
            gone.cancel();
        });
        inbox
    }

    /// Puts a frame in; over a bound the channel is dropped.
    pub fn send(&self, frame: Bytes) -> Result<(), PlumbingError> {
        ensure!(!self.gone.is_cancelled(), ClosedSnafu);
        let n = frame.len();
        let before = self.bytes.fetch_add(n, Ordering::Relaxed);
        let fits = before + n <= INBOX_FRAMES * MAX_FRAME;
        if !fits || self.frames.try_send(frame).is_err() {
            counter!("channel_inbox_full_total").increment(1);
            self.close();
            return InboxFullSnafu.fail();
        }
        Ok(())
    }

    /// Drops the channel.
    pub fn close(&self) {
        self.gone.cancel();
    }

    /// Ends when the channel is dropped or broken: whoever reads its stream waits for this too.
    pub async fn closed(&self) {
        self.gone.cancelled().await;
    }
}

/// Writes what comes in, flushing once all that waits is written.
async fn write_all(mut sink: ChannelSink, mut rx: mpsc::Receiver<Bytes>, bytes: Arc<AtomicUsize>) -> Result<(), PlumbingError> {
    while let Some(mut b) = rx.recv().await {
        loop {
            let n = b.len();
            sink.feed(b).await?;
            bytes.fetch_sub(n, Ordering::Relaxed);
            match rx.try_recv() {
                Ok(next) => b = next,
                Err(_) => break,
            }
        }
        sink.flush().await?;
    }
    Ok(())
}
