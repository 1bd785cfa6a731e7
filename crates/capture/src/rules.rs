//! Rules that a replay must hold: those of service, and a case's own expectations.
//!
//! Rules are checked on the actions of the replayed policy, not on the recorded ones: a case still holds when the policy
//! decides differently and better.

mod checker;
mod expectations;

pub use checker::Checker;

use crate::error::RuleError;
use serde::{Deserialize, Serialize};

/// One rule, written in a case as JSON such as `{"rule": "drain"}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "rule", rename_all = "snake_case", deny_unknown_fields)]
pub enum Rule {
    /// No attempt is forwarded to an engine later than the settings' drain grace after the policy was told that the
    /// engine drains or is withdrawn.
    Drain {},
    /// A request has at most one attempt in flight.
    #[serde(rename = "one_out")]
    SingleAttempt {},
    /// Retries stay within the settings' retry budget.
    #[serde(rename = "ration")]
    RetryBudget {},
    /// Each request has one final response, before its client's deadline.
    Answered {},
    /// A case's own expectation: how many attempts are forwarded between two moments.
    #[serde(rename = "sends")]
    ForwardedAttempts {
        /// Counts attempts on this engine only, by number.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        engine: Option<u32>,
        /// Counts attempts of this request only, 16 hex digits.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        request: Option<String>,
        /// Milliseconds after the checkpoint, from which attempts count.
        #[serde(default)]
        from_ms: f64,
        /// Milliseconds after the checkpoint, up to which attempts count; to the end if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_ms: Option<f64>,
        /// The lowest count that holds.
        #[serde(rename = "at_least", default)]
        min: usize,
        /// The highest count that holds; any if absent.
        #[serde(rename = "at_most", default, skip_serializing_if = "Option::is_none")]
        max: Option<usize>,
    },
    /// A case's own expectation: how many requests the policy rejects or fails.
    #[serde(rename = "turned_away")]
    RejectedRequests {
        /// The lowest count that holds.
        #[serde(rename = "at_least", default)]
        min: usize,
        /// The highest count that holds; any if absent.
        #[serde(rename = "at_most", default, skip_serializing_if = "Option::is_none")]
        max: Option<usize>,
    },
    /// A case's own expectation: an engine is ejected by this moment at the latest.
    #[serde(rename = "distrusted")]
    EngineEjected {
        /// The engine, by number.
        engine: u32,
        /// Milliseconds after the checkpoint.
        by_ms: f64,
    },
}

impl Rule {
    /// Reads a rule; words without braces stand for rules without arguments.
    ///
    /// # Errors
    /// A text that is no rule.
    pub fn parse(text: &str) -> Result<Rule, RuleError> {
        let text = text.trim();
        let json = if text.starts_with('{') { text.to_owned() } else { format!("{{\"rule\":\"{text}\"}}") };
        json5::from_str(&json).map_err(|source| RuleError { text: text.to_owned(), source })
    }

    /// The rule as a case stores it.
    pub fn text(&self) -> String {
        // Cannot fail: a rule holds plain values only.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// All rules of service, without a case's own expectations.
    pub fn service_rules() -> Vec<Rule> {
        vec![Rule::Drain {}, Rule::SingleAttempt {}, Rule::RetryBudget {}, Rule::Answered {}]
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// The rule, as text.
    pub rule: String,
    /// When, in Unix microseconds.
    pub at_us: i64,
    /// How.
    pub why: String,
}
