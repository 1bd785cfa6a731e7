//! Tests that errors of invalid settings name the field or the line.

use super::*;

#[test]
fn invalid_settings_are_rejected_with_an_error_that_names_the_field() {
    let valid = Settings::parse("{ dir: '/var/cap', /* short */ segment_s: 5, answers: 'digest' }")
        .expect("valid settings");
    assert_eq!((valid.segment_s, valid.answers, valid.ring_mb), (5, AnswerFormat::Digest, ring_mb()));
    for (text, expected) in [
        ("{}", "dir"),
        ("{dir: ''}", "dir"),
        ("{dir: 'x', ring_mb: 0}", "ring_mb"),
        ("{dir: 'x', ring_mb: 4, segment_mb: 5}", "segment_mb"),
        ("{dir: 'x', rate: 4}", "rate"),
        ("{dir: 'x', queue_kb: 63}", "queue_kb"),
        ("{dir: 'x', answers: 'some'}", "some"),
        ("{dir: 'x', flush_ms: -1}", "-1"),
        ("{dir: 'x'", "line 1"),
    ] {
        let error = Settings::parse(text).expect_err(text).to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}
