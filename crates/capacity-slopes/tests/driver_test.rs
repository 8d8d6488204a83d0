use capacity_slopes::prelude::*;

#[global_allocator]
static HEAP: CountingAllocator = CountingAllocator;

fn read(size: FleetSize) -> Reading {
    FleetDriver::new(size).and_then(FleetDriver::read).unwrap_or_else(|e| panic!("{e}"))
}

fn small() -> FleetSize {
    FleetSize { workers: 16, window_ms: 8_000, ..FleetSize::default() }
}

#[test]
fn jobs_run_to_their_end_in_the_driver() {
    let r = read(FleetSize { jobs_per_s: 4.0, tasks_per_job: 3, run_ms: 500, running: 40, ..small() });
    // 32 jobs of 3 tasks are sent; those of the last second may still run.
    assert!(r.started >= 90 && r.finished >= 78, "{} started, {} finished", r.started, r.finished);
    assert_eq!(r.running, 40 + r.started - r.finished);
    assert_eq!(r.usage[&Role::Gateway].orders.kinds.get("stop"), None, "nothing is stopped in a calm fleet");
}

#[test]
fn a_change_reaches_the_state_and_the_disk() {
    let r = read(FleetSize { changes_per_s: 0.5, ..small() });
    assert_eq!(r.configuration, 1 + 4);
    assert!(r.usage[&Role::Leader].disk_bytes > 4 * 1_000, "{:?}", r.usage[&Role::Leader]);
    assert!(r.usage[&Role::Follower].syncs >= 4);
}

#[test]
fn counts_are_the_same_each_time() {
    let size = FleetSize { jobs_per_s: 2.0, ..small() };
    let (a, b) = (read(size.clone()), read(size));
    for role in Role::ALL {
        for q in Quantity::ALL.into_iter().filter(|q| !matches!(q, Quantity::Cpu | Quantity::Held)) {
            assert_eq!(a.figure(role, q), b.figure(role, q), "{role:?} {q}");
        }
    }
}

#[test]
fn what_the_leader_sends_is_what_the_others_receive() {
    let r = read(FleetSize { jobs_per_s: 2.0, members: 5, ..small() });
    let of = |role, q| r.figure(role, q).unwrap_or_default();
    let links = 4.0 * of(Role::Follower, Quantity::ReceivedBytes) + 4.0 * of(Role::Gateway, Quantity::ReceivedBytes);
    let sent = of(Role::Leader, Quantity::SentBytes);
    // A frame on its way at either edge of the window counts on one side alone.
    assert!((links - sent).abs() < 0.05 * sent, "{links} received, {sent} sent");
}

#[test]
fn state_costs_memory_and_workers_cost_messages() {
    let base = read(small());
    let more = read(FleetSize { workers: 64, running: 400, jobs_kept: 200, ..small() });
    for role in Role::ALL {
        let (a, b) = (base.figure(role, Quantity::Held), more.figure(role, Quantity::Held));
        assert!(a < b && a.is_some_and(|a| a > 0.0), "{role:?}: {a:?}, then {b:?}");
    }
    assert!(more.jobs >= 200 + 400 / 64);
    assert!(base.figure(Role::Gateway, Quantity::WorkerMessages) < more.figure(Role::Gateway, Quantity::WorkerMessages));
}
