//! Tests each registry command: the checks that apply, leases, limits and snapshots.

mod common;

use common::{schema, usage};
use sprucelink_schema_compat::limits::{LEASE_MARGIN_MS, MAX_SUBSCRIBERS, MAX_VERSIONS, MIN_LEASE_MS};
use sprucelink_schema_compat::registry::{CommandRejection, PublishError};
use sprucelink_schema_compat::{
    CommandOutcome, MigrationDeclaration, Registry, RegistryCommand, Rule, Schema,
};

const LEASE_MS: u64 = 10_000;

fn propose(schema: &Schema) -> RegistryCommand {
    RegistryCommand::Propose {
        publisher: "list".into(),
        schema: schema.to_set().to_vec(),
        declarations: vec![],
        replayed: false,
    }
}

fn subscribe(subscriber: &str, version: u32, used: &str) -> RegistryCommand {
    let (subscriber, publisher) = names(subscriber);
    RegistryCommand::Subscribe { subscriber, publisher, version, usage: usage(used), lease_ms: LEASE_MS }
}

/// The names of a subscriber and of the publisher.
fn names(subscriber: &str) -> (String, String) {
    (subscriber.to_string(), "list".to_string())
}

/// The violated rules of a rejection, each with the readers that it would break.
fn violated_rules(outcome: &CommandOutcome) -> Vec<(Rule, Vec<String>)> {
    match outcome {
        CommandOutcome::Rejected(CommandRejection::BreaksReaders { violations, .. }) => {
            violations.iter().map(|violation| (violation.rule, violation.affected.clone())).collect()
        }
        other => panic!("not rejected for breaking readers: {other:?}"),
    }
}

/// The version number of an accepted proposal.
fn accepted_version(outcome: CommandOutcome) -> u32 {
    match outcome {
        CommandOutcome::Accepted { version, .. } => version,
        other => panic!("not accepted: {other:?}"),
    }
}

const A_AND_B: &str = "message R { int32 a = 1; int32 b = 2; }";
const B_REMOVED: &str = "message R { int32 a = 1; reserved 2; }";
const B_REMOVED_C_ADDED: &str = "message R { int32 a = 1; string c = 3; reserved 2; }";

#[test]
fn breaking_change_and_subscriber_are_checked_in_either_order() {
    let (old, new) = (schema(A_AND_B), schema(B_REMOVED));
    let mut first = Registry::new();
    assert_eq!(first.may_publish("list", old.digest()), Err(PublishError::UnknownPublisher));
    assert_eq!(accepted_version(first.apply(0, propose(&old))), 1);
    let mut second = first.clone();
    assert!(matches!(
        first.apply(1, subscribe("old", 1, "all")),
        CommandOutcome::Subscribed { until_ms: 10_001, .. }
    ));
    let violated = violated_rules(&first.apply(2, propose(&new)));
    assert_eq!(violated, [(Rule::FieldRemovedInUse, vec!["old".to_string()])]);
    assert_eq!(first.may_publish("list", new.digest()), Err(PublishError::NeverAccepted));
    assert_eq!(accepted_version(second.apply(1, propose(&new))), 2);
    let violated = violated_rules(&second.apply(2, subscribe("old", 1, "all")));
    assert_eq!(violated[0].0, Rule::FieldRemovedInUse);
    // A subscriber that does not use the field is accepted in either order.
    assert!(matches!(second.apply(3, subscribe("old", 1, "t.R/a")), CommandOutcome::Subscribed { .. }));
    // A withdrawn version blocks no subscriber; when it is proposed again, it is checked again.
    second.apply(4, RegistryCommand::Withdraw { publisher: "list".into(), version: 2 });
    assert_eq!(second.may_publish("list", new.digest()), Err(PublishError::Withdrawn(2)));
    assert!(matches!(second.apply(5, subscribe("whole", 1, "all")), CommandOutcome::Subscribed { .. }));
    assert_eq!(violated_rules(&second.apply(6, propose(&new)))[0].1, ["whole"]);
}

