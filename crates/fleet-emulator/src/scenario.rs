use crate::prelude::*;

/// All scenarios, as data.
const SCENARIOS: &str = include_str!("scenarios.json");

/// A named schedule of faults with what must hold through it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: Name,
    /// What happens.
    pub what: String,
    /// What must hold.
    pub must_hold: String,
    /// Path of its own figure in the report.
    pub figure: String,
    /// Seconds of load, when not told otherwise.
    pub seconds: f64,
    /// Its faults; `{zone}` stands for the deployment's last zone.
    faults: Value,
}

impl Scenario {
    /// All of them.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// assert!(Scenario::all().unwrap().iter().any(|s| s.name == "leader-frozen"));
    /// ```
    pub fn all() -> FleetResult<Vec<Scenario>> {
        serde_json::from_str(SCENARIOS).context(JsonSnafu { path: "scenarios.json" })
    }

    /// The one of that name.
    pub fn named(name: &str) -> FleetResult<Scenario> {
        let all = Scenario::all()?;
        let known = all.iter().map(|s| s.name.as_str()).collect::<Vec<_>>().join(", ");
        all.into_iter().find(|s| s.name == name).context(UnknownScenarioSnafu { name, known })
    }

    /// Its faults in a deployment.
    pub fn schedule(&self, deployment: &Deployment) -> FleetResult<FaultSchedule> {
        let zone = deployment.zones().pop().map(|(z, _)| z).unwrap_or_default();
        FaultSchedule::from_json(&fill(&self.faults, &zone))
    }
}

/// Puts the zone's name in.
fn fill(v: &Value, zone: &str) -> Value {
    match v {
        Value::String(s) => Value::String(s.replace("{zone}", zone)),
        Value::Array(a) => a.iter().map(|v| fill(v, zone)).collect(),
        Value::Object(o) => o.iter().map(|(k, v)| (k.clone(), fill(v, zone))).collect(),
        other => other.clone(),
    }
}
