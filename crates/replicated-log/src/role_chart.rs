use crate::prelude::*;

/// The chart as data.
const CHART_JSON: &str = include_str!("role.chart.json");

/// The embedded chart, read once.
static EMBEDDED: LazyLock<RoleChart> = LazyLock::new(|| match serde_json::from_str(CHART_JSON) {
    Ok(chart) => chart,
    Err(error) => unreachable!("role.chart.json: {error}"),
});

/// Which roles follow which.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct RoleChart {
    /// Role of a replica that knows nothing.
    pub initial: Role,
    /// For each role, the next role by event.
    pub states: BTreeMap<Role, BTreeMap<RoleEvent, Role>>,
}

impl RoleChart {
    /// The chart of `role.chart.json`.
    pub fn embedded() -> &'static Self {
        &EMBEDDED
    }

    /// The next role, or none when the event is illegal there.
    ///
    /// ```
    /// use replicated_log::prelude::*;
    /// let chart = RoleChart::embedded();
    /// assert_eq!(chart.next(Role::Candidate, RoleEvent::VoteWon), Some(Role::Leader));
    /// assert_eq!(chart.next(Role::Follower, RoleEvent::VoteWon), None);
    /// ```
    pub fn next(&self, role: Role, event: RoleEvent) -> Option<Role> {
        self.states.get(&role)?.get(&event).copied()
    }
}
