//! The engine that a call names: `{"target":"ID"}`.

use crate::limits::MOST_TARGET;
use serde::Deserialize;
use serde_json::Value;

/// Characters of the JSON library's own words that go into an answer: they may quote what the caller sent.
const MOST_QUOTED: usize = 120;

/// A call's body. Fields it does not know are passed over: an operator's tool may add who calls and why, and an engine
/// must not stay in use for that.
#[derive(Deserialize)]
struct Body {
    target: Option<Value>,
}

/// The engine's id in a call's body. An error is one line that names the field and the rule.
pub fn target(body: &[u8]) -> Result<String, String> {
    if body.is_empty() {
        return Err("body: empty, expected {\"target\":\"ID\"}".into());
    }
    let read: Body = serde_json::from_slice(body).map_err(|e| {
        let words: String = e.to_string().chars().take(MOST_QUOTED).collect();
        format!("body: {words}")
    })?;
    match read.target {
        None => Err("target: missing".into()),
        Some(Value::String(id)) if id.is_empty() => Err("target: empty".into()),
        Some(Value::String(id)) if id.len() > MOST_TARGET => {
            Err(format!("target: {} bytes, at most {MOST_TARGET}", id.len()))
        }
        Some(Value::String(id)) => Ok(id),
        Some(_) => Err("target: not a string".into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_target_is_read_and_what_is_wrong_is_named() {
        assert_eq!(target(br#"{"target":"s-00c41f7a"}"#).unwrap(), "s-00c41f7a");
        assert_eq!(target(br#" {"why":["a",{}],"target":"\u0073-1"} "#).unwrap(), "s-1");
        let long = format!("{{\"target\":\"{}\"}}", "x".repeat(MOST_TARGET + 1));
        for (body, starts) in [
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
            (long.as_str(), "target: 129 bytes"),
        ] {
            let why = target(body.as_bytes()).unwrap_err();
            assert!(why.starts_with(starts), "{body:?}: {why:?}");
        }
        assert!(target(b"{\"target\":\"\xff\"}").unwrap_err().starts_with("body: "));
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::with_cases(512) })]

        /// Whatever bytes come, the answer is an id within its bound or one short line.
        #[test]
        fn any_body_gets_an_id_or_a_line(body in prop_oneof![
            prop::collection::vec(any::<u8>(), 0..200),
            "\\{\"target\":[\"\\[\\{0-9a-z\\}\\]]{0,200}\\}".prop_map(String::into_bytes),
        ]) {
            match target(&body) {
                Ok(id) => prop_assert!((1..=MOST_TARGET).contains(&id.len())),
                Err(why) => prop_assert!(why.len() < 800 && !why.contains('\n'), "{:?}", why),
            }
        }
    }
}
