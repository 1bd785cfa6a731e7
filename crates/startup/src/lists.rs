//! When a manager calls the list service (the control feed) for its list of engines.
//!
//! Today's rule, alone in the fleet, is harmless: call at once at the start, and again 20 ms after an answer
//! ends. Hundreds of managers that start, or lose the service, together then call it in the same
//! milliseconds. Here:
//!
//! - the first call of a start is spread by full jitter over a window that grows with the fleet's size as
//!   told: `fleet / fleet_rate` seconds, at most `window_most_ms`;
//! - every call takes a token from a bucket that fills at this manager's part of the fleet's rate,
//!   `fleet_rate / fleet` a second, and holds `burst` tokens;
//! - a call that could not be made or was cut rests by backoff from `failed` (short: most breaks pass);
//!   one that the service refused (HTTP 429 or 503) rests by backoff from `refused` (gRPC's figures);
//! - no first call waits longer than `window_most_ms`, and no rest after a call that was answered, or that
//!   failed, lasts longer than `rest_most_ms`, whatever the budget says: both at most 250 ms. An event counts
//!   as told when it would have come had the manager been calling, and a drain must be heeded within 500 ms
//!   of that (seen: with both bounds at 1 s, herd+mass broke the drain rule 14 times, journal d6e5453d).
//!   Only an explicit refusal may rest longer, for the service is there and says that it cannot answer.
//!
//! The list last held stays in force meanwhile; [`ListCalls::unanswered_for`] says for how long no call was
//! answered, for logs and counters.

use crate::backoff::{Backoff, BackoffTerms};
use crate::{TimeDelta, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use sprucelink_settings::{check_range, InvalidField};

/// Longest first wait and rest, in milliseconds: half the drain grace of 500 ms, so that a manager that
/// learns of a drain at the end of a rest still stops sending within the grace.
pub const DRAIN_BOUND_MS: f64 = 250.0;
/// Longest window where drains heard late break no rule, in milliseconds: two of the minutes that a call lasts.
const WIDEST_MS: f64 = 120_000.0;

/// How a call for lists ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// It was answered (the head of a good response came), and then the answer ended or broke.
    Answered,
    /// No connection, no head in time, a bad head, or silence before any answer.
    Failed,
    /// The service answered that it would not serve now: HTTP 429 or 503.
    Refused,
}

/// The figures of list calls.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListTerms {
    /// Calls a second that the list service is taken to bear from the whole fleet; 1 to 100,000.
    pub fleet_rate: f64,
    /// Engines turn work away themselves while they drain, so that a drain heard late breaks no rule: only then
    /// may `window_most_ms` pass 250. Never so on the platform.
    pub engines_refuse_drained: bool,
    /// Tokens a manager may hold: calls in a row without waiting for the budget; 1 to 100.
    pub burst: f64,
    /// Longest window over which first calls are spread, in milliseconds; 0 to 250 (drains), or to 120,000 with
    /// `engines_refuse_drained`.
    pub window_most_ms: f64,
    /// Longest rest after an answered or failed call, in milliseconds; 20 to 250 (drains).
    pub rest_most_ms: f64,
    /// Least rest after an answered call, before jitter, in milliseconds; 0 to `rest_most_ms`.
    pub again_least_ms: f64,
    /// Backoff after calls that failed.
    pub failed: BackoffTerms,
    /// Backoff after calls that the service refused.
    pub refused: BackoffTerms,
}

impl Default for ListTerms {
    fn default() -> ListTerms {
        ListTerms {
            fleet_rate: 200.0,
            engines_refuse_drained: false,
            burst: 3.0,
            window_most_ms: 200.0,
            rest_most_ms: 250.0,
            again_least_ms: 20.0,
            failed: BackoffTerms { initial_ms: 20.0, multiplier: 2.0, jitter: 0.5, max_ms: 250.0 },
            refused: BackoffTerms::GRPC,
        }
    }
}

impl ListTerms {
    /// What is wrong with the figures, if anything: the field and the rule.
    pub fn validate(&self) -> Result<(), InvalidField> {
        check_range("fleet_rate", self.fleet_rate, 1.0, 100_000.0)?;
        check_range("burst", self.burst, 1.0, 100.0)?;
        let window = if self.engines_refuse_drained { WIDEST_MS } else { DRAIN_BOUND_MS };
        check_range("window_most_ms", self.window_most_ms, 0.0, window)?;
        check_range("rest_most_ms", self.rest_most_ms, 20.0, DRAIN_BOUND_MS)?;
        check_range("again_least_ms", self.again_least_ms, 0.0, self.rest_most_ms)?;
        self.failed.validate().map_err(|invalid| invalid.in_section("failed"))?;
        self.refused.validate().map_err(|invalid| invalid.in_section("refused"))
    }
}

