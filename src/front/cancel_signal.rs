//! The effect of CancelRequests on a session.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A session's cancel signal. A CancelRequest that arrives while a request is open, or is received and unread, cancels
/// that request. Otherwise it has no effect, and must not cancel a later request.
#[derive(Debug)]
pub struct CancelSignal {
    /// The secret key of BackendKeyData.
    secret: u32,
    is_requested: Cell<bool>,
    requested: Notify,
}

impl CancelSignal {
    /// The signal of a session whose BackendKeyData holds this secret key.
    pub(super) fn new(secret: u32) -> Rc<CancelSignal> {
        Rc::new(CancelSignal { secret, is_requested: Cell::new(false), requested: Notify::new() })
    }

    /// A CancelRequest arrived; it is ignored if its key is wrong.
    pub(super) fn request(&self, secret: u32) {
        if self.secret == secret {
            self.is_requested.set(true);
            self.requested.notify_one();
        }
    }

    /// Completes when there is a CancelRequest that was not taken.
    pub(super) async fn requested(&self) {
        while !self.is_requested.get() {
            self.requested.notified().await;
        }
    }

    /// Takes the CancelRequest, if there is one: it has no further effect.
    pub(super) fn take(&self) -> bool {
        self.is_requested.replace(false)
    }
}
