//! Tests of error messages with their causes.

use super::*;
use std::io;

#[derive(Debug, thiserror::Error)]
enum Sample {
    #[error("{path}")]
    File { path: &'static str, source: io::Error },
    #[error("reading: {0}")]
    Repeats(#[source] io::Error),
    #[error("start")]
    Nested(#[source] Box<Sample>),
}

#[test]
fn causes_follow_the_message_in_order() {
    let file = Sample::File { path: "a.json", source: io::Error::other("broken") };
    assert_eq!(with_causes(&file), "a.json: broken");
    assert_eq!(with_causes(&Sample::Nested(Box::new(file))), "start: a.json: broken");
}

#[test]
fn cause_that_the_message_already_contains_is_shown_once() {
    assert_eq!(with_causes(&Sample::Repeats(io::Error::other("broken"))), "reading: broken");
}
