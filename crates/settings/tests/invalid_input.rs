//! Tests of valid and invalid input, and of the location that an error names.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use serde_json::Value;
use sprucelink_settings::{pairs, Environment, PlatformConfig, Seed};

fn parse(text: &str) -> Result<PlatformConfig<Value>, String> {
    PlatformConfig::parse(text).map_err(|e| e.to_string())
}

const MINIMAL: &str = r#""listen":"10.0.0.4:7001","seed":"8c1f30d27a5be964","settings":{}"#;

#[test]
fn minimal_configuration_gets_defaults() {
    let config = parse(&format!("{{{MINIMAL}}}")).expect("read");
    assert_eq!((config.name.as_str(), config.listen.to_string().as_str()), ("", "10.0.0.4:7001"));
    assert_eq!((config.seed, config.feed, config.admin_address), (Seed(0x8c1f_30d2_7a5b_e964), None, None));
    assert_eq!(
        (config.limits.descriptors.0, config.limits.memory_mb.0, config.known_events.last_event.0),
        (None, None, None)
    );
    assert!(
        config.known_events.events.is_empty() && config.settings.to_policy_settings() == Default::default()
    );
    let nulls = r#""name":null,"feed":null,"operator":null,"limits":null,"known":null,"to_come":[{"a":1}]"#;
    assert_eq!(parse(&format!("{{{MINIMAL},{nulls}}}")).expect("read").known_events.events.len(), 0);
}

#[test]
fn full_configuration_is_read() {
    let optional_fields = r#""name":"n3","operator":"10.0.0.4:7002","feed":"10.2.0.1:7070","known":{"n":3,"events":[{},{}]},
        "limits":{"cores":1.0,"memory_mb":32.0,"sockets":4096}"#;
    let config = parse(&format!("{{{MINIMAL},{optional_fields}}}")).expect("read");
    assert_eq!((config.name.as_str(), config.feed.as_deref()), ("n3", Some("10.2.0.1:7070")));
    assert_eq!(config.admin_address.map(|a| a.port()), Some(7002));
    assert_eq!((config.known_events.last_event.0, config.known_events.events.len()), (Some(3), 2));
    assert_eq!((config.limits.memory_mb.0, config.limits.descriptors.0), (Some(32), Some(4096)));
    let number = MINIMAL.replace("\"8c1f30d27a5be964\"", "18446744073709551615");
    assert_eq!(parse(&format!("{{{number}}}")).expect("read").seed, Seed(u64::MAX));
}

