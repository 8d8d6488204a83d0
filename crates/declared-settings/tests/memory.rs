//! The memory that a large tree takes, counted by the allocator: the same count in
//! every run.

use declared_settings::prelude::*;

struct Counting;

static HELD: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
static PEAK: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);

// SAFETY: every call goes to the system's allocator; only counts are kept beside.
unsafe impl std::alloc::GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: std::alloc::Layout) -> *mut u8 {
        let held = HELD.fetch_add(layout.size(), std::sync::atomic::Ordering::Relaxed) + layout.size();
        PEAK.fetch_max(held, std::sync::atomic::Ordering::Relaxed);
        unsafe { std::alloc::System.alloc(layout) }
    }
    unsafe fn dealloc(&self, memory: *mut u8, layout: std::alloc::Layout) {
        HELD.fetch_sub(layout.size(), std::sync::atomic::Ordering::Relaxed);
        unsafe { std::alloc::System.dealloc(memory, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

/// What `work` holds at its end and held at most, and what it gave.
fn measured<T>(work: impl FnOnce() -> T) -> (usize, usize, T) {
    let before = HELD.load(std::sync::atomic::Ordering::Relaxed);
    PEAK.store(before, std::sync::atomic::Ordering::Relaxed);
    let made = work();
    (HELD.load(std::sync::atomic::Ordering::Relaxed) - before, PEAK.load(std::sync::atomic::Ordering::Relaxed) - before, made)
}

const TREE_BYTES: usize = 5_000_000;

/// A tree of about 5 MB in 40 zones whose queues have the JSON that `queue` gives.
fn large(queue: impl Fn(usize) -> String) -> Vec<u8> {
    let each = queue(10_000).len() + "\"queue-10000\":,".len();
    let queues = TREE_BYTES / 40 / each;
    let zones: Vec<String> = (0..40)
        .map(|z| {
            let all: Vec<String> = (0..queues).map(|q| format!("\"queue-{q:05}\":{}", queue(z * queues + q))).collect();
            format!("\"zone-{z}\":{{\"queues\":{{{}}}}}", all.join(","))
        })
        .collect();
    format!("{{\"regions\":{{\"r\":{{\"zones\":{{{}}}}}}}}}", zones.join(",")).into_bytes()
}

/// Holds the tree and what is in force to small multiples of the JSON: `most` is
/// (tree held, tree peak, effective held, put peak), as ratios to its bytes.
fn hold(name: &str, json: &[u8], most: [f64; 4]) {
    let bounds = ConfigurationSettings { most_queues: 1_000_000, ..ConfigurationSettings::default() };
    let ratio = |bytes: usize| bytes as f64 / json.len() as f64;
    let (held, peak, tree) = measured(|| SettingsTree::parse_within(json, &bounds).unwrap());
    let (effective_held, _, effective) = measured(|| EffectiveTree::new(&tree));
    let (patch_held, patch_peak, patched) = measured(|| {
        let patch = json!([{"op": "add", "path": "/regions/r/zones/zone-7/queues/new", "value": {}}]);
        let patch: Patch = serde_json::from_value(patch).unwrap();
        apply_patch_within(&tree, &patch, &bounds).unwrap()
    });
    assert_eq!(patched.queues().count(), effective.iter().count() + 1);
    let mut history = ConfigurationHistory::new(bounds.clone());
    let (_, put_peak, put) = measured(|| history.put(0, "first", json));
    assert_eq!(put.unwrap().version, 1);
    let found = [held, peak, effective_held, put_peak].map(ratio);
    println!("{name}: a small patch holds {:.2}, peak {:.2}; a first put's peak {:.2}", ratio(patch_held), ratio(patch_peak), found[3],);
    println!(
        "{name}: {} bytes, {} queues; tree holds {:.2}, peak {:.2}; effective holds {:.2} of it",
        json.len(),
        effective.iter().count(),
        found[0],
        found[1],
        found[2],
    );
    assert!(found.iter().zip(most).all(|(f, m)| *f <= m), "{name}: {found:?}");
    assert!(ratio(patch_peak) <= 1.2, "{name}: a small patch copies little");
}

#[test]
fn a_large_tree_takes_a_small_multiple_of_its_json() {
    hold("no overrides", &large(|_| "{}".into()), [3.3, 3.3, 3.3, 4.6]);
    hold("ten blocks", &large(|q| format!("{{\"settings\":{{\"urgency\":{}}}}}", q % 10)), [1.5, 1.5, 1.5, 2.8]);
    let own = |q| format!("{{\"settings\":{{\"cap_tasks\":{q},\"urgency\":{},\"share\":{}.5}}}}", q % 10, q % 99);
    hold("all different", &large(own), [3.5, 4.8, 4.5, 4.8]);
}
