//! Real children: started, frozen, killed, never left behind.

use fleet_emulator::prelude::*;

/// A folder of this test's own.
fn folder(name: &str) -> PathBuf {
    let f = std::env::temp_dir().join(format!("fleet-test-{}-{name}", std::process::id()));
    fs::create_dir_all(&f).unwrap();
    f
}

/// A child that does nothing for long.
fn idle(folder: &Path) -> ChildProcess {
    ChildProcess::new("idle", "sleep".into(), vec!["1000".into()], folder.join("log.txt"))
}

/// The letter of a process's state; none when it is gone.
fn state(pid: u32) -> Option<char> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    stat[stat.rfind(')')? + 2..].chars().next()
}

/// Lets others run until a process is in that state: signals take effect when the system gets to it.
fn until(pid: u32, wanted: impl Fn(Option<char>) -> bool) {
    while !wanted(state(pid)) {
        std::thread::yield_now();
    }
}

#[test]
fn a_child_is_frozen_woken_killed_and_started_again() {
    let f = folder("signals");
    let mut c = idle(&f);
    assert!(!c.is_started());
    c.start().unwrap();
    let first = c.pid().unwrap();
    c.start().unwrap();
    assert_eq!((c.pid(), c.starts()), (Some(first), 1), "starting twice is starting once");
    c.freeze().unwrap();
    until(first, |s| s == Some('T'));
    assert!(c.is_frozen());
    c.wake().unwrap();
    until(first, |s| s == Some('S'));
    assert!(!c.is_frozen() && c.usage().rss_mb > 0.0);
    c.freeze().unwrap();
    c.kill();
    assert!(state(first).is_none(), "a frozen child is killed and reaped too");
    c.start().unwrap();
    assert_eq!(c.starts(), 2);
    let second = c.pid().unwrap();
    drop(c);
    assert!(state(second).is_none(), "nothing is left behind");
    fs::remove_dir_all(f).unwrap();
}

#[test]
fn a_panic_leaves_no_child_behind() {
    let f = folder("panic");
    let pid = Arc::new(AtomicU64::new(0));
    let told = pid.clone();
    let log = f.clone();
    let outcome = std::thread::spawn(move || {
        let mut c = idle(&log);
        c.start().unwrap();
        told.store(u64::from(c.pid().unwrap()), Ordering::Relaxed);
        panic!("on purpose");
    })
    .join();
    assert!(outcome.is_err());
    assert!(state(pid.load(Ordering::Relaxed) as u32).is_none());
    fs::remove_dir_all(f).unwrap();
}

#[tokio::test]
async fn one_that_hears_leaves_by_itself_and_one_that_ended_is_told() {
    let f = folder("leave");
    let mut c = idle(&f);
    c.start().unwrap();
    assert!(c.leave().await.unwrap(), "SIGTERM is enough");
    assert!(!c.is_started());
    let mut c = ChildProcess::new("brief", "false".into(), Vec::new(), f.join("log.txt"));
    c.start().unwrap();
    let pid = c.pid().unwrap();
    until(pid, |s| s == Some('Z') || s.is_none());
    let problem = c.check().unwrap_err().to_string();
    assert!(problem.contains("brief ended by itself") && problem.contains("exit status: 1"), "{problem}");
    assert!(ChildProcess::new("none", f.join("no-such-program"), Vec::new(), f.join("log.txt")).start().is_err());
    fs::remove_dir_all(f).unwrap();
}

#[tokio::test]
async fn daemons_get_folders_settings_and_lose_their_disks_on_demand() {
    let f = folder("daemons");
    let layout = Layout::new(Deployment::named("harwick").unwrap(), 9);
    let d = Daemons::prepare(&layout, &f, Path::new("nowhere")).unwrap();
    let s1 = layout.by_name("s1").unwrap();
    let settings: Value = serde_json::from_slice(&fs::read(f.join("s1/settings.json")).unwrap()).unwrap();
    assert_eq!(settings, layout.daemon_settings(s1, &f.join("s1")));
    assert!(d.start(s1.id).await.unwrap_err().to_string().contains("scheduler"), "nowhere is no place for programs");
    fs::create_dir_all(f.join("s1/data/log")).unwrap();
    fs::write(f.join("s1/data/log/entry"), "x").unwrap();
    d.wipe(s1.id).await.unwrap();
    assert!(!f.join("s1/data").exists() && f.join("s1/settings.json").exists() && !d.runs(s1.id));
    assert!(d.kill(layout.by_name("w01").unwrap().id).await.is_err(), "a worker is no daemon");
    fs::remove_dir_all(f).unwrap();
}

#[test]
fn every_settings_file_holds_what_the_daemons_declare() {
    for name in Deployment::NAMES {
        let layout = Layout::new(Deployment::named(name).unwrap(), 9);
        for n in layout.nodes.iter().filter(|n| n.is_daemon()) {
            let v = layout.daemon_settings(n, Path::new("run"));
            let read = <declared_settings::DaemonSettings as declared_settings::DeclaredSettings>::from_json(&v);
            read.unwrap_or_else(|e| panic!("{}: {e}", n.name));
        }
    }
}
