//! Explains from a capture what happened to a request, to an engine, or around a moment.
//!
//! The capture is replayed with the policy's explanations switched on. Where the replay diverges from the record, a line
//! says so: the explanations after it are the replay's, and not those of the day. Each view has a file: [`request`],
//! [`engine`], [`moment`]; [`texts`] holds the words.

mod engine;
mod engine_texts;
mod explanation;
mod moment;
mod request;
mod texts;

use crate::error::ReplayError;
use crate::replay::{replay_segment, ReplayOptions};
use crate::segment::Segment;
use explanation::Explanation;
use serde::Serialize;
use serde_json::{json, Value};
use sprucelink_policy::{TimeDelta, Timestamp};

/// Time on either side of a moment of which events are explained, too.
const MOMENT_MARGIN: TimeDelta = TimeDelta::from_millis(50);

/// What is to be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// What happened to a request, by its id.
    Request(u64),
    /// What happened to an engine, by its id in the endpoint list or, with `#` before it, by its number.
    Engine(String),
    /// The policy's state at a moment, and what it was given just before and after.
    At(Timestamp),
}

/// One line of an explanation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Unix microseconds.
    pub at_us: i64,
    /// In words.
    pub text: String,
    /// The same as data.
    pub data: Value,
}

/// Explains line by line, and returns how many lines there were.
///
/// # Errors
/// A checkpoint that this build cannot read.
pub fn explain(
    segments: &[Segment],
    question: &Question,
    on_line: &mut dyn FnMut(Line),
) -> Result<usize, ReplayError> {
    let mut explanation = Explanation::new(question, on_line);
    for segment in segments.iter().filter(|segment| may_answer(segment, question)) {
        explain_segment(&mut explanation, segment)?;
    }
    Ok(explanation.line_count())
}

/// Whether a segment may hold what is asked for.
fn may_answer(segment: &Segment, question: &Question) -> bool {
    let Question::At(moment) = question else { return true };
    segment.until() + MOMENT_MARGIN >= *moment && segment.at <= *moment + MOMENT_MARGIN
}

fn explain_segment(explanation: &mut Explanation, segment: &Segment) -> Result<(), ReplayError> {
    explanation.begin_segment(segment)?;
    let options = ReplayOptions { explain: true, ..ReplayOptions::default() };
    let summary = replay_segment(segment, &options, &mut |step| explanation.add_step(&step))?;
    if let Some(first) = summary.first_divergence {
        let text = format!(
            "the replay parts from the record at record {} of segment {}: what stands behind it is the \
             replay's, not the day's",
            first.record, segment.header.number
        );
        let at = Timestamp::from_micros(first.at_us);
        explanation.add_line(at, text, json!({"kind": "diverged", "first": first}));
    }
    if let Some(panic) = summary.panic {
        let at = segment.records.get(panic.record).map_or(segment.at, |record| record.at);
        let text = format!("the module panicked: {}", panic.message);
        explanation.add_line(at, text, json!({"kind": "panicked", "why": panic.message}));
    }
    Ok(())
}