#[test]
fn subscriber_blocks_change_until_lease_and_margin_expire() {
    let mut registry = Registry::new();
    registry.apply(0, propose(&schema(A_AND_B)));
    registry.apply(1_000, subscribe("old", 1, "all"));
    let (subscriber, publisher) = names("old");
    let expire =
        || RegistryCommand::ExpireLease { subscriber: subscriber.clone(), publisher: publisher.clone() };
    let expiry_ms = 1_000 + LEASE_MS + LEASE_MARGIN_MS;
    assert_eq!(
        registry.apply(expiry_ms - 1, expire()),
        CommandOutcome::Rejected(CommandRejection::LeaseNotExpired { until_ms: expiry_ms })
    );
    assert_eq!(registry.expired_leases(expiry_ms - 1).count(), 0);
    assert_eq!(registry.expired_leases(expiry_ms).count(), 1);
    assert!(matches!(
        registry.apply(expiry_ms - 1, propose(&schema(B_REMOVED))),
        CommandOutcome::Rejected(_)
    ));
    // A renewal that precedes the expiry in the journal makes the expiry stale.
    let renewed = registry.apply(
        expiry_ms - 1,
        RegistryCommand::Renew { subscriber: subscriber.clone(), publisher: publisher.clone() },
    );
    assert_eq!(renewed, CommandOutcome::Renewed { until_ms: expiry_ms - 1 + LEASE_MS });
    assert!(matches!(
        registry.apply(expiry_ms, expire()),
        CommandOutcome::Rejected(CommandRejection::LeaseNotExpired { .. })
    ));
    // A leader whose clock runs backwards neither expires a lease early nor shortens it.
    assert!(matches!(
        registry.apply(5, expire()),
        CommandOutcome::Rejected(CommandRejection::LeaseNotExpired { .. })
    ));
    let renewed_again = registry
        .apply(5, RegistryCommand::Renew { subscriber: subscriber.clone(), publisher: publisher.clone() });
    assert_eq!(renewed_again, CommandOutcome::Renewed { until_ms: expiry_ms + LEASE_MS });
    assert_eq!(registry.apply(expiry_ms + LEASE_MS + LEASE_MARGIN_MS, expire()), CommandOutcome::Done);
    assert_eq!(accepted_version(registry.apply(expiry_ms + 2 * LEASE_MS, propose(&schema(B_REMOVED)))), 2);
    let after_expiry =
        registry.apply(expiry_ms + 2 * LEASE_MS, RegistryCommand::Renew { subscriber, publisher });
    assert_eq!(after_expiry, CommandOutcome::Rejected(CommandRejection::UnknownSubscriber));
}

#[test]
fn translation_exists_only_while_a_subscriber_needs_it() {
    let old = schema("message R { E e = 1; } enum E { UP = 0; OUT = 1; }");
    let new = schema("message R { E e = 1; } enum E { UP = 0; OUT = 1; DRAINED = 2; }");
    let mut registry = Registry::new();
    registry.apply(0, propose(&old));
    registry.apply(0, subscribe("desk", 1, "all"));
    assert_eq!(violated_rules(&registry.apply(1, propose(&new)))[0].0, Rule::EnumValueAdded);
    let declarations = vec![MigrationDeclaration::EnumValueFallback {
        enumeration: "t.E".into(),
        value: "DRAINED".into(),
        reads_as: "OUT".into(),
    }];
    let proposal = RegistryCommand::Propose {
        publisher: "list".into(),
        schema: new.to_set().to_vec(),
        declarations,
        replayed: false,
    };
    assert_eq!(
        registry.apply(1, proposal.clone()),
        CommandOutcome::Accepted { version: 2, translated: vec![1] }
    );
    let mut record = prost_reflect::DynamicMessage::new(new.message("t.R").unwrap());
    record.set_field_by_name("e", prost_reflect::Value::EnumNumber(2));
    let read = registry.translation("list", 2, 1).unwrap().run(&record).unwrap().unwrap();
    assert_eq!(read.get_field_by_name("e").unwrap().as_enum_number(), Some(1));
    assert!(registry.translation("list", 1, 2).is_none(), "nobody reads version 2");
    // Accepting the same schema with other declarations would invalidate the earlier check.
    assert!(matches!(
        registry.apply(2, propose(&new)),
        CommandOutcome::Rejected(CommandRejection::Invalid(_))
    ));
    assert_eq!(registry.apply(2, proposal), CommandOutcome::Accepted { version: 2, translated: vec![1] });
    let (subscriber, publisher) = names("desk");
    registry.apply(3, RegistryCommand::Unsubscribe { subscriber, publisher });
    assert!(registry.translation("list", 2, 1).is_none());
}

