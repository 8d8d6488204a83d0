use crate::prelude::*;

/// Times per call on a fleet that holds about fifteen tasks a worker.
#[derive(Debug, Serialize)]
pub struct Timing {
    /// Workers.
    pub workers: u32,
    /// Tasks on a worker.
    pub tasks_per_worker: u32,
    /// (median, 99th hundredth) of one prediction, in nanoseconds.
    pub predict_ns: (u64, u64),
    /// (median, 99th hundredth) of one assignment, in nanoseconds.
    pub assign_ns: (u64, u64),
    /// (median, 99th hundredth) of folding one placed task, in nanoseconds.
    pub place_ns: (u64, u64),
    /// (median, 99th hundredth) of a tick that repredicts, in nanoseconds.
    pub tick_ns: (u64, u64),
    /// Bytes of the whole saved state.
    pub state_bytes: u64,
    /// Keys of the predictor.
    pub keys: u64,
}

impl Timing {
    /// Tasks on each worker.
    const TASKS: u32 = 15;
    /// Calls measured.
    const CALLS: u64 = 2_000;

    /// Measures on so many workers.
    pub fn measure(workers: u32, settings: &PlacementSettings) -> Result<Self, ReplayError> {
        let shape = FleetShape { length: 200.0, ..FleetShape::new("timing", 48, 64) };
        let trace = Trace::generate(&shape, settings.class_bounds_ms[0], 1);
        let mut learned = LearnedDistributions::new(settings);
        trace.tasks().for_each(|(t, lifetime)| learned.learn(&t.features, *lifetime, false));
        let mut fleet = FleetBands::new(settings.clone(), learned, PlacementStrategy::Lava).context(PlacementSnafu)?;
        let small: Vec<TaskToPlace> = trace.tasks().map(|(t, _)| *t).filter(|t| t.room.cpu_millis <= 1_000).collect();
        let mut all = small.iter().cycle();
        let mut key = 0;
        let (mut place, mut now) = (Self::histogram()?, 0);
        for w in 0..workers {
            fleet.worker_added(0, w, shape.room);
        }
        let mut next = || {
            key += 1;
            all.next().map(|t| TaskToPlace::new(key, t.features.queue, t.features.kind, t.room, false))
        };
        for n in 0..workers * Self::TASKS {
            now += 1;
            let Some(task) = next() else { break };
            let start = Instant::now();
            fleet.task_placed(now, n % workers, &task).context(PlacementSnafu)?;
            place.saturating_record(start.elapsed().as_nanos() as u64);
        }
        let (mut predict, mut assign, mut tick) = (Self::histogram()?, Self::histogram()?, Self::histogram()?);
        // Many predictions to one reading of the clock, which costs as much as one of them.
        const BATCH: u64 = 64;
        for n in 0..Self::CALLS {
            let Some(task) = next() else { break };
            let start = Instant::now();
            let mut sum = 0;
            for k in 0..BATCH {
                sum += fleet.predictor().remaining_ms(&task.features, n * k * 10).expected_ms;
            }
            std::hint::black_box(sum);
            predict.saturating_record(start.elapsed().as_nanos() as u64 / BATCH);
            let start = Instant::now();
            std::hint::black_box(fleet.assign(now, &task, |_| true));
            assign.saturating_record(start.elapsed().as_nanos() as u64);
            now += settings.class_bounds_ms[0] / 1_000;
            let start = Instant::now();
            fleet.tick(now);
            tick.saturating_record(start.elapsed().as_nanos() as u64);
        }
        let pair = |h: Histogram<u64>| (h.value_at_quantile(0.5), h.value_at_quantile(0.99));
        Ok(Self {
            workers,
            tasks_per_worker: Self::TASKS,
            predict_ns: pair(predict),
            assign_ns: pair(assign),
            place_ns: pair(place),
            tick_ns: pair(tick),
            state_bytes: fleet.encode().len() as u64,
            keys: fleet.predictor().key_count() as u64,
        })
    }

    fn histogram() -> Result<Histogram<u64>, ReplayError> {
        Histogram::new_with_max(60_000_000_000, 3).context(HistogramSnafu)
    }
}
