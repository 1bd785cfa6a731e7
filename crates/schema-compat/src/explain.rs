//! Two schemas' texts, and what is said of the change: for `sprucelink compat check OLD NEW`.

use crate::check::{check_findings, worst, Directions};
use crate::rules::{Finding, Severity};
use crate::schema::{Digest, Schema, SchemaError};
use crate::uses::Uses;
use serde_json::json;
use std::fmt::Write as _;

/// What is said of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The old schema.
    pub old: Digest,
    /// The new schema.
    pub new: Digest,
    /// The verdict: compatible, translatable, rejected.
    pub verdict: Severity,
    /// All findings, the worst first.
    pub findings: Vec<Finding>,
}

/// Judges the change from one text to another, both ways, for readers with `uses` of the old one.
///
/// # Errors
/// Which of the texts is no schema, and why.
pub fn explain(old_text: &str, new_text: &str, uses: &Uses) -> Result<Report, (&'static str, SchemaError)> {
    uses.bounded().map_err(|why| ("uses", SchemaError::Declared(why)))?;
    let old = Schema::from_text(old_text).map_err(|error| ("old", error))?;
    let new = Schema::from_text(new_text).map_err(|error| ("new", error))?;
    let mut findings = check_findings(&old, &new, uses, Directions::BOTH);
    findings.sort_by(|a, b| b.severity.cmp(&a.severity).then_with(|| a.cmp(b)));
    Ok(Report { old: old.digest(), new: new.digest(), verdict: worst(&findings), findings })
}

impl Report {
    /// `compatible`, `translatable` or `rejected`.
    #[must_use]
    pub fn verdict_name(&self) -> &'static str {
        match self.verdict {
            Severity::Note => "compatible",
            Severity::Translate => "translatable",
            Severity::Break => "rejected",
        }
    }

    /// The verdict's line, and one line a finding.
    #[must_use]
    pub fn text(&self) -> String {
        let short = |digest: Digest| digest.to_string().chars().take(12).collect::<String>();
        let mut text = format!("{}: {} to {}\n", self.verdict_name(), short(self.old), short(self.new));
        for finding in &self.findings {
            // Writing to a String does not fail.
            let _ = writeln!(text, "  {finding}");
        }
        text
    }

    /// One JSON object: `verdict`, `old`, `new`, `findings` of `severity`, `rule`, `path`, `direction`, `detail`.
    #[must_use]
    pub fn json(&self) -> String {
        let findings: Vec<_> = (self.findings.iter())
            .map(|one| {
                json!({
                    "severity": one.severity.name(),
                    "rule": one.rule.name(),
                    "path": one.path,
                    "direction": one.direction.name(),
                    "detail": one.detail,
                })
            })
            .collect();
        json!({
            "verdict": self.verdict_name(),
            "old": self.old.to_string(),
            "new": self.new.to_string(),
            "findings": findings,
        })
        .to_string()
    }
}
