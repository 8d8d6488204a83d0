use crate::prelude::*;

/// Faults in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule {
    /// The faults.
    pub events: Vec<FaultEvent>,
}

/// Reads one object and notes what is wrong with it.
struct Reader<'a> {
    object: &'a Map<String, Value>,
    path: String,
    known: BTreeSet<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    fn fault(&mut self, field: &str, problem: impl Into<String>) {
        self.faults.push(Fault::new(format!("{}.{field}", self.path), problem));
    }

    fn get(&mut self, field: &'static str) -> Option<&Value> {
        self.known.insert(field);
        self.object.get(field)
    }

    /// A number from 0 upwards; none when absent or noted as wrong.
    fn number(&mut self, field: &'static str) -> Option<f64> {
        let v = self.get(field)?.as_f64().filter(|n| n.is_finite() && *n >= 0.0);
        if v.is_none() {
            self.fault(field, "wants a number from 0 upwards");
        }
        v
    }

    /// A whole number from 0 upwards.
    fn whole(&mut self, field: &'static str) -> Option<u64> {
        let v = self.get(field)?.as_u64();
        if v.is_none() {
            self.fault(field, "wants a whole number from 0 upwards");
        }
        v
    }

    fn whom(&mut self, field: &'static str) -> Option<Whom> {
        let text = self.get(field)?.as_str().map(str::to_owned);
        match text.as_deref().map(Whom::from_str) {
            Some(Ok(w)) => Some(w),
            Some(Err(e)) => {
                self.fault(field, e.to_string());
                None
            }
            None => {
                self.fault(field, "wants text");
                None
            }
        }
    }

    fn kind(&mut self) -> Option<FaultKind> {
        let Some(word) = self.get("what").and_then(Value::as_str).map(str::to_owned) else {
            self.fault("what", "wants the word of a fault");
            return None;
        };
        Some(match word.as_str() {
            "kill" => FaultKind::Kill,
            "freeze" => FaultKind::Freeze,
            "wake" => FaultKind::Wake,
            "restart" => FaultKind::Restart,
            "hup" => FaultKind::Hup,
            "start" => FaultKind::Start,
            "cut" => FaultKind::Cut,
            "cut_one_way" => match self.get("way").map_or(Some("out"), Value::as_str) {
                Some("out") => FaultKind::CutOneWay { inwards: false },
                Some("in") => FaultKind::CutOneWay { inwards: true },
                _ => {
                    self.fault("way", "wants \"in\" or \"out\"");
                    return None;
                }
            },
            "slow_link" => {
                let (delay_ms, bytes_per_s) = (self.whole("delay_ms").unwrap_or(0), self.whole("bytes_per_s").unwrap_or(0));
                if delay_ms == 0 && bytes_per_s == 0 {
                    self.fault("delay_ms", "slow_link wants delay_ms or bytes_per_s above 0");
                }
                FaultKind::SlowLink { delay_ms, bytes_per_s }
            }
            "reset_links" => FaultKind::ResetLinks,
            "heal" => FaultKind::Heal,
            "wipe_disk" => FaultKind::WipeDisk,
            "kill_all_schedulers" => FaultKind::KillAllSchedulers,
            "cold_worker" => FaultKind::ColdWorker,
            "drain_worker" => FaultKind::DrainWorker,
            "behaviour" => {
                let behaviour = self.get("behaviour").cloned().unwrap_or(Value::Null);
                if let Err(e) = Behaviour::deserialize(&behaviour) {
                    self.fault("behaviour", e.to_string());
                }
                FaultKind::Behaviour { behaviour }
            }
            "evacuate" => FaultKind::Evacuate,
            "rate" => match self.number("rate") {
                Some(factor) => FaultKind::Rate { factor },
                None => {
                    if !self.object.contains_key("rate") {
                        self.fault("rate", "is wanted");
                    }
                    return None;
                }
            },
            "config_race" => FaultKind::ConfigRace { rounds: self.whole("rounds").unwrap_or(1) },
            _ => {
                self.fault("what", format!("no fault named {word:?}; known: {}", FaultKind::WORDS.join(", ")));
                return None;
            }
        })
    }

    fn event(&mut self) -> Option<FaultEvent> {
        let at_s = self.number("at_s");
        if !self.object.contains_key("at_s") {
            self.fault("at_s", "is wanted");
        }
        let kind = self.kind();
        let (whom, others, for_s) = (self.whom("whom"), self.whom("others"), self.number("for_s"));
        if let Some(k) = &kind {
            self.check_whom(k, whom.as_ref());
        }
        let unknown: Vec<String> = self.object.keys().filter(|k| !self.known.contains(k.as_str())).cloned().collect();
        for k in unknown {
            self.fault(&k, "no field of this name here");
        }
        Some(FaultEvent { at_s: at_s?, kind: kind?, whom, others, for_s })
    }

    fn check_whom(&mut self, kind: &FaultKind, whom: Option<&Whom>) {
        let nobody = matches!(kind, FaultKind::Heal | FaultKind::KillAllSchedulers | FaultKind::Rate { .. } | FaultKind::ConfigRace { .. });
        let given = self.object.contains_key("whom");
        if nobody == given {
            self.fault("whom", if nobody { "has no meaning here" } else { "is wanted" });
        }
        if matches!(kind, FaultKind::Evacuate) && whom.is_some_and(|w| w.zones().is_empty()) {
            self.fault("whom", "evacuate wants zone:NAME");
        }
        let links = matches!(kind, FaultKind::Cut | FaultKind::CutOneWay { .. } | FaultKind::SlowLink { .. } | FaultKind::ResetLinks);
        if !links && self.object.contains_key("others") {
            self.fault("others", "has a meaning for faults of links only");
        }
    }
}

