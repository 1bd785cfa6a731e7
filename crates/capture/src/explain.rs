//! Explains from a capture what happened to a request, to an engine, or around a moment.
//!
//! The capture is replayed with the policy's explanations switched on. If the replay diverges from the
//! recording, a line says so: the explanations after it describe decisions of the replay, which may differ
//! from the recorded ones. Each kind of question has a module: [`request`], [`engine`], [`moment`]. [`texts`]
//! and [`engine_texts`] contain the wording of the lines.

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

/// Time before and after the moment of a [`Question::At`] in which events are explained.
const MOMENT_MARGIN: TimeDelta = TimeDelta::from_millis(50);

/// The subject of an explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Question {
    /// The request with this id.
    Request(u64),
    /// The engine with this id in the endpoint list, or with this number if the text begins with `#`.
    Engine(String),
    /// The policy's state at a moment, and the events just before and after it.
    At(Timestamp),
}

/// One line of an explanation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Time of the event or decision, in Unix microseconds.
    pub at_us: i64,
    /// Text of the line, for people.
    pub text: String,
    /// The content of the line as JSON, for tools.
    pub data: Value,
}

/// Passes the lines of an explanation to `on_line`. Returns their number, which is 0 if the capture has
/// nothing about the subject.
///
/// # Errors
/// This build cannot read a checkpoint.
pub fn explain(
    segments: &[Segment],
    question: &Question,
    on_line: &mut dyn FnMut(Line),
) -> Result<usize, ReplayError> {
    let mut explanation = Explanation::new(question, on_line);
    for segment in segments.iter().filter(|segment| may_cover(segment, question)) {
        explain_segment(&mut explanation, segment)?;
    }
    Ok(explanation.line_count())
}

/// Whether a segment may contain events about the subject of a question.
fn may_cover(segment: &Segment, question: &Question) -> bool {
    let Question::At(moment) = question else { return true };
    segment.until() + MOMENT_MARGIN >= *moment && segment.at <= *moment + MOMENT_MARGIN
}

fn explain_segment(explanation: &mut Explanation, segment: &Segment) -> Result<(), ReplayError> {
    explanation.begin_segment(segment)?;
    let options = ReplayOptions { explain: true, ..ReplayOptions::default() };
    let summary = replay_segment(segment, &options, &mut |step| explanation.add_step(&step))?;
    if let Some(divergence) = summary.first_divergence {
        let text = format!(
            "the replay parts from the record at record {} of segment {}: what stands behind it is the \
             replay's, not the day's",
            divergence.record, segment.header.number
        );
        let at = Timestamp::from_micros(divergence.at_us);
        explanation.add_line(at, text, json!({"kind": "diverged", "first": divergence}));
    }
    if let Some(panic) = summary.panic {
        let at = segment.records.get(panic.record).map_or(segment.at, |record| record.at);
        let text = format!("the module panicked: {}", panic.message);
        explanation.add_line(at, text, json!({"kind": "panicked", "why": panic.message}));
    }
    Ok(())
}
