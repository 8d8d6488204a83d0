use crate::prelude::*;

/// A future that ends at the first SIGTERM or SIGINT; the handlers are in place once this returns.
pub fn shutdown_signal() -> Result<impl Future<Output = ()> + Send + 'static, PlumbingError> {
    let mut term = signal(SignalKind::terminate()).context(StartSnafu)?;
    let mut int = signal(SignalKind::interrupt()).context(StartSnafu)?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
    })
}
