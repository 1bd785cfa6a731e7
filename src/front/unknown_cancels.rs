//! CancelRequests, which cancel a session's request. During a hot restart a CancelRequest may reach a process
//! that does not serve the session: another process that accepts from the same listening socket may serve it.
//!
//! Input: the CancelRequests of clients and of other processes. Output: signals to sessions, and the
//! CancelRequests of unknown sessions for the driver of the hot restart. State: those that it has not taken.

use super::cancel_signal::MAX_FORWARDING_TIME;
use super::startup::SessionKey;
use super::Front;
use crate::core::{now, to_duration};
use sprucelink_metrics::{Counter, Metrics};
use sprucelink_time::Timestamp;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Maximum number of CancelRequests that are kept; beyond it the oldest are dropped.
const MAX_KEPT: usize = 256;

/// Longest time for which a CancelRequest's connection waits for its session.
const MAX_TAKING_TIME: Duration = Duration::from_secs(1);

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
    /// Creates the counters in `metrics`; no requests are kept until [`UnknownCancels::set_enabled`].
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

    /// Sets whether requests are kept.
    pub(super) fn set_enabled(&self, is_enabled: bool) {
        self.is_enabled.set(is_enabled);
    }

    /// Whether requests are kept.
    pub(super) fn is_enabled(&self) -> bool {
        self.is_enabled.get()
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
    /// exist in this process, another process of this manager may serve it. Completes when the CancelRequest can
    /// cancel no request that its client sends later: its connection must not be closed before, since a client may
    /// take the close for the end of the cancellation.
    pub(super) async fn request_cancel(&self, key: SessionKey) {
        let SessionKey { process_id, secret } = key;
        let session = self.sessions.borrow().get(&process_id).cloned();
        if let Some(signal) = session.filter(|signal| signal.request(secret)) {
            // A session that does not take it in time is about to fail.
            drop(timeout(MAX_TAKING_TIME, signal.taken()).await);
            return;
        }
        self.unknown_cancels.push(UnknownCancel { process_id, secret, received_at: now() });
        if self.unknown_cancels.is_enabled() {
            sleep(to_duration(MAX_FORWARDING_TIME)).await;
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

    /// Sets whether CancelRequests for sessions of other processes are kept, for
    /// [`Front::take_unknown_cancels`].
    pub fn keep_unknown_cancels(&self, is_enabled: bool) {
        self.unknown_cancels.set_enabled(is_enabled);
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
