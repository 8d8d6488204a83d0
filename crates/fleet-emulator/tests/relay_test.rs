//! Links: what passes, what waits, what is reset. No test sleeps.

use fleet_emulator::prelude::*;

/// A pump between two pipes, polled by hand: (what goes in, what comes out, the link, the pump).
macro_rules! pumped {
    ($into:ident, $out:ident, $link:ident, $pump:ident) => {
        let (mut $into, near) = tokio::io::duplex(1 << 16);
        let (far, mut $out) = tokio::io::duplex(1 << 16);
        let $link = Arc::new(Link::new(1, 2, LinkEffect::default()));
        let mut $pump = Box::pin(pump(near, far, $link.clone()));
    };
}

/// Lets the pump do all it can now.
macro_rules! turn {
    ($pump:ident) => {
        (&mut $pump).now_or_never()
    };
}

#[tokio::test(start_paused = true)]
async fn a_cut_holds_bytes_and_the_end_until_it_is_over() {
    pumped!(into, out, link, pump);
    let mut buf = [0; 8];
    into.write_all(b"one").await.unwrap();
    assert!(turn!(pump).is_none());
    assert_eq!(out.read(&mut buf).now_or_never().unwrap().unwrap(), 3);

    link.set(LinkEffect::CUT);
    into.write_all(b"two").await.unwrap();
    into.shutdown().await.unwrap();
    assert!(turn!(pump).is_none());
    assert!(out.read(&mut buf).now_or_never().is_none(), "passed a cut link");
    assert_eq!(link.bytes(), 3);

    link.set(LinkEffect::default());
    assert!(turn!(pump).unwrap().is_ok());
    assert_eq!(out.read(&mut buf).await.unwrap(), 3);
    assert_eq!(out.read(&mut buf).await.unwrap(), 0, "the end comes last");
    assert_eq!(link.bytes(), 6);
}

#[tokio::test(start_paused = true)]
async fn a_slow_link_delays_without_thinning_and_thins_without_loss() {
    pumped!(into, out, link, pump);
    let mut buf = vec![0; 4096];
    link.set(LinkEffect { cut: false, delay_ms: 40, bytes_per_s: 0 });
    for _ in 0..3 {
        into.write_all(&[7; 1000]).await.unwrap();
        assert!(turn!(pump).is_none());
    }
    assert!(out.read(&mut buf).now_or_never().is_none());
    tokio::time::advance(Duration::from_millis(39)).await;
    assert!(turn!(pump).is_none());
    assert!(out.read(&mut buf).now_or_never().is_none(), "came too early");
    tokio::time::advance(Duration::from_millis(2)).await;
    assert!(turn!(pump).is_none());
    // All three were under way together: the delay is no limit to what passes.
    assert_eq!(out.read(&mut buf).now_or_never().unwrap().unwrap(), 3000);

    link.set(LinkEffect { cut: false, delay_ms: 0, bytes_per_s: 1000 });
    into.write_all(&[7; 2000]).await.unwrap();
    assert!(turn!(pump).is_none());
    tokio::time::advance(Duration::from_millis(1990)).await;
    assert!(turn!(pump).is_none());
    assert!(out.read(&mut buf).now_or_never().is_none(), "2000 bytes in less than 2 s");
    tokio::time::advance(Duration::from_millis(20)).await;
    assert!(turn!(pump).is_none());
    assert_eq!(out.read(&mut buf).now_or_never().unwrap().unwrap(), 2000);
    assert_eq!(link.bytes(), 5000);
}

#[test]
fn rules_add_up_and_reach_links_that_come_later() {
    let t = LinkTable::default();
    let slow = LinkEffect { cut: false, delay_ms: 20, bytes_per_s: 0 };
    let early = t.link(1, 2);
    let cut = t.add_rule([1].into(), [2, 3].into(), LinkEffect::CUT);
    let delay = t.add_rule([1, 2].into(), [1, 2, 3].into(), slow);
    let now = |a, b| *t.link(a, b).effect().borrow();
    assert_eq!(now(1, 2), LinkEffect { cut: true, ..slow });
    assert_eq!((now(1, 3), now(2, 1), now(3, 1)), (LinkEffect { cut: true, ..slow }, slow, LinkEffect::default()));
    t.remove_rule(cut);
    assert_eq!((now(1, 2), *early.effect().borrow()), (slow, slow));
    t.remove_rule(delay);
    assert_eq!(now(1, 2), LinkEffect::default());
}

