//! What a configuration becomes: defaults, bounds, and faults by their place.

use super::*;

const LEAST: &str = r#""listen":"10.0.0.4:7001","seed":"a","settings":{}"#;

#[test]
fn what_is_not_told_has_the_programs_defaults() {
    let c = parse(&format!("{{{LEAST}}}"), &Environment::default()).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(
        (c.terms.max_streams, c.terms.dial_timeout, c.terms.idle_timeout),
        (32, TimeDelta::from_micros(1_000_000), TimeDelta::from_micros(15_000_000))
    );
    assert_eq!(
        (c.buffers, c.terms.max_per_engine, c.setup.max_sessions, c.terms.max_total),
        (1_536, 32, 610, 366)
    );
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

/// The sum of all bounds, at every limit: descriptors that one side may hold and another counts on are how clients
/// could take the feed's.
#[test]
fn the_shares_of_the_descriptors_never_go_over_the_limit() {
    for sockets in (0..=2_048).chain([4_096, 65_536, 1 << 40]) {
        for kept in [0, admin::limits(sockets).descriptors(), admin::limits(sockets).descriptors() + 96] {
            match Shares::of(sockets, kept) {
                Ok(s) => {
                    let sum = OWN + s.kept + s.lobby + s.leaving + s.sessions + s.links;
                    assert!(sum <= sockets && sum + 2 > sockets, "{s:?} of {sockets}");
                    assert!(s.sessions >= 5 && s.links >= 3 && s.lobby >= 4 && s.leaving >= 2, "{s:?}");
                }
                Err(least) => {
                    assert!(least > sockets && Shares::of(least, kept).is_ok(), "{least} of {sockets}");
                    assert!(Shares::of(least - 1, kept).is_err(), "{least} of {sockets}");
                }
            }
        }
    }
    // The table in the documentation of the shares.
    let with_operators = |sockets| {
        let kept = admin::limits(sockets).descriptors();
        let s = Shares::of(sockets, kept).expect("enough");
        [OWN, s.kept, s.lobby, s.leaving, s.sessions, s.links]
    };
    assert_eq!(with_operators(64), [16, 6, 4, 2, 22, 13]);
    assert_eq!(with_operators(128), [16, 10, 8, 2, 57, 34]);
    assert_eq!(with_operators(512), [16, 34, 24, 8, 268, 161]);
    assert_eq!(with_operators(672), [16, 34, 24, 8, 368, 221]);
    assert_eq!(with_operators(1024), [16, 34, 24, 8, 588, 353]);
}

#[test]
fn limits_at_their_ends_are_used_or_refused_by_name() {
    let read = |limits: &str, environment: &Environment| {
        parse(&format!("{{{LEAST},\"limits\":{limits}}}"), environment).map_err(|e| e.to_string())
    };
    let (none, operators) = (
        Environment::default(),
        Environment { operator: "10.0.0.4:9".parse().ok(), ..Environment::default() },
    );
    for (limits, environment, says) in [
        (r#"{"sockets":0}"#, &none, "limits.sockets: 0 descriptors are too few: 30 are needed at least"),
        (r#"{"sockets":29}"#, &none, "limits.sockets: 29 descriptors are too few: 30 are needed at least"),
        (
            r#"{"sockets":35}"#,
            &operators,
            "limits.sockets: 35 descriptors are too few: 36 are needed at least",
        ),
        (r#"{"memory_mb":0}"#, &none, "limits.memory_mb: 0 MB are too few"),
    ] {
        assert_eq!(read(limits, environment).err().as_deref(), Some(says), "{limits}");
    }
    let least = read(r#"{"sockets":36,"memory_mb":1}"#, &operators).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((least.setup.max_sessions, least.terms.max_total, least.buffers), (5, 3, 128));
    for absent in ["null", "{}", r#"{"sockets":null,"memory_mb":null}"#] {
        let c = read(absent, &none).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!((c.sockets, c.setup.max_sessions, c.buffers), (1024, 610, 1_536), "{absent}");
    }
}

/// The second front's connections were held besides the limit.
#[test]
fn what_is_kept_back_comes_off_both_sides() {
    let mut c = parse(&format!("{{{LEAST}}}"), &Environment::default()).unwrap_or_else(|e| panic!("{e}"));
    let text = r#"{"listen":"127.0.0.1:0"}"#;
    let second = crate::run::operator::parse(text, &c.setup).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(second.descriptors(), 1 + 64 + 2 + 8);
    c.keep_back(second.descriptors()).unwrap_or_else(|least| panic!("{least}"));
    assert_eq!((c.shares.kept, c.setup.max_sessions, c.terms.max_total), (75, 563, 337));
    assert_eq!(c.keep_back(1_000), Err(1_131));
}
