use crate::prelude::*;

/// Opens channels that are reset when they are dropped: what the kernel has not delivered by then never arrives. An order
/// that was given up over a cut link must not reach its worker once the link heals.
#[derive(Clone, Debug)]
pub struct AbruptConnector(pub HttpConnector);

impl Service<Uri> for AbruptConnector {
    type Response = TokioIo<TcpStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut TaskContext<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(cx)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let open = self.0.call(to);
        Box::pin(async move {
            let channel = open.await?;
            if channel.inner().set_zero_linger().is_err() {
                counter!("channel_linger_errors_total").increment(1);
            }
            Ok(channel)
        })
    }
}