const NEAR: NodeId = 1;
const FAR: NodeId = 2;

/// A relay on loopback in front of a listener: (the listener, the relay's address, the links).
async fn relayed() -> (TcpListener, SocketAddr, Arc<LinkTable>) {
    let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let far = TcpListener::bind(any).await.unwrap();
    let links = Arc::new(LinkTable::default());
    let nodes = Arc::new(HashMap::from([(any.ip(), NEAR)]));
    let relay = Relay { node: FAR, listen: any, target: far.local_addr().unwrap() };
    let at = relay.start(nodes, links.clone()).await.unwrap();
    (far, at, links)
}

#[tokio::test]
async fn one_way_cut_on_loopback_lets_the_other_way_pass() {
    let (far, at, links) = relayed().await;
    let mut near = TcpStream::connect(at).await.unwrap();
    let (mut far, _) = far.accept().await.unwrap();
    let mut buf = [0; 4];
    near.write_all(b"ping").await.unwrap();
    far.read_exact(&mut buf).await.unwrap();
    assert_eq!((&buf, links.link(NEAR, FAR).bytes(), links.link(NEAR, FAR).channels()), (b"ping", 4, 1));

    let cut = links.add_rule([NEAR].into(), [FAR].into(), LinkEffect::CUT);
    near.write_all(b"lost").await.unwrap();
    // Both directions run in one task of the relay: had the cut let "lost" pass, this round would show it.
    for _ in 0..50 {
        far.write_all(b"pong").await.unwrap();
        near.read_exact(&mut buf).await.unwrap();
        assert_eq!(&buf, b"pong");
    }
    assert_eq!(links.link(NEAR, FAR).bytes(), 4);
    assert_eq!(far.try_read(&mut buf).unwrap_err().kind(), io::ErrorKind::WouldBlock);

    links.remove_rule(cut);
    far.read_exact(&mut buf).await.unwrap();
    assert_eq!(&buf, b"lost");
    assert_eq!((links.link(NEAR, FAR).bytes(), links.link(FAR, NEAR).bytes()), (8, 200));
}

#[tokio::test]
async fn who_gives_up_on_a_cut_link_was_never_there() {
    let (far, at, links) = relayed().await;
    let cut = links.add_rule([FAR].into(), [NEAR].into(), LinkEffect::CUT);
    let mut gone = TcpStream::connect(at).await.unwrap();
    gone.write_all(b"late").await.unwrap();
    gone.shutdown().await.unwrap();
    // The relay has heard of it once it closes its side.
    let mut rest = Vec::new();
    let _ = gone.read_to_end(&mut rest).await;
    let mut stays = TcpStream::connect(at).await.unwrap();
    stays.write_all(b"here").await.unwrap();
    links.remove_rule(cut);
    let (mut first, _) = far.accept().await.unwrap();
    let mut buf = [0; 4];
    first.read_exact(&mut buf).await.unwrap();
    assert_eq!((&buf, links.link(NEAR, FAR).channels()), (b"here", 1));
}

#[tokio::test]
async fn resets_and_lost_targets_end_channels_on_both_sides() {
    let (far, at, links) = relayed().await;
    let mut near = TcpStream::connect(at).await.unwrap();
    let (mut other, _) = far.accept().await.unwrap();
    let mut buf = [0; 4];
    near.write_all(b"ping").await.unwrap();
    other.read_exact(&mut buf).await.unwrap();
    links.reset(&[FAR].into(), &[NEAR].into());
    assert_eq!(near.read(&mut buf).await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
    assert_eq!(other.read(&mut buf).await.unwrap_err().kind(), io::ErrorKind::ConnectionReset);

    drop(far);
    let mut near = TcpStream::connect(at).await.unwrap();
    assert!(near.read(&mut buf).await.map_or(true, |n| n == 0), "a dead target answers nothing");
}

#[tokio::test]
async fn strangers_are_not_carried() {
    let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let links = Arc::new(LinkTable::default());
    let relay = Relay { node: FAR, listen: any, target: any };
    let at = relay.start(Arc::default(), links.clone()).await.unwrap();
    let mut near = TcpStream::connect(at).await.unwrap();
    assert!(near.read(&mut [0; 4]).await.map_or(true, |n| n == 0));
    assert!(links.links().is_empty());
}
