//! The registry op by op: who is judged against whom, leases, bounds, snapshots.

mod common;

use common::{schema, uses};
use sprucelink_schema_compat::bounds::{LEASE_MARGIN_MS, MAX_SUBSCRIBERS, MAX_VERSIONS, MIN_LEASE_MS};
use sprucelink_schema_compat::registry::{NotAccepted, Refusal};
use sprucelink_schema_compat::{Declared, Op, Outcome, Registry, Rule, Schema};

const LEASE: u64 = 10_000;

fn propose(schema: &Schema) -> Op {
    Op::Propose {
        publisher: "list".into(),
        schema: schema.to_set().to_vec(),
        translations: vec![],
        replayed: false,
    }
}

fn subscribe(who: &str, version: u32, used: &str) -> Op {
    let (subscriber, publisher) = (who.to_string(), "list".to_string());
    Op::Subscribe { subscriber, publisher, version, uses: uses(used), lease_ms: LEASE }
}

fn named(who: &str) -> (String, String) {
    (who.to_string(), "list".to_string())
}

fn rules(outcome: &Outcome) -> Vec<(Rule, Vec<String>)> {
    match outcome {
        Outcome::Refused(Refusal::Breaks { reasons, .. }) => {
            reasons.iter().map(|reason| (reason.rule, reason.who.clone())).collect()
        }
        other => panic!("not refused for breaks: {other:?}"),
    }
}

fn accepted(outcome: Outcome) -> u32 {
    match outcome {
        Outcome::Accepted { version, .. } => version,
        other => panic!("not accepted: {other:?}"),
    }
}

const A: &str = "message R { int32 a = 1; int32 b = 2; }";
const B: &str = "message R { int32 a = 1; reserved 2; }";
const C: &str = "message R { int32 a = 1; string c = 3; reserved 2; }";

#[test]
fn change_and_subscriber_meet_whichever_comes_first() {
    let (a, b) = (schema(A), schema(B));
    let mut first = Registry::new();
    assert_eq!(first.may_publish("list", a.digest()), Err(NotAccepted::UnknownPublisher));
    assert_eq!(accepted(first.apply(0, propose(&a))), 1);
    let mut second = first.clone();
    assert!(matches!(
        first.apply(1, subscribe("old", 1, "all")),
        Outcome::Subscribed { until_ms: 10_001, .. }
    ));
    let broken = rules(&first.apply(2, propose(&b)));
    assert_eq!(broken, [(Rule::FieldRemovedInUse, vec!["old".to_string()])]);
    assert_eq!(first.may_publish("list", b.digest()), Err(NotAccepted::NeverAccepted));
    assert_eq!(accepted(second.apply(1, propose(&b))), 2);
    let broken = rules(&second.apply(2, subscribe("old", 1, "all")));
    assert_eq!(broken[0].0, Rule::FieldRemovedInUse);
    // One that does not use it is let in by both orders.
    assert!(matches!(second.apply(3, subscribe("old", 1, "t.R/a")), Outcome::Subscribed { .. }));
    // Withdrawn, the change blocks nobody; proposed again, it is judged again.
    second.apply(4, Op::Withdraw { publisher: "list".into(), version: 2 });
    assert_eq!(second.may_publish("list", b.digest()), Err(NotAccepted::Withdrawn(2)));
    assert!(matches!(second.apply(5, subscribe("whole", 1, "all")), Outcome::Subscribed { .. }));
    assert_eq!(rules(&second.apply(6, propose(&b)))[0].1, ["whole"]);
}

