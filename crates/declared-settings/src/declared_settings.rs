use crate::prelude::*;

/// What [`declare_settings!`](crate::declare_settings) gives every declared set.
pub trait DeclaredSettings: Default + Clone + PartialEq {
    /// The names in the order of the declaration.
    const NAMES: &'static [&'static str];
    /// What the set is for, from its doc comment.
    fn about() -> String;
    /// Every setting as declared.
    fn describe() -> Vec<SettingDescription>;
    /// Sets one by its name from JSON, after its check.
    fn set(&mut self, name: &str, value: &Value) -> Result<(), SettingProblem>;
    /// One value by its name, in canonical JSON.
    fn get(&self, name: &str) -> Option<Value>;
    /// Turns the words of the command line for one setting into JSON.
    fn words_to_json(name: &str, words: &[String]) -> Result<Value, SettingProblem>;

    /// Sets every key of `object`, and returns every fault with `path` before it.
    fn read_object(&mut self, object: &Value, path: &str) -> Vec<SettingFault> {
        let Some(entries) = object.as_object() else {
            return vec![SettingFault::new(path, SettingProblem::wrong_type("an object", object))];
        };
        // Sorted here: the map's own order hangs on features of serde_json.
        let entries: BTreeMap<&String, &Value> = entries.iter().collect();
        let mut faults = Vec::new();
        for (name, value) in entries {
            if let Err(problem) = self.set(name, value) {
                let name = cut(name, SHOWN_CHARS);
                let dot = if path.is_empty() { "" } else { "." };
                faults.push(SettingFault::new(format!("{path}{dot}{name}"), problem));
            }
        }
        faults
    }

    /// A fault for each setting whose value fails its own check, as a default
    /// does that has to be replaced. Settings read were checked already.
    fn missing(&self) -> Vec<SettingFault> {
        let mut scratch = self.clone();
        Self::NAMES
            .iter()
            .filter(|n| self.get(n).is_none_or(|v| scratch.set(n, &v).is_err()))
            .map(|n| SettingFault::new(*n, SettingProblem::Missing))
            .collect()
    }

    /// Reads a whole object over the defaults.
    fn from_json(object: &Value) -> Result<Self, SettingFaults> {
        Self::load(Some(object), None)
    }

    /// Reads the settings file's object, then the command line over it, and lists
    /// every fault of both and every setting that is still missing.
    fn load(file: Option<&Value>, matches: Option<&Matches>) -> Result<Self, SettingFaults> {
        let mut settings = Self::default();
        let mut faults = file.map_or_else(Vec::new, |o| settings.read_object(o, ""));
        if let Some(Err(more)) = matches.map(|m| settings.apply_matches(m)) {
            faults.extend(more.faults);
        }
        // A setting that was given, but wrongly, is listed once.
        let listed: BTreeSet<String> = faults.iter().map(|f| f.path.trim_start_matches('-').replace('-', "_")).collect();
        faults.extend(settings.missing().into_iter().filter(|f| !listed.contains(&f.path)));
        SettingFaults::unless_none(faults, settings)
    }

    /// All values as one object.
    fn to_json(&self) -> Value {
        Self::NAMES.iter().filter_map(|n| Some(((*n).to_owned(), self.get(n)?))).collect()
    }

    /// Adds one long flag per setting.
    fn options(options: &mut Options) {
        for d in Self::describe() {
            let unit = if d.unit.is_empty() { d.type_name.clone() } else { d.unit.to_owned() };
            let help = format!("{} (default {})", d.help, d.default);
            if d.many {
                options.optmulti("", &d.flag(), &help, &unit);
            } else {
                options.optopt("", &d.flag(), &help, &unit);
            }
        }
    }

    /// Sets every setting whose flag was given; all faults at once.
    fn apply_matches(&mut self, matches: &Matches) -> Result<(), SettingFaults> {
        let mut faults = Vec::new();
        for name in Self::NAMES {
            let flag = name.replace('_', "-");
            if !matches.opt_defined(&flag) || !matches.opt_present(&flag) {
                continue;
            }
            let set = Self::words_to_json(name, &matches.opt_strs(&flag)).and_then(|value| self.set(name, &value));
            if let Err(problem) = set {
                faults.push(SettingFault::new(format!("--{flag}"), problem));
            }
        }
        SettingFaults::unless_none(faults, ())
    }
}
