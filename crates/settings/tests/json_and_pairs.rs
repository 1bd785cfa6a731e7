//! Tests with generated settings in both forms: nested JSON and `path=value` pairs give equal settings, and
//! if one form is rejected, the other is rejected, too.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use serde_json::{json, Map, Value};
use sprucelink_settings::{pairs, PlatformConfig, WireSettings};
use std::cell::Cell;

/// A runner with a fixed seed, so that every run has the same cases.
fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        ..Config::default()
    })
}

/// A value for a number field; occasionally an invalid one.
fn number() -> impl Strategy<Value = Value> {
    prop_oneof![
        30 => (0.0..100.0f64).prop_map(|v| json!(v)),
        30 => (0u32..100_000).prop_map(|v| json!(v)),
        10 => any::<i64>().prop_map(|v| json!(v)),
        5 => (-1e300..1e300f64).prop_map(|v| json!(v)),
        5 => Just(json!("1.25")),
        5 => Just(Value::Null),
        5 => Just(json!("-")),
        3 => Just(json!("")),
        1 => prop_oneof![Just(json!("soon")), Just(json!("inf")), Just(json!(true))],
    ]
}

fn flag() -> impl Strategy<Value = Value> {
    let all = [json!(true), json!(false), json!(1), json!(0), json!(1.0), json!("true"), json!("yes")];
    proptest::sample::select([&all[..], &[Value::Null, json!("-")]].concat())
}

fn text(words: &'static [&'static str]) -> impl Strategy<Value = Value> {
    prop_oneof![
        6 => proptest::sample::select(words).prop_map(|w| json!(w)),
        1 => Just(Value::Null),
        1 => Just(json!("")),
        1 => Just(json!("brand-new")),
        1 => (0u32..9).prop_map(|v| json!(v)),
    ]
}

fn list<S: Strategy<Value = Value> + 'static>(item: S) -> impl Strategy<Value = Value> {
    prop_oneof![
        1 => Just(Value::Null),
        5 => proptest::collection::vec(item, 0..5).prop_map(Value::Array),
    ]
}

/// A list of numbers, none of which may be absent.
fn number_list() -> impl Strategy<Value = Value> {
    list(prop_oneof![30 => (0u32..300).prop_map(|v| json!(v)), 10 => (0.0..9.0f64).prop_map(|v| json!(v)),
        1 => Just(json!("")), 1 => Just(json!("x"))])
}

