use crate::prelude::*;

/// What must be synced before a message may leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Gate {
    /// The newest term and vote.
    HardState,
    /// Everything written so far.
    Everything,
}

/// Messages on their way out, held back until what they promise is synced.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Outbox {
    /// The write this step builds.
    pub request: PersistRequest,
    /// Messages of this step.
    staged: Vec<(Gate, Message)>,
    /// Messages that wait for a ticket.
    held: Vec<(Ticket, Message)>,
    /// Other effects of this step.
    effects: Vec<Effect>,
    issued: Ticket,
    hard_state_ticket: Ticket,
    synced: Ticket,
}

impl Outbox {
    /// Adds a message behind a gate.
    pub fn send(&mut self, gate: Gate, message: Message) {
        self.staged.push((gate, message));
    }

    /// Adds another effect.
    pub fn push(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    /// The ticket under which this step's write goes, or the last one issued.
    pub fn current_ticket(&self) -> Ticket {
        self.issued + Ticket::from(!self.request.is_empty())
    }

    /// Last synced ticket.
    pub fn synced(&self) -> Ticket {
        self.synced
    }

    /// Notes that writes are synced; a ticket never issued is cut to the last one.
    pub fn persisted(&mut self, ticket: Ticket) {
        self.synced = max(self.synced, min(ticket, self.issued));
    }

    /// The effects of the step: the write, then what may leave, then the rest.
    pub fn finish(&mut self) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.request.is_empty() {
            self.issued += 1;
            let mut request = std::mem::take(&mut self.request);
            request.ticket = self.issued;
            if request.hard_state.is_some() {
                self.hard_state_ticket = self.issued;
            }
            effects.push(Effect::Persist(request));
        }
        for (gate, message) in self.staged.drain(..) {
            let ticket = match gate {
                Gate::HardState => self.hard_state_ticket,
                Gate::Everything => self.issued,
            };
            self.held.push((ticket, message));
        }
        let synced = self.synced;
        for (_, message) in self.held.extract_if(.., |(ticket, _)| *ticket <= synced) {
            effects.push(Effect::Send { to: message.to, message });
        }
        effects.append(&mut self.effects);
        effects
    }
}
