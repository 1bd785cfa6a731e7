//! Hand-written schema pairs for each rule; disabling a rule must change the results of its cases.

mod common;

use common::{corpus, schema, Case};
use sprucelink_schema_compat::check::worst_severity;
use sprucelink_schema_compat::rules::Severity;
use sprucelink_schema_compat::{check_findings, Directions, Finding, ReaderUsage, Rule};
use std::sync::LazyLock;

fn verdict(findings: &[Finding]) -> &'static str {
    match worst_severity(findings) {
        Severity::Note => "compatible",
        Severity::Translate => "translatable",
        Severity::Break => "rejected",
    }
}

/// The cases that give an unexpected result when one rule is disabled.
fn wrong(off: Option<Rule>) -> Vec<String> {
    static JUDGED: LazyLock<Vec<(Case, Vec<Finding>)>> = LazyLock::new(|| {
        corpus().into_iter().map(|case| (case.findings(), case)).map(|(f, c)| (c, f)).collect()
    });
    let mut wrong = Vec::new();
    for (case, found) in JUDGED.iter() {
        let mut found = found.clone();
        found.retain(|finding| Some(finding.rule) != off);
        let named = found.iter().any(|finding| finding.rule.name() == case.rule);
        if verdict(&found) != case.verdict || (case.verdict != "compatible" && !named) {
            wrong.push(format!("{} {} {}: {found:#?}", case.rule, case.direction, case.bodies.join("--")));
        }
    }
    wrong
}

#[test]
fn corpus_case_gives_expected_compatibility() {
    let wrong = wrong(None);
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn disabled_rule_changes_the_result_of_its_cases() {
    for &rule in Rule::ALL.iter().filter(|&&rule| rule != Rule::BoundExceeded) {
        let own =
            corpus().iter().filter(|case| case.rule == rule.name() && case.verdict != "compatible").count();
        let near =
            corpus().iter().filter(|case| case.rule == rule.name() && case.verdict == "compatible").count();
        assert!(own > 0, "{rule} has no case");
        // What is reserved, removed or wrongly declared has its near case with the rule beside it.
        let paired =
            [Rule::ReservedNameUsed, Rule::ReservedDropped, Rule::TranslationFailed, Rule::FieldRenumbered];
        assert!(near > 0 || paired.contains(&rule), "{rule} has no case that it lets through");
        let noticed = wrong(Some(rule)).iter().filter(|case| case.starts_with(rule.name())).count();
        assert_eq!(noticed, own, "{rule}: cases that do not notice that it is off");
    }
}

#[test]
fn comparison_over_pair_limit_is_rejected() {
    // Two rings of messages, of 64 and of 67: their fields meet in 4,288 pairs.
    let ring = |size: usize| {
        let one = |at: usize| format!("message M{at} {{ M{} next = 1; }}\n", (at + 1) % size);
        let marked = "message R { option (m).record = true; M0 first = 1; }\n";
        schema(&(marked.to_string() + &(0..size).map(one).collect::<String>()))
    };
    let found = check_findings(&ring(64), &ring(67), &ReaderUsage::all(), Directions::DOWN);
    assert!(found.iter().any(|finding| finding.rule == Rule::BoundExceeded), "{found:?}");
    let found = check_findings(&ring(8), &ring(9), &ReaderUsage::all(), Directions::BOTH);
    assert_eq!(verdict(&found), "compatible", "{found:?}");
}

#[test]
fn schema_over_limit_or_malformed_gives_error() {
    use sprucelink_schema_compat::Schema;
    let failed = |text: &str| Schema::from_text(text).map(|_| ()).unwrap_err().to_string();
    let fields: String = (1..=5000).map(|n| format!("int32 f{n} = {n};\n")).collect();
    assert!(failed(&format!("syntax = \"proto3\"; message R {{ {fields} }}")).contains("5000 fields"));
    let nested = "message A { ".repeat(500) + &"}".repeat(500);
    assert!(failed(&format!("syntax = \"proto3\"; {nested}")).contains("brackets open at once"));
    assert!(failed(&" ".repeat(300_000)).contains("bytes of text"));
    assert!(failed("syntax = \"proto3\"; message R { missing.Type a = 1; }").contains("does not compile"));
    assert!(failed("syntax = \"proto3\"; enum E { Z = 0; }").contains("no message"));
    // Malformed bytes: every truncation and every changed byte of a valid set gives an error or a schema,
    // never a panic.
    let body = "message R { map<string, E> a = 1; oneof o { R r = 2; int64 n = 3; } optional bytes b = 4 [(f).min_length = 1];
        message In { repeated double d = 1; reserved 3; } In in = 5; } enum E { Z = 0; reserved 4; }";
    let set = schema(body).to_set().to_vec();
    for at in 0..set.len() {
        let _ = Schema::from_set(&set[..at]);
        for other in [set[at].wrapping_add(1), 0, 0xff] {
            let mut changed = set.clone();
            changed[at] = other;
            let _ = Schema::from_set(&changed);
        }
    }
}

