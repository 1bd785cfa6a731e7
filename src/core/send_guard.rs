//! The send guard: the rules that an attempt must still satisfy just before its first byte is sent.
//!
//! Input: the state of an attempt just before its first byte, and the requests and retries to count. Output:
//! whether the attempt may be sent, with the reason if not. State: the retry budget's window and the shutdown
//! deadline.
//!
//! The policy selected the engine some time ago. Since then the attempt may have waited for its connection,
//! for a slow peer, or for the processor. Five rules are therefore checked again on the current state: the
//! request is open, the deadline has not passed, the engine is ready, the class allows a retry
//! ([`RetryRule::is_retry_harmless`]), and the retry budget has capacity ([`RetryBudgetSettings::has_capacity`]).
//! The other rules are checked only when the engine is selected: number of attempts, deduplication group,
//! slow start, health. An attempt that fails a check is withdrawn; it was never sent, so its request loses
//! nothing but time.

use sprucelink_policy::{RetryBudgetSettings, RetryRule, Settings, TimeDelta, Timestamp};
use sprucelink_rate_limits::SlotWindow;

/// Smallest width of the slots in which events are counted. Longer windows have wider slots.
const MIN_SLOT_WIDTH: TimeDelta = TimeDelta::from_millis(20);
/// Limit on the number of slots of a window.
const MAX_SLOTS: u32 = 1_024;

/// Why an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendRejection {
    /// The request has its final response, or its client has disconnected.
    RequestOver,
    /// The client's deadline or the shutdown deadline has passed.
    DeadlinePassed,
    /// The engine is draining, gone or cordoned.
    EngineNotReady,
    /// The request's class may not be retried, or its deduplication window has ended.
    NotRetryable,
    /// The retry budget is exhausted.
    RetryBudgetSpent,
}

/// The current state of an attempt that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingAttempt {
    /// Whether the request has no final response and its client is still connected.
    pub(super) request_is_awaited: bool,
    /// Time at which the client stops waiting.
    pub(super) deadline: Timestamp,
    /// Index of the request's class.
    pub(super) class: usize,
    /// Whether the attempt has to be charged to the retry budget: it is a retry and was not charged before.
    pub(super) is_retry: bool,
    /// Time at which the first attempt of the request that may have run was queued; `None` if none may have
    /// run.
    pub(super) may_have_run_since: Option<Timestamp>,
    /// Whether the engine is listed as ready and not cordoned.
    pub(super) engine_is_ready: bool,
}

/// The rules on what is sent, and the counts that they need.
#[derive(Debug)]
pub(super) struct SendGuard {
    /// Retry rules by class index.
    retry_rules: Vec<RetryRule>,
    retry_budget: Option<RetryBudgetSettings>,
    /// Requests, and retries at their first byte, in the retry budget's window. The policy has its own window
    /// (`RetryBudget`), which counts a retry when it is decided, even if the attempt is withdrawn before its
    /// first byte.
    requests: SlotWindow<u32>,
    retries: SlotWindow<u32>,
    /// Time from which this process rejects all requests; `None` until it shuts down.
    shutdown_deadline: Option<Timestamp>,
}

impl SendGuard {
    /// Creates a guard with the rules of the policy's settings, with all counts at zero.
    pub(super) fn new(settings: &Settings) -> SendGuard {
        let span = settings.retry_budget.as_ref().map_or(TimeDelta::ZERO, |budget| budget.window);
        SendGuard {
            retry_rules: settings.classes.iter().map(RetryRule::of_class).collect(),
            retry_budget: settings.retry_budget,
            requests: SlotWindow::new(span, MIN_SLOT_WIDTH, MAX_SLOTS),
            retries: SlotWindow::new(span, MIN_SLOT_WIDTH, MAX_SLOTS),
            shutdown_deadline: None,
        }
    }

    /// Sets the time from which this process rejects all requests and sends nothing.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Timestamp) {
        self.shutdown_deadline = Some(deadline);
    }

    /// Time by which a request must have its response, if its client waits until `deadline`.
    pub(super) fn response_deadline(&self, deadline: Timestamp) -> Timestamp {
        self.shutdown_deadline.map_or(deadline, |shutdown| shutdown.min(deadline))
    }

    /// Whether the shutdown deadline has passed, so that further requests are rejected.
    pub(super) fn is_closed(&self, now: Timestamp) -> bool {
        self.shutdown_deadline.is_some_and(|shutdown| now >= shutdown)
    }

    /// Counts a request, which increases the retry budget.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        if self.retry_budget.is_some() {
            self.requests.increment(now);
        }
    }

    /// Counts an attempt whose first byte is being sent.
    pub(super) fn record_first_byte(&mut self, now: Timestamp, is_retry: bool) {
        if is_retry && self.retry_budget.is_some() {
            self.retries.increment(now);
        }
    }

    /// Checks whether an attempt may be sent. `spare_retries`: retries that other managers leave to this
    /// manager.
    ///
    /// # Errors
    /// The first rule that the attempt would break.
    pub(super) fn check(
        &self,
        now: Timestamp,
        spare_retries: f64,
        attempt: &OutgoingAttempt,
    ) -> Result<(), SendRejection> {
        if !attempt.request_is_awaited {
            return Err(SendRejection::RequestOver);
        }
        if now >= self.response_deadline(attempt.deadline) {
            return Err(SendRejection::DeadlinePassed);
        }
        if !attempt.engine_is_ready {
            return Err(SendRejection::EngineNotReady);
        }
        if !self.is_retryable(now, attempt) {
            return Err(SendRejection::NotRetryable);
        }
        if attempt.is_retry && !self.has_retry_budget(now, spare_retries) {
            return Err(SendRejection::RetryBudgetSpent);
        }
        Ok(())
    }

    fn is_retryable(&self, now: Timestamp, attempt: &OutgoingAttempt) -> bool {
        let rule = self.retry_rules.get(attempt.class);
        rule.is_none_or(|rule| rule.is_retry_harmless(now, attempt.may_have_run_since))
    }

    /// Whether a further retry stays within the budget. In the slot in which the window starts, retries are
    /// counted and requests are not, so that no exact window has more retries than the budget allows.
    fn has_retry_budget(&self, now: Timestamp, spare_retries: f64) -> bool {
        let Some(budget) = &self.retry_budget else { return true };
        let requests = self.requests.count_within(now);
        let retries = self.retries.count_overlapping(now);
        budget.has_capacity(requests, retries, spare_retries)
    }
}

#[cfg(test)]
mod tests;
