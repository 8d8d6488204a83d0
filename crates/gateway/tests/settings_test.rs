use gateway::prelude::*;

#[test]
fn bad_settings_end_with_two_and_every_path() {
    let out = std::process::Command::new(env!("CARGO_BIN_EXE_gateway")).args(["--listen-http", "x", "--zone", ""]).output().unwrap();
    let said = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(2), "{said}");
    for path in ["--listen-http", "--zone", "node_name"] {
        assert!(said.contains(path), "{said}");
    }
}

#[test]
fn the_ratios_stand_on_the_settings() {
    let d = DaemonSettings { gateway_silence_ms: 600, election_timeout_ms: 200, hold_interval_ms: 400, ..DaemonSettings::default() };
    let s = GatewayProcess::core_settings(&d);
    assert_eq!((s.pulse_interval(), s.patience(), s.hold_wait()), (100, 500, 2_000));
}
