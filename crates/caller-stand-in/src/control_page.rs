use crate::prelude::*;

/// What `GET /observations` takes.
#[derive(Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
    limit: Option<usize>,
}

/// What `POST /rate` takes.
#[derive(Deserialize)]
struct Rate {
    rate: f64,
}

/// What `POST /burst` takes.
#[derive(Deserialize)]
struct Burst {
    stream: String,
    jobs: u32,
    #[serde(default = "once")]
    times_tasks: u32,
}

/// A burst's jobs have the usual number of tasks.
fn once() -> u32 {
    1
}

/// What `POST /cancel` takes.
#[derive(Deserialize)]
struct Cancel {
    share: f64,
}

/// Observations in one answer, when no limit is asked for.
const PAGE: usize = 10_000;

/// The pages that drive a run: `GET /observations?after=N&limit=M`, `GET /figures`, `POST /rate {"rate": 0.5}`
/// (0 stops new jobs), `POST /burst {"stream": "plan", "jobs": 50, "times_tasks": 10}`, `POST /cancel {"share": 0.5}`,
/// `POST /read-again`.
pub fn control_pages(handle: Arc<RunHandle>) -> Router {
    let (observations, figures, rate) = (handle.clone(), handle.clone(), handle.clone());
    let (burst, cancel, again) = (handle.clone(), handle.clone(), handle);
    Router::new()
        .get("/observations", move |r: Request| {
            let h = observations.clone();
            async move {
                let q: After = r.query()?;
                Ok::<_, viz::Error>(Response::json(h.log().after(q.after, q.limit.unwrap_or(PAGE)))?)
            }
        })
        .get("/figures", move |_: Request| {
            let h = figures.clone();
            async move { Ok::<_, viz::Error>(Response::json(h.figures())?) }
        })
        .post("/rate", move |mut r: Request| {
            let h = rate.clone();
            async move {
                let q: Rate = r.json().await?;
                if !(0.0..=1e6).contains(&q.rate) {
                    return Ok(StatusCode::BAD_REQUEST.into_response());
                }
                h.tell(CallerInput::Rate(q.rate)).await;
                Ok::<_, viz::Error>(StatusCode::NO_CONTENT.into_response())
            }
        })
        .post("/burst", move |mut r: Request| {
            let h = burst.clone();
            async move {
                let Burst { stream, jobs, times_tasks } = r.json().await?;
                h.tell(CallerInput::Burst { stream, jobs, times_tasks }).await;
                Ok::<_, viz::Error>(StatusCode::NO_CONTENT.into_response())
            }
        })
        .post("/cancel", move |mut r: Request| {
            let h = cancel.clone();
            async move {
                let q: Cancel = r.json().await?;
                h.tell(CallerInput::CancelSome(q.share)).await;
                Ok::<_, viz::Error>(StatusCode::NO_CONTENT.into_response())
            }
        })
        .post("/read-again", move |_: Request| {
            let h = again.clone();
            async move {
                h.tell(CallerInput::ReadAgain).await;
                Ok::<_, viz::Error>(StatusCode::NO_CONTENT.into_response())
            }
        })
}
