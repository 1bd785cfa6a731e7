//! Helpers shared by the tests: the corpus, generated edits, and an oracle that does not use the rules.
#![allow(dead_code, missing_docs)]

pub mod edits;
pub mod oracle;

use sprucelink_schema_compat::check::history_findings;
use sprucelink_schema_compat::{check_findings, Directions, Finding, ReaderUsage, Schema};

/// Compiles a schema from a proto3 body in package `t`, or from a full text. `(f)`, `(m)`, `(o)`, `(e)` and
/// `(v)` stand for this crate's options.
pub fn schema(body: &str) -> Schema {
    let text = if body.trim_start().starts_with("syntax") {
        body.to_string()
    } else {
        format!("syntax = \"proto3\"; package t; import \"sprucelink/compat.proto\";\n{body}")
    };
    let abbreviations =
        [("(f)", "field"), ("(m)", "message"), ("(o)", "oneof"), ("(e)", "enumeration"), ("(v)", "value")];
    let text = abbreviations
        .iter()
        .fold(text, |text, (short, long)| text.replace(short, &format!("(sprucelink.compat.{long})")));
    Schema::from_text(&text).unwrap_or_else(|error| panic!("{error}\n{text}"))
}

/// A usage declaration from the corpus: `all` or paths, optionally with `tolerant` or `json`.
pub fn usage(text: &str) -> ReaderUsage {
    let mut words: Vec<&str> = text.split_whitespace().collect();
    let mut take_word = |word: &str| {
        let is_present = words.contains(&word);
        words.retain(|one| *one != word);
        is_present
    };
    let (tolerant, json, all) = (take_word("tolerant"), take_word("json"), take_word("all"));
    let usage = if all { ReaderUsage::all() } else { ReaderUsage::of(&words) };
    let usage = if tolerant { usage.tolerant() } else { usage };
    if json {
        usage.json()
    } else {
        usage
    }
}

pub struct Case {
    pub rule: String,
    pub direction: String,
    pub verdict: String,
    pub usage: ReaderUsage,
    pub bodies: Vec<String>,
}

impl Case {
    pub fn findings(&self) -> Vec<Finding> {
        let schemas: Vec<Schema> = self.bodies.iter().map(|body| schema(body)).collect();
        let (new, old) = schemas.split_last().unwrap();
        let mut findings = match self.direction.as_str() {
            "down" => check_findings(&old[0], new, &self.usage, Directions::NEW_TO_OLD),
            "up" => check_findings(&old[0], new, &self.usage, Directions::OLD_TO_NEW),
            _ => return history_findings(&old.iter().collect::<Vec<_>>(), new),
        };
        // The history rules have cases of their own.
        findings.retain(|finding| finding.direction.name() != "history");
        findings
    }
}

pub fn corpus() -> Vec<Case> {
    let text: String = include_str!("../corpus.txt")
        .lines()
        .filter(|line| !line.starts_with('#'))
        .map(|line| format!("{line}\n"))
        .collect();
    let cases = text.split("\n= ").filter(|case| !case.trim().is_empty());
    cases
        .map(|case| {
            let (head, bodies) = case.split_once('\n').unwrap();
            let parts: Vec<&str> = head.trim_start_matches("= ").split('|').map(str::trim).collect();
            Case {
                rule: parts[0].to_string(),
                direction: parts[1].to_string(),
                verdict: parts[2].to_string(),
                usage: usage(parts[3]),
                bodies: bodies.split("\n--\n").map(str::to_string).collect(),
            }
        })
        .collect()
}
