//! Tests of parsing the body that names an engine.

use proptest::prelude::*;
use sprucelink_admin::target::parse_target;
use sprucelink_admin::MAX_TARGET_BYTES;

#[test]
fn target_is_parsed_and_invalid_bodies_are_rejected_with_their_field() {
    assert_eq!(parse_target(br#"{"target":"s-00c41f7a"}"#).unwrap(), "s-00c41f7a");
    assert_eq!(parse_target(br#" {"why":["a",{}],"target":"\u0073-1"} "#).unwrap(), "s-1");
    let long_target = format!("{{\"target\":\"{}\"}}", "x".repeat(MAX_TARGET_BYTES + 1));
    for (body, expected_start) in [
        ("", "body: empty"),
        ("{", "body: "),
        ("no", "body: "),
        ("\"s-1\"", "body: "),
        ("{}", "target: missing"),
        ("{\"target\":null}", "target: missing"),
        ("{\"Target\":\"s-1\"}", "target: missing"),
        ("{\"target\":\"\"}", "target: empty"),
        ("{\"target\":7}", "target: not a string"),
        ("{\"target\":[\"s-1\"]}", "target: not a string"),
        ("{\"target\":\"a\",\"target\":\"b\"}", "body: duplicate field `target`"),
        ("{\"target\":\"a\"} x", "body: "),
        (long_target.as_str(), "target: 129 bytes"),
    ] {
        let message = parse_target(body.as_bytes()).unwrap_err().to_string();
        assert!(message.starts_with(expected_start), "{body:?}: {message:?}");
    }
    assert!(parse_target(b"{\"target\":\"\xff\"}").unwrap_err().to_string().starts_with("body: "));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// For any bytes, the result is an id within its limit or an error of one short line.
    #[test]
    fn any_bytes_give_an_id_or_a_short_line(body in prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        "\\{\"target\":[\"\\[\\{0-9a-z\\}\\]]{0,200}\\}".prop_map(String::into_bytes),
    ]) {
        match parse_target(&body) {
            Ok(id) => prop_assert!((1..=MAX_TARGET_BYTES).contains(&id.len())),
            Err(error) => {
                let line = error.to_string();
                prop_assert!(line.len() < 800 && !line.contains('\n'), "{:?}", line);
            }
        }
    }
}
