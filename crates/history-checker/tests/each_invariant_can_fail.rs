//! Tests that each invariant can be violated: valid histories pass, and the same histories with one injected
//! fault violate the invariant that covers the fault.
mod common;

use common::{check_config, valid_history};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sprucelink_history_checker::check;
use sprucelink_history_checker::cursor::Cursor;
use sprucelink_history_checker::event::{Event, ExitCause, HistoryEntry, EXIT_STATUS_NEXT_VERSION};
use sprucelink_history_checker::invariants::{
    self, acknowledged, agreement, budget, halt, order, schema, uncommitted,
};
use sprucelink_history_checker::read::parse_history;

/// Number of generated histories for each fault.
const CASES: u32 = 200;

/// Injects a fault into many valid histories, and checks that the invariant `name` reports each. `inject`
/// gets an index in the history from which to look for a place, and returns false if the history has no place
/// for the fault; at least a quarter of the histories must have one.
fn check_injected_fault(name: &str, inject: impl Fn(&mut Vec<HistoryEntry>, usize) -> bool) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let injected_count = std::cell::Cell::new(0);
    let choices = (proptest::collection::vec(0u16..1000, 20..80), any::<prop::sample::Index>());
    runner
        .run(&choices, |(choices, start)| {
            let mut history = valid_history(&choices);
            let report = check(&history, &check_config());
            prop_assert!(report.is_passed(), "valid history: {:?}", report.violations().collect::<Vec<_>>());
            let start = start.index(history.len());
            if inject(&mut history, start) {
                injected_count.set(injected_count.get() + 1);
                let report = check(&history, &check_config());
                prop_assert!(
                    report.is_violated(name),
                    "fault not reported: {:?}",
                    report.violations().collect::<Vec<_>>()
                );
            }
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{name}: {error}"));
    let injected_count = injected_count.get();
    assert!(injected_count >= CASES / 4, "{name}: injected into {injected_count} of {CASES} histories");
}

/// The subscriber that read a record, if the entry is one.
fn record_reader(entry: &HistoryEntry) -> Option<&str> {
    match &entry.event {
        Event::Record { subscriber, .. } => Some(subscriber),
        _ => None,
    }
}

/// Indexes of the first record from `start` on whose subscriber reads another record before it reconnects,
/// and of that next record.
fn consecutive_records(history: &[HistoryEntry], start: usize) -> Option<(usize, usize)> {
    (start..history.len()).filter(|index| record_reader(&history[*index]).is_some()).find_map(|first| {
        let reader = record_reader(&history[first])?;
        let is_of_reader = |(_, entry): &&(usize, &HistoryEntry)| match &entry.event {
            Event::SubscriberConnected { subscriber, .. } => subscriber == reader,
            _ => record_reader(entry) == Some(reader),
        };
        let later: Vec<(usize, &HistoryEntry)> = history.iter().enumerate().skip(first + 1).collect();
        let (second, entry) = later.iter().find(is_of_reader)?;
        record_reader(entry).map(|_| (first, *second))
    })
}

#[test]
fn dropped_record_is_reported_as_a_gap() {
    check_injected_fault(order::NAME, |history, start| {
        consecutive_records(history, start).map(|(first, _)| history.remove(first)).is_some()
    });
}

#[test]
fn record_sent_twice_is_reported_as_a_duplicate() {
    check_injected_fault(order::NAME, |history, start| {
        let Some((first, _)) = consecutive_records(history, start) else { return false };
        history.insert(first, history[first].clone());
        true
    });
}

#[test]
fn swapped_records_are_reported() {
    check_injected_fault(order::NAME, |history, start| {
        let Some((first, second)) = consecutive_records(history, start) else { return false };
        let (first_event, second_event) = (history[first].event.clone(), history[second].event.clone());
        (history[first].event, history[second].event) = (second_event, first_event);
        true
    });
}

#[test]
fn record_that_differs_for_one_subscriber_is_reported() {
    check_injected_fault(agreement::NAME, |history, start| {
        let Some((index, _)) = consecutive_records(history, start) else { return false };
        let Event::Record { digest, cursor, .. } = &mut history[index].event else { return false };
        digest.push('x');
        let changed = *cursor;
        let is_at_position = |entry: &&HistoryEntry| match &entry.event {
            Event::Record { cursor, .. } => *cursor == changed,
            _ => false,
        };
        history.iter().filter(is_at_position).count() > 1
    });
}

/// Just before a change of the epoch, one manager sends a record that the new epoch does not contain.
#[test]
fn record_sent_before_its_commit_and_lost_is_reported() {
    check_injected_fault(uncommitted::NAME, |history, _| {
        let end_of_epoch = |entry: &HistoryEntry| match &entry.event {
            Event::Record { cursor, prev: Some(prev), .. } if prev.epoch > 0 && cursor.epoch > prev.epoch => {
                Some(*prev)
            }
            _ => None,
        };
        let mut entries = history.iter().enumerate();
        let Some((index, last)) = entries.find_map(|(index, entry)| Some((index, end_of_epoch(entry)?)))
        else {
            return false;
        };
        let mut uncommitted = history[index].clone();
        let Event::Record { cursor, prev, digest, subscriber, manager, .. } = &mut uncommitted.event else {
            return false;
        };
        (*cursor, *prev) = (Cursor::new(last.epoch, last.index + 1), Some(last));
        digest.push('x');
        let (reader, sender) = (subscriber.clone(), manager.clone());
        // Another manager must have passed the position at a subscriber that reads all records.
        let passes_position = |entry: &HistoryEntry| {
            matches!(&entry.event, Event::Record { subscriber, manager, prev: Some(prev), .. }
                if *subscriber != reader && *manager != sender && *prev == last
                    && ["s0", "s1", "s2"].contains(&subscriber.as_str()))
        };
        let is_passed = history.iter().any(passes_position);
        history.insert(index, uncommitted);
        is_passed
    });
}

fn is_planned_exit(entry: &HistoryEntry) -> bool {
    matches!(&entry.event, Event::Exited { cause: ExitCause::Own, .. })
}

/// A manager that restarts or crashed does not serve again, and another manager exits as planned.
#[test]
fn planned_outage_during_an_earlier_outage_exceeds_the_budget() {
    check_injected_fault(budget::NAME, |history, start| {
        let exited_process = |entry: &HistoryEntry| match &entry.event {
            Event::Exited { process, .. } => Some(process.clone()),
            _ => None,
        };
        let mut entries = history.iter().enumerate().skip(start / 2);
        let exit = entries.find_map(|(index, entry)| Some((index, exited_process(entry)?)));
        let Some((exit_index, exited)) = exit else { return false };
        let is_ready =
            |entry: &HistoryEntry| matches!(&entry.event, Event::Ready { process } if *process == exited);
        let ready_index = (exit_index..history.len()).find(|index| is_ready(&history[*index]));
        let Some(ready_index) = ready_index else { return false };
        history.remove(ready_index);
        // The outage now lasts until the manager serves again after a later exit, if there is one.
        let next_ready = (ready_index..history.len()).find(|index| is_ready(&history[*index]));
        let end = next_ready.unwrap_or(history.len());
        let is_other_planned_exit =
            |entry: &HistoryEntry| is_planned_exit(entry) && exited_process(entry).as_ref() != Some(&exited);
        history[ready_index..end].iter().any(is_other_planned_exit)
    });
}

/// Two engines receive no commands in the same period.
#[test]
fn two_engines_idle_at_the_same_time_exceed_the_budget() {
    check_injected_fault(budget::NAME, |history, _| {
        let idle_period_us = 1_000_000..1_500_000;
        let is_to_idle_engine = |entry: &HistoryEntry| match &entry.event {
            Event::Command { engine, .. } => engine == "e0" || engine == "e1",
            _ => false,
        };
        history.retain(|entry| !(idle_period_us.contains(&entry.at_us) && is_to_idle_engine(entry)));
        true
    });
}

#[test]
fn permit_of_a_halted_release_is_reported() {
    check_injected_fault(halt::NAME, |history, _| {
        let is_halt = |entry: &&HistoryEntry| matches!(entry.event, Event::Halted { .. });
        // Just after the time in which a permit may still take effect (`halt_ms`).
        let Some(forbidden_from_us) = history.iter().find(is_halt).map(|entry| entry.at_us + 200_001) else {
            return false;
        };
        let Some(index) = history.iter().position(|entry| entry.at_us > forbidden_from_us) else {
            return false;
        };
        let at_us = history[index].at_us;
        let (process, status, next) =
            ("n3".to_owned(), Some(EXIT_STATUS_NEXT_VERSION), Some("v2".to_owned()));
        history.insert(
            index,
            HistoryEntry {
                at_us,
                event: Event::Exited { process, status, signal: None, cause: ExitCause::Own, next },
            },
        );
        // If the manager was already unavailable, its exit is not a new planned outage.
        let was_serving = history[..index].iter().rev().find_map(|entry| match &entry.event {
            Event::Exited { process, .. } if process == "n3" => Some(false),
            Event::Ready { process } if process == "n3" => Some(true),
            _ => None,
        });
        was_serving == Some(true)
    });
}

#[test]
fn record_that_a_subscriber_cannot_decode_is_reported() {
    check_injected_fault(schema::NAME, |history, start| {
        let Some((index, _)) = consecutive_records(history, start) else { return false };
        let Event::Record { unreadable, .. } = &mut history[index].event else { return false };
        *unreadable = Some("/engine is missing".into());
        true
    });
}

#[test]
fn schema_that_excludes_a_leased_version_is_reported() {
    check_injected_fault(schema::NAME, |history, start| {
        // After the first entries, in which the subscribers connect.
        let index = start.max(20).min(history.len() - 1);
        let at_us = history[index].at_us;
        history.insert(
            index,
            HistoryEntry {
                at_us,
                event: Event::SchemaActivated { publisher: "fleet".into(), reads: vec!["2".into()] },
            },
        );
        true
    });
}

#[test]
fn acknowledged_operation_without_a_record_is_reported() {
    check_injected_fault(acknowledged::NAME, |history, start| {
        let Some((index, _)) = consecutive_records(history, start) else { return false };
        let Event::Record { op: Some(lost), .. } = &history[index].event else { return false };
        let lost = lost.clone();
        for entry in history.iter_mut() {
            if let Event::Record { op, .. } = &mut entry.event {
                *op = op.take().filter(|operation| *operation != lost);
            }
        }
        true
    });
}

fn connect(subscriber: &str, manager: &str, cursor: &str) -> String {
    let cursor = if cursor.is_empty() { "null".to_owned() } else { format!("\"{cursor}\"") };
    format!(
        "\"kind\":\"join\",\"subscriber\":\"{subscriber}\",\"manager\":\"{manager}\",\"cursor\":{cursor},\
         \"version\":\"1\""
    )
}

fn record(subscriber: &str, manager: &str, cursor: &str, digest: &str) -> String {
    format!(
        "\"kind\":\"record\",\"subscriber\":\"{subscriber}\",\"manager\":\"{manager}\",\
         \"cursor\":\"{cursor}\",\"digest\":\"{digest}\""
    )
}

fn snapshot(cursor: &str) -> String {
    format!(
        "\"kind\":\"snapshot\",\"subscriber\":\"a\",\"manager\":\"n0\",\"cursor\":\"{cursor}\",\
         \"digest\":\"s\""
    )
}

fn ready(process: &str) -> String {
    format!("\"kind\":\"up\",\"process\":\"{process}\"")
}

fn exit(process: &str) -> String {
    format!("\"kind\":\"exit\",\"process\":\"{process}\",\"status\":75,\"signal\":null,\"cause\":\"own\"")
}

/// Names of the invariants that a history violates; the events are the fields of one JSON line each, one
/// second apart.
fn violated_by(events: &[String]) -> Vec<&'static str> {
    let lines: Vec<String> = events
        .iter()
        .enumerate()
        .map(|(index, fields)| format!("{{\"at_us\":{},{fields}}}", index as u64 * 1_000_000))
        .collect();
    let history = parse_history(lines.iter().map(String::as_str)).expect("a history");
    let report = check(&history, &check_config());
    invariants::NAMES.into_iter().filter(|name| report.is_violated(name)).collect()
}

