//! Where everything stands.

use fleet_emulator::prelude::*;

fn layout(name: &str) -> Layout {
    Layout::new(Deployment::named(name).unwrap(), 77)
}

#[test]
fn the_sizes_are_those_of_the_deployments() {
    for (name, schedulers, gateways, workers, zones, memory_mb) in
        [("thaali", 5, 9, 48, 3, 65_536), ("harwick", 3, 6, 48, 3, 32_768), ("target", 5, 13, 550, 8, 65_536)]
    {
        let l = layout(name);
        assert_eq!(l.of_role(Role::Scheduler).count(), schedulers);
        assert_eq!(l.of_role(Role::Gateway).count(), gateways);
        assert_eq!(l.of_role(Role::Worker).count(), workers);
        assert_eq!(l.deployment.zones().len(), zones);
        assert_eq!((l.deployment.cpu_millis, l.deployment.memory_mb), (16_000, memory_mb));
    }
    assert_eq!(layout("target").deployment.queues, 310);
    assert_eq!(layout("target").deployment.regions.len(), 2);
}

#[test]
fn no_two_nodes_share_an_address_and_relays_are_apart() {
    for name in Deployment::NAMES {
        let l = layout(name);
        let mut ips: Vec<Ipv4Addr> = l.nodes.iter().flat_map(|n| [n.ip, n.relay_ip]).collect();
        assert!(ips.iter().all(|ip| ip.octets()[..2] == [127, 77]));
        let all = ips.len();
        ips.sort();
        ips.dedup();
        assert_eq!(ips.len(), all);
        assert!(l.nodes.iter().enumerate().all(|(i, n)| n.id as usize == i));
    }
}

#[test]
fn racks_hold_eight_of_one_zone_and_kinds_mix_in_them() {
    for name in Deployment::NAMES {
        let l = layout(name);
        let mut racks: BTreeMap<&str, Vec<&Node>> = BTreeMap::new();
        for (i, w) in l.of_role(Role::Worker).enumerate() {
            racks.entry(&w.rack).or_default().push(w);
            assert!(["old", "new"].contains(&l.deployment.kind_of(i as u32).as_str()));
        }
        for (rack, workers) in &racks {
            assert!(workers.len() <= 8 && workers.iter().all(|w| w.zone == workers[0].zone), "{rack}");
        }
        let kinds: BTreeSet<Name> = (0..8).map(|i| l.deployment.kind_of(i)).collect();
        assert_eq!(kinds.len(), 2);
    }
}

#[test]
fn no_zone_holds_a_quorum_of_schedulers() {
    for name in Deployment::NAMES {
        let l = layout(name);
        for (zone, _) in l.deployment.zones() {
            let here = l.of_role(Role::Scheduler).filter(|n| n.zone == zone).count() as u32;
            assert!(here <= l.deployment.schedulers / 2, "{name} {zone}: {here}");
        }
    }
}

#[test]
fn a_daemon_is_told_its_own_address_and_the_relays_of_others() {
    let l = layout("harwick");
    let (s, g) = (l.by_name("s2").unwrap(), l.by_name("g1").unwrap());
    let v = l.daemon_settings(s, Path::new("run/s2"));
    assert_eq!(v["listen_internal"], "127.77.1.2:7100");
    assert_eq!(v["advertise_internal"], "127.77.101.2:7100");
    assert_eq!(v["data_folder"], "run/s2/data");
    assert_eq!(v["founders"], json!(["127.77.101.1:7100", "127.77.101.2:7100", "127.77.101.3:7100"]));
    let seeds: BTreeSet<&str> = v["seeds"].as_array().unwrap().iter().filter_map(Value::as_str).collect();
    assert_eq!(seeds, BTreeSet::from(["127.77.101.1:7100", "127.77.101.2:7100", "127.77.101.3:7100"]));
    let v = l.daemon_settings(g, Path::new("run/g1"));
    assert!(v.get("data_folder").is_none() && v.get("founders").is_none());
    assert_eq!(v["zone"], g.zone.as_str());
}

#[test]
fn whom_is_told_from_the_layout_and_the_leader() {
    let l = layout("thaali");
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut names = |text: &str, leader: Option<&str>| -> Result<Vec<Name>, String> {
        let leader = leader.and_then(|n| l.by_name(n)).map(|n| n.id);
        let whom: Whom = text.parse().map_err(|e: WhomError| e.to_string())?;
        let ids = whom.nodes(&l, leader, &mut rng).map_err(|e| e.to_string())?;
        Ok(ids.into_iter().map(|id| l.node(id).name.clone()).collect())
    };
    assert_eq!(names("leader", Some("s3")).unwrap(), ["s3"]);
    assert_eq!(names("leader+minority", Some("s3")).unwrap(), ["s1", "s3"]);
    assert_eq!(names("followers", Some("s3")).unwrap(), ["s1", "s2", "s4", "s5"]);
    assert_eq!(names("followers:2+gateway:9", Some("s1")).unwrap(), ["s2", "s3", "g9"]);
    assert_eq!(names("worker:w07", None).unwrap(), ["w07"]);
    assert_eq!(names("workers:5", None).unwrap().len(), 5);
    assert!(names("zone:z1", None).unwrap().contains(&"s1".to_owned()));
    assert!(names("leader", None).unwrap_err().contains("leader"));
    assert!(names("gateway:10", None).is_err() && names("worker:s1", None).is_err() && names("zone:z9", None).is_err());
    for bad in ["", "leader:1", "gateway", "gateway:x", "worker:", "followers:0", "leader+", "zone"] {
        assert!(bad.parse::<Whom>().is_err(), "{bad:?}");
    }
}
