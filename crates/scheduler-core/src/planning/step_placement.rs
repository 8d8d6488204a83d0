use crate::prelude::*;

/// A step whose tasks are to be placed, and what limits that.
#[derive(Clone, Copy, Debug)]
pub struct StepPlacement<'p> {
    /// The urgency in force.
    pub urgency: u8,
    /// Whether that urgency may use the reserve and stop lesser work.
    pub urgent: bool,
    /// Whether its job has waited for some time and nothing of it runs.
    pub pressing: bool,
    /// What its tasks have in common with those of other steps.
    pub group: &'p ReadyGroup,
    /// The step.
    pub id: StepId,
    /// Its job as stated.
    pub spec: &'p JobSpec,
    /// Its record.
    pub step: &'p Step,
    /// Workers that its tasks may use, room and trust aside.
    pub eligible: &'p EligibleWorkers<'p>,
    /// What workers are ranked by for its tasks.
    pub ranked: RankedTask,
}
