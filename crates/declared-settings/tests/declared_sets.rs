//! The macro: reading, faults, the command line, descriptions.

use declared_settings::prelude::*;

declare_settings! {
    /// Every type once.
    pub struct EveryType {
        /// A count.
        count: u64 = 3, check(Integers(1, 9)), unit "things";
        /// A ratio.
        ratio: f64 = 0.5, check(Numbers(0.0, 1.0));
        /// A switch.
        switch: bool = false;
        /// A text.
        text: String = "a", check(OneOf(&["a", "b"]));
        /// Texts,
        /// on two lines.
        texts: Vec<String> = ["x"];
        /// An address.
        address: SocketAddr = "127.0.0.1:1";
        /// Addresses.
        addresses: Vec<SocketAddr> = [], check(Most(2));
        /// Perhaps a count.
        maybe: Option<u64> = null, check(Integers(5, 6));
    }
}

fn problems(faults: &SettingFaults) -> Vec<(&str, &SettingProblem)> {
    faults.faults.iter().map(|f| (f.path.as_str(), &f.problem)).collect()
}

fn matches<S: DeclaredSettings>(words: &[&str]) -> Matches {
    let mut options = Options::new();
    S::options(&mut options);
    options.parse(words).unwrap()
}

#[test]
fn every_type_is_read_and_written_back() {
    let object = json!({
        "count": 9, "ratio": 1, "switch": true, "text": "b", "texts": ["p", "q"],
        "address": "[::1]:80", "addresses": ["10.0.0.1:5"], "maybe": 6,
    });
    let read = EveryType::from_json(&object).unwrap();
    assert_eq!(read.count, 9);
    assert_eq!(read.ratio, 1.0);
    assert_eq!(read.address, "[::1]:80".parse::<SocketAddr>().unwrap());
    assert_eq!(read.addresses, ["10.0.0.1:5".parse::<SocketAddr>().unwrap()]);
    assert_eq!(read.maybe, Some(6));
    assert_eq!(EveryType::from_json(&read.to_json()).unwrap(), read);
    assert_eq!(EveryType::from_json(&json!({})).unwrap(), EveryType::default());
}

#[test]
fn all_faults_of_an_object_are_listed() {
    let object = json!({
        "count": 10, "ratio": "x", "switch": 1, "text": "c", "texts": "x", "address": "nowhere",
        "addresses": ["1.1.1.1:1", "1.1.1.1:2", "1.1.1.1:3"], "maybe": 4, "rato": 1, "zzzzzzzz": 1,
    });
    let faults = EveryType::from_json(&object).unwrap_err();
    let wrong = |expected: &str, found: &str| SettingProblem::WrongType { expected: expected.into(), found: found.into() };
    let range = |range: &str, found: &str| SettingProblem::OutOfRange { range: range.into(), found: found.into() };
    let expected = [
        ("address", wrong("address (ip:port)", "the text \"nowhere\"")),
        ("addresses", SettingProblem::TooMany { most: 2, found: 3 }),
        ("count", range("1 to 9", "10")),
        ("maybe", range("5 to 6", "4")),
        ("ratio", wrong("number", "the text \"x\"")),
        ("rato", SettingProblem::UnknownSetting { nearest: Some("ratio".into()) }),
        ("switch", wrong("true or false", "the number 1")),
        ("text", SettingProblem::NotAllowed { allowed: vec!["a".into(), "b".into()], found: "c".into() }),
        ("texts", wrong("list of text", "the text \"x\"")),
        ("zzzzzzzz", SettingProblem::UnknownSetting { nearest: None }),
    ];
    let expected: Vec<_> = expected.iter().map(|(path, problem)| (*path, problem)).collect();
    assert_eq!(problems(&faults), expected);
}

#[test]
fn numbers_are_held_to_their_type() {
    for bad in [json!(-1), json!(1.5), json!(3.0), json!("3"), json!(1e300), Value::Null] {
        assert!(EveryType::default().set("count", &bad).is_err(), "{bad}");
    }
    assert_eq!(EveryType::default().set("count", &json!(-1)).unwrap_err().to_string(), "-1 is outside of 0 to 18446744073709551615");
}

#[test]
fn flags_go_over_the_file() {
    let words = ["--count", "7", "--switch", "true", "--texts", "p,q", "--texts", "r", "--addresses", "127.0.0.1:9"];
    let file = json!({"count": 2, "ratio": 0.25});
    let read = EveryType::load(Some(&file), Some(&matches::<EveryType>(&words))).unwrap();
    assert_eq!((read.count, read.ratio, read.switch), (7, 0.25, true));
    assert_eq!(read.texts, ["p", "q", "r"]);
    assert_eq!(read.addresses.len(), 1);
}

#[test]
fn all_faults_of_file_and_flags_are_listed() {
    let words = ["--count", "many", "--maybe", "7", "--ratio", "NaN", "--text", "c"];
    let file = json!({"switch": "on"});
    let faults = EveryType::load(Some(&file), Some(&matches::<EveryType>(&words))).unwrap_err();
    let paths: Vec<_> = faults.faults.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["switch", "--count", "--ratio", "--text", "--maybe"]);
    assert_eq!(faults.faults[1].to_string(), "--count: expected whole number, found the text \"many\"");
}

#[test]
fn descriptions_come_from_the_declaration() {
    let all = EveryType::describe();
    let names: Vec<_> = all.iter().map(|d| d.name).collect();
    assert_eq!(names, EveryType::NAMES);
    assert_eq!((all[0].unit, all[0].check.as_str(), &all[0].default), ("things", "1 to 9", &json!(3)));
    assert_eq!(all[4].help, "Texts, on two lines.");
    assert_eq!(all[7].type_name, "optional whole number");
    let mut options = Options::new();
    EveryType::options(&mut options);
    let usage = options.usage("x");
    assert!(usage.contains("--count things") && usage.contains("A count. (default 3)"), "{usage}");
}

#[test]
fn a_process_needs_a_name() {
    let missing = DaemonSettings::from_json(&json!({})).unwrap_err();
    assert_eq!(problems(&missing), [("node_name", &SettingProblem::Missing)]);
    let bad = DaemonSettings::from_json(&json!({"node_name": "A b"})).unwrap_err();
    assert_eq!(bad.faults.len(), 1, "a wrong name is listed once: {bad}");
    let words = ["--node-name", "s1", "--seeds", "127.0.0.1:1,127.0.0.1:2", "--seeds", "127.0.0.1:3"];
    let read = DaemonSettings::load(None, Some(&matches::<DaemonSettings>(&words))).unwrap();
    assert_eq!((read.seeds.len(), read.election_timeout_ms), (3, 1000));
}

/// Only settings that have to be given may have a default that fails its check.
#[test]
fn declared_defaults_pass_their_checks() {
    assert_eq!(QueueSettings::default().missing(), []);
    assert_eq!(ConfigurationSettings::default().missing(), []);
    let missing = DaemonSettings::default().missing();
    assert_eq!(missing, [SettingFault::new("node_name", SettingProblem::Missing)]);
}

#[test]
fn faults_serialise_for_answers() {
    let faults = EveryType::from_json(&json!({"count": 0})).unwrap_err();
    assert_eq!(
        json!(faults),
        json!({"faults": [
            {"path": "count", "problem": "out_of_range", "range": "1 to 9", "found": "0"}
        ]})
    );
}
