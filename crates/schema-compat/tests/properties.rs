//! Property tests on generated pairs of schemas and records: the guarantees of a compatibility result,
//! checked on the records that a reader receives.

mod common;

use common::edits::{pair, GeneratedSchema};
use common::oracle::Oracle;
use common::schema;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use prost::Message as _;
use prost_reflect::DynamicMessage;
use sprucelink_schema_compat::check::worst_severity;
use sprucelink_schema_compat::rules::{Direction, Severity};
use sprucelink_schema_compat::sample::sample;
use sprucelink_schema_compat::{check_findings, Directions, Finding, ReaderUsage, Rule, Schema, Translation};
use std::collections::BTreeMap;

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 400, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn read(reader: &Schema, record: &DynamicMessage) -> Result<DynamicMessage, String> {
    let descriptor = reader.message("t.Top").unwrap();
    DynamicMessage::decode(descriptor, record.encode_to_vec().as_slice()).map_err(|error| error.to_string())
}

struct Pair {
    writer: Schema,
    reader: Schema,
    findings: Vec<Finding>,
    direction: Direction,
}

/// Checks a change in one direction, without the history rules, which do not depend on the records that a
/// reader receives.
fn check_pair(old: &GeneratedSchema, new: &GeneratedSchema, usage: &ReaderUsage, down: bool) -> Pair {
    let (old, new) = (schema(&old.body()), schema(&new.body()));
    let directions = if down { Directions::NEW_TO_OLD } else { Directions::OLD_TO_NEW };
    let mut findings = check_findings(&old, &new, usage, directions);
    findings.retain(|one| one.direction != Direction::History);
    let (writer, reader) = if down { (new, old) } else { (old, new) };
    Pair { writer, reader, findings, direction: if down { Direction::NewToOld } else { Direction::OldToNew } }
}

/// Whether a finding needs no witness: it is not a break, or the break lies in the field's declaration and
/// not in its values.
fn needs_no_witness(finding: &Finding) -> bool {
    finding.severity != Severity::Break || finding.rule == Rule::FieldNumberReused
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn compatible_change_loses_nothing_and_rejected_change_has_a_witness() {
    let mut verdict_counts: BTreeMap<(Severity, bool), u32> = BTreeMap::new();
    let strategy = (pair(), proptest::prelude::any::<bool>(), proptest::option::of(0..64u64));
    let counted = std::cell::RefCell::new(&mut verdict_counts);
    let check = |((old, new), down, mask): ((GeneratedSchema, GeneratedSchema), bool, Option<u64>)| {
        let used = mask.filter(|_| down).map(|mask| {
            let fields = old.fields[0].iter().chain(&old.fields[1]);
            fields
                .filter(|field| mask >> (field.id % 6) & 1 == 1 && field.type_index != 15)
                .map(|field| field.id)
                .collect()
        });
        let usage = match &used {
            None => ReaderUsage::all(),
            Some(used) => {
                let used: &std::collections::BTreeSet<u32> = used;
                let path = |top: &str, message_index: usize| {
                    let all = old.fields[message_index].iter().filter(|field| used.contains(&field.id));
                    all.map(|field| format!("t.Top/{top}.{}", field.name)).collect::<Vec<_>>()
                };
                let paths = path("r", 0).into_iter().chain(path("n", 1));
                ReaderUsage { paths: Some(paths.collect()), ..ReaderUsage::all() }
            }
        };
        let pair = check_pair(&old, &new, &usage, down);
        let (writer, reader) = if down { (&new, &old) } else { (&old, &new) };
        let verdict = worst_severity(&pair.findings);
        *counted.borrow_mut().entry((verdict, down)).or_default() += 1;
        let oracle = Oracle {
            writer,
            reader,
            used,
            writer_is_newer: down,
            translated: verdict == Severity::Translate,
        };
        let translation = Translation::between(&pair.writer, &pair.reader, pair.direction);
        let loss_for_seed = |seed: u64| {
            let record = sample(&pair.writer, "t.Top", seed).unwrap();
            let received = match verdict {
                Severity::Translate => {
                    translation.run(&record).map(Option::unwrap).map_err(|error| error.to_string())
                }
                _ => read(&pair.reader, &record),
            };
            match received {
                Ok(received) => oracle.loss(&record, &received),
                Err(error) => Some(error),
            }
        };
        let fail = |what: String| {
            Err(TestCaseError::fail(format!(
                "{what}\n{:#?}\n{}--\n{}",
                pair.findings,
                old.body(),
                new.body()
            )))
        };
        if verdict < Severity::Break {
            return match (0..12).find_map(loss_for_seed) {
                Some(loss) => fail(format!("{verdict:?} change loses data: {loss}")),
                None => Ok(()),
            };
        }
        if !pair.findings.iter().all(needs_no_witness) && (0..400).find_map(loss_for_seed).is_none() {
            return fail("rejected without a witness".into());
        }
        Ok(())
    };
    runner(600).run(&strategy, check).unwrap_or_else(|error| panic!("{error}"));
    println!("verdicts by direction (down: true): {verdict_counts:?}");
    assert!(
        verdict_counts.len() == 6 && verdict_counts.values().all(|&count| count >= 20),
        "the generator is unbalanced: {verdict_counts:?}"
    );
}

#[test]
fn translation_round_trip_preserves_untouched_fields() {
    let compatible = std::cell::Cell::new(0);
    let check = |(old, new): (GeneratedSchema, GeneratedSchema)| {
        let (down, up) = (
            check_pair(&old, &new, &ReaderUsage::all(), true),
            check_pair(&old, &new, &ReaderUsage::all(), false),
        );
        let verdict = worst_severity(&down.findings).max(worst_severity(&up.findings));
        if verdict == Severity::Break {
            return Ok(());
        }
        let down_translation = Translation::between(&down.writer, &down.reader, Direction::NewToOld);
        let up_translation = Translation::between(&up.writer, &up.reader, Direction::OldToNew);
        for seed in 0..8 {
            let record = sample(&down.writer, "t.Top", seed).unwrap();
            let fail =
                |what: &str| Err(TestCaseError::fail(format!("{what}\n{}--\n{}", old.body(), new.body())));
            if verdict == Severity::Note {
                compatible.set(compatible.get() + 1);
                // An old process that reads and forwards a record preserves everything, unknown fields
                // included.
                let forwarded = read(&down.writer, &read(&down.reader, &record).unwrap()).unwrap();
                if forwarded.encode_to_vec() != record.encode_to_vec() {
                    return fail("changed by an old process that forwarded it");
                }
                continue;
            }
            let returned =
                up_translation.run(&down_translation.run(&record).unwrap().unwrap()).unwrap().unwrap();
            let part = |of: &DynamicMessage| of.get_field_by_name("r").unwrap().as_message().unwrap().clone();
            for field in &new.fields[0] {
                let before = old.fields[0].iter().find(|one| one.id == field.id);
                let untouched = before.is_none_or(|before| before == field) && field.type_index < 14;
                let value =
                    |of: &DynamicMessage| part(of).get_field_by_name(&field.name).unwrap().into_owned();
                if untouched && value(&record) != value(&returned) {
                    return fail(&format!("{} was not restored", field.name));
                }
            }
        }
        Ok(())
    };
    runner(250).run(&pair(), check).unwrap_or_else(|error| panic!("{error}"));
    assert!(compatible.get() > 100, "too few compatible pairs: {}", compatible.get());
}
