use crate::prelude::*;

/// Something with an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A scheduler's machine.
    Scheduler(usize),
    /// A gateway's machine.
    Gateway(usize),
    /// A worker.
    Worker(usize),
    /// All callers and operators.
    Callers,
}

/// How late orders are carried out that get no answer, least and most.
const LATE_ORDER_MS: (Millis, Millis) = (2_000, 12_000);

/// Which ways are open, and how fast they are.
#[derive(Debug)]
pub struct Network {
    /// One-way cuts, each with the time at which it heals.
    cuts: BTreeMap<(Node, Node), Millis>,
    /// Usual delay, least and most.
    pub delay_ms: (Millis, Millis),
    /// Share of messages that take much longer.
    pub late_ratio: f64,
    /// ... up to this.
    pub late_ms: Millis,
    /// Share of orders to workers that get no answer and are carried out late.
    pub late_order_ratio: f64,
    /// How late those are carried out, least and most.
    pub late_order_ms: (Millis, Millis),
    /// Share of schedulers' messages that are lost.
    pub loss_ratio: f64,
    /// Share of schedulers' messages that arrive twice.
    pub double_ratio: f64,
    rng: ChaCha8Rng,
}

impl Network {
    /// An open network.
    pub fn new(seed: u64) -> Self {
        Network {
            cuts: BTreeMap::new(),
            delay_ms: (1, 4),
            late_ratio: 0.0,
            late_ms: 0,
            late_order_ratio: 0.0,
            late_order_ms: LATE_ORDER_MS,
            loss_ratio: 0.0,
            double_ratio: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Cuts one way until a time.
    pub fn cut(&mut self, from: Node, to: Node, until: Millis) {
        let e = self.cuts.entry((from, to)).or_insert(until);
        *e = until.max(*e);
    }

    /// Heals everything.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// When the way is open again; `None` when it is open now.
    pub fn cut_until(&mut self, now: Millis, from: Node, to: Node) -> Option<Millis> {
        let until = *self.cuts.get(&(from, to))?;
        if until <= now {
            self.cuts.remove(&(from, to));
            return None;
        }
        Some(until)
    }

    /// How long one message takes.
    pub fn delay(&mut self) -> Millis {
        let usual = self.rng.random_range(self.delay_ms.0..=self.delay_ms.1);
        match self.late_ratio > 0.0 && self.rng.random_bool(self.late_ratio) {
            true => usual + self.rng.random_range(0..=self.late_ms),
            false => usual,
        }
    }

    /// How late an order to a worker is carried out, where it gets no answer.
    pub fn order_late_by(&mut self) -> Option<Millis> {
        let (least, most) = self.late_order_ms;
        self.chance(self.late_order_ratio).then(|| self.rng.random_range(least..=most))
    }

    /// How many copies of a scheduler's message arrive.
    pub fn copies(&mut self) -> usize {
        if self.loss_ratio > 0.0 && self.rng.random_bool(self.loss_ratio) {
            return 0;
        }
        1 + usize::from(self.double_ratio > 0.0 && self.rng.random_bool(self.double_ratio))
    }

    /// A chance.
    pub fn chance(&mut self, ratio: f64) -> bool {
        ratio > 0.0 && self.rng.random_bool(ratio)
    }
}