#[test]
fn proposal_is_checked_against_all_versions_in_use_and_history() {
    let mut registry = Registry::new();
    for body in [A_AND_B, B_REMOVED_C_ADDED] {
        registry.apply(0, propose(&schema(body)));
    }
    // The newest version removes `b` and adds `c`; the reader of the oldest version is checked all the same.
    registry.apply(1, subscribe("oldest", 1, "t.R/a"));
    let renamed =
        schema("message R { int32 z = 1 [(f) = { former_names: \"a\" }]; string c = 3; reserved 2; }");
    assert_eq!(accepted_version(registry.apply(2, propose(&renamed))), 3);
    let violated =
        violated_rules(&registry.apply(2, propose(&schema("message R { string c = 3; reserved 1, 2; }"))));
    assert_eq!(violated, [(Rule::FieldRemovedInUse, vec!["oldest".to_string()])]);
    // A number that version 2 reserved stays reserved, although version 1 used it for the same field.
    let violated = violated_rules(
        &registry.apply(2, propose(&schema("message R { int32 a = 1; int32 b = 2; string c = 3; }"))),
    );
    assert!(violated.contains(&(Rule::ReservedNumberUsed, vec!["history".to_string()])), "{violated:?}");
    // The numbers of retired versions stay in the history.
    for version in [2, 3] {
        assert_eq!(
            registry.apply(3, RegistryCommand::Retire { publisher: "list".into(), version }),
            CommandOutcome::Rejected(CommandRejection::InUse)
        );
        registry.apply(3, RegistryCommand::Withdraw { publisher: "list".into(), version });
        assert_eq!(
            registry.apply(3, RegistryCommand::Retire { publisher: "list".into(), version }),
            CommandOutcome::Done
        );
    }
    let violated = violated_rules(&registry.apply(
        4,
        propose(&schema(
            "message R { int32 z = 1 [(f) = { former_names: \"a\" }]; int32 d = 3; reserved 2; }",
        )),
    ));
    assert_eq!(violated, [(Rule::FieldNumberReused, vec!["history".to_string()])]);
}

#[test]
fn replayed_records_are_checked_for_later_readers() {
    let wide = schema("message R { int32 a = 1; }");
    let narrow = schema("message R { int32 a = 1 [(f) = { min: 0 }]; }");
    for replayed in [false, true] {
        let mut registry = Registry::new();
        let proposal = |schema: &Schema| RegistryCommand::Propose {
            publisher: "list".into(),
            schema: schema.to_set().to_vec(),
            declarations: vec![],
            replayed,
        };
        registry.apply(0, proposal(&wide));
        registry.apply(0, RegistryCommand::Withdraw { publisher: "list".into(), version: 1 });
        let outcome = registry.apply(1, proposal(&narrow));
        if replayed {
            assert_eq!(violated_rules(&outcome)[0].0, Rule::RangeNarrowed);
        } else {
            assert_eq!(accepted_version(outcome), 2);
            // A reader of the second version prevents the first from coming into force again, because records
            // of the first may lie outside the second's range.
            assert!(matches!(
                registry.apply(2, subscribe("new", 2, "all")),
                CommandOutcome::Subscribed { .. }
            ));
            assert_eq!(violated_rules(&registry.apply(2, proposal(&wide)))[0].0, Rule::RangeNarrowed);
        }
        let other = RegistryCommand::Propose {
            publisher: "list".into(),
            schema: vec![],
            declarations: vec![],
            replayed: !replayed,
        };
        assert!(matches!(registry.apply(3, other), CommandOutcome::Rejected(CommandRejection::Invalid(_))));
    }
}

