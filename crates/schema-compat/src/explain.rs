//! The compatibility report of two schema texts, for `sprucelink compat check OLD NEW`.

use crate::check::{check_findings, worst_severity, Directions};
use crate::error::SchemaError;
use crate::rules::{Finding, Severity};
use crate::schema::{Digest, Schema};
use crate::usage::{ReaderUsage, UsageError};
use serde_json::json;
use std::fmt::Write as _;
use thiserror::Error;

/// The compatibility report on a schema change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompatibilityReport {
    /// Digest of the old schema.
    pub old: Digest,
    /// Digest of the new schema.
    pub new: Digest,
    /// The highest severity of the findings.
    pub severity: Severity,
    /// All findings, the most severe first.
    pub findings: Vec<Finding>,
}

/// Why a change cannot be explained.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ExplainError {
    /// The usage declaration exceeds a limit.
    #[error("invalid usage declaration: {0}")]
    Usage(#[from] UsageError),
    /// The old text is not a valid schema.
    #[error(transparent)]
    OldSchema(SchemaError),
    /// The new text is not a valid schema.
    #[error(transparent)]
    NewSchema(SchemaError),
}

/// Checks the change from one schema text to another, in both directions, for readers that use the parts of
/// the old schema that `usage` declares.
///
/// # Errors
/// A text is not a valid schema, or the usage declaration exceeds a limit.
pub fn explain(
    old_text: &str,
    new_text: &str,
    usage: &ReaderUsage,
) -> Result<CompatibilityReport, ExplainError> {
    usage.check_limits()?;
    let old = Schema::from_text(old_text).map_err(ExplainError::OldSchema)?;
    let new = Schema::from_text(new_text).map_err(ExplainError::NewSchema)?;
    let mut findings = check_findings(&old, &new, usage, Directions::BOTH);
    findings.sort_by(|a, b| b.severity.cmp(&a.severity).then_with(|| a.cmp(b)));
    Ok(CompatibilityReport {
        old: old.digest(),
        new: new.digest(),
        severity: worst_severity(&findings),
        findings,
    })
}

impl CompatibilityReport {
    /// The name of the result: `compatible`, `translatable` or `rejected`.
    #[must_use]
    pub fn compatibility_name(&self) -> &'static str {
        match self.severity {
            Severity::Note => "compatible",
            Severity::Translate => "translatable",
            Severity::Break => "rejected",
        }
    }

    /// The report as text: a summary line, then one line per finding.
    #[must_use]
    pub fn text(&self) -> String {
        let short_digest = |digest: Digest| digest.to_string().chars().take(12).collect::<String>();
        let mut text = format!(
            "{}: {} to {}\n",
            self.compatibility_name(),
            short_digest(self.old),
            short_digest(self.new)
        );
        for finding in &self.findings {
            // Writing to a String does not fail.
            let _ = writeln!(text, "  {finding}");
        }
        text
    }

    /// The report as one JSON object with `verdict`, `old`, `new` and `findings`; each finding has
    /// `severity`, `rule`, `path`, `direction` and `detail`.
    #[must_use]
    pub fn json(&self) -> String {
        let findings: Vec<_> = (self.findings.iter())
            .map(|finding| {
                json!({
                    "severity": finding.severity.name(),
                    "rule": finding.rule.name(),
                    "path": finding.path,
                    "direction": finding.direction.name(),
                    "detail": finding.detail,
                })
            })
            .collect();
        json!({
            "verdict": self.compatibility_name(),
            "old": self.old.to_string(),
            "new": self.new.to_string(),
            "findings": findings,
        })
        .to_string()
    }
}
