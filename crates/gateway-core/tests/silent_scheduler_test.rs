use gateway_core::prelude::*;

mod stand;
use stand::*;

const OTHERS: [&str; 2] = ["127.0.0.3:70", "127.0.0.4:70"];

/// A gateway whose leader, one of three schedulers, has just been silent for too long.
fn silenced() -> Stand {
    let mut t = Stand::new();
    t.until(|e| matches!(e, GatewayEffect::Dial { .. }));
    t.channel += 1;
    t.step(GatewayInput::ChannelUp { channel: t.channel, address: LEADER.into() });
    let schedulers = [LEADER, OTHERS[0], OTHERS[1]].map(str::to_owned).to_vec();
    t.frame(SchedulerFrame::Attached { node: 1, term: 1, log_time_ms: t.log_time(), schedulers });
    t.until(|e| matches!(e, GatewayEffect::CloseChannel { .. }));
    t
}

/// Where it dials next.
fn dialled(t: &mut Stand) -> String {
    let fx = t.until(|e| matches!(e, GatewayEffect::Dial { .. }));
    fx.into_iter().find_map(|e| if let GatewayEffect::Dial { address } = e { Some(address) } else { None }).unwrap()
}

#[test]
fn a_leader_that_fell_silent_is_not_dialled_while_others_still_name_it() {
    let mut t = silenced();
    let before = t.now;
    let mut dialled_others = 0;
    while t.now < before + GatewaySettings::default().echo_silence() - 500 {
        let address = dialled(&mut t);
        assert!(OTHERS.contains(&address.as_str()), "{address}");
        dialled_others += 1;
        t.channel += 1;
        t.step(GatewayInput::ChannelUp { channel: t.channel, address });
        let fx = t.frame(SchedulerFrame::NotLeader { leader: Some(LEADER.into()), schedulers: vec![] });
        assert!(!fx.iter().any(|e| matches!(e, GatewayEffect::Dial { .. })), "{fx:?}");
    }
    assert!(dialled_others >= 2);
}

#[test]
fn a_leader_that_fell_silent_is_tried_again_after_a_while() {
    let mut t = silenced();
    let tried: Vec<String> = (0..20)
        .map(|_| {
            let address = dialled(&mut t);
            t.step(GatewayInput::DialFailed { address: address.clone() });
            address
        })
        .collect();
    assert!(tried.iter().any(|a| a == LEADER), "{tried:?}");
}

#[test]
fn another_leader_that_is_named_is_followed_at_once() {
    let mut t = silenced();
    let address = dialled(&mut t);
    t.channel += 1;
    t.step(GatewayInput::ChannelUp { channel: t.channel, address: address.clone() });
    let leader = OTHERS.into_iter().find(|a| *a != address).unwrap();
    let fx = t.frame(SchedulerFrame::NotLeader { leader: Some(leader.into()), schedulers: vec![] });
    assert!(fx.contains(&GatewayEffect::Dial { address: leader.into() }), "{fx:?}");
}
