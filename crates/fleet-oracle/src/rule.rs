use crate::prelude::*;

/// Declares the rules: each variant with the name it is counted under.
macro_rules! rules {
    ($($(#[$doc:meta])* $variant:ident => $name:literal;)+) => {
        /// One thing that must never happen.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Rule { $($(#[$doc])* $variant,)+ }

        impl Rule {
            /// Every rule.
            pub const ALL: &'static [Rule] = &[$(Rule::$variant),+];

            /// The name it is counted under.
            ///
            /// ```
            /// use fleet_oracle::Rule;
            /// assert_eq!(Rule::RoomExceeded.name(), "room_exceeded");
            /// ```
            pub fn name(self) -> &'static str {
                match self { $(Rule::$variant => $name,)+ }
            }
        }
    };
}

rules! {
    /// An accepted job was shown, and later a read through the same gateway did not show it; or a resend of it was taken as new.
    JobDisappeared => "job_disappeared";
    /// A job shows a final state that nothing seen outside explains.
    JobFinalWithoutCause => "job_final_without_cause";
    /// A read well after the acceptance did not show the job.
    JobNotVisible => "job_not_visible";
    /// A task started while it ran.
    TaskRanTwiceAtOnce => "task_ran_twice_at_once";
    /// A task started after it had succeeded.
    TaskStartedAfterSuccess => "task_started_after_success";
    /// A task started before a step it waits for was done.
    StepBeforeDependency => "step_before_dependency";
    /// A task of a timed job started before its time.
    TimedJobEarly => "timed_job_early";
    /// A worker ran more than its room holds.
    RoomExceeded => "room_exceeded";
    /// A task started on a worker of another kind or service.
    WrongKindOrService => "wrong_kind_or_service";
    /// A task started after it had failed more often than allowed.
    RetriedPastAllowed => "retried_past_allowed";
    /// A task started on a worker well after its drain was acknowledged.
    StartOnDrainingWorker => "start_on_draining_worker";
    /// A task started in a zone well after its evacuation was acknowledged.
    StartInEvacuatedZone => "start_in_evacuated_zone";
    /// A task started well after its job's cancellation was acknowledged.
    StartAfterCancel => "start_after_cancel";
    /// A gang member ran on without all its partners having started.
    GangMemberAlone => "gang_member_alone";
    /// A reader saw an older version well after a newer one was acknowledged.
    ConfigurationLate => "configuration_late";
    /// Versions seen through one gateway went backwards, or an acknowledged version holds another tree.
    ConfigurationUndone => "configuration_undone";
    /// Two changes on one base were acknowledged.
    ConfigurationBothWon => "configuration_both_won";
    /// A resend of a change that had won was answered with an error.
    ConfigurationResendRefused => "configuration_resend_refused";
    /// Something acknowledged is gone at the end.
    AcknowledgedLost => "acknowledged_lost";
    /// No job was accepted for too long while jobs were sent.
    ServiceOutage => "service_outage";
}
