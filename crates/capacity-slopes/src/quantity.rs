use crate::prelude::*;

/// What is read of a role at a size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Frames sent to the control plane.
    Sent,
    /// ... their bytes.
    SentBytes,
    /// ... their bytes with 40 a segment.
    SentWireBytes,
    /// Frames received from it.
    Received,
    /// ... their bytes.
    ReceivedBytes,
    /// HTTP messages with workers, both ways.
    WorkerMessages,
    /// ... their bytes.
    WorkerBytes,
    /// Processor time of the core.
    Cpu,
    /// Bytes that the core holds.
    Held,
    /// Of these, the folded state: jobs, attempts, workers, tree, placement and indexes.
    State,
    /// Of these, entries of the log that are kept in memory, by its own count.
    Log,
    /// Bytes written to disk, log records and snapshots.
    DiskBytes,
    /// Syncs.
    Syncs,
}

impl Quantity {
    /// All of them.
    pub const ALL: [Quantity; 13] = [
        Quantity::Sent,
        Quantity::SentBytes,
        Quantity::SentWireBytes,
        Quantity::Received,
        Quantity::ReceivedBytes,
        Quantity::WorkerMessages,
        Quantity::WorkerBytes,
        Quantity::Cpu,
        Quantity::Held,
        Quantity::State,
        Quantity::Log,
        Quantity::DiskBytes,
        Quantity::Syncs,
    ];

    /// Its words and unit.
    pub fn words(self) -> (&'static str, &'static str) {
        match self {
            Quantity::Sent => ("frames sent", "1/s"),
            Quantity::SentBytes => ("bytes sent", "B/s"),
            Quantity::SentWireBytes => ("bytes sent with TCP/IP headers", "B/s"),
            Quantity::Received => ("frames received", "1/s"),
            Quantity::ReceivedBytes => ("bytes received", "B/s"),
            Quantity::WorkerMessages => ("HTTP messages with workers", "1/s"),
            Quantity::WorkerBytes => ("HTTP bytes with workers", "B/s"),
            Quantity::Cpu => ("processor time of the core", "us/s"),
            Quantity::Held => ("bytes held", "B"),
            Quantity::State => ("of these folded state", "B"),
            Quantity::Log => ("of these log entries", "B"),
            Quantity::DiskBytes => ("bytes to disk", "B/s"),
            Quantity::Syncs => ("syncs", "1/s"),
        }
    }
}

impl fmt::Display for Quantity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, unit) = self.words();
        write!(f, "{name}, {unit}")
    }
}