#[test]
fn declarations_have_the_effect_of_options() {
    use sprucelink_schema_compat::MigrationDeclaration;
    let old = schema("message R { int32 a = 1; int32 b = 2; E e = 3; } enum E { Z = 0; }");
    let new = schema("message S { int32 z = 4; E e = 3; } enum E { Z = 0; ONE = 1; }");
    let text = str::to_string;
    let message = text("t.S");
    let declared = [
        MigrationDeclaration::MessageRenamed { message: message.clone(), former_name: text("t.R") },
        MigrationDeclaration::FieldRenamed {
            message: message.clone(),
            field: text("z"),
            former_name: text("a"),
        },
        MigrationDeclaration::FieldRenumbered { message: message.clone(), field: text("z"), number: 1 },
        MigrationDeclaration::RemovedFieldDefault {
            message: message.clone(),
            field: text("b"),
            value: text("5"),
        },
        MigrationDeclaration::EnumValueFallback {
            enumeration: text("t.E"),
            value: text("ONE"),
            reads_as: text("Z"),
        },
    ];
    let with = |declared: &[MigrationDeclaration]| {
        let new = new.clone().declare(declared).unwrap();
        verdict(&check_findings(&old, &new, &ReaderUsage::all(), Directions::DOWN))
    };
    assert_eq!(with(&declared), "translatable");
    for left_out in 0..declared.len() {
        let mut fewer = declared.to_vec();
        fewer.remove(left_out);
        assert_eq!(with(&fewer), "rejected", "without {:?}", declared[left_out]);
    }
    let nowhere =
        MigrationDeclaration::AddedFieldDefault { message, field: text("nowhere"), value: text("1") };
    assert!(new.clone().declare(&[nowhere]).unwrap_err().to_string().contains("no field nowhere"));
}

#[test]
fn report_lists_findings_in_text_and_json() {
    use sprucelink_schema_compat::{explain, ExplainError};
    let text = |body: &str| format!("syntax = \"proto3\"; package t; message R {{ {body} }}");
    let (old, new) = (text("int32 a = 1; int32 b = 2;"), text("int64 a = 1; int32 b = 2; int32 c = 3;"));
    let report = explain(&old, &new, &ReaderUsage::all()).unwrap();
    let lines: Vec<String> = report.text().lines().map(str::to_string).collect();
    assert!(lines[0].starts_with("rejected: "), "{lines:?}");
    assert_eq!(lines[1], "  break TYPE_NARROWED t.R/a (down): int64 written, int32 read");
    assert_eq!(lines[2], "  note TYPE_REENCODED t.R/a (up): int32 written, int64 read: the same bytes");
    let json: serde_json::Value = serde_json::from_str(&report.json()).unwrap();
    assert_eq!(
        (json["verdict"].as_str(), json["findings"][0]["path"].as_str()),
        (Some("rejected"), Some("t.R/a"))
    );
    assert_eq!(explain(&old, &new, &ReaderUsage::of(&["t.R/b"])).unwrap().compatibility_name(), "compatible");
    let error = explain(&old, "syntax = \"proto3\"; message {", &ReaderUsage::all()).unwrap_err();
    assert!(matches!(error, ExplainError::NewSchema(_)), "{error:?}");
    assert!(error.to_string().contains("schema.proto"), "{error}");
}
