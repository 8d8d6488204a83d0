//! Properties over generated input, from fixed seeds.

use declared_settings::prelude::*;

mod seeded;

/// What has to hold for any bytes: no panic, and what is valid is stable.
fn read_any(bytes: &[u8]) -> bool {
    match SettingsTree::parse(bytes) {
        Err(faults) => {
            assert!(!faults.faults.is_empty());
            assert!(!faults.to_string().is_empty() && json!(faults).is_object());
            false
        }
        Ok(tree) => {
            let canonical = tree.canonical_json();
            let again = SettingsTree::parse(&canonical).unwrap();
            assert_eq!((again.digest(), &again), (tree.digest(), &tree));
            assert_eq!(again.canonical_json(), canonical);
            true
        }
    }
}

#[test]
fn random_bytes_never_panic() {
    seeded::for_each(1, 5_000, |bytes: &Vec<u8>| {
        read_any(bytes);
    });
}

/// Pieces of JSON, so that random strings of them come near to trees.
const PIECES: [&str; 24] = [
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\"settings\"",
    "\"regions\"",
    "\"zones\"",
    "\"queues\"",
    "\"urgency\"",
    "\"kinds\"",
    "\"r\"",
    "\"\\ud800\"",
    "\"\\u0061\"",
    "1",
    "-1",
    "1.5",
    "1e999",
    "null",
    "true",
    "\"A b\"",
    "\"settings\":{",
    "\"regions\":{\"r\":{",
];

#[test]
fn random_pieces_never_panic() {
    let valid = std::cell::Cell::new(0);
    seeded::for_each(2, 20_000, |indexes: &Vec<u8>| {
        let text: String = indexes.iter().map(|p| PIECES[usize::from(*p) % PIECES.len()]).collect();
        read_any(text.as_bytes());
        valid.set(valid.get() + usize::from(read_any(format!("{{{text}}}").as_bytes())));
    });
    assert!(valid.get() > 0);
}

#[test]
fn valid_trees_round_trip_and_broken_ones_never_panic() {
    seeded::for_each(3, 1_000, |(steps, breaks): &(Vec<seeded::Step>, Vec<(u16, u8)>)| {
        let mut bytes = seeded::tree_json(steps).to_string().into_bytes();
        assert!(read_any(&bytes));
        for (place, byte) in breaks {
            let place = usize::from(*place) % bytes.len();
            bytes[place] = *byte;
            read_any(&bytes);
        }
    });
}

#[test]
fn a_diff_leads_from_one_tree_to_the_other() {
    let differ = std::cell::Cell::new(0);
    seeded::for_each(4, 1_000, |(a, b, shared): &(Vec<seeded::Step>, Vec<seeded::Step>, Vec<seeded::Step>)| {
        let tree = |own: &[seeded::Step]| SettingsTree::from_value(&seeded::tree_json(&[shared, own].concat())).unwrap();
        let (a, b) = (tree(a), tree(b));
        let patch = diff(&a, &b);
        let text = json!(patch).to_string();
        let written = patch_text(&a, &b, usize::MAX).unwrap();
        assert_eq!(serde_json::from_str::<Value>(&written).unwrap(), json!(patch));
        let patch: Patch = serde_json::from_str(&text).unwrap();
        let led = apply_patch(&a, &patch).unwrap();
        assert_eq!((led.digest(), &led), (b.digest(), &b));
        assert_eq!(patch.is_empty(), a == b);
        assert_eq!(plan(&a, &b).is_empty(), a == b);
        differ.set(differ.get() + usize::from(a != b));
    });
    assert!(differ.get() > 500, "{}", differ.get());
}

#[test]
fn a_plan_of_single_changes_counts_the_queues_that_alter() {
    seeded::for_each(5, 500, |(steps, step): &(Vec<seeded::Step>, seeded::Step)| {
        let a = SettingsTree::from_value(&seeded::tree_json(steps)).unwrap();
        let more = [&steps[..], std::slice::from_ref(step)].concat();
        let b = SettingsTree::from_value(&seeded::tree_json(&more)).unwrap();
        let planned: usize = plan(&a, &b).iter().map(|p| p.effective_changes).sum();
        let mut places: BTreeSet<_> = a.queues().collect();
        places.extend(b.queues());
        let alter = places
            .iter()
            .filter(|(r, z, q)| {
                let settings = |t: &SettingsTree| t.effective(r, z, q).map(|e| e.settings);
                settings(&a) != settings(&b)
            })
            .count();
        assert_eq!(planned, alter);
    });
}

#[test]
fn the_worked_out_tree_agrees_with_the_levels() {
    seeded::for_each(6, 300, |steps: &Vec<seeded::Step>| {
        let tree = SettingsTree::from_value(&seeded::tree_json(steps)).unwrap();
        let effective = EffectiveTree::new(&tree);
        assert_eq!(effective.iter().count(), tree.queues().count());
        for (region, zone, queue) in tree.queues() {
            assert_eq!(effective.get(zone, queue).map(|e| (**e).clone()), tree.effective(region, zone, queue));
            assert_eq!(&*effective.zone(zone).unwrap().region, region);
        }
    });
}

