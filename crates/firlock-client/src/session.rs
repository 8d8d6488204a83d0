use crate::prelude::*;

/// What a command came to.
pub type CommandResult = Result<ExitCode, CommandError>;

/// One run of one subcommand: its arguments, its client and where its output goes.
pub struct Session<'s> {
    /// The subcommand.
    pub command: &'static Subcommand,
    /// Its options and arguments.
    pub matches: Matches,
    /// The client.
    pub client: Client,
    /// Where output goes.
    pub out: &'s mut dyn Write,
}

impl Session<'_> {
    /// Whether output is for programs.
    pub fn json(&self) -> bool {
        self.matches.opt_present("json")
    }

    /// The arguments, if there are as many as wanted.
    pub fn arguments<const N: usize>(&self) -> Result<[&str; N], CommandError> {
        let v: Vec<&str> = self.matches.free.iter().map(String::as_str).collect();
        v.try_into().map_err(|_| self.usage())
    }

    /// That the arguments are not as wanted.
    pub fn usage(&self) -> CommandError {
        CommandError::Arguments { usage: self.command.usage.to_owned() }
    }

    /// An option's value, read.
    pub fn value<V: std::str::FromStr>(&self, name: &str, wanted: &str) -> Result<Option<V>, CommandError> {
        self.matches.opt_str(name).map(|t| read_value(&t, wanted)).transpose()
    }

    /// Prints the answer: as JSON for programs, else as text.
    pub fn print<A: Serialize>(&mut self, answer: &A, text: impl FnOnce(&A) -> String) -> Result<(), CommandError> {
        if self.json() {
            let j = serde_json::to_string_pretty(answer).context(crate::command_error::JsonSnafu { path: "answer" })?;
            writeln!(self.out, "{j}")?;
        } else {
            self.out.write_all(text(answer).as_bytes())?;
        }
        self.out.flush()?;
        Ok(())
    }

    /// Reads a file, or standard input for `-`.
    pub fn read(&self, path: &str) -> Result<Vec<u8>, CommandError> {
        let mut v = Vec::new();
        let r = if path == "-" { std::io::stdin().read_to_end(&mut v).map(|_| v) } else { std::fs::read(path) };
        r.context(crate::command_error::FileSnafu { path })
    }

    /// Reads a file's JSON.
    pub fn read_json<V: DeserializeOwned>(&self, path: &str) -> Result<V, CommandError> {
        serde_json::from_slice(&self.read(path)?).context(crate::command_error::JsonSnafu { path })
    }
}

/// Reads a value from text.
pub fn read_value<V: std::str::FromStr>(text: &str, wanted: &str) -> Result<V, CommandError> {
    text.parse().map_err(|_| CommandError::Value { text: text.to_owned(), wanted: wanted.to_owned() })
}

/// A fresh id of an order or a change: unlike any other.
pub fn fresh_id(what: &str) -> String {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
    format!("{what}-{ms}-{:08x}", rand::rng().random::<u32>())
}
