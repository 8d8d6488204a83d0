use crate::prelude::*;

/// A request body that checks, at the moment the socket asks for its bytes, whether it may still leave.
pub struct GuardedBody<C> {
    bytes: Option<Bytes>,
    permit: SendPermit,
    clock: C,
    leave_by: Option<Millis>,
}

/// The body may not leave any more.
#[derive(Debug, Snafu)]
#[snafu(display("the body may not leave any more"))]
pub struct Late;

impl<C: Clock> GuardedBody<C> {
    /// A body that leaves at `leave_by` at the latest, if that is given.
    pub fn new(bytes: Bytes, permit: SendPermit, clock: C, leave_by: Option<Millis>) -> Self {
        let bytes = Some(bytes).filter(|b| !b.is_empty());
        if bytes.is_none() {
            // Without a body the head alone is the whole call: it can't be held back.
            permit.leave();
        }
        GuardedBody { bytes, permit, clock, leave_by }
    }
}

impl<C: Clock + Unpin> Body for GuardedBody<C> {
    type Data = Bytes;
    type Error = Late;

    fn poll_frame(mut self: Pin<&mut Self>, _: &mut TaskContext<'_>) -> Poll<Option<Result<Frame<Bytes>, Late>>> {
        let Some(b) = self.bytes.take() else { return Poll::Ready(None) };
        if self.leave_by.is_some_and(|t| self.clock.now() > t) {
            self.permit.revoke();
        }
        Poll::Ready(Some(if self.permit.leave() { Ok(Frame::data(b)) } else { Err(Late) }))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |b| b.len() as u64))
    }
}
