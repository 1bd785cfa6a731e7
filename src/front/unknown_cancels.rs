//! CancelRequests, which cancel a session's request. During a hot restart a CancelRequest may reach a process
//! that does not serve the session: another process that accepts from the same listening socket may serve it.
//!
//! Input: the CancelRequests of clients and of other processes. Output: signals to sessions, and the
//! CancelRequests of unknown sessions for the driver of the hot restart. State: those that it has not taken.

use super::Front;
use crate::core::now;
use sprucelink_metrics::{Counter, Metrics};
use sprucelink_time::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use tokio::sync::Notify;

/// Maximum number of CancelRequests that are kept; beyond it the oldest are dropped.
const MAX_KEPT: usize = 256;

/// A CancelRequest for a session that this process does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCancel {
    /// The session's process id, from its BackendKeyData.
    pub process_id: u32,
    /// The session's secret key, from its BackendKeyData.
    pub secret: u32,
    /// Time at which the CancelRequest was received.
    pub received_at: Timestamp,
}

/// The CancelRequests that were not taken yet.
pub(super) struct UnknownCancels {
    kept: RefCell<VecDeque<UnknownCancel>>,
    /// Whether the requests are kept; otherwise they are only counted.
    is_enabled: Cell<bool>,
    received: Notify,
    /// CancelRequests for sessions that this process does not serve.
    unknown: Counter,
    /// CancelRequests that another process received for sessions of this process.
    taken_over: Counter,
}

impl UnknownCancels {
    /// Creates the counters in `metrics`; no requests are kept until [`UnknownCancels::enable`].
    pub(super) fn new(metrics: &Metrics) -> UnknownCancels {
        let counter = |name| metrics.counter(name).unwrap_or_else(|_| Counter::noop());
        UnknownCancels {
            kept: RefCell::default(),
            is_enabled: Cell::new(false),
            received: Notify::new(),
            unknown: counter("cancels.unknown_session"),
            taken_over: counter("cancels.taken_over"),
        }
    }

    /// Keeps requests from now on.
    pub(super) fn enable(&self) {
        self.is_enabled.set(true);
    }

    /// Adds a request.
    pub(super) fn push(&self, cancel: UnknownCancel) {
        self.unknown.increment(1);
        if !self.is_enabled.get() {
            return;
        }
        let mut kept = self.kept.borrow_mut();
        if kept.len() >= MAX_KEPT {
            kept.pop_front();
        }
        kept.push_back(cancel);
        self.received.notify_one();
    }

    /// Takes all requests.
    pub(super) fn take(&self) -> VecDeque<UnknownCancel> {
        self.kept.take()
    }

    /// Completes when a request was added.
    pub(super) async fn received(&self) {
        self.received.notified().await;
    }

    /// Counts a request that another process received and that took effect in this process.
    pub(super) fn record_taken_over(&self) {
        self.taken_over.increment(1);
    }
}

impl Front {
    /// Handles a CancelRequest. The client gets no answer, whether the session exists or not. If it does not
    /// exist in this process, another process of this manager may serve it.
    pub(super) fn request_cancel(&self, process_id: u32, secret: u32) {
        let is_known = self.sessions.borrow().get(&process_id).is_some_and(|cancel| cancel.request(secret));
        if !is_known {
            self.unknown_cancels.push(UnknownCancel { process_id, secret, received_at: now() });
        }
    }

    /// Handles a CancelRequest that another process received; returns whether it took effect in a session of
    /// this process.
    pub fn apply_forwarded_cancel(&self, cancel: UnknownCancel) -> bool {
        let UnknownCancel { process_id, secret, received_at } = cancel;
        let sessions = self.sessions.borrow();
        let signal = sessions.get(&process_id);
        let is_applied = signal.is_some_and(|signal| signal.request_forwarded(secret, received_at));
        if is_applied {
            self.unknown_cancels.record_taken_over();
        }
        is_applied
    }

    /// Keeps CancelRequests for sessions of other processes from now on, for
    /// [`Front::take_unknown_cancels`].
    pub fn keep_unknown_cancels(&self) {
        self.unknown_cancels.enable();
    }

    /// Takes the CancelRequests for sessions that this process does not serve.
    pub fn take_unknown_cancels(&self) -> impl Iterator<Item = UnknownCancel> {
        self.unknown_cancels.take().into_iter()
    }

    /// Completes when a CancelRequest for an unknown session was received.
    pub async fn unknown_cancel_received(&self) {
        self.unknown_cancels.received().await;
    }
}
