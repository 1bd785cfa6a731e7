//! Each rule can fail: good histories pass, and the same with one fault planted break the rule that is for it.
mod common;

use common::{good, terms};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sprucelink_history_checker::cursor::Cursor;
use sprucelink_history_checker::event::{Event, ExitCause, HistoryEntry, EXIT_STATUS_NEXT_VERSION};
use sprucelink_history_checker::invariants::{
    self, acknowledged, agreement, budget, halt, order, schema, uncommitted,
};
use sprucelink_history_checker::{check, CheckReport};

const CASES: u32 = 200;

/// Plants a fault in many good histories; where a history has no place for it, it is passed over, but not in most.
fn check_planted_fault(name: &str, plant: impl Fn(&mut Vec<HistoryEntry>, usize) -> bool) {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]));
    let places = std::cell::Cell::new(0);
    let choices = (proptest::collection::vec(0u16..1000, 20..80), any::<prop::sample::Index>());
    runner
        .run(&choices, |(choices, pick)| {
            let mut history = good(&choices);
            let before = check(&history, &terms());
            prop_assert!(before.is_passed(), "a good history: {:?}", before.violations().collect::<Vec<_>>());
            let at = pick.index(history.len());
            if plant(&mut history, at) {
                places.set(places.get() + 1);
                let after = check(&history, &terms());
                prop_assert!(
                    after.is_violated(name),
                    "not caught: {:?}",
                    after.violations().collect::<Vec<_>>()
                );
            }
            Ok(())
        })
        .unwrap_or_else(|e| panic!("{name}: {e}"));
    assert!(places.get() >= CASES / 4, "{name}: planted in {} of {CASES}", places.get());
}

fn reader(line: &HistoryEntry) -> Option<&str> {
    match &line.event {
        Event::Record { subscriber, .. } => Some(subscriber),
        _ => None,
    }
}

/// The first record at or behind `at`, and the same subscriber's next one, if it does not join anew in between.
fn pair(history: &[HistoryEntry], at: usize) -> Option<(usize, usize)> {
    (at..history.len()).filter(|i| reader(&history[*i]).is_some()).find_map(|i| {
        let who = reader(&history[i])?;
        let same = |l: &&(usize, &HistoryEntry)| match &l.1.event {
            Event::SubscriberConnected { subscriber, .. } => subscriber == who,
            _ => reader(l.1) == Some(who),
        };
        let all: Vec<(usize, &HistoryEntry)> = history.iter().enumerate().skip(i + 1).collect();
        let (j, next) = all.iter().find(same)?;
        reader(next).map(|_| (i, *j))
    })
}

#[test]
fn dropped_record_is_reported_as_a_gap() {
    check_planted_fault(order::NAME, |h, at| pair(h, at).map(|(i, _)| h.remove(i)).is_some());
}

#[test]
fn record_sent_twice_is_reported_as_a_duplicate() {
    check_planted_fault(order::NAME, |h, at| pair(h, at).map(|(i, _)| h.insert(i, h[i].clone())).is_some());
}

#[test]
fn swapped_records_are_reported() {
    check_planted_fault(order::NAME, |h, at| {
        let Some((i, j)) = pair(h, at) else { return false };
        let (a, b) = (h[i].event.clone(), h[j].event.clone());
        (h[i].event, h[j].event) = (b, a);
        true
    });
}

#[test]
fn record_that_differs_for_one_subscriber_is_reported() {
    check_planted_fault(agreement::NAME, |h, at| {
        let Some((i, _)) = pair(h, at) else { return false };
        let Event::Record { digest, cursor, .. } = &mut h[i].event else { return false };
        digest.push('x');
        let cursor = *cursor;
        let others = |l: &&HistoryEntry| matches!(&l.event, Event::Record { cursor: c, .. } if *c == cursor);
        h.iter().filter(others).count() > 1
    });
}

/// Just before a change of epoch one manager tells a record that the new epoch does not have.
#[test]
fn record_sent_before_its_commit_and_lost_is_reported() {
    check_planted_fault(uncommitted::NAME, |h, _| {
        let epoch = |l: &HistoryEntry| match &l.event {
            Event::Record { cursor, prev: Some(p), .. } if p.epoch > 0 && cursor.epoch > p.epoch => Some(*p),
            _ => None,
        };
        let Some((i, last)) = h.iter().enumerate().find_map(|(i, l)| Some((i, epoch(l)?))) else {
            return false;
        };
        let mut early = h[i].clone();
        let Event::Record { cursor, prev, digest, subscriber, manager, .. } = &mut early.event else {
            return false;
        };
        (*cursor, *prev) = (Cursor::new(last.epoch, last.index + 1), Some(last));
        digest.push('x');
        let (who, by) = (subscriber.clone(), manager.clone());
        // Another manager must have gone past it with someone who reads all.
        let past = h.iter().any(|l| matches!(&l.event, Event::Record { subscriber, manager, prev: Some(p), .. }
            if *subscriber != who && *manager != by && *p == last && ["s0", "s1", "s2"].contains(&subscriber.as_str())));
        h.insert(i, early);
        past
    });
}

