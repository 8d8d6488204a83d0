//! The committed page is the one that the declarations give.

use declared_settings::prelude::*;

const COMMITTED: &str = include_str!("../../../docs/SETTINGS.md");

#[test]
fn the_committed_page_is_current() {
    assert!(
        COMMITTED == settings_page(),
        "docs/SETTINGS.md is old: cargo run -p declared-settings --example settings_page > docs/SETTINGS.md"
    );
}

#[test]
fn the_page_names_every_setting() {
    let all = DaemonSettings::NAMES.iter().chain(QueueSettings::NAMES).chain(ConfigurationSettings::NAMES);
    for name in all {
        assert!(COMMITTED.contains(&format!("\n| `{name}` | ")), "{name}");
    }
}
