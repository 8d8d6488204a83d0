use process_plumbing::prelude::*;

#[test]
fn the_page_shows_counters_and_the_process_itself() {
    let page = MetricsPage::install().unwrap();
    counter!("things_total").increment(3);
    let text = page.render();
    assert!(text.contains("things_total 3"), "{text}");
    assert!(text.contains("process_cpu_seconds_total "), "{text}");
    let rss = text.lines().find_map(|l| l.strip_prefix("process_resident_memory_bytes ")).unwrap();
    assert!(rss.parse::<f64>().unwrap() > 100_000.0);
    assert!(MetricsPage::install().is_err());
}

#[test]
fn every_fault_of_the_settings_is_told_with_its_path() {
    let args: Vec<String> = ["--zone", "", "--listen-http", "x", "--worker-threads", "-4"].map(str::to_owned).to_vec();
    let text = SettingsCommand::<DaemonSettings>::read("gateway", &args).unwrap_err().to_string();
    for path in ["--zone", "--listen-http", "--worker-threads", "node_name"] {
        assert!(text.contains(path), "{path} is not in {text}");
    }
}

#[test]
fn log_formats_are_text_and_json() {
    assert_eq!("text".parse::<LogFormat>().unwrap(), LogFormat::Text);
    assert_eq!("json".parse::<LogFormat>().unwrap(), LogFormat::Json);
    assert!("xml".parse::<LogFormat>().is_err());
}
