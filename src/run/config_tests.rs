//! What a configuration becomes: defaults, bounds, and faults by their place.

use super::*;

const LEAST: &str = r#""listen":"10.0.0.4:7001","seed":"a","settings":{}"#;

#[test]
fn what_is_not_told_has_the_programs_defaults() {
    let c = parse(&format!("{{{LEAST}}}"), &Environment::default()).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((c.terms.streams, c.terms.dial, c.terms.idle), (32, Micros(1_000_000), Micros(15_000_000)));
    assert_eq!((c.buffers, c.terms.most, c.setup.most_sessions, c.terms.most_links), (1_536, 32, 610, 366));
    let most = r#""limits":{"memory_mb":18446744073709551615,"sockets":18446744073709551615}"#;
    let c = parse(&format!("{{{LEAST},{most}}}"), &Environment::default()).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(c.buffers, usize::MAX, "no figure overflows");
}

#[test]
fn where_operators_call_is_told_by_the_file_before_the_environment() {
    let environment =
        Environment { operator: "10.0.0.4:9".parse().ok(), listener: Some(5), ..Environment::default() };
    let read =
        |more: &str| parse(&format!("{{{LEAST}{more}}}"), &environment).unwrap_or_else(|e| panic!("{e}"));
    let c = read("");
    assert_eq!((c.operator.map(|a| a.port()), c.inherited), (Some(9), Some(5)));
    assert_eq!(read(r#","operator":"10.0.0.4:8""#).operator.map(|a| a.port()), Some(8));
}

#[test]
fn an_event_that_cannot_be_read_is_named_by_line_and_place() {
    let text = format!("{{{LEAST},\n\"known\":{{\"n\":2,\"events\":[{{\"n\":1}},\n{{\"members\":{{}}}}]}}}}");
    let e = parse(&text, &Environment::default()).err().map(|e| e.to_string()).unwrap_or_default();
    assert!(
        e.starts_with("line 3, column ") && e.ends_with(": known.events[1]: field n is missing or no number"),
        "{e}"
    );
}