fn planned(l: &HistoryEntry) -> bool {
    matches!(&l.event, Event::Exited { cause: ExitCause::Own, .. })
}

/// A manager that is out, by a permit or by a crash, does not come back, and a later permit is given all the same.
#[test]
fn outage_that_outlasts_the_next_permit_exceeds_the_budget() {
    check_planted_fault(budget::NAME, |h, at| {
        let exits = |l: &HistoryEntry| match &l.event {
            Event::Exited { process, .. } => Some(process.clone()),
            _ => None,
        };
        let Some((i, who)) = h.iter().enumerate().skip(at / 2).find_map(|(i, l)| Some((i, exits(l)?))) else {
            return false;
        };
        let up = |l: &HistoryEntry| matches!(&l.event, Event::Ready { process } if *process == who);
        let Some(j) = (i..h.len()).find(|j| up(&h[*j])) else { return false };
        h.remove(j);
        // Up to its next own way back, if it goes out again.
        let until = (j..h.len()).find(|k| up(&h[*k])).unwrap_or(h.len());
        let other = |l: &HistoryEntry| planned(l) && exits(l).as_ref() != Some(&who);
        h[j..until].iter().any(other)
    });
}

/// Two engines get nothing at once.
#[test]
fn two_idle_engines_at_once_exceed_the_budget() {
    check_planted_fault(budget::NAME, |h, _| {
        let (a, b) = (1_000_000, 1_500_000);
        let within = |l: &HistoryEntry| (a..b).contains(&l.at_us);
        let of = |l: &HistoryEntry, name: &str| matches!(&l.event, Event::Command { engine, .. } if engine == name);
        h.retain(|l| !(within(l) && (of(l, "e0") || of(l, "e1"))));
        true
    });
}

#[test]
fn permit_of_a_halted_release_is_reported() {
    check_planted_fault(halt::NAME, |h, _| {
        let halted = |l: &&HistoryEntry| matches!(l.event, Event::Halted { .. });
        let Some(at) = h.iter().find(halted).map(|l| l.at_us + 200_001) else { return false };
        let Some(i) = h.iter().position(|l| l.at_us > at) else { return false };
        let at_us = h[i].at_us;
        let (process, status, next) =
            ("n3".to_owned(), Some(EXIT_STATUS_NEXT_VERSION), Some("v2".to_owned()));
        h.insert(
            i,
            HistoryEntry {
                at_us,
                event: Event::Exited { process, status, signal: None, cause: ExitCause::Own, next },
            },
        );
        // If it is out already, its end is no new permit.
        let before = h[..i].iter().rev().find_map(|l| match &l.event {
            Event::Exited { process, .. } if process == "n3" => Some(false),
            Event::Ready { process } if process == "n3" => Some(true),
            _ => None,
        });
        before == Some(true)
    });
}

#[test]
fn record_that_a_subscriber_cannot_decode_is_reported() {
    check_planted_fault(schema::NAME, |h, at| {
        let Some((i, _)) = pair(h, at) else { return false };
        let Event::Record { unreadable, .. } = &mut h[i].event else { return false };
        *unreadable = Some("/engine is missing".into());
        true
    });
}

