//! The send guard: the rules that an attempt must still satisfy just before its first byte is sent.
//!
//! Input: the state of an attempt just before its first byte, and the requests and retries to count. Output:
//! whether the attempt may be sent, with the reason if not. State: the retry budget's window and the shutdown
//! deadline.
//!
//! Between the selection of the engine by the policy and the first byte, an attempt may wait for its
//! connection, for a slow peer, or for the processor. Five rules are therefore checked again on the current
//! state: the request is open, the deadline has not passed, the engine is ready, the class allows a retry
//! ([`RetryRule::is_retry_harmless`]), and the retry budget has capacity
//! ([`RetryBudgetSettings::has_capacity`]). The other rules (number of attempts, deduplication group, slow
//! start, health) are checked only when the engine is selected. An attempt that fails a check is withdrawn;
//! it was never sent, so its request loses nothing but time.

use sprucelink_policy::{RetryBudgetSettings, RetryRule, Settings, TimeDelta, Timestamp};
use sprucelink_rate_limits::SlotWindow;

/// Smallest width of the slots in which requests and retries are counted. Windows longer than [`MAX_SLOTS`]
/// times this width have wider slots.
const MIN_SLOT_WIDTH: TimeDelta = TimeDelta::from_millis(20);
/// Limit on the number of slots into which the retry budget's window is divided, which bounds its memory.
const MAX_SLOTS: u32 = 1_024;

/// The reason why an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendRejection {
    /// The request has its final response, or its client has disconnected.
    RequestOver,
    /// The client's deadline or the shutdown deadline has passed.
    DeadlinePassed,
    /// The engine is draining, gone or cordoned.
    EngineNotReady,
    /// An attempt of the request may have run, and either its class must not run twice or its deduplication
    /// window has ended.
    NotRetryable,
    /// The retry budget is exhausted.
    RetryBudgetSpent,
    /// The command has to be written anew with the time that is left, and the pool has no buffer for it.
    NoBuffer,
}

/// The current state of an attempt that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingAttempt {
    /// Whether the request has no final response and its client is still connected.
    pub(super) request_is_awaited: bool,
    /// Time at which the client stops waiting for a response.
    pub(super) deadline: Timestamp,
    /// Index of the request's class.
    pub(super) class: usize,
    /// Whether the attempt has to be charged to the retry budget: it is a retry and was not charged before.
    pub(super) charges_retry_budget: bool,
    /// Time at which the first attempt of the request that may have run was queued; `None` if none may have
    /// run.
    pub(super) may_have_run_since: Option<Timestamp>,
    /// Whether the engine is listed as ready and not cordoned.
    pub(super) engine_is_ready: bool,
}

/// The rules that are checked before the first byte of an attempt, and the requests and retries counted for
/// the retry budget.
#[derive(Debug)]
pub(super) struct SendGuard {
    /// Retry rules by class index.
    retry_rules: Vec<RetryRule>,
    retry_budget: Option<RetryBudgetSettings>,
    /// Requests in the retry budget's window.
    requests: SlotWindow<u32>,
    /// Retries in the retry budget's window, each counted at its first byte. The policy has its own window
    /// (`RetryBudget`), which counts a retry when the policy decides on it, even if the attempt is withdrawn
    /// before its first byte.
    retries: SlotWindow<u32>,
    /// Time from which this process rejects all requests and sends nothing; `None` until it begins to shut
    /// down.
    shutdown_deadline: Option<Timestamp>,
}

impl SendGuard {
    /// Creates a guard that applies the rules in the policy's settings; all counts are zero.
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

    /// Sets the time from which this process rejects all requests and sends nothing to an engine.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Timestamp) {
        self.shutdown_deadline = Some(deadline);
    }

    /// Time by which a request must have its response: the earlier of the client's `deadline` and the
    /// shutdown deadline.
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

    /// Charges an attempt whose first byte is about to be sent to the retry budget, if
    /// `charges_retry_budget`.
    pub(super) fn record_first_byte(&mut self, now: Timestamp, charges_retry_budget: bool) {
        if charges_retry_budget && self.retry_budget.is_some() {
            self.retries.increment(now);
        }
    }

    /// Checks whether an attempt may be sent. `spare_retries`: retries that this manager may make in the
    /// window beyond its own retry budget.
    ///
    /// # Errors
    /// The first rule that the attempt would break, in the order of [`SendRejection`].
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
        if attempt.charges_retry_budget && !self.has_retry_budget(now, spare_retries) {
            return Err(SendRejection::RetryBudgetSpent);
        }
        Ok(())
    }

    fn is_retryable(&self, now: Timestamp, attempt: &OutgoingAttempt) -> bool {
        let rule = self.retry_rules.get(attempt.class);
        rule.is_none_or(|rule| rule.is_retry_harmless(now, attempt.may_have_run_since))
    }

    /// Whether a further retry stays within the budget. Of the slot in which the window starts, all retries
    /// are counted and no requests, so that no exact window has more retries than the budget allows.
    fn has_retry_budget(&self, now: Timestamp, spare_retries: f64) -> bool {
        let Some(budget) = &self.retry_budget else { return true };
        let requests = self.requests.count_within(now);
        let retries = self.retries.count_overlapping(now);
        budget.has_capacity(requests, retries, spare_retries)
    }
}

#[cfg(test)]
mod tests;
