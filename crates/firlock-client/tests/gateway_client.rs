//! The client over a transport and a clock of its own.
use firlock_client::prelude::*;
use std::sync::Arc;

/// What a gateway does.
#[derive(Clone)]
enum Act {
    Silent,
    Answer(u16, Value),
}

/// Time that passes only when someone waits.
#[derive(Clone, Default)]
struct Time(Arc<AtomicU64>);

impl Clock for Time {
    fn now(&self) -> Millis {
        self.0.load(Ordering::Relaxed)
    }

    async fn wait(&self, ms: Millis) {
        self.0.fetch_add(ms, Ordering::Relaxed);
    }
}

/// Gateways that act by name, one act a try, the last for ever. Keeps (time, gateway, time budget) of each try.
struct Acting {
    time: Time,
    acts: Mutex<BTreeMap<&'static str, Vec<Act>>>,
    tries: Arc<Mutex<Vec<(Millis, String, Millis)>>>,
}

impl Transport for Acting {
    async fn send(&self, gateway: &str, _: &HttpRequest, time_budget_ms: Millis) -> Result<HttpAnswer, TransportError> {
        self.tries.lock().unwrap().push((self.time.now(), gateway.to_owned(), time_budget_ms));
        let act = {
            let mut acts = self.acts.lock().unwrap();
            let v = acts.get_mut(gateway).unwrap();
            if v.len() > 1 { v.remove(0) } else { v[0].clone() }
        };
        match act {
            Act::Silent => {
                self.time.wait(time_budget_ms).await;
                Err(TransportError::TimedOut { after_ms: time_budget_ms })
            }
            Act::Answer(status, v) => Ok(HttpAnswer { status, body: v.to_string().into(), ..HttpAnswer::default() }),
        }
    }
}

type Tries = Arc<Mutex<Vec<(Millis, String, Millis)>>>;

fn client(acts: &[(&'static str, &[Act])]) -> (GatewayClient<Acting, Time>, Tries, Time) {
    let (time, tries) = (Time::default(), Tries::default());
    let gateways = acts.iter().map(|(g, _)| (*g).to_owned()).collect();
    let acts = Mutex::new(acts.iter().map(|(g, a)| (*g, a.to_vec())).collect());
    let t = Acting { time: time.clone(), acts, tries: tries.clone() };
    (GatewayClient::new(t, time.clone(), gateways, RetrySettings::with_budget(1_000), 7), tries, time)
}

fn cancelled() -> Act {
    Act::Answer(200, json!({"name": "a", "state": "cancelled"}))
}

fn error(e: &CallError) -> Act {
    Act::Answer(e.http_status(), json!(e))
}

fn cancel() -> CancelJob {
    CancelJob { name: "a".into() }
}

#[tokio::test]
async fn a_silent_gateway_leaves_time_for_the_next_which_is_then_preferred() {
    let (c, tries, _) = client(&[("a", &[Act::Silent]), ("b", &[cancelled()])]);
    assert_eq!(c.call(&cancel()).await.unwrap().state, JobState::Cancelled);
    {
        let t = tries.lock().unwrap();
        assert_eq!((t[0].1.as_str(), t[0].2, t[1].1.as_str()), ("a", 500, "b"));
        assert!(t[1].0 >= 500 && t[1].0 + t[1].2 <= 1_000);
    }
    c.call(&cancel()).await.unwrap();
    assert_eq!(tries.lock().unwrap()[2].1, "b");
}

#[tokio::test]
async fn a_hint_is_kept_before_the_next_try() {
    let (c, tries, _) = client(&[("a", &[error(&CallError::NoLeader { retry_after_ms: 300 }), cancelled()])]);
    c.call(&cancel()).await.unwrap();
    let t = tries.lock().unwrap();
    assert!(t.len() == 2 && t[1].0 >= 300, "{t:?}");
}

#[tokio::test]
async fn a_hint_past_the_budget_ends_the_call_at_once_with_the_error() {
    let e = CallError::Shed { limit: "inbox".into(), retry_after_ms: 1_000 };
    let (c, tries, time) = client(&[("a", &[error(&e)]), ("b", &[cancelled()])]);
    let got = c.call(&cancel()).await.unwrap_err();
    assert_eq!(got.call_error(), Some(&e));
    assert_eq!((tries.lock().unwrap().len(), time.now()), (1, 0));
}

#[tokio::test]
async fn errors_and_strangers_are_told_apart() {
    let e = CallError::Conflict { what: "job".into(), name: "a".into() };
    let (c, tries, _) = client(&[("a", &[error(&e)])]);
    assert_eq!(c.call(&cancel()).await.unwrap_err().call_error(), Some(&e));
    assert_eq!(tries.lock().unwrap().len(), 1);
    let (c, ..) = client(&[("a", &[Act::Answer(404, json!("no such page"))])]);
    assert!(matches!(c.call(&cancel()).await, Err(ClientError::Unreadable { .. })));
    let (c, ..) = client(&[("a", &[Act::Answer(200, json!({"other": 1}))])]);
    assert!(matches!(c.call(&cancel()).await, Err(ClientError::Unreadable { .. })));
}

#[tokio::test]
async fn when_all_are_silent_the_call_ends_within_its_budget() {
    let (c, tries, time) = client(&[("a", &[Act::Silent]), ("b", &[Act::Silent])]);
    let e = c.call(&cancel()).await.unwrap_err();
    assert!(matches!(e, ClientError::Unreachable { .. }), "{e}");
    assert!(time.now() <= 1_000);
    let names: BTreeSet<String> = tries.lock().unwrap().iter().map(|t| t.1.clone()).collect();
    assert_eq!(names.len(), 2);
}

#[tokio::test]
async fn retries_of_all_calls_share_one_budget() {
    let (c, tries, _) = client(&[("a", &[error(&CallError::NoLeader { retry_after_ms: 1 })])]);
    for _ in 0..20 {
        c.call(&cancel()).await.unwrap_err();
    }
    let t = tries.lock().unwrap().len();
    assert_eq!(t, 20 + 10);
}

#[tokio::test]
async fn calls_of_any_type_go_the_same_way() {
    let (c, ..) = client(&[("a", &[cancelled()])]);
    let a = c.call_any(&cancel().into_body()).await.unwrap();
    assert_eq!(a, AnswerBody::CancelJob(JobCancelled { name: "a".into(), state: JobState::Cancelled }));
}
