use crate::prelude::*;

/// States, what may happen in each, and where that leads.
///
/// ```
/// use serde::Deserialize;
/// use state_chart::Chart;
/// #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
/// #[serde(rename_all = "snake_case")]
/// enum Lamp { Off, On }
/// #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
/// #[serde(rename_all = "snake_case")]
/// enum Press { Button }
/// let chart: Chart<Lamp, Press> = Chart::parse(
///     r#"{"initial": "off", "transitions": [["off", "button", "on"], ["on", "button", "off"]]}"#,
/// ).unwrap();
/// assert_eq!(chart.next(chart.initial(), Press::Button), Some(Lamp::On));
/// ```
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    initial: S,
    next: BTreeMap<(S, E), S>,
}

/// A chart that can't be used.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// No JSON of the wanted shape, or a state or event that the code doesn't know.
    #[snafu(display("chart can't be read: {source}"))]
    Unreadable { source: serde_json::Error },
    /// One event leads from one state to two.
    #[snafu(display("transition {at} repeats the state and event of an earlier one"))]
    Repeated { at: usize },
}

/// The shape of the file.
#[derive(Deserialize)]
struct File<S, E> {
    initial: S,
    transitions: Vec<(S, E, S)>,
}

impl<S: Copy + Ord + DeserializeOwned, E: Copy + Ord + DeserializeOwned> Chart<S, E> {
    /// Reads a chart.
    pub fn parse(text: &str) -> Result<Self, ChartError> {
        let f: File<S, E> = serde_json::from_str(text).context(UnreadableSnafu)?;
        let mut next = BTreeMap::new();
        for (at, (from, on, to)) in f.transitions.into_iter().enumerate() {
            ensure!(next.insert((from, on), to).is_none(), RepeatedSnafu { at });
        }
        Ok(Chart { initial: f.initial, next })
    }

    /// Where things begin.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Where an event leads from a state; `None` when it means nothing there.
    pub fn next(&self, state: S, event: E) -> Option<S> {
        self.next.get(&(state, event)).copied()
    }
}
