use crate::prelude::*;

/// One figure on both sides: mean, least and most over the seeds.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Its path in the reports.
    pub path: String,
    /// The first side; none when no report has it.
    pub a: Option<Spread>,
    /// The second side.
    pub b: Option<Spread>,
}

/// Mean and spread over the reports of one side.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Spread {
    /// Reports that have it.
    pub count: u64,
    /// The mean.
    pub mean: f64,
    /// The least.
    pub least: f64,
    /// The most.
    pub most: f64,
}

impl Spread {
    fn of(v: &[f64]) -> Option<Spread> {
        let count = v.len() as u64;
        let fold = |f: fn(f64, f64) -> f64| v.iter().copied().reduce(f);
        Some(Spread { count, mean: fold(|a, b| a + b)? / count as f64, least: fold(f64::min)?, most: fold(f64::max)? })
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.count {
            1 => write!(f, "{:.3}", self.mean),
            _ => write!(f, "{:.3} [{:.3} {:.3}]", self.mean, self.least, self.most),
        }
    }
}

impl Comparison {
    /// The second side's mean by the first's; none where there is no first.
    pub fn ratio(&self) -> Option<f64> {
        match (self.a, self.b) {
            (Some(a), Some(b)) if a.mean != 0.0 => Some(b.mean / a.mean),
            _ => None,
        }
    }

    /// Whether all reports of one side lie beyond all of the other; one report alone tells nothing of that.
    pub fn is_apart(&self) -> bool {
        matches!((self.a, self.b), (Some(a), Some(b)) if a.count.min(b.count) > 1 && (a.most < b.least || b.most < a.least))
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |s: Option<Spread>| s.map_or("-".to_owned(), |s| s.to_string());
        let ratio = self.ratio().map_or("-".to_owned(), |r| format!("x{r:.2}"));
        write!(f, "{:<44} {:>34} {:>34} {:>8} {}", self.path, text(self.a), text(self.b), ratio, if self.is_apart() { "apart" } else { "" })
    }
}

/// Collects every number with its path; single daemons are left to their totals.
fn numbers(path: &str, v: &Value, into: &mut BTreeMap<String, Vec<f64>>) {
    match v {
        Value::Number(n) => into.entry(path.to_owned()).or_default().extend(n.as_f64()),
        Value::Object(o) => {
            for (k, v) in o.iter().filter(|(k, _)| !path.is_empty() || !matches!(k.as_str(), "daemons" | "seed")) {
                numbers(&if path.is_empty() { k.clone() } else { format!("{path}.{k}") }, v, into);
            }
        }
        _ => {}
    }
}

/// Puts two lists of reports side by side, figure by figure.
///
/// ```
/// use fleet_emulator::prelude::*;
/// let side = |a: u64, b: u64| [json!({"outage_ms": a}), json!({"outage_ms": b})];
/// let c = compare(&side(10, 20), &side(29, 31));
/// assert_eq!((c[0].path.as_str(), c[0].ratio(), c[0].is_apart()), ("outage_ms", Some(2.0), true));
/// ```
pub fn compare(a: &[Value], b: &[Value]) -> Vec<Comparison> {
    let side = |v: &[Value]| {
        let mut m = BTreeMap::new();
        v.iter().for_each(|r| numbers("", r, &mut m));
        m
    };
    let (a, b) = (side(a), side(b));
    let paths: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
    let spread = |m: &BTreeMap<String, Vec<f64>>, p: &String| m.get(p).and_then(|v| Spread::of(v));
    paths.into_iter().map(|p| Comparison { path: p.clone(), a: spread(&a, p), b: spread(&b, p) }).collect()
}
