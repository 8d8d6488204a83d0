use crate::prelude::*;

/// The read view that all requests share: loaded without a lock, and told when it changes.
#[derive(Debug)]
pub struct LiveView {
    view: ArcSwap<GatewayView>,
    changed: Notify,
}

impl LiveView {
    /// A first view.
    pub fn new(view: Arc<GatewayView>) -> Self {
        LiveView { view: ArcSwap::new(view), changed: Notify::new() }
    }

    /// The view as it is now.
    pub fn load(&self) -> Arc<GatewayView> {
        self.view.load_full()
    }

    /// Puts another view in its place and wakes who waits for news.
    pub fn store(&self, view: Arc<GatewayView>) {
        self.view.store(view);
        self.changed.notify_waiters();
    }

    /// Waits until a job that the view shows as not over is over, or for `most`. Ends at once for any other job.
    pub async fn job_over(&self, name: &str, most: Duration) {
        self.wait(most, |view| view.jobs.named(name).is_none_or(|j| j.state.is_final())).await;
    }

    /// Waits until a view is as wanted, or for `most`; gives the view as it is then.
    pub async fn wait(&self, most: Duration, wanted: impl Fn(&GatewayView) -> bool) -> Arc<GatewayView> {
        // Whoever waits too long just goes on with the view as it is.
        let _ = timeout(most, self.until(wanted)).await;
        self.load()
    }

    async fn until(&self, wanted: impl Fn(&GatewayView) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Listens before it looks, so that no change falls in between.
            changed.as_mut().enable();
            if wanted(&self.load()) {
                return;
            }
            changed.await;
        }
    }
}
