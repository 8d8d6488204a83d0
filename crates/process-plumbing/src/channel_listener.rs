use crate::prelude::*;

/// Takes incoming channels.
#[derive(Debug)]
pub struct ChannelListener {
    listener: TcpListener,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A socket whose protocol byte has still to come: `open` it in a task of its own.
#[derive(Debug)]
pub struct IncomingChannel {
    socket: TcpStream,
    /// The other side.
    pub peer: SocketAddr,
}

/// Listens; port 0 takes any free one, see `address`.
pub async fn listen(address: SocketAddr) -> Result<ChannelListener, PlumbingError> {
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok(ChannelListener { listener, address })
}

impl ChannelListener {
    /// The next one.
    pub async fn next(&self) -> Result<IncomingChannel, PlumbingError> {
        let (socket, peer) = self.listener.accept().await.context(AcceptSnafu)?;
        Ok(IncomingChannel { socket, peer })
    }
}

impl IncomingChannel {
    /// Reads its protocol byte.
    pub async fn open(mut self, budget: Duration) -> Result<Channel, PlumbingError> {
        self.socket.set_nodelay(true).context(AcceptSnafu)?;
        let byte = timeout(budget, self.socket.read_u8()).await.ok().context(SlowSnafu { address: self.peer, budget })?;
        Ok(Channel::new(self.socket, self.peer, byte.context(AcceptSnafu)?))
    }
}
