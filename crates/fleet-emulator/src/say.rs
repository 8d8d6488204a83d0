use crate::prelude::*;

/// Prints a line. A reader that has gone away is no reason to end a run.
pub fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}