#[test]
fn schema_that_excludes_a_leased_version_is_reported() {
    check_planted_fault(schema::NAME, |h, at| {
        let at = at.max(20).min(h.len() - 1);
        let at_us = h[at].at_us;
        h.insert(
            at,
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
    check_planted_fault(acknowledged::NAME, |h, at| {
        let Some((i, _)) = pair(h, at) else { return false };
        let Event::Record { op: Some(lost), .. } = &h[i].event else { return false };
        let lost = lost.clone();
        for l in h.iter_mut() {
            if let Event::Record { op, .. } = &mut l.event {
                *op = op.take().filter(|o| *o != lost);
            }
        }
        true
    });
}

/// By hand: each of these holds one fault, and only the rules for it are broken.
#[test]
fn small_history_violates_only_the_invariant_it_is_written_for() {
    let line = |at_us: u64, json: &str| -> String { format!("{{\"at_us\":{at_us},{json}}}") };
    let join = |s: &str, m: &str, c: &str| {
        let cursor = if c.is_empty() { "null".to_owned() } else { format!("\"{c}\"") };
        format!("\"kind\":\"join\",\"subscriber\":\"{s}\",\"manager\":\"{m}\",\"cursor\":{cursor},\"version\":\"1\"")
    };
    let rec = |s: &str, m: &str, c: &str, d: &str| {
        format!("\"kind\":\"record\",\"subscriber\":\"{s}\",\"manager\":\"{m}\",\"cursor\":\"{c}\",\"digest\":\"{d}\"")
    };
    let judge = |rows: &[String]| -> CheckReport {
        let rows: Vec<String> = rows.iter().enumerate().map(|(i, r)| line(i as u64 * 1_000_000, r)).collect();
        let history = sprucelink_history_checker::read::parse_history(rows.iter().map(String::as_str))
            .expect("a history");
        check(&history, &terms())
    };
    let broken = |v: &CheckReport| -> Vec<&str> {
        invariants::NAMES.into_iter().filter(|n| v.is_violated(n)).collect()
    };
    let two = [join("a", "n0", ""), join("b", "n1", ""), rec("a", "n0", "1:1", "x")];
    let with = |more: &[String]| -> Vec<String> { two.iter().chain(more).cloned().collect() };
    assert_eq!(broken(&judge(&with(&[rec("b", "n1", "1:1", "x")]))), [""; 0]);
    assert_eq!(broken(&judge(&with(&[rec("b", "n1", "1:1", "y")]))), [agreement::NAME]);
    assert_eq!(broken(&judge(&with(&[rec("a", "n0", "1:3", "z")]))), [order::NAME]);
    // A snapshot may skip forward; none goes back.
    let snap = |c: &str| {
        format!("\"kind\":\"snapshot\",\"subscriber\":\"a\",\"manager\":\"n0\",\"cursor\":\"{c}\",\"digest\":\"s\"")
    };
    assert_eq!(broken(&judge(&with(&[snap("1:7"), rec("a", "n0", "1:8", "z")]))), [""; 0]);
    assert_eq!(broken(&judge(&with(&[rec("a", "n0", "1:2", "z"), snap("1:1")]))), [order::NAME]);
    // Whoever gives an older cursor reads again, and that is no repeat; a new epoch needs prev or a snapshot.
    assert_eq!(broken(&judge(&with(&[join("a", "n1", "1:0"), rec("a", "n1", "1:1", "x")]))), [""; 0]);
    assert_eq!(broken(&judge(&with(&[rec("a", "n0", "2:1", "z")]))), [order::NAME]);
    // An operation acknowledged at one place and held at another.
    let ack = "\"kind\":\"ack\",\"op\":\"o\",\"cursor\":\"1:9\"".to_owned();
    let held = format!("{},\"op\":\"o\"", rec("b", "n1", "1:1", "x"));
    assert_eq!(broken(&judge(&with(&[ack, held]))), [acknowledged::NAME]);
    // A stop counts as an outage that nobody permitted; a permit beside it breaks the budget.
    let up = |p: &str| format!("\"kind\":\"up\",\"process\":\"{p}\"");
    let exit = |p: &str| {
        format!("\"kind\":\"exit\",\"process\":\"{p}\",\"status\":75,\"signal\":null,\"cause\":\"own\"")
    };
    let stop = "\"kind\":\"stop\",\"process\":\"n0\"".to_owned();
    assert_eq!(broken(&judge(&[up("n0"), up("n1"), stop.clone(), exit("n1")])), [budget::NAME]);
    assert_eq!(broken(&judge(&[up("n0"), up("n1"), exit("n1"), stop])), [""; 0], "a crash breaks nothing");
    // With a halt that names no version every planned outage counts.
    let halted = "\"kind\":\"halt\",\"id\":\"h\"".to_owned();
    assert_eq!(broken(&judge(&[up("n0"), halted.clone(), exit("n0")])), [halt::NAME]);
    let over = "\"kind\":\"halt_over\",\"id\":\"h\"".to_owned();
    assert_eq!(broken(&judge(&[up("n0"), halted.clone(), over.clone(), exit("n0")])), [""; 0]);
    assert_eq!(
        broken(&judge(&[up("n0"), halted.clone(), over, halted, exit("n0")])),
        [halt::NAME],
        "halted again"
    );
}