#[test]
fn command_over_limit_is_rejected_with_the_limit() {
    let mut registry = Registry::new();
    let fields = |count: usize| (1..=count).map(|n| format!("int32 f{n} = {n};")).collect::<String>();
    for count in 1..=MAX_VERSIONS {
        let body = format!("message R {{ {} }}", fields(count));
        assert_eq!(accepted_version(registry.apply(0, propose(&schema(&body)))) as usize, count);
    }
    let more = schema(&format!("message R {{ {} }}", fields(MAX_VERSIONS + 1)));
    assert!(matches!(
        registry.apply(0, propose(&more)),
        CommandOutcome::Rejected(CommandRejection::LimitReached { limit: MAX_VERSIONS, .. })
    ));
    registry.apply(0, RegistryCommand::Withdraw { publisher: "list".into(), version: 1 });
    registry.apply(0, RegistryCommand::Retire { publisher: "list".into(), version: 1 });
    assert_eq!(accepted_version(registry.apply(0, propose(&more))) as usize, MAX_VERSIONS + 1);
    let short_lease = RegistryCommand::Subscribe {
        subscriber: "s".into(),
        publisher: "list".into(),
        version: 2,
        usage: usage("all"),
        lease_ms: MIN_LEASE_MS - 1,
    };
    assert!(matches!(registry.apply(0, short_lease), CommandOutcome::Rejected(CommandRejection::Invalid(_))));
    for version in [1, 999] {
        let outcome = registry.apply(0, subscribe("s", version, "all"));
        assert_eq!(outcome, CommandOutcome::Rejected(CommandRejection::UnknownVersion));
    }
    assert!(matches!(
        registry.apply(0, subscribe("", 2, "all")),
        CommandOutcome::Rejected(CommandRejection::Invalid(_))
    ));

    let mut full_registry = Registry::new();
    full_registry.apply(0, propose(&schema(A_AND_B)));
    for n in 0..MAX_SUBSCRIBERS {
        assert!(matches!(
            full_registry.apply(0, subscribe(&format!("s{n}"), 1, "all")),
            CommandOutcome::Subscribed { .. }
        ));
    }
    let outcome = full_registry.apply(0, subscribe("one more", 1, "all"));
    assert!(matches!(
        outcome,
        CommandOutcome::Rejected(CommandRejection::LimitReached { limit: MAX_SUBSCRIBERS, .. })
    ));
    // Existing subscribers can still change; a rejection names some of them and counts all.
    assert!(matches!(full_registry.apply(0, subscribe("s7", 1, "t.R/a")), CommandOutcome::Subscribed { .. }));
    let CommandOutcome::Rejected(CommandRejection::BreaksReaders { violations, .. }) =
        full_registry.apply(0, propose(&schema(B_REMOVED)))
    else {
        panic!()
    };
    assert_eq!((violations[0].affected_count, violations[0].affected.len()), (MAX_SUBSCRIBERS - 1, 16));
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn snapshots_and_commands_round_trip_through_encoding() {
    let mut registry = Registry::new();
    let used = usage("tolerant json t.R/a");
    let (subscriber, publisher) = names("old");
    let declared = vec![
        MigrationDeclaration::FieldRenamed {
            message: "t.R".into(),
            field: "a".into(),
            former_name: "x".into(),
        },
        MigrationDeclaration::FieldRenumbered { message: "t.R".into(), field: "a".into(), number: 9 },
        MigrationDeclaration::AddedFieldDefault {
            message: "t.R".into(),
            field: "a".into(),
            value: "1".into(),
        },
        MigrationDeclaration::RemovedFieldDefault {
            message: "t.R".into(),
            field: "y".into(),
            value: "1".into(),
        },
        MigrationDeclaration::MessageRenamed { message: "t.R".into(), former_name: "t.S".into() },
    ];
    let set = schema("message R { int32 a = 1; E e = 4; reserved 2; } enum E { Z = 0; }").to_set().to_vec();
    let commands = [
        RegistryCommand::Propose {
            publisher: publisher.clone(),
            schema: set,
            declarations: declared,
            replayed: false,
        },
        RegistryCommand::Subscribe {
            subscriber: subscriber.clone(),
            publisher: publisher.clone(),
            version: 1,
            usage: used,
            lease_ms: LEASE_MS,
        },
        propose(&schema("message R { int32 a = 1; E e = 4; int32 d = 3; reserved 2; } enum E { Z = 0; }")),
        RegistryCommand::Renew { subscriber: subscriber.clone(), publisher: publisher.clone() },
        RegistryCommand::Withdraw { publisher: publisher.clone(), version: 2 },
        RegistryCommand::Retire { publisher: publisher.clone(), version: 2 },
        RegistryCommand::ExpireLease { subscriber: subscriber.clone(), publisher: publisher.clone() },
        RegistryCommand::Unsubscribe { subscriber, publisher },
    ];
    for (time_ms, command) in commands.iter().enumerate() {
        let read = RegistryCommand::decode(&command.encode()).unwrap();
        assert_eq!(read, *command);
        // A follower that starts from a snapshot at any position reaches the same state.
        let mut follower = Registry::import(&registry.export()).unwrap();
        assert_eq!(
            follower.apply(time_ms as u64, read),
            registry.apply(time_ms as u64, command.clone()),
            "{command:?}"
        );
        assert_eq!(follower.digest(), registry.digest(), "{command:?}");
        let infos =
            |one: &Registry| (one.versions().collect::<Vec<_>>(), one.subscribers().collect::<Vec<_>>());
        assert_eq!(infos(&follower), infos(&registry));
    }
    let bytes = registry.export();
    for length in 0..bytes.len() {
        let _ = Registry::import(&bytes[..length]);
    }
    let mut other_edition = bytes;
    other_edition[1] = 77;
    assert!(Registry::import(&other_edition).unwrap_err().to_string().contains("edition 77"));
    assert!(RegistryCommand::decode(&[8, 99]).unwrap_err().to_string().contains("unknown kind 99"));
}
