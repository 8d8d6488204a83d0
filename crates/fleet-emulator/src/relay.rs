use crate::prelude::*;

/// Carries all channels to one address of one node.
#[derive(Debug)]
pub struct Relay {
    /// Whom it leads to.
    pub node: NodeId,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it dials.
    pub target: SocketAddr,
}

/// Most bytes taken from a caller whose channel can't be set up yet.
const EARLY: usize = 64 * 1024;

/// Waits until the link lets bytes pass.
async fn open(link: &Link) {
    // The sender lives as long as the link; an error can't come while it is borrowed.
    let _ = link.effect().wait_for(|e| !e.cut).await;
}

/// Waits until all channels of the link are to be reset.
async fn reset(link: &Link) {
    let _ = link.resets().changed().await;
}

/// Ends a channel the hard way.
fn abort(s: &TcpStream) {
    // A channel that is gone already needs no reset.
    let _ = s.set_zero_linger();
}

impl Relay {
    /// Listens, and carries channels until the runtime ends. `nodes` tells who dials, by its address.
    pub async fn start(self, nodes: Arc<HashMap<IpAddr, NodeId>>, links: Arc<LinkTable>) -> Result<SocketAddr, FleetError> {
        let listener = TcpListener::bind(self.listen).await.context(ListenSnafu { address: self.listen })?;
        let at = listener.local_addr().context(ListenSnafu { address: self.listen })?;
        tokio::spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, peer)) => match nodes.get(&peer.ip()) {
                        Some(&from) => {
                            tokio::spawn(carry(stream, self.target, links.link(from, self.node), links.link(self.node, from)));
                        }
                        // Nobody of this fleet: no link to carry it on.
                        None => abort(&stream),
                    },
                    // Out of file handles, as a rule: let channels end first.
                    Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
                }
            }
        });
        Ok(at)
    }
}

/// Waits until a channel can be set up, which needs both directions; what the caller sends meanwhile goes into
/// `early`. Answers false when the caller gave up first: its handshake would never have been done.
async fn set_up(near: &mut TcpStream, forth: &Link, back: &Link, early: &mut Vec<u8>) -> bool {
    let mut buf = vec![0; EARLY];
    loop {
        let whole = async {
            open(forth).await;
            open(back).await;
        };
        tokio::select! {
            biased;
            _ = whole => {}
            n = near.read(&mut buf), if early.len() < EARLY => match n {
                Ok(n) if n > 0 => early.extend_from_slice(&buf[..n]),
                _ => return false,
            },
        }
        if !forth.effect().borrow().cut && !back.effect().borrow().cut {
            return true;
        }
    }
}

/// Carries one channel.
async fn carry(mut near: TcpStream, target: SocketAddr, forth: Arc<Link>, back: Arc<Link>) {
    let (resets_forth, resets_back) = (reset(&forth), reset(&back));
    let mut early = Vec::new();
    if !set_up(&mut near, &forth, &back, &mut early).await {
        return abort(&near);
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return abort(&near);
    };
    forth.count_channel();
    // Without these the relay would only be slower.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let whole = async {
        far.write_all(&early).await?;
        forth.count(early.len());
        let ((near_read, near_write), (far_read, far_write)) = (near.split(), far.split());
        tokio::try_join!(pump(near_read, far_write, forth.clone()), pump(far_read, near_write, back.clone()))
    };
    let well = tokio::select! {
        r = whole => r.is_ok(),
        _ = resets_forth => false,
        _ = resets_back => false,
    };
    if !well {
        abort(&near);
        abort(&far);
    }
}
