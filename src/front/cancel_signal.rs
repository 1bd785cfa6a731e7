//! Delivers CancelRequests to sessions.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// A session's cancel signal. A CancelRequest that arrives while a request is open, or has been received but
/// not read, cancels that request. Otherwise it has no effect, and must not cancel a later request.
#[derive(Debug)]
pub struct CancelSignal {
    /// The secret key in the session's BackendKeyData, which a CancelRequest must repeat.
    secret: u32,
    is_requested: Cell<bool>,
    requested: Notify,
}

impl CancelSignal {
    /// Creates the signal of a session whose BackendKeyData holds this secret key.
    pub(super) fn new(secret: u32) -> Rc<CancelSignal> {
        Rc::new(CancelSignal { secret, is_requested: Cell::new(false), requested: Notify::new() })
    }

    /// Records a CancelRequest; one with a wrong key is ignored.
    pub(super) fn request(&self, secret: u32) {
        if self.secret == secret {
            self.is_requested.set(true);
            self.requested.notify_one();
        }
    }

    /// Completes when there is a CancelRequest that has not been taken.
    pub(super) async fn requested(&self) {
        while !self.is_requested.get() {
            self.requested.notified().await;
        }
    }

    /// Takes the CancelRequest, so that it has no further effect; false if there is none.
    pub(super) fn take(&self) -> bool {
        self.is_requested.replace(false)
    }
}
