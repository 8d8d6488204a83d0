use crate::prelude::*;

/// What the flags ask for.
pub struct Invocation {
    /// Fleets to replay on.
    pub fleets: Vec<FleetShape>,
    /// Seeds of the traces.
    pub seeds: Vec<u64>,
    /// Shares of wrong predictions to try besides.
    pub wrong: Vec<f64>,
    /// Measure times per call.
    pub times: bool,
    /// Where the figures go as JSON.
    pub json: Option<PathBuf>,
    /// Settings of placement.
    pub settings: PlacementSettings,
}

impl Invocation {
    fn options() -> Options {
        let mut o = Options::new();
        o.optflag("h", "help", "print this help");
        o.optmulti("f", "fleet", "thaali, harwick or target; may be repeated (thaali)", "NAME");
        o.optopt("s", "seeds", "number of traces (5)", "N");
        o.optopt("l", "load", "mean demand on the tighter dimension (0.6)", "SHARE");
        o.optopt("g", "swing", "swing of the demand, as a share of its mean (0.25)", "SHARE");
        o.optopt("n", "length", "length of a trace, in first class bounds (4320)", "N");
        o.optopt("w", "wrong", "shares of wrong predictions, parted by commas", "SHARES");
        o.optflag("t", "times", "measure times per prediction and per assignment");
        o.optopt("c", "settings", "changed placement settings, as JSON", "JSON");
        o.optopt("j", "json", "write the figures to this file", "FILE");
        o
    }

    /// Reads flags; None if only help was asked for.
    pub fn parse(args: &[String]) -> Result<Option<Self>, ReplayError> {
        let m = Self::options().parse(args).context(FlagsSnafu)?;
        if m.opt_present("help") {
            let _closed = writeln!(std::io::stdout(), "{}", Self::options().usage("placement-replay [flags]"));
            return Ok(None);
        }
        let number = |flag: &str, default: f64| match m.opt_str(flag) {
            Some(text) => text.parse::<f64>().ok().context(NumberSnafu { text }),
            None => Ok(default),
        };
        let names = match m.opt_strs("fleet") {
            none if none.is_empty() => vec!["thaali".to_owned()],
            names => names,
        };
        let (load, swing, length) = (number("load", 0.6)?, number("swing", 0.25)?, number("length", 4_320.0)?);
        let fleet = |name: String| {
            let shape = match name.as_str() {
                "thaali" => FleetShape::new("thaali", 48, 64),
                "harwick" => FleetShape::new("harwick", 48, 32),
                "target" => FleetShape::new("target", 550, 64),
                _ => return UnknownFleetSnafu { name }.fail(),
            };
            Ok(FleetShape { load, swing, length, ..shape })
        };
        let wrong = m.opt_str("wrong").unwrap_or_default();
        let share = |text: &str| text.parse::<f64>().ok().context(NumberSnafu { text });
        let settings = match m.opt_str("settings") {
            Some(text) => serde_json::from_str(&text).context(EncodeReportSnafu)?,
            None => PlacementSettings::default(),
        };
        Ok(Some(Self {
            fleets: names.into_iter().map(fleet).collect::<Result<_, _>>()?,
            seeds: (1..=number("seeds", 5.0)? as u64).collect(),
            wrong: wrong.split(',').filter(|s| !s.is_empty()).map(share).collect::<Result<_, _>>()?,
            times: m.opt_present("times"),
            json: m.opt_str("json").map(PathBuf::from),
            settings,
        }))
    }
}
