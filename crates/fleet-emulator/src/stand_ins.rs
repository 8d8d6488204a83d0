use crate::prelude::*;

/// What the fleet asks of stand-in workers and callers.
pub trait StandIns: Send + Sync {
    /// Workers behave so from now on.
    fn behave(&self, workers: &[Name], behaviour: &Value) -> impl Future<Output = FleetResult<()>> + Send;
    /// Workers forget all they ran, are gone for a while, and come back with new boot ids.
    fn cold(&self, workers: &[Name], gone_s: f64) -> impl Future<Output = FleetResult<()>> + Send;
    /// Workers announce a drain or its end, until it is acknowledged; doesn't wait for that.
    fn drain(&self, workers: &[Name], on: bool) -> FleetResult<()>;
    /// Callers send so many times their usual rate.
    fn rate(&self, factor: f64) -> impl Future<Output = FleetResult<()>> + Send;
}
