//! Statistics of requests and attempts.
//!
//! Input: the submission and outcome of each request and attempt. Output: the metrics, and a log line of the
//! counters in each interval. State: the counters since the last log line.

use super::attempt::AttemptOutcome;
use super::buffer_pool::PoolUsage;
use super::outcome_counters::OutcomeCounters;
use super::request::Response;
use super::request_counters::RequestCounters;
use super::send_guard::SendRejection;
use sprucelink_metrics::{ActiveRequest, Metrics};
use sprucelink_policy::{TimeDelta, Timestamp};
use tracing::warn;

/// Time between two log lines of the counters.
const LOG_INTERVAL: TimeDelta = TimeDelta::from_secs(10);

/// Counts requests and attempts by their outcomes, for the metrics and for the log.
pub(super) struct RequestStatistics {
    /// Counters in the metrics, by outcome or reason.
    outcomes: OutcomeCounters,
    /// Counters since the last log line.
    counters: RequestCounters,
    next_log_at: Timestamp,
    /// Number of events that the recorder had lost when the loss was last logged.
    logged_capture_losses: u64,
}

impl RequestStatistics {
    /// Creates statistics that count in `metrics`. The first log line is due [`LOG_INTERVAL`] after `now`.
    pub(super) fn new(metrics: &Metrics, now: Timestamp) -> RequestStatistics {
        RequestStatistics {
            outcomes: OutcomeCounters::new(metrics),
            counters: RequestCounters::default(),
            next_log_at: now + LOG_INTERVAL,
            logged_capture_losses: 0,
        }
    }

    /// Counts a submitted request.
    pub(super) fn record_submission(&mut self) {
        self.counters.submitted += 1;
    }

    /// Counts a request that was abandoned or, if `was_cancelled`, cancelled by its client. `accounting`: the
    /// request's entry in the metrics.
    pub(super) fn record_abandonment(&mut self, accounting: Option<ActiveRequest>, was_cancelled: bool) {
        if let Some(accounting) = accounting {
            if was_cancelled {
                accounting.abort();
            } else {
                accounting.abandon();
            }
        }
        self.counters.abandoned += 1;
    }

    /// Counts an attempt that was started.
    pub(super) fn record_attempt(&mut self) {
        self.counters.attempts += 1;
    }

    /// Counts the end of an attempt by its outcome.
    pub(super) fn record_attempt_end(&self, outcome: AttemptOutcome) {
        self.outcomes.record_end(outcome);
    }

    /// Counts an attempt that the send guard rejected just before its first byte, by the reason.
    pub(super) fn record_withdrawal(&self, reason: SendRejection) {
        self.outcomes.record_withdrawal(reason);
    }

    /// Counts a final response. `accounting`: the request's entry in the metrics.
    pub(super) fn record_response(&mut self, response: &Response, accounting: Option<ActiveRequest>) {
        self.outcomes.record_response(response);
        match response {
            Response::Served(_) => {
                accounting.into_iter().for_each(ActiveRequest::succeed);
                self.counters.served += 1;
            }
            Response::Rejected { .. } => {
                accounting.into_iter().for_each(ActiveRequest::reject);
                self.counters.rejected += 1;
            }
            Response::Failed { .. } => {
                accounting.into_iter().for_each(ActiveRequest::abort);
                self.counters.failed += 1;
            }
        }
    }

    /// Resets the number of lost events that was last logged, because a new recorder counts from zero.
    pub(super) fn reset_capture_losses(&mut self) {
        self.logged_capture_losses = 0;
    }

    /// Whether the next log line is due.
    pub(super) fn is_log_due(&self, now: Timestamp) -> bool {
        now >= self.next_log_at
    }

    /// Logs the counters of the last interval and resets them. `pending`: pending requests; `memory`: how the
    /// pool of buffers is used; `capture_losses`: events that the recorder has lost so far.
    pub(super) fn log(&mut self, now: Timestamp, pending: usize, memory: PoolUsage, capture_losses: u64) {
        self.next_log_at = now + LOG_INTERVAL;
        if capture_losses > self.logged_capture_losses {
            let lost = capture_losses - self.logged_capture_losses;
            self.logged_capture_losses = capture_losses;
            let interval_s = LOG_INTERVAL.as_micros() / 1_000_000;
            warn!(lost, interval_s, "capture lost events");
        }
        let counters = std::mem::take(&mut self.counters);
        counters.log(pending, memory);
    }
}
