use crate::prelude::*;

/// Declares the switches together with the names that operators know them by.
macro_rules! declare_policies {
    ($($(#[$doc:meta])* $field:ident = $name:literal;)*) => {
        /// Which policies placement follows. All are on unless switched off by name, for experiments and tests.
        ///
        /// ```
        /// use scheduler_core::PlacementPolicies;
        /// let policies = PlacementPolicies::without(&["preemption".to_owned()]).unwrap();
        /// assert!(!policies.preemption && policies.gang_reservation);
        /// let unknown = PlacementPolicies::without(&["magic".to_owned()]).unwrap_err();
        /// assert!(unknown.to_string().contains("magic"));
        /// ```
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct PlacementPolicies {
            $($(#[$doc])* pub $field: bool,)*
        }

        impl Default for PlacementPolicies {
            fn default() -> Self {
                PlacementPolicies { $($field: true,)* }
            }
        }

        impl PlacementPolicies {
            /// The names of all policies.
            pub const NAMES: &'static [&'static str] = &[$($name,)*];

            /// All policies but those named.
            ///
            /// # Errors
            /// The first name that is no policy's.
            pub fn without(off: &[String]) -> Result<Self, UnknownPolicy> {
                let mut policies = Self::default();
                for name in off {
                    match name.as_str() {
                        $($name => policies.$field = false,)*
                        _ => return UnknownPolicySnafu { name }.fail(),
                    }
                }
                Ok(policies)
            }
        }
    };
}

declare_policies! {
    /// Workers are ranked by lifetime bands; else by best fit alone.
    lifetime_bands = "lifetime-bands";
    /// Room that wide tasks need is left whole while there is other room.
    wide_shapes = "wide-shapes";
    /// Room is set aside for gangs that fit nowhere.
    gang_reservation = "gang-reservation";
    /// Lesser work leaves workers alone that waiting gangs need.
    gang_claims = "gang-claims";
    /// Urgent tasks take the room of lesser ones.
    preemption = "preemption";
    /// Urgent tasks wait a little for room near their data.
    rack_wait = "rack-wait";
    /// Lesser work leaves some room on each worker while there is another.
    spared_room = "spared-room";
    /// Slow and doubted workers come last.
    sound_first = "sound-first";
    /// The queue that uses least for its share goes first among those of one urgency.
    fair_shares = "fair-shares";
    /// The reserve of each zone for urgent work holds GPUs as well.
    reserve_gpus = "reserve-gpus";
}

/// A name that is no policy's.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("there is no placement policy {name}; there are {}", PlacementPolicies::NAMES.join(", ")))]
pub struct UnknownPolicy {
    /// The name.
    pub name: String,
}
