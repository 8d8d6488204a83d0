use crate::prelude::*;

/// Lifetime class of a task or worker, 1 (shortest) to 4 (longest).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[cbor(transparent)]
pub struct LifetimeClass(#[n(0)] u8);

impl LifetimeClass {
    /// Number of classes.
    pub const COUNT: u8 = 4;
    /// The shortest class.
    pub const SHORTEST: Self = Self(1);
    /// The top class; tasks that run until cancelled belong here by rule.
    pub const TOP: Self = Self(Self::COUNT);

    /// The class of that number, held within 1 to 4.
    pub const fn new(number: u8) -> Self {
        match number {
            0 => Self::SHORTEST,
            n if n > Self::COUNT => Self::TOP,
            n => Self(n),
        }
    }

    /// The number, 1 to 4.
    pub const fn number(self) -> u8 {
        self.0
    }

    /// The class of an expected lifetime under the given upper bounds.
    /// Whatever exceeds every bound is in the top class.
    pub fn of(lifetime: Millis, bounds: &[Millis; 4]) -> Self {
        let below = bounds.iter().take_while(|b| lifetime >= **b).count();
        Self::new(below as u8 + 1)
    }

    /// The upper bound of this class.
    pub const fn bound(self, bounds: &[Millis; 4]) -> Millis {
        bounds[self.0 as usize - 1]
    }

    /// One class shorter; the shortest stays.
    pub const fn dropped(self) -> Self {
        Self::new(self.0 - 1)
    }

    /// One class longer; the top stays.
    pub const fn risen(self) -> Self {
        Self::new(self.0 + 1)
    }
}
