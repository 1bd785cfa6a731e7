//! Tests hand-written schema pairs for each rule. Disabling a rule must change the results of its cases.

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

/// The cases that give an unexpected result, with all rules or with one rule disabled.
fn unexpected_results(disabled: Option<Rule>) -> Vec<String> {
    static CHECKED: LazyLock<Vec<(Case, Vec<Finding>)>> = LazyLock::new(|| {
        corpus()
            .into_iter()
            .map(|case| (case.findings(), case))
            .map(|(findings, case)| (case, findings))
            .collect()
    });
    let mut unexpected = Vec::new();
    for (case, found) in CHECKED.iter() {
        let mut found = found.clone();
        found.retain(|finding| Some(finding.rule) != disabled);
        let named = found.iter().any(|finding| finding.rule.name() == case.rule);
        if verdict(&found) != case.verdict || (case.verdict != "compatible" && !named) {
            unexpected.push(format!(
                "{} {} {}: {found:#?}",
                case.rule,
                case.direction,
                case.bodies.join("--")
            ));
        }
    }
    unexpected
}

#[test]
fn corpus_case_gives_expected_compatibility() {
    let unexpected = unexpected_results(None);
    assert!(unexpected.is_empty(), "{}", unexpected.join("\n"));
}

#[test]
fn disabled_rule_changes_the_result_of_its_cases() {
    for &rule in Rule::ALL.iter().filter(|&&rule| rule != Rule::BoundExceeded) {
        let breaking =
            corpus().iter().filter(|case| case.rule == rule.name() && case.verdict != "compatible").count();
        let compatible =
            corpus().iter().filter(|case| case.rule == rule.name() && case.verdict == "compatible").count();
        assert!(breaking > 0, "{rule} has no case that it rejects or translates");
        // The compatible counterparts of these rules' cases are listed under a related rule.
        let covered_by_related_rule =
            [Rule::ReservedNameUsed, Rule::ReservedDropped, Rule::TranslationFailed, Rule::FieldRenumbered];
        assert!(compatible > 0 || covered_by_related_rule.contains(&rule), "{rule} has no compatible case");
        let changed =
            unexpected_results(Some(rule)).iter().filter(|case| case.starts_with(rule.name())).count();
        assert_eq!(changed, breaking, "{rule}: disabling it does not change all of its cases");
    }
}

#[test]
fn comparison_over_pair_limit_is_rejected() {
    // Two cycles of 64 and of 67 message types: following their fields visits 64 * 67 = 4,288 pairs.
    let cycle = |size: usize| {
        let message = |index: usize| format!("message M{index} {{ M{} next = 1; }}\n", (index + 1) % size);
        let record = "message R { option (m).record = true; M0 first = 1; }\n";
        schema(&(record.to_string() + &(0..size).map(message).collect::<String>()))
    };
    let found = check_findings(&cycle(64), &cycle(67), &ReaderUsage::all(), Directions::NEW_TO_OLD);
    assert!(found.iter().any(|finding| finding.rule == Rule::BoundExceeded), "{found:?}");
    let found = check_findings(&cycle(8), &cycle(9), &ReaderUsage::all(), Directions::BOTH);
    assert_eq!(verdict(&found), "compatible", "{found:?}");
}

#[test]
fn schema_over_limit_or_malformed_gives_error() {
    use sprucelink_schema_compat::Schema;
    let error = |text: &str| Schema::from_text(text).map(|_| ()).unwrap_err().to_string();
    let fields: String = (1..=5000).map(|n| format!("int32 f{n} = {n};\n")).collect();
    assert!(error(&format!("syntax = \"proto3\"; message R {{ {fields} }}")).contains("5000 fields"));
    let nested = "message A { ".repeat(500) + &"}".repeat(500);
    assert!(error(&format!("syntax = \"proto3\"; {nested}")).contains("brackets open at once"));
    assert!(error(&" ".repeat(300_000)).contains("bytes of text"));
    assert!(error("syntax = \"proto3\"; message R { missing.Type a = 1; }").contains("does not compile"));
    assert!(error("syntax = \"proto3\"; enum E { Z = 0; }").contains("no message"));
    // Malformed bytes: every truncation and every changed byte of a valid set gives an error or a schema,
    // never a panic.
    let body = "message R { map<string, E> a = 1; oneof o { R r = 2; int64 n = 3; } optional bytes b = 4 [(f).min_length = 1];
        message In { repeated double d = 1; reserved 3; } In in = 5; } enum E { Z = 0; reserved 4; }";
    let set = schema(body).to_set().to_vec();
    for position in 0..set.len() {
        let _ = Schema::from_set(&set[..position]);
        for byte in [set[position].wrapping_add(1), 0, 0xff] {
            let mut changed = set.clone();
            changed[position] = byte;
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
    let verdict_with = |declared: &[MigrationDeclaration]| {
        let new = new.clone().declare(declared).unwrap();
        verdict(&check_findings(&old, &new, &ReaderUsage::all(), Directions::NEW_TO_OLD))
    };
    assert_eq!(verdict_with(&declared), "translatable");
    for left_out in 0..declared.len() {
        let mut fewer = declared.to_vec();
        fewer.remove(left_out);
        assert_eq!(verdict_with(&fewer), "rejected", "without {:?}", declared[left_out]);
    }
    let unknown_field =
        MigrationDeclaration::AddedFieldDefault { message, field: text("nowhere"), value: text("1") };
    assert!(new.clone().declare(&[unknown_field]).unwrap_err().to_string().contains("no field nowhere"));
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
