use crate::prelude::*;

/// Regions with their zones.
pub type Regions = BTreeMap<String, Vec<String>>;

/// The operators' first configuration of a deployment, as JSON.
///
/// ```
/// use caller_stand_in::{Profile, deployment_tree};
/// let tree = deployment_tree(Profile::Thaali, &Profile::Thaali.regions());
/// let holds = &tree["regions"]["gujarat"]["zones"]["z2"]["queues"]["table-holds"]["settings"];
/// assert_eq!(holds["urgency"], 8);
/// ```
pub fn deployment_tree(profile: Profile, regions: &Regions) -> Value {
    let queues = Value::Object(profile.queues());
    let zone = |z: &String| (z.clone(), json!({"settings": {}, "queues": queues}));
    let region = |(r, zones): (&String, &Vec<String>)| {
        let zones: Map<String, Value> = zones.iter().map(zone).collect();
        (r.clone(), json!({"settings": {}, "zones": zones}))
    };
    let regions: Map<String, Value> = regions.iter().map(region).collect();
    json!({"settings": {"kinds": ["old", "new"]}, "regions": regions})
}

impl Profile {
    /// The queues of each zone.
    fn queues(self) -> Map<String, Value> {
        let q = |name: &str, service: &str, urgency: u8, share: f64, cap: f64| {
            let settings =
                json!({"kinds": ["old", "new"], "services": [service], "urgency": urgency, "share": share, "cap_cpu_share": cap});
            (name.to_owned(), json!({"settings": settings}))
        };
        match self {
            Profile::Thaali => Map::from_iter([
                q("table-holds", "booking", 8, 4.0, 0.8),
                q("seating-plans", "booking", 3, 2.0, 0.6),
                q("menu-refreshes", "booking", 5, 1.0, 0.4),
            ]),
            Profile::Harwick => Map::from_iter([
                q("answer-submissions", "theory-tests", 8, 4.0, 0.8),
                q("result-batches", "theory-tests", 3, 2.0, 0.6),
                q("certificates", "theory-tests", 5, 1.0, 0.4),
            ]),
            Profile::Target => {
                let teams = self.streams(1).first().map_or(0, |s| s.queues);
                // Each fifth team is a larger one; none may hold more than a quarter of a zone.
                (0..teams).map(|i| q(&format!("team-{i:03}"), "teams", 4, if i % 5 == 0 { 3.0 } else { 1.0 }, 0.25)).collect()
            }
        }
    }
}
