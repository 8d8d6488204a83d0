use crate::prelude::*;

/// Time and waiting, as the executor has them.
pub trait Clock {
    /// Milliseconds since some fixed moment; never goes back.
    fn now(&self) -> Millis;
    /// Waits.
    fn wait(&self, ms: Millis) -> impl Future<Output = ()> + Send;
}

/// The process's own clock.
#[derive(Clone, Copy, Debug)]
pub struct TokioClock {
    /// The fixed moment.
    start: Instant,
}

impl Default for TokioClock {
    fn default() -> Self {
        TokioClock { start: Instant::now() }
    }
}

impl Clock for TokioClock {
    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as Millis
    }

    async fn wait(&self, ms: Millis) {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
}
