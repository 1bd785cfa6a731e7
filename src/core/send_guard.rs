//! The send guard: the rules that an attempt must still meet just before its first byte is sent.
//!
//! The policy chose the attempt some time ago: since then its connection came up late, its peer was slow, or this process
//! had no turn. Every rule on what is sent is checked here once more, on the state of this moment. An attempt that fails is
//! withdrawn; as it was never sent, it costs its request nothing. This is no second decision: it applies the policy's own
//! rules on retries ([`RetryRule`], [`RetryBudgetSettings::allows_retry`]) and stops only what the policy would not choose
//! at this moment.

use sprucelink_policy::{RetryBudgetSettings, RetryRule, Settings, TimeDelta, Timestamp};
use sprucelink_rate_limits::SlotWindow;

/// Width of a slot in which events are counted; longer windows have wider slots.
const MIN_SLOT_WIDTH: TimeDelta = TimeDelta::from_millis(20);
/// Slots of one window.
const MAX_SLOTS: u32 = 1_024;

/// Why an attempt may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SendRejection {
    /// Its request has its final response, or its client has gone.
    RequestOver,
    /// Its client's deadline has passed, or this process shuts down before.
    DeadlinePassed,
    /// Its engine drains, is gone, or is cordoned.
    EngineNotReady,
    /// Its class may not be retried, or not any more.
    NotRetryable,
    /// The retry budget is spent.
    RetryBudgetSpent,
}

/// An attempt that is about to be sent, as things stand at this moment.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingAttempt {
    /// Its request has no final response, and its client is present.
    pub(super) request_is_awaited: bool,
    /// When its client stops waiting.
    pub(super) deadline: Timestamp,
    /// Its class, by number.
    pub(super) class: usize,
    /// Its request had attempts before.
    pub(super) is_retry: bool,
    /// When the first attempt that may have run was sent.
    pub(super) may_have_run_since: Option<Timestamp>,
    /// Its engine is listed as ready and not cordoned.
    pub(super) engine_is_ready: bool,
}

/// The rules on what is sent, and what they count.
#[derive(Debug)]
pub(super) struct SendGuard {
    /// By class.
    retry_rules: Vec<RetryRule>,
    retry_budget: Option<RetryBudgetSettings>,
    requests: SlotWindow<u32>,
    retries: SlotWindow<u32>,
    /// When this process gives its last responses, once it shuts down.
    shutdown_deadline: Option<Timestamp>,
}

impl SendGuard {
    /// The rules of the policy's settings, with nothing counted.
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

    /// Sets when this process gives its last responses.
    pub(super) fn set_shutdown_deadline(&mut self, deadline: Timestamp) {
        self.shutdown_deadline = Some(deadline);
    }

    /// When a request has to be responded to at the latest, if its client waits until `deadline`.
    pub(super) fn response_deadline(&self, deadline: Timestamp) -> Timestamp {
        self.shutdown_deadline.map_or(deadline, |shutdown| shutdown.min(deadline))
    }

    /// Whether the last responses have been given: further requests are rejected.
    pub(super) fn is_closed(&self, now: Timestamp) -> bool {
        self.shutdown_deadline.is_some_and(|shutdown| now >= shutdown)
    }

    /// Counts a request.
    pub(super) fn record_request(&mut self, now: Timestamp) {
        if self.retry_budget.is_some() {
            self.requests.increment(now);
        }
    }

    /// Counts an attempt whose first byte is being sent.
    pub(super) fn record_send(&mut self, now: Timestamp, is_retry: bool) {
        if is_retry && self.retry_budget.is_some() {
            self.retries.increment(now);
        }
    }

    /// Checks whether an attempt may be sent. `spare_attempts`: retries that other managers leave to this one.
    ///
    /// # Errors
    /// The first rule that it would break.
    pub(super) fn check(
        &self,
        now: Timestamp,
        spare_attempts: f64,
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
        if attempt.is_retry && !self.has_retry_budget(now, spare_attempts) {
            return Err(SendRejection::RetryBudgetSpent);
        }
        Ok(())
    }

    fn is_retryable(&self, now: Timestamp, attempt: &OutgoingAttempt) -> bool {
        let rule = self.retry_rules.get(attempt.class);
        rule.is_none_or(|rule| rule.allows_retry(now, attempt.may_have_run_since))
    }

    /// Whether one more retry stays within the budget. Of the slot that the window's begin cuts, retries count and requests
    /// do not, so that no exact window holds more retries than the budget allows.
    fn has_retry_budget(&self, now: Timestamp, spare_attempts: f64) -> bool {
        let Some(budget) = &self.retry_budget else { return true };
        let requests = self.requests.count_within(now);
        let retries = self.retries.count_overlapping(now);
        budget.allows_retry(requests, retries, spare_attempts)
    }
}

#[cfg(test)]
mod tests;
