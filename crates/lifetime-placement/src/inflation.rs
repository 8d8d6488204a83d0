use crate::prelude::*;

/// Inflation packing: fills free room with a representative mix of tasks until
/// the fleet is exhausted, and tells what is left over (stranded).
pub struct Inflation {
    mix: Vec<Room>,
}

impl Inflation {
    /// Shapes drawn at equal steps from the tasks of a trace, each as often as
    /// its share of the occupied room would have it.
    pub fn of(trace: &Trace) -> Self {
        let cost = |(t, lifetime): &(TaskToPlace, Millis)| t.room.cpu_millis as f64 * *lifetime as f64;
        let total: f64 = trace.tasks().map(cost).sum();
        let step = total / 256.0;
        let mut sum = 0.0;
        let mut mix = Vec::new();
        for t in trace.tasks() {
            sum += cost(t);
            while sum > step {
                sum -= step;
                mix.push(t.0.room);
            }
        }
        Self { mix }
    }

    /// (processor, memory) left over, as shares of all room. The fleet counts
    /// as exhausted when a sixteenth of the mix in a row finds no place.
    pub fn stranded(&self, workers: &[(Room, Room)]) -> (f64, f64) {
        let whole = workers.iter().fold(Room::default(), |sum, (room, _)| sum.add(*room));
        let mut free: Vec<Room> = workers.iter().map(|(_, free)| *free).collect();
        let (mut missed, enough) = (0, self.mix.len() / 16);
        for shape in self.mix.iter().cycle() {
            let tightest = |(r, (room, _)): &(&mut Room, &(Room, Room))| r.sub(*shape).scarcest_ppm(*room);
            let best = free.iter_mut().zip(workers).filter(|(r, _)| shape.fits(**r)).min_by_key(tightest);
            match best {
                Some((r, _)) => {
                    *r = r.sub(*shape);
                    missed = 0;
                }
                None => missed += 1,
            }
            if missed > enough {
                break;
            }
        }
        let left = free.into_iter().fold(Room::default(), Room::add);
        (left.cpu_millis as f64 / whole.cpu_millis as f64, left.memory_mb as f64 / whole.memory_mb as f64)
    }
}
