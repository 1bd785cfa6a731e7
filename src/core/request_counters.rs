//! Counters of requests and attempts between two log lines. Input: increments by `request_statistics`.
//! Output: a log line. State: the counters.

use super::buffer_pool::PoolUsage;
use tracing::info;

/// The counters since the last log line.
#[derive(Default)]
pub(super) struct RequestCounters {
    /// Requests submitted.
    pub(super) submitted: u32,
    /// Requests completed with a result.
    pub(super) served: u32,
    /// Requests rejected, which their clients may retry without harm.
    pub(super) rejected: u32,
    /// Requests that failed; an attempt of such a request may have run.
    pub(super) failed: u32,
    /// Requests abandoned or cancelled by their clients.
    pub(super) abandoned: u32,
    /// Attempts started, including those that were not sent.
    pub(super) attempts: u32,
}

impl RequestCounters {
    /// Logs the counters, unless nothing was submitted and nothing is pending.
    pub(super) fn log(&self, pending: usize, memory: PoolUsage) {
        if self.submitted == 0 && pending == 0 {
            return;
        }
        info!(
            submitted = self.submitted,
            served = self.served,
            rejected = self.rejected,
            failed = self.failed,
            abandoned = self.abandoned,
            attempts = self.attempts,
            pending,
            pool_bytes = memory.used_bytes,
            buffers_beyond_limit = memory.buffers_beyond_limit,
            pool_refusals = memory.refusals,
            "request counters"
        );
    }
}
