use crate::prelude::*;

/// Refusals kept at most; those for less speak for those for more.
const MOST_REFUSALS: usize = 16;

/// What a round looked for in vain among the same workers. Room only goes within a round, so whoever asks for as much or more is
/// refused without another look.
///
/// ```
/// use lifetime_placement::prelude::Room;
/// use scheduler_core::RefusedRooms;
/// let mut refused = RefusedRooms::default();
/// refused.refuse(Room::new(2_000, 100), 4);
/// assert!(refused.refuses(Room::new(2_500, 100), 4) && !refused.refuses(Room::new(2_500, 90), 4));
/// assert!(!refused.refuses(Room::new(2_000, 100), 3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RefusedRooms {
    refused: Vec<(Room, u32)>,
}

impl RefusedRooms {
    /// Whether so many places of a room, or no more of no larger a room, were refused.
    pub fn refuses(&self, room: Room, places: u32) -> bool {
        self.refused.iter().any(|(refused, fewest)| refused.fits(room) && *fewest <= places)
    }

    /// So many places of a room are not to be had.
    pub fn refuse(&mut self, room: Room, places: u32) {
        self.refused.retain(|(refused, fewest)| !room.fits(*refused) || *fewest < places);
        if self.refused.len() < MOST_REFUSALS && !self.refuses(room, places) {
            self.refused.push((room, places));
        }
    }
}

/// What was asked of some workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalKind {
    /// A place for a task.
    Task,
    /// A place for a task of a job that presses, which may use reserved workers.
    PressingTask,
    /// Places for all members of a gang.
    Gang,
    /// Lesser work to be stopped.
    Preemption,
}

/// The refusals of a round: by the set of workers that was asked, and for what.
pub type Refusals = BTreeMap<(usize, RefusalKind), RefusedRooms>;
