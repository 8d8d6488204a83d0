use crate::prelude::*;

/// Largest frame of a channel, in bytes.
pub const MAX_FRAME: usize = 8 << 20;

/// Bytes in front of each frame.
const FRAME_HEAD: u64 = 4;

/// The outgoing half of a channel.
pub type ChannelSink = Pin<Box<dyn Sink<Bytes, Error = PlumbingError> + Send>>;
/// The incoming half of a channel.
pub type ChannelStream = Pin<Box<dyn Stream<Item = Result<Bytes, PlumbingError>> + Send>>;

/// A framed TCP channel, counted in `channel_bytes_sent_total` and `channel_bytes_received_total`.
pub struct Channel {
    /// The other side.
    pub peer: SocketAddr,
    /// First byte of the channel: what is spoken on it.
    pub protocol: u8,
    /// Outgoing frames.
    pub sink: ChannelSink,
    /// Incoming frames.
    pub stream: ChannelStream,
}

impl fmt::Debug for Channel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Channel").field("peer", &self.peer).field("protocol", &self.protocol).finish_non_exhaustive()
    }
}

impl Channel {
    /// A channel on a connected socket, its protocol byte already told.
    pub fn new(socket: TcpStream, peer: SocketAddr, protocol: u8) -> Self {
        let (r, w) = socket.into_split();
        let kind = char::from(protocol).to_string();
        let sent = counter!("channel_bytes_sent_total", "protocol" => kind.clone());
        let received = counter!("channel_bytes_received_total", "protocol" => kind);
        let frames = SinkExt::<Bytes>::sink_map_err(FramedWrite::new(w, codec()), |source| PlumbingError::Broken { source });
        let sink = frames.with(move |b: Bytes| {
            sent.increment(b.len() as u64 + FRAME_HEAD);
            std::future::ready(Ok::<_, PlumbingError>(b))
        });
        let stream = FramedRead::new(r, codec()).map(move |b| {
            let b = b.context(BrokenSnafu)?.freeze();
            received.increment(b.len() as u64 + FRAME_HEAD);
            Ok(b)
        });
        Channel { peer, protocol, sink: Box::pin(sink), stream: Box::pin(stream) }
    }
}

/// How frames are told apart.
fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME).new_codec()
}

/// Opens a channel from our own IP number and tells its protocol.
pub async fn dial(from: IpAddr, to: SocketAddr, protocol: u8, budget: Duration) -> Result<Channel, PlumbingError> {
    let open = async {
        let s = if to.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
        s.bind(SocketAddr::new(from, 0))?;
        let mut s = s.connect(to).await?;
        s.set_nodelay(true)?;
        s.write_all(&[protocol]).await?;
        Ok(s)
    };
    let s = timeout(budget, open).await.ok().context(SlowSnafu { address: to, budget })?.context(DialSnafu { address: to })?;
    Ok(Channel::new(s, to, protocol))
}
