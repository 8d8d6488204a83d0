use crate::prelude::*;

/// Where the replica's random numbers come from.
pub trait RandomSource {
    /// A number below the bound, or 0 when the bound is 0.
    fn below(&mut self, bound: u64) -> u64;
}

impl<R: RngCore> RandomSource for R {
    fn below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.next_u64() % bound }
    }
}
