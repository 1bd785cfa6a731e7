//! Rules that a replay must hold: service rules, which apply to any capture, and expectations of a single
//! case.
//!
//! Rules are checked on the actions of the replayed policy, not on the recorded ones: a case still holds when
//! a changed policy makes different, better decisions.

mod checker;
mod expectations;

pub use checker::Checker;

use crate::error::RuleError;
use serde::{Deserialize, Serialize};

/// A rule, which a case stores as JSON such as `{"rule": "drain"}`.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(tag = "rule", rename_all = "snake_case", deny_unknown_fields)]
pub enum Rule {
    /// No attempt is forwarded to an engine later than the settings' drain grace after the policy was told
    /// that the engine drains or is withdrawn.
    Drain {},
    /// A request has at most one attempt in flight.
    #[serde(rename = "one_out")]
    SingleAttempt {},
    /// Retries stay within the settings' retry budget.
    #[serde(rename = "ration")]
    RetryBudget {},
    /// Each request has one final response, before its client's deadline.
    Answered {},
    /// Expectation of a case: the number of attempts that are forwarded in a period is within bounds.
    #[serde(rename = "sends")]
    ForwardedAttempts {
        /// Number of the engine whose attempts count; all engines if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        engine: Option<u32>,
        /// Id of the request whose attempts count, as 16 hexadecimal digits; all requests if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        request: Option<String>,
        /// Start of the period, in milliseconds after the checkpoint.
        #[serde(default)]
        from_ms: f64,
        /// End of the period, in milliseconds after the checkpoint; the end of the case if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        until_ms: Option<f64>,
        /// Lowest count that satisfies the rule.
        #[serde(rename = "at_least", default)]
        min: usize,
        /// Highest count that satisfies the rule; unlimited if absent.
        #[serde(rename = "at_most", default, skip_serializing_if = "Option::is_none")]
        max: Option<usize>,
    },
    /// Expectation of a case: the number of requests that the policy rejects or fails is within bounds.
    #[serde(rename = "turned_away")]
    RejectedRequests {
        /// Lowest count that satisfies the rule.
        #[serde(rename = "at_least", default)]
        min: usize,
        /// Highest count that satisfies the rule; unlimited if absent.
        #[serde(rename = "at_most", default, skip_serializing_if = "Option::is_none")]
        max: Option<usize>,
    },
    /// Expectation of a case: an engine is ejected by a given time.
    #[serde(rename = "distrusted")]
    EngineEjected {
        /// Number of the engine.
        engine: u32,
        /// Latest time of the ejection, in milliseconds after the checkpoint.
        by_ms: f64,
    },
}

impl Rule {
    /// Parses a rule: JSON5, or only the name of a rule that has no parameters.
    ///
    /// # Errors
    /// The text is not a valid rule.
    pub fn parse(text: &str) -> Result<Rule, RuleError> {
        let text = text.trim();
        let json = if text.starts_with('{') { text.to_owned() } else { format!("{{\"rule\":\"{text}\"}}") };
        json5::from_str(&json).map_err(|source| RuleError { text: text.to_owned(), source })
    }

    /// The rule as JSON, as a case stores it.
    pub fn text(&self) -> String {
        // Cannot fail: a rule contains only plain values.
        serde_json::to_string(self).unwrap_or_default()
    }

    /// All service rules, without expectations of a case.
    pub fn service_rules() -> Vec<Rule> {
        vec![Rule::Drain {}, Rule::SingleAttempt {}, Rule::RetryBudget {}, Rule::Answered {}]
    }
}

/// A violation of a rule in a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// The violated rule, as JSON.
    pub rule: String,
    /// Time of the violation, in Unix microseconds.
    pub at_us: i64,
    /// Description of the violation.
    pub why: String,
}
