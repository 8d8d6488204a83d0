use process_plumbing::prelude::*;

const PROTOCOL: u8 = b'G';
const BUDGET: Duration = Duration::from_secs(20);

fn run<T>(f: impl Future<Output = T>) -> T {
    daemon_runtime(2).unwrap().block_on(f)
}

fn own() -> IpAddr {
    "127.3.0.9".parse().unwrap()
}

async fn pair() -> (Channel, Channel) {
    let l = listen("127.3.0.1:0".parse().unwrap()).await.unwrap();
    let (out, inc) = tokio::join!(dial(own(), l.address, PROTOCOL, BUDGET), async { l.next().await.unwrap().open(BUDGET).await });
    (out.unwrap(), inc.unwrap())
}

#[test]
fn frames_arrive_whole_and_from_our_own_address() {
    run(async {
        let (out, mut inc) = pair().await;
        assert_eq!((inc.protocol, inc.peer.ip()), (PROTOCOL, own()));
        let inbox = ChannelInbox::spawn(out.sink, 8);
        for n in 0..5u8 {
            inbox.send(Bytes::from(vec![n; usize::from(n) * 1_000])).unwrap();
        }
        for n in 0..5u8 {
            assert_eq!(inc.stream.next().await.unwrap().unwrap(), vec![n; usize::from(n) * 1_000]);
        }
    });
}

#[test]
fn a_full_inbox_drops_the_channel() {
    run(async {
        let (out, inc) = pair().await;
        let inbox = ChannelInbox::spawn(out.sink, 4);
        // Nobody reads: the kernel's buffers fill, then the inbox.
        let frame = Bytes::from(vec![7; MAX_FRAME]);
        let e = (0..10_000).find_map(|_| inbox.send(frame.clone()).err());
        assert!(matches!(e, Some(PlumbingError::InboxFull)), "{e:?}");
        inbox.closed().await;
        assert!(matches!(inbox.send(frame), Err(PlumbingError::Closed)));
        drop(inc);
    });
}

#[test]
fn a_frame_over_the_limit_breaks_the_channel_not_the_process() {
    run(async {
        let l = listen("127.3.0.1:0".parse().unwrap()).await.unwrap();
        let mut s = TcpStream::connect(l.address).await.unwrap();
        let mut c = {
            s.write_all(b"P\xff\xff\xff\xff").await.unwrap();
            l.next().await.unwrap().open(BUDGET).await.unwrap()
        };
        assert!(matches!(c.stream.next().await, Some(Err(PlumbingError::Broken { .. }))));
    });
}

#[test]
fn nobody_there_is_a_typed_error() {
    run(async {
        let l = listen("127.3.0.1:0".parse().unwrap()).await.unwrap();
        let a = l.address;
        drop(l);
        assert!(matches!(dial(own(), a, PROTOCOL, BUDGET).await, Err(PlumbingError::Dial { .. })));
    });
}
