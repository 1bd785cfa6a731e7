//! Tests of converting a configuration: defaults, bounds, and the location of an invalid field in the error.

use super::*;

const MINIMAL: &str = r#""listen":"10.0.0.4:7001","seed":"a","settings":{}"#;

fn parse_with(extra_fields: &str, environment: &Environment) -> Result<Config, String> {
    parse(&format!("{{{MINIMAL}{extra_fields}}}"), environment).map_err(|e| e.to_string())
}

fn parse_valid(extra_fields: &str, environment: &Environment) -> Config {
    parse_with(extra_fields, environment).unwrap_or_else(|e| panic!("{e}"))
}

fn environment_with_admin() -> Environment {
    Environment { admin_address: "10.0.0.4:9".parse().ok(), ..Environment::default() }
}

#[test]
fn absent_fields_get_defaults() {
    let config = parse_valid("", &Environment::default());
    let limits = config.connection_limits;
    assert_eq!(
        (limits.max_streams, limits.dial_timeout, limits.idle_timeout),
        (32, TimeDelta::from_micros(1_000_000), TimeDelta::from_micros(15_000_000))
    );
    assert_eq!(
        (config.pool_bytes, limits.max_per_engine, config.front.max_sessions, limits.max_total),
        (96 << 20, 32, 610, 366)
    );
}

#[test]
fn highest_limits_do_not_overflow() {
    let limits = r#","limits":{"memory_mb":18446744073709551615,"sockets":18446744073709551615}"#;
    assert_eq!(parse_valid(limits, &Environment::default()).pool_bytes, usize::MAX / 8);
}

#[test]
fn admin_address_of_the_file_takes_precedence_over_the_environment() {
    let environment = Environment { listener: Some(5), ..environment_with_admin() };
    let config = parse_valid("", &environment);
    assert_eq!((config.admin_address.map(|a| a.port()), config.inherited_listener), (Some(9), Some(5)));
    let config = parse_valid(r#","operator":"10.0.0.4:8""#, &environment);
    assert_eq!(config.admin_address.map(|a| a.port()), Some(8));
}

#[test]
fn invalid_event_is_rejected_with_line_and_path() {
    let text =
        format!("{{{MINIMAL},\n\"known\":{{\"n\":2,\"events\":[{{\"n\":1}},\n{{\"members\":{{}}}}]}}}}");
    let e = parse(&text, &Environment::default()).err().map(|e| e.to_string()).unwrap_or_default();
    assert!(
        e.starts_with("line 3, column ") && e.ends_with(": known.events[1]: field n is missing or no number"),
        "{e}"
    );
}

#[test]
fn limits_that_are_too_low_are_rejected_with_their_path() {
    let no_admin = Environment::default();
    let admin = environment_with_admin();
    for (limits, environment, message) in [
        (r#"{"sockets":0}"#, &no_admin, "limits.sockets: 0 descriptors are too few: 30 are needed at least"),
        (
            r#"{"sockets":29}"#,
            &no_admin,
            "limits.sockets: 29 descriptors are too few: 30 are needed at least",
        ),
        (r#"{"sockets":35}"#, &admin, "limits.sockets: 35 descriptors are too few: 36 are needed at least"),
        (r#"{"memory_mb":0}"#, &no_admin, "limits.memory_mb: 0 MB are too few"),
    ] {
        let result = parse_with(&format!(",\"limits\":{limits}"), environment);
        assert_eq!(result.err().as_deref(), Some(message), "{limits}");
    }
}

#[test]
fn lowest_limits_are_accepted_and_absent_limits_get_defaults() {
    let config = parse_valid(r#","limits":{"sockets":36,"memory_mb":1}"#, &environment_with_admin());
    assert_eq!(
        (config.front.max_sessions, config.connection_limits.max_total, config.pool_bytes),
        (5, 3, 8 << 20)
    );
    for absent in ["null", "{}", r#"{"sockets":null,"memory_mb":null}"#] {
        let config = parse_valid(&format!(",\"limits\":{absent}"), &Environment::default());
        assert_eq!(
            (config.sockets, config.front.max_sessions, config.pool_bytes),
            (1024, 610, 96 << 20),
            "{absent}"
        );
    }
}

/// Guards against a second front whose connections are not counted: the process would exceed its limit on
/// descriptors.
#[test]
fn reserved_descriptors_are_taken_from_sessions_and_engine_connections() {
    let mut config = parse_valid("", &Environment::default());
    let text = r#"{"listen":"127.0.0.1:0"}"#;
    let second_front = crate::run::second_front::parse(text, &config.front).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(second_front.descriptors(), 1 + 64 + 2 + 8);
    config.reserve_descriptors(second_front.descriptors()).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(
        (config.descriptors.reserved, config.front.max_sessions, config.connection_limits.max_total),
        (75, 563, 337)
    );
    assert_eq!(config.reserve_descriptors(1_000), Err(TooFewDescriptors { limit: 1_024, sufficient: 1_131 }));
}