/// Any order of puts against a plain model: a list of applied (id, tree) pairs.
#[test]
fn puts_agree_with_a_plain_model() {
    seeded::for_each(7, 300, |puts: &Vec<(u8, u8, u8)>| {
        let mut history = ConfigurationHistory::default();
        let mut model: Vec<(u8, u8)> = Vec::new();
        for (back, id, content) in puts {
            let (back, id, content) = (back % 3, id % 16, content % 8);
            let current = model.len() as u64;
            let base = current.saturating_sub(u64::from(back));
            let json = json!({"settings": {"urgency": content}}).to_string();
            let got = history.put(base, &format!("c{id}"), json.as_bytes());
            let known = model.iter().position(|(i, _)| *i == id);
            match known {
                Some(at) if model[at].1 == content => {
                    let got = got.unwrap();
                    assert_eq!((got.version, got.already_applied), (at as u64 + 1, true));
                }
                Some(_) => assert!(matches!(got, Err(PutError::ChangeIdReused { .. }))),
                None if base != current => {
                    assert_eq!(got, Err(PutError::RacedBase { current, base }));
                }
                None => {
                    model.push((id, content));
                    let got = got.unwrap();
                    assert_eq!((got.version, got.already_applied), (current + 1, false));
                }
            }
            let in_force = history.tree().overrides().get("urgency").cloned();
            assert_eq!(in_force, model.last().map(|(_, c)| json!(c)));
        }
        let back = ConfigurationHistory::decode(&history.encode(), history.bounds().clone());
        assert_eq!(back, Ok(history));
    });
}

/// The random bytes of one patch operation.
type Draw = ([u8; 6], u8);

/// A patch operation in JSON from random bytes, mostly one that fits.
fn operation(([op, depth, r, z, q, kind], value): Draw) -> Value {
    let (r, z, q) = (r % 3, z % 3, q % 3);
    // A zone now and then under a foreign region's name, to meet double names.
    let home = if kind.is_multiple_of(5) { (r + 1) % 3 } else { r };
    let parts = ["regions".to_owned(), format!("r{r}"), "zones".into(), format!("z{home}-{z}"), "queues".into(), format!("q{q}")];
    let mut path: Vec<String> = parts[..usize::from(depth) % 7].to_vec();
    let (of_setting, of_block) = (json!(value % 12), json!({"urgency": value % 12}));
    let content = match kind % 3 {
        0 => of_block,
        1 => {
            path.extend(["settings".into(), "urgency".into()]);
            of_setting
        }
        _ => json!({}),
    };
    if kind % 3 == 0 {
        path.push("settings".into());
    }
    let path: String = path.iter().map(|t| format!("/{t}")).collect();
    let from = format!("/regions/r{}", value % 3);
    match op % 16 {
        0 => json!({"op": "move", "from": from, "path": path}),
        1 => json!({"op": "copy", "from": from, "path": path}),
        2 | 3 => json!({"op": "test", "path": path, "value": content}),
        4..8 => json!({"op": "remove", "path": path}),
        8..10 => json!({"op": "replace", "path": path, "value": content}),
        _ => json!({"op": "add", "path": path, "value": content}),
    }
}

#[test]
fn a_patch_on_parts_is_the_patch_on_the_whole() {
    let (fit, unfit, invalid) = Default::default();
    let count = |of: &std::cell::Cell<u32>| of.set(of.get() + 1);
    seeded::for_each(8, 4_000, |(steps, first, more): &(Vec<seeded::Step>, Draw, Option<Draw>)| {
        let tree = SettingsTree::from_value(&seeded::tree_json(steps)).unwrap();
        let operations = [Some(*first), *more].into_iter().flatten();
        let patch: Value = operations.map(operation).collect();
        let patch: Patch = serde_json::from_value(patch).unwrap();
        let mut value = tree.to_value();
        // Not `json_patch::patch`, whose undoing panics on some moves.
        let whole = json_patch::patch_unsafe(&mut value, &patch).map(|()| SettingsTree::from_value(&value));
        match (apply_patch(&tree, &patch), whole) {
            (Ok(parts), Ok(Ok(whole))) => {
                assert_eq!((parts.digest(), &parts), (whole.digest(), &whole));
                count(&fit);
            }
            (Err(PatchFault::Invalid { faults }), Ok(Err(whole))) => {
                assert_eq!(faults, whole);
                count(&invalid);
            }
            (Err(PatchFault::Unfit { operation, .. }), Err(whole)) => {
                assert_eq!(operation, whole.operation);
                count(&unfit);
            }
            (parts, whole) => panic!("{patch:?}: {parts:?} is not {whole:?}"),
        }
    });
    let counts = [fit, unfit, invalid].map(|c| c.get());
    assert!(counts.iter().all(|c| *c > 100), "{counts:?}");
}