/// Handwritten histories with at most one fault each, which must violate only the invariant that covers it.
#[test]
fn handwritten_history_violates_only_the_invariant_for_its_fault() {
    let start = [connect("a", "n0", ""), connect("b", "n1", ""), record("a", "n0", "1:1", "x")];
    let violated_after_start = |events: &[String]| -> Vec<&str> {
        violated_by(&start.iter().chain(events).cloned().collect::<Vec<String>>())
    };
    assert_eq!(violated_after_start(&[record("b", "n1", "1:1", "x")]), [""; 0]);
    assert_eq!(violated_after_start(&[record("b", "n1", "1:1", "y")]), [agreement::NAME]);
    assert_eq!(violated_after_start(&[record("a", "n0", "1:3", "z")]), [order::NAME]);
    // A snapshot may skip forward, but never back.
    assert_eq!(violated_after_start(&[snapshot("1:7"), record("a", "n0", "1:8", "z")]), [""; 0]);
    assert_eq!(violated_after_start(&[record("a", "n0", "1:2", "z"), snapshot("1:1")]), [order::NAME]);
    // A subscriber that resumes from an older cursor reads records again, which are not duplicates. A record
    // of a new epoch needs `prev` or a snapshot before it.
    assert_eq!(violated_after_start(&[connect("a", "n1", "1:0"), record("a", "n1", "1:1", "x")]), [""; 0]);
    assert_eq!(violated_after_start(&[record("a", "n0", "2:1", "z")]), [order::NAME]);
    // An operation is acknowledged at one position and recorded at another.
    let acknowledgement = "\"kind\":\"ack\",\"op\":\"o\",\"cursor\":\"1:9\"".to_owned();
    let other_position = format!("{},\"op\":\"o\"", record("b", "n1", "1:1", "x"));
    assert_eq!(violated_after_start(&[acknowledgement, other_position]), [acknowledged::NAME]);
    // A suspension is an unplanned outage; a planned outage during it exceeds the budget.
    let suspension = "\"kind\":\"stop\",\"process\":\"n0\"".to_owned();
    assert_eq!(violated_by(&[ready("n0"), ready("n1"), suspension.clone(), exit("n1")]), [budget::NAME]);
    let unplanned_last = [ready("n0"), ready("n1"), exit("n1"), suspension];
    assert_eq!(violated_by(&unplanned_last), [""; 0], "an unplanned outage violates no budget");
    // A halt without a version forbids every planned outage.
    let halt = "\"kind\":\"halt\",\"id\":\"h\"".to_owned();
    assert_eq!(violated_by(&[ready("n0"), halt.clone(), exit("n0")]), [halt::NAME]);
    let halt_lifted = "\"kind\":\"halt_over\",\"id\":\"h\"".to_owned();
    assert_eq!(violated_by(&[ready("n0"), halt.clone(), halt_lifted.clone(), exit("n0")]), [""; 0]);
    let halted_again = [ready("n0"), halt.clone(), halt_lifted, halt, exit("n0")];
    assert_eq!(violated_by(&halted_again), [halt::NAME], "a second halt is in force");
}
