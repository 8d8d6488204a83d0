use crate::prelude::*;

/// Which level each value came from; what is not listed is the declared default.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Origins {
    entries: Box<[(&'static str, SettingLevel)]>,
}

impl Origins {
    /// The level that set `name`; none when no such setting is declared.
    pub fn get(&self, name: &str) -> Option<SettingLevel> {
        let known = QueueSettings::NAMES.contains(&name);
        let level = self.entries.iter().find(|(n, _)| *n == name).map(|(_, l)| *l);
        known.then(|| level.unwrap_or(SettingLevel::Default))
    }

    /// Every declared setting with its level.
    pub fn iter(&self) -> impl Iterator<Item = (&'static str, SettingLevel)> {
        QueueSettings::NAMES.iter().map(|n| (*n, self.get(n).unwrap_or(SettingLevel::Default)))
    }
}

impl Serialize for Origins {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.iter())
    }
}

/// What is in force for one queue, and where each value came from.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct EffectiveQueue {
    /// The values in force.
    pub settings: QueueSettings,
    /// The level that each value came from.
    pub origins: Origins,
}

impl EffectiveQueue {
    /// This, with what a further level sets over it.
    pub fn with(&self, overrides: &LevelOverrides, level: SettingLevel) -> Self {
        let mut settings = self.settings.clone();
        let mut entries = self.origins.entries.to_vec();
        for (name, value) in overrides.iter() {
            let set = settings.set(name, value);
            debug_assert!(set.is_ok(), "overrides were checked when read");
            entries.retain(|(n, _)| *n != name);
            entries.push((name, level));
        }
        entries.sort_unstable();
        Self { settings, origins: Origins { entries: entries.into() } }
    }
}
