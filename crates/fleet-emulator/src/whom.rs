use crate::prelude::*;

/// One description of nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Part {
    Leader,
    Followers(Option<usize>),
    Minority,
    Role(Role),
    Numbered(Role, usize),
    Workers(usize),
    Worker(Name),
    Zone(Name),
}

/// Whom a fault hits: `leader`, `followers`, `followers:2`, `minority` (as many followers as
/// leave the leader with them without a quorum; may be none), `schedulers`, `scheduler:1`, `gateways`, `gateway:2`,
/// `workers`, `workers:5` (any five), `worker:w07`, `zone:z1` (its daemons and workers), `callers`, `operators`;
/// several joined by `+`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whom {
    parts: Vec<Part>,
    text: String,
}

/// A description that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "{part:?} describes nobody; known: leader, followers[:N], minority, schedulers, scheduler:N, gateways, gateway:N, workers[:N], worker:NAME, zone:NAME, callers, operators, joined by +"
))]
pub struct WhomError {
    part: String,
}

impl FromStr for Whom {
    type Err = WhomError;

    /// ```
    /// use fleet_emulator::prelude::*;
    /// let w: Whom = "leader+followers:1".parse().unwrap();
    /// assert!(w.wants_leader());
    /// assert!("gateway:0".parse::<Whom>().is_err());
    /// ```
    fn from_str(s: &str) -> Result<Whom, WhomError> {
        let parts = s.split('+').map(|p| part(p).context(WhomSnafu { part: p })).collect::<Result<_, _>>()?;
        Ok(Whom { parts, text: s.to_owned() })
    }
}

/// Reads one description.
fn part(s: &str) -> Option<Part> {
    let (word, arg) = match s.split_once(':') {
        Some((w, a)) => (w, Some(a)),
        None => (s, None),
    };
    let number = || arg.and_then(|a| a.parse::<usize>().ok()).filter(|&n| n > 0);
    let name = || arg.filter(|a| !a.is_empty()).map(str::to_owned);
    match (word, arg) {
        ("leader", None) => Some(Part::Leader),
        ("followers", None) => Some(Part::Followers(None)),
        ("followers", _) => Some(Part::Followers(Some(number()?))),
        ("minority", None) => Some(Part::Minority),
        ("schedulers", None) => Some(Part::Role(Role::Scheduler)),
        ("scheduler", _) => Some(Part::Numbered(Role::Scheduler, number()?)),
        ("gateways", None) => Some(Part::Role(Role::Gateway)),
        ("gateway", _) => Some(Part::Numbered(Role::Gateway, number()?)),
        ("workers", None) => Some(Part::Role(Role::Worker)),
        ("workers", _) => Some(Part::Workers(number()?)),
        ("worker", _) => Some(Part::Worker(name()?)),
        ("zone", _) => Some(Part::Zone(name()?)),
        ("callers", None) => Some(Part::Role(Role::Caller)),
        ("operators", None) => Some(Part::Role(Role::Operator)),
        _ => None,
    }
}

impl fmt::Display for Whom {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Whom {
    /// Whether it can only be told with the leader known.
    pub fn wants_leader(&self) -> bool {
        self.parts.iter().any(|p| matches!(p, Part::Leader | Part::Followers(_) | Part::Minority))
    }

    /// The zones it names.
    pub fn zones(&self) -> Vec<Name> {
        let zone = |p: &Part| match p {
            Part::Zone(z) => Some(z.clone()),
            _ => None,
        };
        self.parts.iter().filter_map(zone).collect()
    }

    /// Who that is now; `leader` as known, `rng` where any will do.
    pub fn nodes(&self, layout: &Layout, leader: Option<NodeId>, rng: &mut impl Rng) -> Result<BTreeSet<NodeId>, FleetError> {
        let ids = |role| layout.of_role(role).map(|n| n.id).collect::<Vec<_>>();
        let mut all = BTreeSet::new();
        for p in &self.parts {
            let mut v: Vec<NodeId> = match p {
                Part::Leader => leader.into_iter().collect(),
                Part::Followers(n) => {
                    let mut v = ids(Role::Scheduler);
                    v.retain(|&id| leader.is_some_and(|l| l != id));
                    v.truncate(n.unwrap_or(usize::MAX));
                    v
                }
                Part::Minority => {
                    let mut v = ids(Role::Scheduler);
                    // With the leader: the largest number of voters that is no quorum.
                    let others = (v.len() - 1) / 2;
                    v.retain(|&id| leader.is_some_and(|l| l != id));
                    v.truncate(others.saturating_sub(1));
                    if v.is_empty() {
                        continue;
                    }
                    v
                }
                Part::Role(r) => ids(*r),
                Part::Numbered(r, n) => ids(*r).get(n - 1).copied().into_iter().collect(),
                Part::Workers(n) => {
                    let mut v = ids(Role::Worker);
                    v.shuffle(rng);
                    v.truncate(*n);
                    v
                }
                Part::Worker(name) => layout.by_name(name).filter(|n| n.role == Role::Worker).map(|n| n.id).into_iter().collect(),
                Part::Zone(z) => layout.nodes.iter().filter(|n| n.zone == *z).map(|n| n.id).collect(),
            };
            ensure!(!v.is_empty(), NobodyThereSnafu { whom: self.text.clone() });
            all.extend(v.drain(..));
        }
        Ok(all)
    }
}
