//! Reads that wait for the end of a job.

use gateway::prelude::*;

/// A view with one job, in such a state.
fn view(state: JobState) -> Arc<GatewayView> {
    let job = JobSummary {
        job: 1,
        name: "j".into(),
        queue: "q".into(),
        state,
        urgency: 0,
        tasks: TaskCounts::default(),
        failures: 0,
        accepted_at_ms: 0,
        ended_at_ms: None,
    };
    let mut view = GatewayView::default();
    view.jobs.put(job);
    Arc::new(view)
}

/// How long a wait for a job lasts at most.
const MOST: Duration = Duration::from_millis(100);

#[tokio::test(start_paused = true)]
async fn a_job_that_ends_meanwhile_is_told_at_once() {
    let live = LiveView::new(view(JobState::Running));
    let began = tokio::time::Instant::now();
    let news = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        // News of something else ends no wait.
        live.store(view(JobState::Running));
        tokio::time::sleep(Duration::from_millis(10)).await;
        live.store(view(JobState::Succeeded));
    };
    tokio::join!(live.job_over("j", MOST), news);
    assert_eq!(began.elapsed(), Duration::from_millis(20));
    assert!(live.load().jobs.named("j").unwrap().state.is_final());
}

#[tokio::test(start_paused = true)]
async fn a_job_that_goes_on_is_waited_for_no_longer_than_that() {
    let live = LiveView::new(view(JobState::Running));
    let began = tokio::time::Instant::now();
    live.job_over("j", MOST).await;
    assert_eq!(began.elapsed(), MOST);
}

#[tokio::test(start_paused = true)]
async fn a_job_that_is_over_or_unknown_is_not_waited_for() {
    let live = LiveView::new(view(JobState::Succeeded));
    let began = tokio::time::Instant::now();
    live.job_over("j", MOST).await;
    live.job_over("another", MOST).await;
    assert!(began.elapsed().is_zero());
}

#[tokio::test(start_paused = true)]
async fn a_request_waits_for_the_first_view_and_no_longer_than_allowed() {
    let live = LiveView::new(Arc::new(GatewayView::default()));
    let began = tokio::time::Instant::now();
    let known = |v: &GatewayView| v.jobs.named("j").is_some();
    let news = async {
        tokio::time::sleep(Duration::from_millis(30)).await;
        live.store(view(JobState::Running));
    };
    let (seen, ()) = tokio::join!(live.wait(MOST, known), news);
    assert!(known(&seen));
    assert_eq!(began.elapsed(), Duration::from_millis(30));
    let seen = live.wait(MOST, |_| false).await;
    assert!(known(&seen), "it goes on with the view as it is");
    assert_eq!(began.elapsed(), Duration::from_millis(130));
}
