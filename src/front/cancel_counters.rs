//! Counts what CancelRequests cancelled.
//!
//! Input: each effect of a CancelRequest in its session. Output: a counter for each effect, and a log line.

use sprucelink_metrics::{Counter, Metrics};
use tracing::debug;

/// What a CancelRequest cancelled in its session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CancelEffect {
    /// A request that was open.
    OpenRequest,
    /// A request that had arrived and was not submitted yet.
    WaitingRequest,
    /// Nothing: the session had no request.
    Nothing,
}

/// Counters of requests that were cancelled, and of CancelRequests that found none.
pub(super) struct CancelCounters {
    open_request: Counter,
    waiting_request: Counter,
    no_request: Counter,
}

impl CancelCounters {
    /// Creates the counters in `metrics`.
    pub(super) fn new(metrics: &Metrics) -> CancelCounters {
        let counter = |name| metrics.counter(name).unwrap_or_else(|_| Counter::noop());
        CancelCounters {
            open_request: counter("cancels.open_request"),
            waiting_request: counter("cancels.waiting_request"),
            no_request: counter("cancels.no_request"),
        }
    }

    /// Counts and logs an effect in the session with this process id.
    pub(super) fn record(&self, process_id: u32, effect: CancelEffect) {
        let counter = match effect {
            CancelEffect::OpenRequest => &self.open_request,
            CancelEffect::WaitingRequest => &self.waiting_request,
            CancelEffect::Nothing => &self.no_request,
        };
        counter.increment(1);
        debug!(session = process_id, ?effect, "CancelRequest handled");
    }
}
