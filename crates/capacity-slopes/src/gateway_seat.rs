use crate::prelude::*;

/// A gateway's core, timed and counted.
pub struct GatewaySeat {
    /// The core.
    pub core: GatewayCore,
    /// What it spent in the window.
    pub usage: RoleUsage,
    /// Asks so far.
    pub asks: u64,
}

/// What a step of a gateway brings about, encoded.
#[derive(Debug, Default)]
pub struct GatewayOutput {
    /// Frames.
    pub frames: Vec<(u64, &'static str, Vec<u8>)>,
    /// Orders to workers, with their bytes.
    pub orders: Vec<(String, Order)>,
    /// The rest.
    pub rest: Vec<GatewayEffect>,
}

impl GatewaySeat {
    /// A seat around a core.
    pub fn new(core: GatewayCore) -> Self {
        GatewaySeat { core, usage: RoleUsage::default(), asks: 0 }
    }

    /// One step, its decoding and encoding timed.
    pub fn step(&mut self, now: Millis, input: impl FnOnce() -> Option<GatewayInput>) -> GatewayOutput {
        let headers = HttpHeaders::default();
        let mut sizes: Vec<(&'static str, usize)> = Vec::new();
        let mut out = GatewayOutput::default();
        let began = thread_cpu_ns();
        let mut effects = Vec::new();
        if let Some(i) = input() {
            self.core.step(now, i, &mut effects);
        }
        for e in effects {
            match e {
                GatewayEffect::Send { channel, frame } => out.frames.push((channel, frame_kind(&frame), frame.to_bytes())),
                GatewayEffect::Start { address, order, .. } => {
                    sizes.push(("start", json_len(&order)));
                    out.orders.push((address, Order::Start(order)));
                }
                GatewayEffect::Stop { address, order } => {
                    sizes.push(("stop", json_len(&order)));
                    out.orders.push((address, Order::Stop(order)));
                }
                GatewayEffect::Hold { address, order, .. } => {
                    sizes.push(("hold", json_len(&order)));
                    out.orders.push((address, Order::Hold(order)));
                }
                e => out.rest.push(e),
            }
        }
        let took = thread_cpu_ns() - began;
        self.usage.cpu_ns += took;
        self.usage.longest_ns = self.usage.longest_ns.max(took);
        self.usage.steps += 1;
        for (_, kind, b) in &out.frames {
            self.usage.sent.frame(kind, b.len());
        }
        for (kind, n) in sizes {
            self.usage.orders.http(kind, headers.request + n);
        }
        out
    }
}

/// Bytes of the JSON of a body.
pub(crate) fn json_len<T: Serialize>(t: &T) -> usize {
    serde_json::to_vec(t).map_or(0, |v| v.len())
}

/// The kind of a gateway's frame.
fn frame_kind(f: &GatewayFrame) -> &'static str {
    match f {
        GatewayFrame::Attach { .. } => "attach",
        GatewayFrame::Pulse { .. } => "pulse",
        GatewayFrame::Ask { .. } => "ask",
        GatewayFrame::Facts { .. } => "facts",
        GatewayFrame::WantConfiguration => "want configuration",
    }
}
