use crate::prelude::*;

/// Bytes before each frame: its length.
const FRAME_HEAD: u64 = 4;
/// Bytes of IP and TCP headers of a segment.
const SEGMENT_HEAD: u64 = 40;
/// Payload of a full segment.
const SEGMENT: u64 = 1_448;

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Flow {
    /// How many.
    pub messages: u64,
    /// Their bytes, without headers of IP and TCP.
    pub bytes: u64,
    /// The same with 40 bytes for each segment, acknowledgements left out.
    pub wire_bytes: u64,
}

impl Flow {
    fn count(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
        self.wire_bytes += bytes + SEGMENT_HEAD * bytes.div_ceil(SEGMENT);
    }
}

/// Messages by kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// The kinds.
    pub kinds: BTreeMap<&'static str, Flow>,
}

impl Traffic {
    /// Counts a frame of so many encoded bytes.
    pub fn frame(&mut self, kind: &'static str, encoded: usize) {
        self.kinds.entry(kind).or_default().count(FRAME_HEAD + encoded as u64);
    }

    /// Counts an HTTP message, its headers included.
    pub fn http(&mut self, kind: &'static str, bytes: usize) {
        self.kinds.entry(kind).or_default().count(bytes as u64);
    }

    /// Adds another process's.
    pub fn add(&mut self, other: &Traffic) {
        for (kind, f) in &other.kinds {
            let e = self.kinds.entry(kind).or_default();
            e.messages += f.messages;
            e.bytes += f.bytes;
            e.wire_bytes += f.wire_bytes;
        }
    }

    /// All kinds together.
    pub fn sum(&self) -> Flow {
        self.kinds.values().fold(Flow::default(), |s, f| Flow {
            messages: s.messages + f.messages,
            bytes: s.bytes + f.bytes,
            wire_bytes: s.wire_bytes + f.wire_bytes,
        })
    }
}
