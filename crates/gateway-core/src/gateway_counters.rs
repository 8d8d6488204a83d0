/// Declares the counters with their names on the metrics page.
macro_rules! counters {
    ($($(#[$doc:meta])+ $name:ident;)+) => {
        /// What a gateway has done since it started.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct GatewayCounters { $( $(#[$doc])+ pub $name: u64, )+ }

        impl GatewayCounters {
            /// Hands each counter's name and value on.
            ///
            /// ```
            /// use gateway_core::GatewayCounters;
            /// let c = GatewayCounters { starts_sent: 4, ..Default::default() };
            /// let mut sum = 0;
            /// c.each(|_, n| sum += n);
            /// assert_eq!(sum, 4);
            /// ```
            pub fn each(&self, mut f: impl FnMut(&'static str, u64)) {
                $( f(concat!("gateway_", stringify!($name), "_total"), self.$name); )+
            }
        }
    };
}

counters! {
    /// Asks taken.
    asks;
    /// Asks shed over a limit.
    asks_shed;
    /// Asks given up without a leader.
    asks_without_leader;
    /// Asks whose time budget was spent.
    asks_spent;
    /// Asks asked again after a channel broke.
    asks_repeated;
    /// Attaches that a scheduler took.
    attaches;
    /// Channels dropped for silence.
    channels_silent;
    /// Starts sent.
    starts_sent;
    /// Starts dropped unsent.
    starts_dropped;
    /// Starts whose answer was lost.
    starts_unknown;
    /// Stops sent.
    stops_sent;
    /// Gang members stopped without a scheduler's word.
    gangs_broken;
    /// Holds sent.
    holds_sent;
    /// Holds without an answer.
    hold_errors;
    /// Hold answers that were older than what is known.
    holds_crossed;
    /// Lists of ends that were cut, so that nothing follows from what they lack.
    lists_cut;
    /// Attempts found missing.
    attempts_missing;
    /// Leases of silent workers that lapsed.
    leases_lapsed;
    /// Lives of workers that were found over.
    lives_over;
    /// Starts that provably came too late to be carried out.
    starts_late;
    /// Attempts found standing still.
    attempts_stalled;
    /// Reports of facts sent, repeats included.
    reports_sent;
    /// Reports of facts told again after an attach.
    reports_repeated;
    /// Configuration patches that did not fit.
    configurations_unfit;
}