#[test]
fn a_subscriber_counts_until_its_lease_and_margin_are_over() {
    let mut registry = Registry::new();
    registry.apply(0, propose(&schema(A)));
    registry.apply(1_000, subscribe("old", 1, "all"));
    let (subscriber, publisher) = named("old");
    let ended = || Op::LeaseEnded { subscriber: subscriber.clone(), publisher: publisher.clone() };
    let over = 1_000 + LEASE + LEASE_MARGIN_MS;
    assert_eq!(registry.apply(over - 1, ended()), Outcome::Refused(Refusal::LeaseRuns { until_ms: over }));
    assert_eq!(registry.leases_over(over - 1).count(), 0);
    assert_eq!(registry.leases_over(over).count(), 1);
    assert!(matches!(registry.apply(over - 1, propose(&schema(B))), Outcome::Refused(_)));
    // A renewal that comes into the journal before the end makes the end stale.
    let renewed =
        registry.apply(over - 1, Op::Renew { subscriber: subscriber.clone(), publisher: publisher.clone() });
    assert_eq!(renewed, Outcome::Renewed { until_ms: over - 1 + LEASE });
    assert!(matches!(registry.apply(over, ended()), Outcome::Refused(Refusal::LeaseRuns { .. })));
    // A leader whose clock runs back does not end it early, nor shortens a lease.
    assert!(matches!(registry.apply(5, ended()), Outcome::Refused(Refusal::LeaseRuns { .. })));
    let back = registry.apply(5, Op::Renew { subscriber: subscriber.clone(), publisher: publisher.clone() });
    assert_eq!(back, Outcome::Renewed { until_ms: over + LEASE });
    assert_eq!(registry.apply(over + LEASE + LEASE_MARGIN_MS, ended()), Outcome::Done);
    assert_eq!(accepted(registry.apply(over + 2 * LEASE, propose(&schema(B)))), 2);
    let gone = registry.apply(over + 2 * LEASE, Op::Renew { subscriber, publisher });
    assert_eq!(gone, Outcome::Refused(Refusal::UnknownSubscriber));
}

#[test]
fn translations_are_those_that_subscribers_need() {
    let old = schema("message R { E e = 1; } enum E { UP = 0; OUT = 1; }");
    let new = schema("message R { E e = 1; } enum E { UP = 0; OUT = 1; DRAINED = 2; }");
    let mut registry = Registry::new();
    registry.apply(0, propose(&old));
    registry.apply(0, subscribe("desk", 1, "all"));
    assert_eq!(rules(&registry.apply(1, propose(&new)))[0].0, Rule::EnumValueAdded);
    let translations = vec![Declared::ValueReadsAs {
        enumeration: "t.E".into(),
        value: "DRAINED".into(),
        reads_as: "OUT".into(),
    }];
    let proposal = Op::Propose {
        publisher: "list".into(),
        schema: new.to_set().to_vec(),
        translations,
        replayed: false,
    };
    assert_eq!(registry.apply(1, proposal.clone()), Outcome::Accepted { version: 2, translated: vec![1] });
    let mut record = prost_reflect::DynamicMessage::new(new.message("t.R").unwrap());
    record.set_field_by_name("e", prost_reflect::Value::EnumNumber(2));
    let read = registry.translation("list", 2, 1).unwrap().run(&record).unwrap().unwrap();
    assert_eq!(read.get_field_by_name("e").unwrap().as_enum_number(), Some(1));
    assert!(registry.translation("list", 1, 2).is_none(), "nobody reads version 2");
    // The same schema with other declarations would change what was judged.
    assert!(matches!(registry.apply(2, propose(&new)), Outcome::Refused(Refusal::Invalid(_))));
    assert_eq!(registry.apply(2, proposal), Outcome::Accepted { version: 2, translated: vec![1] });
    let (subscriber, publisher) = named("desk");
    registry.apply(3, Op::Unsubscribe { subscriber, publisher });
    assert!(registry.translation("list", 2, 1).is_none());
}

