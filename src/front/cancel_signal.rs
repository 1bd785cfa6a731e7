//! Delivers CancelRequests to sessions.

use sprucelink_time::{TimeDelta, Timestamp};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Time by which a request may be read later than a CancelRequest that was sent after it, on another connection
/// to another process.
const MAX_READ_DELAY: TimeDelta = TimeDelta::from_millis(50);

/// A session's cancel signal. A CancelRequest that arrives while a request is open, or has been received but
/// not read, cancels that request. Otherwise it has no effect, and must not cancel a later request.
#[derive(Debug)]
pub struct CancelSignal {
    /// The secret key in the session's BackendKeyData, which a CancelRequest must repeat.
    secret: u32,
    is_requested: Cell<bool>,
    requested: Notify,
    /// Arrival of the last request that was submitted.
    request_arrived_at: Cell<Timestamp>,
}

impl CancelSignal {
    /// Creates the signal of a session whose BackendKeyData holds this secret key.
    pub(super) fn new(secret: u32) -> Rc<CancelSignal> {
        Rc::new(CancelSignal {
            secret,
            is_requested: Cell::new(false),
            requested: Notify::new(),
            request_arrived_at: Cell::new(Timestamp::ZERO),
        })
    }

    /// Records a CancelRequest; returns false if its key is wrong, and it is ignored.
    pub(super) fn request(&self, secret: u32) -> bool {
        if self.secret != secret {
            return false;
        }
        self.is_requested.set(true);
        self.requested.notify_one();
        true
    }

    /// Records a CancelRequest that another process received at `received_at`; returns false if it is ignored,
    /// because its key is wrong or the session's request arrived well after it.
    pub(super) fn request_forwarded(&self, secret: u32, received_at: Timestamp) -> bool {
        let is_for_earlier_request = self.request_arrived_at.get() - received_at > MAX_READ_DELAY;
        !is_for_earlier_request && self.request(secret)
    }

    /// Records the arrival of the request that is submitted now.
    pub(super) fn record_request(&self, arrived_at: Timestamp) {
        self.request_arrived_at.set(arrived_at);
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
