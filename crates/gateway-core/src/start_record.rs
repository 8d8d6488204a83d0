use crate::prelude::*;

/// What is remembered of a start order.
#[derive(Clone, Debug)]
pub struct StartRecord {
    /// How far it is.
    pub state: OrderState,
    /// The worker it is for.
    pub worker: Name,
    /// The order, while it is held.
    pub order: Option<Box<StartOrder>>,
    /// Whether the log named this instance for it: only then does "never sent here" prove that it never ran.
    pub given: bool,
    /// With a lease: the time on the worker's clock after which it can't be carried out any more.
    pub lease_until: Option<Millis>,
    /// What is expected of it once it runs.
    pub expected: Expectation,
}

impl StartRecord {
    /// A new one.
    pub fn new(order: StartOrder) -> Self {
        StartRecord {
            state: OrderState::initial(),
            worker: order.worker.clone(),
            order: Some(Box::new(order)),
            given: true,
            lease_until: None,
            expected: Expectation { patience: Millis::MAX, estimate_ms: 0 },
        }
    }

    /// Takes one step of the chart; false when it leads nowhere.
    pub fn go(&mut self, event: OrderEvent) -> bool {
        let Some(s) = self.state.next(event) else { return false };
        self.state = s;
        true
    }
}