/// The schedule of one manager's calls for lists.
#[derive(Clone, Debug)]
pub struct ListCalls {
    terms: ListTerms,
    fleet: f64,
    rng: ChaCha8Rng,
    next: Timestamp,
    tokens: f64,
    filled: Timestamp,
    failed: Backoff,
    refused: Backoff,
    calling: bool,
    answered: Option<Timestamp>,
    born: Timestamp,
    calls: u64,
}

impl ListCalls {
    /// The schedule of a manager that starts now, in a fleet of `fleet` managers as told (at least 1).
    pub fn new(terms: ListTerms, fleet: u32, seed: u64, now: Timestamp) -> ListCalls {
        let mut calls = ListCalls {
            terms,
            fleet: f64::from(fleet.max(1)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            next: now,
            tokens: terms.burst,
            filled: now,
            failed: Backoff::new(terms.failed),
            refused: Backoff::new(terms.refused),
            calling: false,
            answered: None,
            born: now,
            calls: 0,
        };
        let window = calls.window();
        calls.next = now + calls.full_jitter(window);
        calls
    }

    /// The window over which the fleet's first calls spread: the fleet's size at its rate, within bounds.
    pub fn window(&self) -> TimeDelta {
        let seconds = (self.fleet / self.terms.fleet_rate).min(self.terms.window_most_ms / 1_000.0);
        TimeDelta::from_secs_f64(seconds)
    }

    fn full_jitter(&mut self, span: TimeDelta) -> TimeDelta {
        if span <= TimeDelta::ZERO {
            return TimeDelta::ZERO;
        }
        TimeDelta::from_micros(self.rng.gen_range(0..=span.as_micros()))
    }

    fn fill(&mut self, now: Timestamp) {
        let rate = self.terms.fleet_rate / self.fleet;
        let gained = (now - self.filled).as_secs_f64().max(0.0) * rate;
        self.tokens = (self.tokens + gained).min(self.terms.burst);
        self.filled = self.filled.max(now);
    }

    /// When the next call may start; while one is under way, none.
    pub fn due(&self) -> Option<Timestamp> {
        (!self.calling).then_some(self.next)
    }

    /// Starts a call if one is due: `true` if it may go now. It takes a token, or goes without one where the
    /// budget would hold it past its bound (the drain rule comes first).
    pub fn start(&mut self, now: Timestamp) -> bool {
        if self.calling || now < self.next {
            return false;
        }
        self.fill(now);
        self.tokens = (self.tokens - 1.0).max(-self.terms.burst);
        self.calling = true;
        self.calls += 1;
        true
    }

    /// A call has ended so: when the next may start.
    pub fn ended(&mut self, now: Timestamp, how: Ended) -> Timestamp {
        self.calling = false;
        self.fill(now);
        let most = TimeDelta::from_secs_f64(self.terms.rest_most_ms / 1_000.0);
        let rest = match how {
            Ended::Answered => {
                self.answered = Some(now);
                self.failed.succeed();
                self.refused.succeed();
                let least = TimeDelta::from_secs_f64(self.terms.again_least_ms / 1_000.0);
                // Full jitter over the fleet's window, so that an end that all met at once (a restart of
                // the service) is not answered by all at once; then the budget.
                let spread = self.window().min(most);
                let jittered = least + self.full_jitter(spread);
                jittered.max(self.budget_wait()).min(most)
            }
            Ended::Failed => self.failed.fail(&mut self.rng).max(self.budget_wait()).min(most),
            Ended::Refused => self.refused.fail(&mut self.rng).max(self.budget_wait()),
        };
        self.next = now + rest;
        self.next
    }

    /// How long until a token is whole again.
    fn budget_wait(&self) -> TimeDelta {
        if self.tokens >= 1.0 {
            return TimeDelta::ZERO;
        }
        let rate = self.terms.fleet_rate / self.fleet;
        TimeDelta::from_secs_f64((1.0 - self.tokens) / rate)
    }

    /// Since when no call was answered, as a span: since the start if none was.
    pub fn unanswered_for(&self, now: Timestamp) -> TimeDelta {
        now - self.answered.unwrap_or(self.born)
    }

    /// Calls started so far.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Failures and refusals in a row so far.
    pub fn misses(&self) -> u32 {
        self.failed.failures() + self.refused.failures()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: i64 = 1_000_000;

    #[test]
    fn first_calls_of_a_fleet_spread_over_its_window() {
        let terms = ListTerms::default();
        let starts: Vec<i64> = (0..300)
            .map(|m| ListCalls::new(terms, 300, m, Timestamp::ZERO).due().unwrap().as_micros())
            .collect();
        // 300 managers at 200 calls a second: over 1.5 s, bounded to 200 ms for drains.
        assert!(starts.iter().all(|t| (0..=S / 5).contains(t)));
        let mut per_tenth = [0; 10];
        starts.iter().for_each(|t| per_tenth[((t * 50 / S) as usize).min(9)] += 1);
        assert!(per_tenth.iter().all(|n| *n <= 50), "{per_tenth:?}");
        // Alone, a manager calls at once.
        assert_eq!(ListCalls::new(terms, 1, 5, Timestamp::ZERO).window(), TimeDelta::from_micros(5_000));
    }

    #[test]
    fn refusals_back_off_and_an_answer_brings_the_next_call_soon() {
        let mut calls = ListCalls::new(ListTerms::default(), 100, 3, Timestamp::ZERO);
        let mut now = calls.due().unwrap();
        let mut rests = Vec::new();
        for _ in 0..5 {
            assert!(calls.start(now));
            let next = calls.ended(now, Ended::Refused);
            rests.push((next - now).as_micros());
            now = next;
        }
        assert!(rests.windows(2).all(|w| w[1] > w[0]), "{rests:?}");
        assert!(rests[0] >= 800_000, "{rests:?}");
        assert!(calls.start(now));
        let next = calls.ended(now, Ended::Answered);
        assert!((next - now).as_micros() <= S / 4, "after an answer the next call is at most 250 ms away");
        assert_eq!(calls.misses(), 0);
    }

    #[test]
    fn no_rest_after_a_failure_passes_the_drain_bound_whatever_the_budget() {
        // A budget of one call a second for a fleet of 1,000: a manager's part is one in 1,000 s.
        let terms = ListTerms { fleet_rate: 1.0, ..ListTerms::default() };
        let mut calls = ListCalls::new(terms, 1_000, 9, Timestamp::ZERO);
        let mut now = calls.due().unwrap();
        for i in 0..50 {
            assert!(calls.start(now), "call {i}");
            let how = if i % 2 == 0 { Ended::Failed } else { Ended::Answered };
            let next = calls.ended(now, how);
            assert!((next - now).as_micros() <= S / 4, "rest {} at call {i}", (next - now).as_micros());
            now = next;
        }
    }

    #[test]
    fn the_budget_holds_the_fleet_to_its_rate_where_the_bound_allows() {
        // 10 managers at 50 calls a second: each may call 5 times a second; the feed ends answers at once.
        let terms = ListTerms { fleet_rate: 50.0, burst: 1.0, ..ListTerms::default() };
        let mut calls = ListCalls::new(terms, 10, 1, Timestamp::ZERO);
        let mut now = calls.due().unwrap();
        let first = now;
        while now < first + TimeDelta::from_micros(10 * S) {
            assert!(calls.start(now));
            now = calls.ended(now, Ended::Answered);
        }
        assert!(calls.calls() <= 5 * 10 + 2, "{} calls in 10 s", calls.calls());
        assert!(calls.calls() >= 35, "{} calls in 10 s", calls.calls());
    }

    #[test]
    fn one_call_at_a_time() {
        let mut calls = ListCalls::new(ListTerms::default(), 1, 1, Timestamp::ZERO);
        let now = calls.due().unwrap();
        assert!(calls.start(now));
        assert!(!calls.start(now));
        assert_eq!(calls.due(), None);
        calls.ended(now, Ended::Failed);
        assert!(calls.due().is_some());
    }

    #[test]
    fn figures_out_of_range_are_named() {
        let bad = ListTerms { window_most_ms: 1_000.0, ..ListTerms::default() };
        assert!(bad.validate().unwrap_err().path.starts_with("window_most_ms"));
        assert!(ListTerms { engines_refuse_drained: true, ..bad }.validate().is_ok());
        let bad =
            ListTerms { refused: BackoffTerms { jitter: 2.0, ..BackoffTerms::GRPC }, ..ListTerms::default() };
        assert!(bad.validate().unwrap_err().path.starts_with("refused.jitter"));
        assert!(ListTerms::default().validate().is_ok());
    }
}
