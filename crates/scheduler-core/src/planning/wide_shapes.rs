use crate::prelude::*;

/// A task is wide when it takes at least this part, in millionths, of the largest worker of its service.
const WIDE_PPM: u64 = 250_000;
/// Shapes weighed for one service at most, since each look at a worker weighs them all.
const MOST_SHAPES: usize = 8;
/// Where there are more, rooms are told apart by this part of the largest worker in each dimension.
const ROOM_PARTS: u64 = 16;

/// Shapes of tasks that take a large part of a worker, as far as tasks of them run or wait. Small tasks that are scattered over
/// all workers leave no place for them; so a place for one of them is a loss to be weighed when a worker is chosen.
#[derive(Clone, Debug, Default)]
pub struct WideShapes {
    by_service: BTreeMap<Name, Vec<WideShape>>,
}

/// One shape, and how much the loss of a place for it weighs: its demand, by the room of each task.
#[derive(Clone, Copy, Debug)]
struct WideShape {
    room: Room,
    weight: u64,
}

impl WideShapes {
    /// The wide shapes in demand now.
    pub fn new(state: &ClusterState) -> Self {
        let largest = Self::largest_workers(state);
        let mut shapes = WideShapes::default();
        for ((service, room), tasks) in Self::demand(state) {
            let part = largest.get(&service).map_or(0, |whole| room.dominant_ppm(*whole));
            if part >= WIDE_PPM {
                let weight = tasks.saturating_mul(part) / WIDE_PPM;
                shapes.by_service.entry(service).or_default().push(WideShape { room, weight });
            }
        }
        for (service, wide) in shapes.by_service.iter_mut().filter(|(_, wide)| wide.len() > MOST_SHAPES) {
            *wide = Self::merged(wide, largest.get(service).copied().unwrap_or_default());
        }
        shapes
    }

    /// Shapes of nearly the same room taken together, and of these the ones that weigh most.
    fn merged(shapes: &[WideShape], largest: Room) -> Vec<WideShape> {
        let mut by_room: BTreeMap<Room, u64> = BTreeMap::new();
        for shape in shapes {
            *by_room.entry(rounded_up(shape.room, largest)).or_default() += shape.weight;
        }
        let mut merged: Vec<WideShape> = by_room.into_iter().map(|(room, weight)| WideShape { room, weight }).collect();
        merged.sort_by_key(|shape| Reverse(shape.weight));
        merged.truncate(MOST_SHAPES);
        merged
    }

    /// How many shapes are weighed for a service.
    pub fn count(&self, service: &str) -> usize {
        self.by_service.get(service).map_or(0, Vec::len)
    }

    /// The largest worker of each service, dimension by dimension.
    fn largest_workers(state: &ClusterState) -> BTreeMap<Name, Room> {
        let mut largest: BTreeMap<Name, Room> = BTreeMap::new();
        for worker in state.tables.workers.values() {
            match largest.get_mut(&worker.told.service) {
                Some(room) => *room = room.envelope(worker.room()),
                None => {
                    largest.insert(worker.told.service.clone(), worker.room());
                }
            }
        }
        largest
    }

    /// Tasks that run or wait, by service and shape. Of a waiting step that is no gang one task counts.
    fn demand(state: &ClusterState) -> BTreeMap<(Name, Room), u64> {
        let mut demand = state.running_shapes.clone();
        for (group, steps) in state.ready.groups() {
            let tasks = steps.len() as u64 * u64::from(group.gang.max(1));
            *demand.entry((group.service.clone(), group.room)).or_default() += tasks;
        }
        demand
    }

    /// What is lost for wide tasks when a task takes its room of a worker's free room.
    pub fn loss(&self, service: &str, free: Room, task: Room) -> u64 {
        let left = free.sub(task);
        let shapes = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        shapes.iter().map(|shape| shape.weight * (free.count_of(shape.room) - left.count_of(shape.room))).sum()
    }

    /// Whether no shape in demand is wide.
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }
}

/// A room rounded up to whole parts of the largest one.
fn rounded_up(room: Room, largest: Room) -> Room {
    let up = |part: u64, whole: u64| match whole / ROOM_PARTS {
        0 => part,
        unit => part.div_ceil(unit) * unit,
    };
    Room::new(up(room.cpu_millis, largest.cpu_millis), up(room.memory_mb, largest.memory_mb)).with_gpus(up(room.gpus, largest.gpus))
}
