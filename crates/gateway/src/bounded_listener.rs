use crate::prelude::*;

/// A listener that holds at most so many channels open: the rest wait in the kernel's backlog.
#[derive(Debug)]
pub struct BoundedListener {
    listener: TcpListener,
    room: Arc<Semaphore>,
}

/// A channel with its place among the bounded.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    _place: OwnedSemaphorePermit,
}

impl BoundedListener {
    /// Bounds a listener.
    pub fn new(listener: TcpListener, most: usize) -> Self {
        BoundedListener { listener, room: Arc::new(Semaphore::new(most.max(1))) }
    }
}

impl Listener for BoundedListener {
    type Io = BoundedStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(BoundedStream, SocketAddr)> {
        let place = self.room.clone().acquire_owned().await.map_err(io::Error::other)?;
        let (stream, peer) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        Ok((BoundedStream { stream, _place: place }, peer))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut TaskContext<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
