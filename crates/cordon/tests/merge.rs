//! Tests of merging the records of two processes: the result does not depend on the order of merges, and the
//! newest call wins at both processes.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_cordon::{
    Cause, CordonEntry, CordonLimits, CordonOutcome, CordonRecord, CordonRequest, CordonSizes, CordonState,
    Target, TimeDelta, Timestamp, TOMBSTONE_RETENTION,
};

const MICROS_PER_SEC: i64 = 1_000_000;
const NOW: Timestamp = Timestamp::from_micros(1_700_000_000 * MICROS_PER_SEC);

/// Records with few distinct targets, causes, versions and leases, so that ties of every kind occur.
fn record() -> impl Strategy<Value = CordonRecord> {
    (0_u8..4, 0_u8..3, 0_u64..4, any::<bool>(), 1_i64..4, 0_i64..3, 0_u8..2).prop_map(
        |(index, permit, version, cordoned, lease, age, reason)| {
            let is_fleet = permit > 0;
            let expiry = Timestamp::from_micros(NOW.as_micros() + lease * MICROS_PER_SEC);
            CordonRecord {
                target: if index == 0 { Target::Manager } else { Target::Engine(format!("s-{index}")) },
                cause: if is_fleet { Cause::Fleet { permit: u64::from(permit) } } else { Cause::Operator },
                entry: CordonEntry {
                    version,
                    cordoned,
                    lease_expires_at: (is_fleet && cordoned).then_some(expiry),
                    changed_at: Timestamp::from_micros(NOW.as_micros() - age),
                    reason: if cordoned { format!("why {reason}") } else { String::new() },
                },
            }
        },
    )
}

fn records() -> impl Strategy<Value = Vec<CordonRecord>> {
    prop::collection::vec(record(), 0..12)
}

/// All records of a new process after it has merged the sets of records in the given order.
fn merge(sets: &[&[CordonRecord]]) -> Vec<CordonRecord> {
    let mut state = CordonState::new(CordonLimits::default());
    for set in sets {
        let result = state.merge_records(NOW, set);
        assert_eq!((result.over_limit, result.malformed), (0, 0));
    }
    state.export_records()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(42), failure_persistence: None, ..ProptestConfig::with_cases(500)
    })]

    #[test]
    fn merging_is_associative_commutative_and_idempotent(a in records(), b in records(), c in records()) {
        let ab = merge(&[&a, &b]);
        let bc = merge(&[&b, &c]);
        prop_assert_eq!(merge(&[&ab, &c]), merge(&[&a, &bc]));
        prop_assert_eq!(&ab, &merge(&[&b, &a]));
        prop_assert_eq!(&merge(&[&ab, &a]), &ab);
        prop_assert_eq!(&merge(&[&ab, &ab, &b]), &ab);
        let mut reversed = a.clone();
        reversed.reverse();
        prop_assert_eq!(merge(&[&a]), merge(&[&reversed]), "the order within one set has no effect either");
    }

    /// Calls reach either of two processes, which exchange records from time to time and share one clock.
    /// Once both processes have merged each other's last records, each target is in the state that the last
    /// call on the target requested.
    #[test]
    fn last_call_wins_at_both_processes(
        calls in prop::collection::vec((any::<bool>(), 1_u8..4, any::<bool>(), 0_u8..4), 1..40),
        clock_step in 0_i64..3,
    ) {
        let mut processes =
            [CordonState::new(CordonLimits::default()), CordonState::new(CordonLimits::default())];
        for process in &mut processes {
            (1..4).for_each(|index| process.mark_listed(&format!("s-{index}")));
        }
        let mut last_call = [false; 4];
        for (call, (is_second_process, index, cordoned, exchange)) in calls.iter().enumerate() {
            let called = usize::from(*is_second_process);
            let other = usize::from(!*is_second_process);
            // A clock that was set back does no harm if the process has seen all earlier calls, so the
            // records of the other process are merged first.
            let is_clock_set_back = *exchange == 3;
            if is_clock_set_back {
                let records = processes[other].export_records();
                processes[called].merge_records(NOW, &records);
            }
            let set_back = if is_clock_set_back { clock_step * 5 } else { 0 };
            let now = Timestamp::from_micros(NOW.as_micros() + call as i64 * 10 - set_back);
            let target = Target::Engine(format!("s-{index}"));
            if *cordoned {
                processes[called].cordon(now, &target, CordonRequest::Operator, "").expect("listed");
            } else {
                processes[called].uncordon(now, &target, Cause::Operator).expect("listed");
            }
            last_call[usize::from(*index)] = *cordoned;
            if *exchange > 1 {
                let records = processes[called].export_records();
                processes[other].merge_records(now, &records);
            }
        }
        let records = [processes[0].export_records(), processes[1].export_records()];
        processes[0].merge_records(NOW, &records[1]);
        processes[1].merge_records(NOW, &records[0]);
        prop_assert_eq!(processes[0].export_records(), processes[1].export_records());
        for (index, cordoned) in last_call.iter().enumerate().skip(1) {
            let id = format!("s-{index}");
            prop_assert_eq!(processes[0].is_engine_cordoned(&id), *cordoned, "{}", id);
        }
    }
}

