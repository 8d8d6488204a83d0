use crate::prelude::*;

/// One direction between two nodes: what is done to it, and what passed.
#[derive(Debug)]
pub struct Link {
    /// Who sends.
    pub from: NodeId,
    /// Who receives.
    pub to: NodeId,
    effect: watch::Sender<LinkEffect>,
    resets: watch::Sender<u64>,
    bytes: AtomicU64,
    channels: AtomicU64,
}

impl Link {
    /// An untouched link.
    pub fn new(from: NodeId, to: NodeId, effect: LinkEffect) -> Link {
        Link {
            from,
            to,
            effect: watch::Sender::new(effect),
            resets: watch::Sender::new(0),
            bytes: AtomicU64::new(0),
            channels: AtomicU64::new(0),
        }
    }

    /// What is done to it, now and later.
    pub fn effect(&self) -> watch::Receiver<LinkEffect> {
        self.effect.subscribe()
    }

    /// Changes what is done to it.
    pub fn set(&self, effect: LinkEffect) {
        self.effect.send_if_modified(|e| std::mem::replace(e, effect) != effect);
    }

    /// Resets all channels that run over it.
    pub fn reset(&self) {
        self.resets.send_modify(|n| *n += 1);
    }

    /// Tells of resets.
    pub fn resets(&self) -> watch::Receiver<u64> {
        self.resets.subscribe()
    }

    /// Counts what passed.
    pub fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes that passed so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Counts a channel opened by the sender.
    pub fn count_channel(&self) {
        self.channels.fetch_add(1, Ordering::Relaxed);
    }

    /// Channels opened by the sender so far.
    pub fn channels(&self) -> u64 {
        self.channels.load(Ordering::Relaxed)
    }
}
