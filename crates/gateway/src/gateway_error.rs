use crate::prelude::*;

/// Why a gateway can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum GatewayError {
    /// Its plumbing.
    #[snafu(display("{source}"))]
    Plumbing { source: PlumbingError },
    /// Its HTTP address.
    #[snafu(display("can't listen on {address}: {source}"))]
    Http { address: SocketAddr, source: io::Error },
}
