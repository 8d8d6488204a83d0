use crate::prelude::*;

/// Time for one order with all its tries.
const ORDER_MS: Millis = 10_000;

/// Sends orders of operators over the emulated links, and keeps on record what was sent and answered.
#[derive(Debug)]
pub struct OrderDesk {
    client: GatewayClient<HyperTransport, TokioClock>,
    record: Mutex<Vec<(Millis, Observation)>>,
}

impl OrderDesk {
    /// A desk at the layout's operators, with the relays of its gateways.
    pub fn new(layout: &Layout, seed: u64) -> OrderDesk {
        let from = layout.of_role(Role::Operator).next().map(|n| n.ip.into());
        let gateways = layout.of_role(Role::Gateway).map(|n| n.advertised_http().to_string()).collect();
        let client =
            GatewayClient::new(HyperTransport::new(from), TokioClock::default(), gateways, RetrySettings::with_budget(ORDER_MS), seed);
        OrderDesk { client, record: Mutex::default() }
    }

    /// Keeps something on record, at its true time now.
    pub fn note(&self, o: Observation) {
        lock(&self.record).push((true_now(), o));
    }

    /// All that is on record.
    pub fn record(&self) -> Vec<(Millis, Observation)> {
        lock(&self.record).clone()
    }

    /// Sends a call until it is answered or its time is over; `None`: no answer.
    pub async fn send(&self, call: CallBody) -> Option<CallResult<AnswerBody>> {
        if let Some(o) = caller_stand_in::prelude::observe_sent(&call) {
            self.note(o);
        }
        let asked_at = true_now();
        let answer = match self.client.call_any(&call).await {
            Ok(a) => Ok(a),
            Err(ClientError::Answered { error }) => Err(error),
            Err(_) => return None,
        };
        // Reads tell through which gateway; which one answered isn't known here, so they stay off the record.
        if call.changes_state()
            && let Some(o) = caller_stand_in::prelude::observe_answer(&call, "", asked_at, &answer)
        {
            self.note(o);
        }
        Some(answer)
    }
}