#[test]
fn every_version_in_use_and_all_between_are_judged() {
    let mut registry = Registry::new();
    for body in [A, C] {
        registry.apply(0, propose(&schema(body)));
    }
    // The newest is C; the oldest reader decides all the same.
    registry.apply(1, subscribe("oldest", 1, "t.R/a"));
    let renamed =
        schema("message R { int32 z = 1 [(f) = { former_names: \"a\" }]; string c = 3; reserved 2; }");
    assert_eq!(accepted(registry.apply(2, propose(&renamed))), 3);
    let broken = rules(&registry.apply(2, propose(&schema("message R { string c = 3; reserved 1, 2; }"))));
    assert_eq!(broken, [(Rule::FieldRemovedInUse, vec!["oldest".to_string()])]);
    // What version 2 reserved stays reserved, though version 1 had it just so.
    let broken =
        rules(&registry.apply(2, propose(&schema("message R { int32 a = 1; int32 b = 2; string c = 3; }"))));
    assert!(broken.contains(&(Rule::ReservedNumberUsed, vec!["history".to_string()])), "{broken:?}");
    // Retired versions leave their numbers behind.
    for version in [2, 3] {
        assert_eq!(
            registry.apply(3, Op::Retire { publisher: "list".into(), version }),
            Outcome::Refused(Refusal::InUse)
        );
        registry.apply(3, Op::Withdraw { publisher: "list".into(), version });
        assert_eq!(registry.apply(3, Op::Retire { publisher: "list".into(), version }), Outcome::Done);
    }
    let broken = rules(&registry.apply(
        4,
        propose(&schema(
            "message R { int32 z = 1 [(f) = { former_names: \"a\" }]; int32 d = 3; reserved 2; }",
        )),
    ));
    assert_eq!(broken, [(Rule::FieldNumberReused, vec!["history".to_string()])]);
}

#[test]
fn replayed_history_is_read_by_those_who_come_later() {
    let wide = schema("message R { int32 a = 1; }");
    let narrow = schema("message R { int32 a = 1 [(f) = { min: 0 }]; }");
    for replayed in [false, true] {
        let mut registry = Registry::new();
        let ask = |schema: &Schema| Op::Propose {
            publisher: "list".into(),
            schema: schema.to_set().to_vec(),
            translations: vec![],
            replayed,
        };
        registry.apply(0, ask(&wide));
        registry.apply(0, Op::Withdraw { publisher: "list".into(), version: 1 });
        let outcome = registry.apply(1, ask(&narrow));
        if replayed {
            assert_eq!(rules(&outcome)[0].0, Rule::RangeNarrowed);
        } else {
            assert_eq!(accepted(outcome), 2);
            // Once records of the first version may be met again, no reader of the second may stand.
            assert!(matches!(registry.apply(2, subscribe("new", 2, "all")), Outcome::Subscribed { .. }));
            assert_eq!(rules(&registry.apply(2, ask(&wide)))[0].0, Rule::RangeNarrowed);
        }
        let other = Op::Propose {
            publisher: "list".into(),
            schema: vec![],
            translations: vec![],
            replayed: !replayed,
        };
        assert!(matches!(registry.apply(3, other), Outcome::Refused(Refusal::Invalid(_))));
    }
}