fn state_with(listed: &[&str]) -> CordonState {
    let mut state = CordonState::new(CordonLimits::default());
    listed.iter().for_each(|id| state.mark_listed(id));
    state
}

fn engine(id: &str) -> Target {
    Target::Engine(id.into())
}

/// An uncordon at the new process wins over the old process's cordon even if the new process has not merged
/// that cordon yet, and merging the older cordon later must not undo the uncordon.
#[test]
fn newer_uncordon_wins_over_older_cordon_that_was_not_merged_before() {
    let mut old = state_with(&["e"]);
    let mut new = state_with(&["e"]);
    old.cordon(NOW, &engine("e"), CordonRequest::Operator, "swap").expect("accepted");
    let outcome = new.uncordon(Timestamp::from_micros(NOW.as_micros() + 5), &engine("e"), Cause::Operator);
    assert_eq!(outcome, Ok(CordonOutcome::NotCordoned));
    let result = new.merge_records(NOW, &old.export_records());
    assert!(result.changes.is_empty() && !new.is_engine_cordoned("e"));
    let result = old.merge_records(NOW, &new.export_records());
    assert_eq!(result.changes.len(), 1);
    assert!(!old.is_engine_cordoned("e"));
}

#[test]
fn newer_call_wins_although_the_clock_was_set_back() {
    let mut state = state_with(&["e"]);
    state.cordon(NOW, &engine("e"), CordonRequest::Operator, "").expect("accepted");
    let records = state.export_records();
    let earlier = Timestamp::from_micros(NOW.as_micros() - 3_600 * MICROS_PER_SEC);
    assert_eq!(state.uncordon(earlier, &engine("e"), Cause::Operator), Ok(CordonOutcome::Uncordoned));
    state.merge_records(earlier, &records);
    assert!(!state.is_engine_cordoned("e"));
}

#[test]
fn cordon_wins_over_uncordon_of_the_same_version() {
    let entry = |cordoned| CordonEntry {
        version: 9,
        cordoned,
        lease_expires_at: None,
        changed_at: NOW,
        reason: String::new(),
    };
    let record =
        |cordoned| CordonRecord { target: engine("e"), cause: Cause::Operator, entry: entry(cordoned) };
    for pair in [[true, false], [false, true]] {
        let mut state = state_with(&[]);
        state.merge_records(NOW, &pair.map(record));
        assert!(state.is_engine_cordoned("e") && state.was_ever_listed("e"));
    }
}

/// A tombstone must be removed after its retention time, or memory would grow; a cordon must never be
/// removed.
#[test]
fn tombstones_are_removed_after_ten_minutes_and_cordons_never() {
    let mut state = state_with(&["e", "f"]);
    state.cordon(NOW, &engine("f"), CordonRequest::Operator, "").expect("accepted");
    state.uncordon(NOW, &engine("e"), Cause::Operator).expect("accepted");
    state.expire(NOW + TOMBSTONE_RETENTION);
    assert_eq!(state.sizes(), CordonSizes { active_cordons: 1, tombstones: 1, known_ids: 2 });
    state.expire(NOW + TOMBSTONE_RETENTION + TimeDelta::from_micros(1));
    assert_eq!(state.sizes(), CordonSizes { active_cordons: 1, tombstones: 0, known_ids: 2 });
    state.expire(NOW + TimeDelta::from_micros(1_000_000 * MICROS_PER_SEC));
    assert!(state.is_engine_cordoned("f"));
}

/// An older entry with a longer lease does not reactivate a cordon whose lease has expired.
#[test]
fn expired_lease_wins_over_an_older_entry_with_a_longer_lease() {
    let mut older = state_with(&["e"]);
    let mut newer = state_with(&["e"]);
    let after = |micros: i64| NOW + TimeDelta::from_micros(micros);
    let lease =
        |seconds: i64| CordonRequest::Fleet { permit: 7, lease_expires_at: after(seconds * MICROS_PER_SEC) };
    older.cordon(NOW, &engine("e"), lease(60), "").expect("accepted");
    newer.cordon(after(1), &engine("e"), lease(5), "").expect("accepted");
    newer.expire(after(6 * MICROS_PER_SEC));
    assert!(!newer.is_engine_cordoned("e"));
    newer.merge_records(after(6 * MICROS_PER_SEC), &older.export_records());
    assert!(!newer.is_engine_cordoned("e"), "the entry with the shorter lease is the newer one");
    older.merge_records(after(6 * MICROS_PER_SEC), &newer.export_records());
    assert!(!older.is_engine_cordoned("e"));
}
