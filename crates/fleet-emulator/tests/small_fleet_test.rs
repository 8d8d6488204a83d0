//! A small fleet of real processes: what must never happen doesn't, also when its leader is killed.

mod workspace_programs;

use fleet_emulator::prelude::*;
use workspace_programs::programs_folder;

/// Rules with a bound of time in them. A busy machine may break these without a fault of ours; the others hold at any
/// speed.
const TIMED: [Rule; 7] = [
    Rule::JobNotVisible,
    Rule::StartOnDrainingWorker,
    Rule::StartInEvacuatedZone,
    Rule::StartAfterCancel,
    Rule::GangMemberAlone,
    Rule::ConfigurationLate,
    Rule::ServiceOutage,
];

/// Second numbers of addresses that this test may use: above all that `fleet` takes by itself.
const NETS: std::ops::RangeInclusive<u8> = 220..=250;

/// Where the run's files go; they stay when the test doesn't pass.
fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("fleet-test-{}-small", std::process::id()))
}

/// A small fleet of everyday load whose leader is killed after 3 s and started again 1 s later.
fn options(net: u8, bin_folder: PathBuf) -> RunOptions {
    let kill = json!([{"at_s": 3, "what": "kill", "whom": "leader", "for_s": 1}]);
    RunOptions {
        deployment: Deployment { gateways: 3, workers: 12, workers_per_rack: 2, ..Deployment::named("harwick").unwrap() },
        scenario: "small".into(),
        figure: None,
        faults: FaultSchedule::from_json(&kill).unwrap(),
        seconds: 8.0,
        // Tasks of a hundredth of the usual length, so that nearly all end within the load.
        load: LoadOptions { seed: 1, rate: 1.0, extra: vec!["--time-scale=0.01".into()] },
        bin_folder,
        folder: Some(folder()),
        report: None,
        net,
        settle_s: 5.0,
        final_reads: 100,
    }
}

/// Runs on the first addresses that no other fleet of this machine has.
async fn run() -> Report {
    let programs = programs_folder();
    for net in NETS {
        match FleetRun::start(options(net, programs.clone())).await {
            Err(FleetError::Listen { .. }) => {}
            started => return started.unwrap().run().await.unwrap(),
        }
    }
    panic!("all of 127.{NETS:?} are taken");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn no_rule_that_holds_at_any_speed_is_broken() {
    let r = run().await;
    println!("{r}");
    let timed: Vec<&str> = TIMED.iter().map(|r| r.name()).collect();
    let broken: Vec<_> = r.violations.iter().filter(|(rule, n)| **n > 0 && !timed.contains(&rule.as_str())).collect();
    assert!(broken.is_empty(), "{broken:?}\n{}", r.findings.join("\n"));
    assert_eq!(
        r.violations.len(),
        Rule::ALL.len() + 2,
        "every rule is judged, that no daemon ended by itself, and that no request was cut"
    );
    assert!(r.jobs_finished > 0, "{r}");
    assert_eq!(r.daemons.values().filter(|d| d.starts == 2).count(), 1, "one daemon was killed and started again");
    fs::remove_dir_all(folder()).unwrap();
}
