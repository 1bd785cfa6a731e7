//! `sprucelink explain`: prints what a capture holds about a request, an engine or an instant.

use super::capture_reader::Capture;
use super::output::{format_timestamp, print_line};
use super::CaptureError;
use crate::run::cli::ExplainQuery;
use crate::run::error::BoxError;
use serde_json::json;
use sprucelink_capture::explain::{explain, Line, Question};
use sprucelink_policy::Timestamp;
use std::path::Path;

/// Prints the explanation line by line.
///
/// # Errors
/// A capture that cannot be used, or that holds nothing about the subject of the query.
pub fn run(path: &Path, query: &ExplainQuery, as_json: bool) -> Result<(), CaptureError> {
    let capture = Capture::read(path)?;
    let question = match query {
        ExplainQuery::Subject(question) => question.clone(),
        ExplainQuery::Moment(moment) => Question::At(moment.resolve(capture.start())),
    };
    let mut print = |line: Line| print_explanation_line(&line, as_json);
    let lines = explain(&capture.segments, &question, &mut print).map_err(BoxError::from)?;
    if lines == 0 {
        return Err(CaptureError::NothingFound);
    }
    Ok(())
}

fn print_explanation_line(line: &Line, as_json: bool) {
    if as_json {
        print_line(&json!({"at_us": line.at_us, "text": line.text, "data": line.data}).to_string());
    } else {
        let at = format_timestamp(Timestamp::from_micros(line.at_us));
        print_line(&format!("{at} {}", line.text));
    }
}