/// Guards against an error without its location: operators would have to search a file with some hundred
/// fields.
#[test]
fn invalid_json_value_is_rejected_with_line_column_and_path() {
    let error_for =
        |settings: &str| parse(&format!("{{{},\n{settings}}}", &MINIMAL[..MINIMAL.len() - 14])).unwrap_err();
    for (settings, expected) in [
        (
            r#""settings":{"profiles":[{"aim":1},{"aim":"soon"}]}"#,
            "line 2, column 47: settings.profiles[1].aim: ",
        ),
        (
            r#""settings":{"profiles":{"count":1}}"#,
            "settings.profiles: invalid type: map, expected a sequence",
        ),
        (r#""settings":{"profiles":[null]}"#, "settings.profiles[0]: invalid type: null"),
        (r#""settings":{"limits":{"maxStreams":"1e999"}}"#, "settings.limits.maxStreams: "),
        (r#""settings":{"specifics":{"sizeCores":[8,null]}}"#, "settings.specifics.sizeCores[1]: "),
        (
            r#""settings":{"limits":{"cancel":{}}}"#,
            "settings.limits.cancel: invalid type: map, expected a word",
        ),
        (r#""settings":{"tick":1,"az":0,"az":1}"#, "duplicate field `az`"),
        (r#""settings":{},"limits":{"sockets":-1}"#, "limits.sockets: "),
        (r#""settings":{},"limits":{"memory_mb":"much"}"#, "limits.memory_mb: "),
        (r#""settings":{},"known":{"events":{}}"#, "known.events: "),
        (r#""settings":{},"operator":"here""#, "line 2, column 31: operator: invalid socket address"),
        (r#""settings":null"#, "settings: invalid type: null"),
        (r#""settings":[]"#, "settings: invalid type: sequence, expected an object"),
        (r#""settings":{"limits":[1]}"#, "settings.limits: invalid type: sequence, expected an object"),
        (
            r#""settings":{"profiles":[[]]}"#,
            "settings.profiles[0]: invalid type: sequence, expected an object",
        ),
        (r#""limits":{}"#, "missing field `settings`"),
        (r#""settings":{}} x"#, "line 2, column 16: trailing characters"),
    ] {
        let e = error_for(settings);
        assert!(e.contains(expected), "{settings}: {e}");
        assert!(e.starts_with("line "), "{e}");
    }
    for (text, expected) in [
        (r#"{"listen":"x","seed":"a","settings":{}}"#, "listen: invalid socket address"),
        (r#"{"listen":"10.0.0.4:1","seed":"xyz","settings":{}}"#, "seed: invalid value: string \"xyz\""),
        (r#"{"listen":"10.0.0.4:1","seed":-4,"settings":{}}"#, "seed: invalid type: integer `-4`"),
        ("", "line 1, column 0: EOF"),
        ("[]", "line 1, column 0: invalid type: sequence, expected an object"),
    ] {
        let e = parse(text).unwrap_err();
        assert!(e.contains(expected), "{text}: {e}");
    }
}

#[test]
fn invalid_pair_is_rejected_with_its_path() {
    let error_place = |pair: &str| pairs::parse([pair].into_iter()).expect_err(pair).place;
    assert_eq!(error_place("invariants.cold=warm").path, "invariants.cold");
    assert_eq!(error_place("profiles.count=lots").path, "profiles");
    assert_eq!(error_place("specifics.classThreads=1,-,3").path, "specifics.classThreads[1]");
    let invalid = ["profiles.count=1", "profiles.0.allowedOn=std"];
    assert_eq!(pairs::parse(invalid.into_iter()).unwrap_err().place.path, "profiles[0].allowedOn[0]");
}

/// Guards against input that allocates far more than its own length: a count takes a few bytes, each item
/// some hundred. A path of a million parts would also make a tree of that depth.
#[test]
fn pairs_beyond_the_bounds_are_rejected_or_skipped() {
    let over_limit = format!("customers.count={}", pairs::MAX_ITEMS + 1);
    assert!(pairs::parse([over_limit.as_str()].into_iter())
        .unwrap_err()
        .reason
        .to_string()
        .contains("is over"));
    assert!(pairs::parse(["customers.count=1e300"].into_iter()).is_err());
    assert!(pairs::parse(["customers.count=-3"].into_iter()).expect("none").tenants.is_empty());
    let deep_path = format!("{}=1", "a.".repeat(1_000_000));
    assert!(
        pairs::parse([deep_path.as_str(), "siblings=3"].into_iter())
            .expect("skipped")
            .managers
            .unwrap_or(1.0)
            == 3.0
    );
}

#[test]
fn absent_values_get_their_defaults() {
    let parse_settings =
        |pairs: &[&str]| pairs::parse(pairs.iter().copied()).expect("read").to_policy_settings();
    assert_eq!(parse_settings(&[]), Default::default());
    let class_with = |pair: &str| parse_settings(&["profiles.count=1", pair]).classes.remove(0);
    // A list that is present restricts the class, even if it is empty.
    assert_eq!(
        (class_with("profiles.0.runsIn=").zones, class_with("profiles.0.runsIn=-").zones),
        (Some(vec![]), Some(vec![]))
    );
    assert_eq!(
        (class_with("x=y").zones, class_with("profiles.0.runsIn=1,,0").zones),
        (None, Some(vec![1, 0]))
    );
    assert!(
        !class_with("specifics.loads=,true").loads_tables && class_with("specifics.loads=1").loads_tables
    );
    assert_eq!(
        (class_with("specifics.classThreads=0").threads, class_with("specifics.classThreads=,4").threads),
        (1.0, 4.0)
    );
    assert_eq!(parse_settings(&["customers.count=1"]).tenants[0].quota_per_s, f64::MAX);
    assert_eq!(
        (parse_settings(&["az=1"]).zone, parse_settings(&["az=1.0"]).zone, parse_settings(&["az=-"]).zone),
        (Some(1), None, None)
    );
    assert_eq!(
        (parse_settings(&["siblings=-4"]).gateways, parse_settings(&["invariants.ratioSpan=-"]).retry_budget),
        (1, None)
    );
    assert!(
        parse_settings(&["loadReport.fields=x0,busy"]).reports_load
            && !parse_settings(&["loadReport.fields=q"]).reports_load
    );
}

#[test]
fn invalid_environment_variable_is_rejected_with_its_name() {
    let read = |variables: &[(&str, &str)]| {
        Environment::read(|name| variables.iter().find(|(n, _)| *n == name).map(|(_, v)| (*v).to_owned()))
    };
    let all = read(&[("EDGE_CONFIG", "c.json"), ("EDGE_OPERATOR", "10.0.0.4:7002"), ("EDGE_FD", "5")]);
    let all = all.expect("read");
    assert_eq!((all.config.as_deref(), all.listener), (Some("c.json"), Some(5)));
    assert_eq!(all.admin_address.map(|a| a.to_string()).as_deref(), Some("10.0.0.4:7002"));
    assert_eq!(read(&[("EDGE_FD", ""), ("EDGE_OPERATOR", "")]).expect("absent"), Environment::default());
    for (name, invalid) in
        [("EDGE_FD", "2"), ("EDGE_FD", "-1"), ("EDGE_FD", "five"), ("EDGE_OPERATOR", "7002")]
    {
        let e = read(&[(name, invalid)]).unwrap_err().to_string();
        assert!(e.starts_with(&format!("{name}: \"{invalid}\"")), "{e}");
    }
}

#[test]
fn arbitrary_text_does_not_panic_either_parser() {
    let words =
        ["{", "}", "[", "]", "\"listen\":", "\"settings\":", "\"profiles\":", "null", "1e9", ",", "=", "."];
    let words =
        [&words[..], &["profiles", "count", "0", "specifics.loads", "\u{e9}", "\"", "-", "\n"]].concat();
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..Config::default()
    };
    let text = proptest::collection::vec(proptest::sample::select(words), 0..24).prop_map(|w| w.concat());
    let run = TestRunner::new(config).run(&text, |text| {
        drop(parse(&text));
        drop(pairs::parse(text.split('\n')));
        Ok(())
    });
    run.expect("no panic");
}