#[test]
fn bounds_refuse_and_say_so() {
    let mut registry = Registry::new();
    let fields = |count: usize| (1..=count).map(|n| format!("int32 f{n} = {n};")).collect::<String>();
    for count in 1..=MAX_VERSIONS {
        let body = format!("message R {{ {} }}", fields(count));
        assert_eq!(accepted(registry.apply(0, propose(&schema(&body)))) as usize, count);
    }
    let more = schema(&format!("message R {{ {} }}", fields(MAX_VERSIONS + 1)));
    assert!(matches!(
        registry.apply(0, propose(&more)),
        Outcome::Refused(Refusal::Full { bound: MAX_VERSIONS, .. })
    ));
    registry.apply(0, Op::Withdraw { publisher: "list".into(), version: 1 });
    registry.apply(0, Op::Retire { publisher: "list".into(), version: 1 });
    assert_eq!(accepted(registry.apply(0, propose(&more))) as usize, MAX_VERSIONS + 1);
    let short = Op::Subscribe {
        subscriber: "s".into(),
        publisher: "list".into(),
        version: 2,
        uses: uses("all"),
        lease_ms: MIN_LEASE_MS - 1,
    };
    assert!(matches!(registry.apply(0, short), Outcome::Refused(Refusal::Invalid(_))));
    for version in [1, 999] {
        let outcome = registry.apply(0, subscribe("s", version, "all"));
        assert_eq!(outcome, Outcome::Refused(Refusal::UnknownVersion));
    }
    assert!(matches!(registry.apply(0, subscribe("", 2, "all")), Outcome::Refused(Refusal::Invalid(_))));

    let mut crowd = Registry::new();
    crowd.apply(0, propose(&schema(A)));
    for n in 0..MAX_SUBSCRIBERS {
        assert!(matches!(crowd.apply(0, subscribe(&format!("s{n}"), 1, "all")), Outcome::Subscribed { .. }));
    }
    let outcome = crowd.apply(0, subscribe("one more", 1, "all"));
    assert!(matches!(outcome, Outcome::Refused(Refusal::Full { bound: MAX_SUBSCRIBERS, .. })));
    // Those who stand renew and change on; a refusal names some and counts all.
    assert!(matches!(crowd.apply(0, subscribe("s7", 1, "t.R/a")), Outcome::Subscribed { .. }));
    let Outcome::Refused(Refusal::Breaks { reasons, .. }) = crowd.apply(0, propose(&schema(B))) else {
        panic!()
    };
    assert_eq!((reasons[0].count, reasons[0].who.len()), (MAX_SUBSCRIBERS - 1, 16));
}

#[test]
fn snapshots_and_ops_survive_the_wire() {
    let mut registry = Registry::new();
    let used = uses("tolerant json t.R/a");
    let (subscriber, publisher) = named("old");
    let declared = vec![
        Declared::FieldWas { message: "t.R".into(), field: "a".into(), was: "x".into() },
        Declared::FieldHadNumber { message: "t.R".into(), field: "a".into(), number: 9 },
        Declared::OldReadsAs { message: "t.R".into(), field: "a".into(), value: "1".into() },
        Declared::RemovedReadsAs { message: "t.R".into(), field: "y".into(), value: "1".into() },
        Declared::MessageWas { message: "t.R".into(), was: "t.S".into() },
    ];
    let set = schema("message R { int32 a = 1; E e = 4; reserved 2; } enum E { Z = 0; }").to_set().to_vec();
    let ops = [
        Op::Propose { publisher: publisher.clone(), schema: set, translations: declared, replayed: false },
        Op::Subscribe {
            subscriber: subscriber.clone(),
            publisher: publisher.clone(),
            version: 1,
            uses: used,
            lease_ms: LEASE,
        },
        propose(&schema("message R { int32 a = 1; E e = 4; int32 d = 3; reserved 2; } enum E { Z = 0; }")),
        Op::Renew { subscriber: subscriber.clone(), publisher: publisher.clone() },
        Op::Withdraw { publisher: publisher.clone(), version: 2 },
        Op::Retire { publisher: publisher.clone(), version: 2 },
        Op::LeaseEnded { subscriber: subscriber.clone(), publisher: publisher.clone() },
        Op::Unsubscribe { subscriber, publisher },
    ];
    for (at, op) in ops.iter().enumerate() {
        let read = Op::decode(&op.encode()).unwrap();
        assert_eq!(read, *op);
        // A follower that starts from a snapshot at any position comes to the same state.
        let mut follower = Registry::import(&registry.export()).unwrap();
        assert_eq!(follower.apply(at as u64, read), registry.apply(at as u64, op.clone()), "{op:?}");
        assert_eq!(follower.digest(), registry.digest(), "{op:?}");
        let names =
            |one: &Registry| (one.standing().collect::<Vec<_>>(), one.subscribers().collect::<Vec<_>>());
        assert_eq!(names(&follower), names(&registry));
    }
    let bytes = registry.export();
    for at in 0..bytes.len() {
        let _ = Registry::import(&bytes[..at]);
    }
    let mut other = bytes;
    other[1] = 77;
    assert!(Registry::import(&other).unwrap_err().to_string().contains("edition 77"));
    assert!(Op::decode(&[8, 99]).unwrap_err().contains("unknown kind 99"));
}