impl FaultSchedule {
    /// Reads a schedule; all that is wrong with it is told, each with its path.
    ///
    /// ```
    /// use fleet_emulator::prelude::*;
    /// let s = FaultSchedule::from_json(&json!([{"at_s": 10, "what": "freeze", "whom": "leader", "for_s": 25}])).unwrap();
    /// assert_eq!(s.events[0].to_string(), "freeze leader for 25 s");
    /// let e = FaultSchedule::from_json(&json!([{"at_s": 10, "what": "freese", "whom": "leader"}])).unwrap_err();
    /// assert!(e.to_string().starts_with("[0].what: no fault named \"freese\""));
    /// ```
    pub fn from_json(v: &Value) -> Result<FaultSchedule, FleetError> {
        let mut faults = Vec::new();
        let mut events = Vec::new();
        match v.as_array() {
            None => faults.push(Fault::new("", "wants a list of faults")),
            Some(list) => {
                for (i, item) in list.iter().enumerate() {
                    let path = format!("[{i}]");
                    match item.as_object() {
                        None => faults.push(Fault::new(path, "wants an object")),
                        Some(object) => {
                            let mut r = Reader { object, path, known: BTreeSet::new(), faults: &mut faults };
                            events.extend(r.event());
                        }
                    }
                }
            }
        }
        ensure!(faults.is_empty(), ScheduleSnafu { faults });
        events.sort_by(|a: &FaultEvent, b| a.at_s.total_cmp(&b.at_s));
        Ok(FaultSchedule { events })
    }

    /// Reads a schedule from a file.
    pub fn from_file(path: &Path) -> Result<FaultSchedule, FleetError> {
        let text = fs::read_to_string(path).context(FileSnafu { path })?;
        FaultSchedule::from_json(&serde_json::from_str(&text).context(JsonSnafu { path })?)
    }

    /// When the last fault is over, in seconds after the load began.
    pub fn ends_s(&self) -> f64 {
        self.events.iter().map(FaultEvent::ends_s).fold(0.0, f64::max)
    }
}
