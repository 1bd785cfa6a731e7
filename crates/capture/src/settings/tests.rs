//! Settings that are rejected name the field.

use super::*;

#[test]
fn invalid_settings_are_rejected_with_the_field() {
    let good =
        Settings::parse("{ dir: '/var/cap', /* short */ segment_s: 5, answers: 'digest' }").expect("good");
    assert_eq!((good.segment_s, good.answers, good.ring_mb), (5, AnswerFormat::Digest, ring_mb()));
    for (text, name) in [
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
        let why = Settings::parse(text).expect_err(text).to_string();
        assert!(why.contains(name), "{text}: {why}");
    }
}
