//! Runs a property over values of bolero's generators from one fixed seed, so that
//! every run has the same verdict.

use declared_settings::prelude::*;

/// Calls `property` with `count` generated values.
pub fn for_each<T: bolero::TypeGenerator + fmt::Debug>(seed: u64, count: usize, property: impl Fn(&T)) {
    let options = bolero::generator::bolero_generator::driver::Options::default().with_max_len(1 << 20);
    let mut made = 0;
    for i in 0..count as u64 {
        let rng =
            <rand_chacha::ChaCha8Rng as rand_chacha::rand_core::SeedableRng>::seed_from_u64(seed.wrapping_mul(1 << 32).wrapping_add(i));
        if let Some(value) = T::generate(&mut bolero::generator::bolero_generator::driver::Rng::new(rng, &options)) {
            made += 1;
            property(&value);
        }
    }
    assert_eq!(made, count, "every seed makes a value");
}

/// One setting of a random tree; the bytes are cut down to few names, so that
/// levels meet.
#[derive(Debug, Clone, bolero::TypeGenerator)]
pub struct Step {
    level: u8,
    names: [u8; 3],
    setting: u8,
    value: u16,
}

/// A valid tree in JSON from random steps.
pub fn tree_json(steps: &[Step]) -> Value {
    let mut tree = json!({});
    for step in steps {
        let [r, z, q] = step.names.map(|b| b % 3);
        let mut tokens = Vec::new();
        let fields = [("regions", format!("r{r}")), ("zones", format!("z{r}-{z}")), ("queues", format!("q{q}"))];
        for (field, name) in fields.into_iter().take(usize::from(step.level % 4)) {
            tokens.extend([field.to_owned(), name]);
        }
        let v = u64::from(step.value);
        let (name, value) = match step.setting % 8 {
            0 => ("urgency", json!(v % 10)),
            1 => ("share", json!(f64::from(step.value) / 7.0 + 1e-3)),
            2 => ("enabled", json!(v % 2 == 0)),
            3 => ("kinds", json!((0..v % 4).map(|k| format!("k{k}")).collect::<Vec<_>>())),
            4 => ("cap_cpu_share", json!(f64::from(step.value) / 65535.0)),
            5 => ("cap_tasks", json!(v)),
            _ => ("", Value::Null),
        };
        if !name.is_empty() {
            tokens.extend(["settings".to_owned(), name.to_owned()]);
        }
        let mut at = &mut tree;
        for token in tokens {
            at = at.as_object_mut().unwrap().entry(token).or_insert_with(|| json!({}));
        }
        if !name.is_empty() {
            *at = value;
        }
    }
    tree
}
