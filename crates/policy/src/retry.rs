//! Retries: whether a further attempt of a request is allowed, from its class's effect, its earlier attempts,
//! its deadline and the retry budget.
//!
//! The send guard (`src/core/send_guard.rs`) checks [`RetryRule`] and the limit of the retry budget again
//! before the first byte of an attempt is sent.

use crate::final_response::RESPONSE_MARGIN;
use crate::policy::TICK;
use crate::settings::{ClassSettings, Effect, RetryBudgetSettings};
use crate::snapshot::StoredPolicy;
use sprucelink_rate_limits::EventWindow;
use sprucelink_time::{TimeDelta, Timestamp};

/// Retry rule of a class: which further attempts it allows once an attempt of a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRule {
    effect: Effect,
    dedup_window: TimeDelta,
}

/// Earlier attempts and deadline of a request, as the retry rule needs them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptHistory {
    /// Attempts sent so far.
    pub attempts: u32,
    /// Whether an attempt is in flight.
    pub is_in_flight: bool,
    /// Time at which the first attempt that may have run was sent; `None` if none may have run.
    pub may_have_run_since: Option<Timestamp>,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
}

/// Whether a further attempt is allowed, and otherwise the reason why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// A further attempt may be sent, as far as the retry budget allows.
    Allowed,
    /// The request is not idempotent, and an earlier attempt may run or have run.
    MayRunTwice,
    /// Engines no longer recognise the idempotency key of the first attempt that may have run.
    DedupWindowPassed,
    /// The request has had its maximum number of attempts.
    AttemptsExhausted,
    /// The client will stop waiting before an answer could reach it.
    DeadlineTooNear,
}

impl RetryDecision {
    /// Whether the decision is [`Allowed`](Self::Allowed).
    pub fn is_allowed(self) -> bool {
        self == RetryDecision::Allowed
    }
}

impl RetryRule {
    /// Takes the rule from a class's settings.
    pub fn of_class(class: &ClassSettings) -> RetryRule {
        RetryRule { effect: class.effect, dedup_window: class.repeat_window }
    }

    /// Whether a retry of a request may take effect a second time.
    pub fn effect(&self) -> Effect {
        self.effect
    }

    /// For keyed classes: time within which engines deduplicate retries, counted from the send of the first
    /// attempt that may have run.
    pub fn dedup_window(&self) -> TimeDelta {
        self.dedup_window
    }

    /// Whether a retry at `now` cannot take effect a second time. `may_have_run_since`: time at which the
    /// first attempt that may have run was sent; `None` if none may have run.
    pub fn is_retry_harmless(&self, now: Timestamp, may_have_run_since: Option<Timestamp>) -> bool {
        let Some(since) = may_have_run_since else { return true };
        match self.effect {
            Effect::Safe => true,
            Effect::Keyed => now < since + self.dedup_window,
            Effect::Unsafe => false,
        }
    }

    /// Decides whether a further attempt may be sent at `now`, without regard to the retry budget.
    pub fn decide(&self, now: Timestamp, history: &AttemptHistory, max_attempts: u32) -> RetryDecision {
        if !self.is_retry_harmless(now, history.may_have_run_since) {
            return match self.effect {
                Effect::Keyed => RetryDecision::DedupWindowPassed,
                Effect::Safe | Effect::Unsafe => RetryDecision::MayRunTwice,
            };
        }
        if self.effect == Effect::Unsafe && history.is_in_flight {
            return RetryDecision::MayRunTwice;
        }
        if history.attempts >= max_attempts {
            return RetryDecision::AttemptsExhausted;
        }
        if now + RESPONSE_MARGIN >= history.deadline {
            return RetryDecision::DeadlineTooNear;
        }
        RetryDecision::Allowed
    }
}

impl RetryBudgetSettings {
    /// Maximum number of retries in a window with this number of requests. `spare_retries`: retries that
    /// other managers leave to this one.
    pub fn max_retries(&self, requests: u64, spare_retries: f64) -> f64 {
        self.free_retries + self.retries_per_request * requests as f64 + spare_retries
    }

    /// Whether one more retry stays within the budget of a window with these numbers of requests and retries.
    pub fn has_capacity(&self, requests: u64, retries: u64, spare_retries: f64) -> bool {
        (retries + 1) as f64 <= self.max_retries(requests, spare_retries)
    }
}

/// The requests and retries of the budget's sliding window, counted exactly.
#[derive(Clone, Default)]
pub struct RetryBudget {
    requests: EventWindow,
    retries: EventWindow,
}

impl RetryBudget {
    /// Counts a request received at `now`.
    pub fn record_request(&mut self, now: Timestamp, settings: Option<&RetryBudgetSettings>) {
        let window = settings.map_or(TimeDelta::ZERO, |budget| budget.window);
        self.requests.record(now, window);
    }

    /// Counts a retry sent at `now`.
    pub fn record_retry(&mut self, now: Timestamp, settings: Option<&RetryBudgetSettings>) {
        let window = settings.map_or(TimeDelta::ZERO, |budget| budget.window + TICK);
        self.retries.record(now, window);
    }

    /// Whether one more retry may be sent at `now`; always `true` without a budget.
    ///
    /// Retries count for one tick longer than requests, so that no window of exactly the configured length
    /// has more retries than the budget allows.
    pub fn has_capacity(
        &self,
        now: Timestamp,
        settings: Option<&RetryBudgetSettings>,
        spare_retries: f64,
    ) -> bool {
        let Some(budget) = settings else { return true };
        let window_start = now - budget.window;
        let requests = self.requests.count_after(window_start) as u64;
        let retries = self.retries.count_after(window_start - TICK) as u64;
        budget.has_capacity(requests, retries, spare_retries)
    }

    pub(crate) fn store(&self, stored: &mut StoredPolicy) {
        stored.recent_requests = self.requests.clone();
        stored.recent_retries = self.retries.clone();
    }

    pub(crate) fn restore(stored: &mut StoredPolicy) -> RetryBudget {
        RetryBudget {
            requests: std::mem::take(&mut stored.recent_requests),
            retries: std::mem::take(&mut stored.recent_retries),
        }
    }
}

#[cfg(test)]
mod tests;
