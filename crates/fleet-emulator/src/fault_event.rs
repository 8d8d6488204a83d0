use crate::prelude::*;

/// What a fault does.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// SIGKILL; started again after `for_s`, if given.
    Kill,
    /// SIGSTOP; SIGCONT after `for_s`, if given. Workers stand still by their own doing.
    Freeze,
    /// SIGCONT.
    Wake,
    /// SIGTERM (SIGKILL if that isn't heard) and started again at once, one after the other.
    Restart,
    /// SIGHUP: settings are read again.
    Hup,
    /// Starts what is dead.
    Start,
    /// No byte to or from the others, whoever they are.
    Cut,
    /// No byte in one direction: away from whom it hits, or towards.
    CutOneWay {
        /// True: what is sent to whom it hits is lost; false: what these send.
        inwards: bool,
    },
    /// Later and thinner.
    SlowLink {
        /// Each way.
        delay_ms: u64,
        /// Each way and link; 0: no limit.
        bytes_per_s: u64,
    },
    /// All its channels are reset.
    ResetLinks,
    /// All link faults end.
    Heal,
    /// SIGKILL, its data folder emptied, started again after `for_s` (0 when absent).
    WipeDisk,
    /// SIGKILL of all schedulers at once, started again after `for_s` (0 when absent).
    KillAllSchedulers,
    /// Forgets all it ran and comes back with a new boot id.
    ColdWorker,
    /// Announces a drain; takes work again after `for_s`, if given.
    DrainWorker,
    /// A worker behaves otherwise; as before after `for_s`, if given.
    Behaviour {
        /// As the stand-in workers name it.
        behaviour: Value,
    },
    /// Evacuates the zones it names; used again after `for_s`, if given.
    Evacuate,
    /// The callers' rate is multiplied; as before after `for_s`, if given.
    Rate {
        /// By this.
        factor: f64,
    },
    /// Two operators put unlike trees on one version at once, each is sent again after its answer.
    ConfigRace {
        /// So many times.
        rounds: u64,
    },
}

impl FaultKind {
    /// Every word of `what`.
    pub const WORDS: [&'static str; 19] = [
        "kill",
        "freeze",
        "wake",
        "restart",
        "hup",
        "start",
        "cut",
        "cut_one_way",
        "slow_link",
        "reset_links",
        "heal",
        "wipe_disk",
        "kill_all_schedulers",
        "cold_worker",
        "drain_worker",
        "behaviour",
        "evacuate",
        "rate",
        "config_race",
    ];

    /// Whether it is planned work: what a daemon has taken up is finished beside it.
    pub fn is_planned(&self) -> bool {
        matches!(self, FaultKind::Restart | FaultKind::Hup | FaultKind::ConfigRace { .. } | FaultKind::DrainWorker | FaultKind::Evacuate)
    }

    /// Its word.
    pub fn word(&self) -> &'static str {
        match self {
            FaultKind::Kill => "kill",
            FaultKind::Freeze => "freeze",
            FaultKind::Wake => "wake",
            FaultKind::Restart => "restart",
            FaultKind::Hup => "hup",
            FaultKind::Start => "start",
            FaultKind::Cut => "cut",
            FaultKind::CutOneWay { .. } => "cut_one_way",
            FaultKind::SlowLink { .. } => "slow_link",
            FaultKind::ResetLinks => "reset_links",
            FaultKind::Heal => "heal",
            FaultKind::WipeDisk => "wipe_disk",
            FaultKind::KillAllSchedulers => "kill_all_schedulers",
            FaultKind::ColdWorker => "cold_worker",
            FaultKind::DrainWorker => "drain_worker",
            FaultKind::Behaviour { .. } => "behaviour",
            FaultKind::Evacuate => "evacuate",
            FaultKind::Rate { .. } => "rate",
            FaultKind::ConfigRace { .. } => "config_race",
        }
    }
}

/// One fault of a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultEvent {
    /// Seconds after the load began.
    pub at_s: f64,
    /// What it does.
    pub kind: FaultKind,
    /// Whom it hits; none where the kind says so by itself.
    pub whom: Option<Whom>,
    /// The other side of a link fault; everybody else when absent.
    pub others: Option<Whom>,
    /// How long, where it ends by itself.
    pub for_s: Option<f64>,
}

impl FaultEvent {
    /// When the last of it is over, in seconds after the load began.
    pub fn ends_s(&self) -> f64 {
        self.at_s + self.for_s.unwrap_or(0.0)
    }
}

impl fmt::Display for FaultEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind.word())?;
        if let Some(w) = &self.whom {
            write!(f, " {w}")?;
        }
        if let Some(o) = &self.others {
            write!(f, " towards {o}")?;
        }
        if let Some(s) = self.for_s {
            write!(f, " for {s} s")?;
        }
        Ok(())
    }
}
