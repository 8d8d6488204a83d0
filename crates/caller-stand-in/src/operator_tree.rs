use crate::prelude::*;

/// The tree that operators last put in force, and the changes that they make to it.
#[derive(Clone, Debug)]
pub(crate) struct OperatorTree {
    in_force: Value,
    /// The deployment's first tree.
    first: Value,
    regions: Regions,
    /// Queues that changes have added so far, and may.
    added: u32,
    most_added: u32,
    /// Share of changes that take a queue out.
    queue_out_share: f64,
}

impl OperatorTree {
    /// The deployment's first tree.
    pub(crate) fn new(settings: &OperatorSettings) -> Self {
        let first = deployment_tree(settings.profile, &settings.regions);
        OperatorTree {
            in_force: first.clone(),
            first,
            regions: settings.regions.clone(),
            added: 0,
            most_added: settings.most_added_queues,
            queue_out_share: settings.queue_out_share,
        }
    }

    /// The tree itself.
    pub(crate) fn in_force(&self) -> &Value {
        &self.in_force
    }

    /// Another tree is in force.
    pub(crate) fn replace(&mut self, tree: Value) {
        self.in_force = tree;
    }

    /// The tree with the next change.
    pub(crate) fn next(&mut self, rng: &mut ChaCha8Rng) -> Value {
        self.with_a_queue_out_or_in(rng).unwrap_or_else(|| self.changed(rng))
    }

    /// The tree with one queue's urgency, share or cap changed, and perhaps a queue more.
    pub(crate) fn changed(&mut self, rng: &mut ChaCha8Rng) -> Value {
        let mut tree = self.in_force.clone();
        let more = self.added < self.most_added;
        if let Some(queues) = Self::some_queues(rng, &self.regions, &mut tree) {
            let names: Vec<String> = queues.keys().cloned().collect();
            if let Some(name) = names.choose(rng) {
                let (what, value) = match rng.random_range(0..3) {
                    0 => ("urgency", json!(rng.random_range(1..=9))),
                    1 => ("share", json!(f64::from(rng.random_range(1..=32)) / 4.0)),
                    _ => ("cap_cpu_share", json!(f64::from(rng.random_range(10..=50)) / 50.0)),
                };
                if let Some(q) = queues.get_mut(name) {
                    q["settings"][what] = value;
                }
            }
            if more {
                self.added += 1;
                queues.insert(format!("added-{:05}", self.added), json!({"settings": {"share": 0.5}}));
            }
        }
        tree
    }

    /// The tree with several faults.
    pub(crate) fn spoilt(&self, rng: &mut ChaCha8Rng) -> Value {
        let mut tree = self.in_force.clone();
        if let Some(queues) = Self::some_queues(rng, &self.regions, &mut tree) {
            queues.insert("spoilt".to_owned(), json!({"settings": {"urgency": 42, "share": -1.0, "no_such_setting": true}}));
        }
        tree
    }

    /// The tree with a queue of the first tree taken out of all zones, or with the one that is out put in again. `None` where the operators
    /// don't do that, or not with this change.
    fn with_a_queue_out_or_in(&self, rng: &mut ChaCha8Rng) -> Option<Value> {
        if self.queue_out_share == 0.0 {
            return None;
        }
        let whole = self.with_all_queues()?;
        if whole != self.in_force {
            return Some(whole);
        }
        let (region, zone) = zones_of(&self.regions).next()?;
        let names: Vec<&String> = self.first["regions"][region]["zones"][zone]["queues"].as_object()?.keys().collect();
        let name = names.choose(rng).filter(|_| rng.random_bool(self.queue_out_share))?;
        let mut tree = whole;
        for (region, zone) in zones_of(&self.regions) {
            queues_of(&mut tree, region, zone)?.remove(*name);
        }
        Some(tree)
    }

    /// The tree with all queues of the first one; those that were out have their first settings.
    fn with_all_queues(&self) -> Option<Value> {
        let mut tree = self.in_force.clone();
        for (region, zone) in zones_of(&self.regions) {
            let queues = queues_of(&mut tree, region, zone)?;
            for (name, settings) in self.first["regions"][region]["zones"][zone]["queues"].as_object()? {
                queues.entry(name).or_insert_with(|| settings.clone());
            }
        }
        Some(tree)
    }

    /// Some zone's queues within a tree.
    fn some_queues<'t>(rng: &mut ChaCha8Rng, regions: &Regions, tree: &'t mut Value) -> Option<&'t mut Map<String, Value>> {
        let all: Vec<(&str, &str)> = zones_of(regions).collect();
        let (region, zone) = all.choose(rng)?;
        queues_of(tree, region, zone)
    }
}

/// All zones, each with its region.
fn zones_of(regions: &Regions) -> impl Iterator<Item = (&str, &str)> {
    regions.iter().flat_map(|(region, zones)| zones.iter().map(move |zone| (region.as_str(), zone.as_str())))
}

/// The queues of a zone within a tree.
fn queues_of<'t>(tree: &'t mut Value, region: &str, zone: &str) -> Option<&'t mut Map<String, Value>> {
    tree["regions"][region]["zones"][zone]["queues"].as_object_mut()
}