/// An object with some of these fields, and an unknown field.
fn object(fields: Vec<(&'static str, BoxedStrategy<Value>)>) -> BoxedStrategy<Value> {
    let optional_fields: Vec<_> = fields
        .into_iter()
        .map(|(name, value)| proptest::option::weighted(0.8, value).prop_map(move |v| v.map(|v| (name, v))))
        .collect();
    optional_fields
        .prop_map(|fields| {
            let mut map: Map<String, Value> =
                fields.into_iter().flatten().map(|(k, v)| (k.to_owned(), v)).collect();
            map.insert("brandNew".into(), json!({"deep": [1, {"er": "x"}]}));
            Value::Object(map)
        })
        .boxed()
}

/// A section: an object with some of these fields, or null.
fn section(fields: Vec<(&'static str, BoxedStrategy<Value>)>) -> BoxedStrategy<Value> {
    prop_oneof![30 => object(fields), 1 => Just(Value::Null)].boxed()
}

fn numbers(names: &[&'static str]) -> Vec<(&'static str, BoxedStrategy<Value>)> {
    names.iter().map(|n| (*n, number().boxed())).collect()
}

fn flags(names: &[&'static str]) -> Vec<(&'static str, BoxedStrategy<Value>)> {
    names.iter().map(|n| (*n, flag().boxed())).collect()
}

fn profile() -> BoxedStrategy<Value> {
    let mut fields = numbers(&["value", "lateWorth", "aim", "aimStretch", "deadline", "repeatWindow"]);
    fields.extend([
        ("name", text(&["lane-rate", "tariff-load"]).boxed()),
        ("effect", text(&["read_like", "idempotency_key", "non_idempotent"]).boxed()),
        ("dedupScope", text(&["all", "zone", "cell"]).boxed()),
        ("inTurn", flag().boxed()),
        ("allowedOn", number_list().boxed()),
        ("runsIn", number_list().boxed()),
    ]);
    object(fields)
}

fn settings() -> BoxedStrategy<Value> {
    let mut specifics = flags(&["takesGrants", "priorities", "tellsCost"]);
    specifics.extend(numbers(&["progressPace"]));
    specifics.extend([
        ("classThreads", number_list().boxed()),
        ("loads", list(flag()).boxed()),
        ("sizeCores", number_list().boxed()),
        ("ramOfKindMb", number_list().boxed()),
        ("memoryShort", text(&["queue", "trim", "swap"]).boxed()),
    ]);
    let mut limits = flags(&["cancel", "probes", "peers", "retryAfter"]);
    limits.extend(numbers(&["maxRetryAfter", "maxAttempts", "maxStreams", "connectTimeout", "connIdle"]));
    let report = vec![
        ("via", text(&["piggyback", "pull", "silent"]).boxed()),
        ("fields", list(text(&["rif", "q", "busy", "x0"])).boxed()),
    ];
    let rules = numbers(&[
        "drainGrace",
        "fallMultiple",
        "overloadFor",
        "startCapacity",
        "cold",
        "orderSettle",
        "ratioSpan",
        "freeResends",
        "budgetShare",
    ]);
    let customer = [vec![("name", text(&["sud", "nord"]).boxed())], numbers(&["quotaPerS"])].concat();
    let mut fields = numbers(&["overShareWorth", "siblings", "position"]);
    fields.extend([
        ("profiles", list(profile()).boxed()),
        ("customers", list(object(customer)).boxed()),
        ("discovery", text(&["push", "ask"]).boxed()),
        ("az", text(&["0", "1", "4294967295", "4294967296"]).boxed()),
        ("zones", list(text(&["hall-a", "hall-b"])).boxed()),
        ("shapes", list(text(&["std"])).boxed()),
        ("loadReport", section(report)),
        ("specifics", section(specifics)),
        ("limits", section(limits)),
        ("invariants", section(rules)),
        ("prices", section(numbers(&["probe", "crossZone", "handshake"]))),
        ("clients", section(flags(&["marksRetry"]))),
    ]);
    object(fields)
}

/// Writes settings as pairs, as the simulator does.
fn write_pairs(path: &str, value: &Value, out: &mut Vec<String>) {
    let child_path = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    let plain_text = |v: &Value| match v {
        Value::String(s) => s.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, v)| write_pairs(&child_path(key), v, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.push(format!("{}={}", child_path("count"), items.len()));
            items.iter().enumerate().for_each(|(i, v)| write_pairs(&child_path(&i.to_string()), v, out));
        }
        Value::Array(items) => {
            out.push(format!("{path}={}", items.iter().map(plain_text).collect::<Vec<_>>().join(",")))
        }
        _ => out.push(format!("{path}={}", plain_text(value))),
    }
}

/// Parses settings as JSON; the error is its path, and whether it has a line and column.
fn from_json(settings: &Value) -> Result<WireSettings, (String, bool)> {
    let text = json!({"listen": "127.0.0.1:1", "seed": "a", "settings": settings});
    let text = serde_json::to_string_pretty(&text).expect("written");
    match PlatformConfig::<Value>::parse(&text) {
        Ok(p) => Ok(p.settings),
        Err(e) => Err((e.place.path, e.place.position.is_some())),
    }
}

#[test]
fn json_and_pairs_give_equal_settings() {
    let accepted = Cell::new(0);
    let rejected = Cell::new(0);
    let run = runner(500).run(&settings(), |value| {
        let mut lines = Vec::new();
        write_pairs("", &value, &mut lines);
        match (from_json(&value), pairs::parse(lines.iter().map(String::as_str))) {
            (Ok(a), Ok(b)) => {
                accepted.set(accepted.get() + 1);
                prop_assert_eq!(a.to_policy_settings(), b.to_policy_settings());
                prop_assert_eq!(a.limits, b.limits);
            }
            // The two parsers may find different errors first, since they visit the fields of an object in
            // different orders.
            (Err((path, has_position)), Err(e)) => {
                rejected.set(rejected.get() + 1);
                prop_assert!(
                    path.starts_with("settings.") && has_position && !e.place.path.is_empty(),
                    "{} {}",
                    path,
                    e
                );
            }
            (a, b) => prop_assert!(false, "{:?} but {:?}", a, b),
        }
        Ok(())
    });
    run.expect("holds");
    assert!(
        accepted.get() > 100 && rejected.get() > 50,
        "both occur: {accepted:?} accepted, {rejected:?} rejected"
    );
}
