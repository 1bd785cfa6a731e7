//! Delivers CancelRequests to sessions.
//!
//! Input: the CancelRequests for one session, from this process and from other processes of a hot restart. Output:
//! which of the session's bytes they concern. State: the CancelRequest that the session has not taken.

use sprucelink_time::{TimeDelta, Timestamp};
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Longest time after its arrival at which a CancelRequest that another process received is applied. That process
/// keeps the CancelRequest's connection open for as long, so that a client which waits for the close sends its next
/// request later. As long as an attempt may follow its client's departure.
pub(super) const MAX_FORWARDING_TIME: TimeDelta = TimeDelta::from_millis(100);

/// Which of a session's bytes a CancelRequest concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CancelScope {
    /// Those that arrived by this time.
    ArrivedBy(Timestamp),
    /// All that have arrived when the session takes the CancelRequest.
    Arrived,
}

/// A session's cancel signal. A CancelRequest cancels each request of which a byte arrived before it. It must not
/// cancel a later request.
#[derive(Debug)]
pub struct CancelSignal {
    /// The secret key in the session's BackendKeyData, which a CancelRequest must repeat.
    secret: u32,
    /// The CancelRequest that the session has not taken; the widest scope if there are several.
    requested: Cell<Option<CancelScope>>,
    /// Notified when `requested` is set.
    was_requested: Notify,
    /// Notified when `requested` is taken.
    was_taken: Notify,
}

impl CancelSignal {
    /// Creates the signal of a session whose BackendKeyData holds this secret key.
    pub(super) fn new(secret: u32) -> Rc<CancelSignal> {
        Rc::new(CancelSignal {
            secret,
            requested: Cell::new(None),
            was_requested: Notify::new(),
            was_taken: Notify::new(),
        })
    }

    /// Records a CancelRequest; returns false if its key is wrong, and it is ignored.
    pub(super) fn request(&self, secret: u32) -> bool {
        self.record(secret, CancelScope::Arrived)
    }

    /// Records a CancelRequest that another process received at `received_at`; returns false if its key is wrong,
    /// and it is ignored.
    pub(super) fn request_forwarded(&self, secret: u32, received_at: Timestamp) -> bool {
        self.record(secret, CancelScope::ArrivedBy(received_at + MAX_FORWARDING_TIME))
    }

    fn record(&self, secret: u32, scope: CancelScope) -> bool {
        if self.secret != secret {
            return false;
        }
        self.requested.set(self.requested.get().max(Some(scope)));
        self.was_requested.notify_one();
        true
    }

    /// Whether there is a CancelRequest that has not been taken.
    pub(super) fn is_requested(&self) -> bool {
        self.requested.get().is_some()
    }

    /// Completes when there is a CancelRequest that has not been taken.
    pub(super) async fn requested(&self) {
        while !self.is_requested() {
            self.was_requested.notified().await;
        }
    }

    /// Takes the CancelRequest; `None` if there is none.
    pub(super) fn take(&self) -> Option<CancelScope> {
        let scope = self.requested.take();
        self.was_taken.notify_waiters();
        scope
    }

    /// Completes when no CancelRequest is left to take.
    pub(super) async fn taken(&self) {
        loop {
            let taken = self.was_taken.notified();
            if !self.is_requested() {
                return;
            }
            taken.await;
        }
    }
}
