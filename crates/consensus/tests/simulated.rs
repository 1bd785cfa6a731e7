//! Seeded runs of complete groups in virtual time. CI runs a few hundred seeds; `examples/seeds.rs` runs any
//! number.

use sprucelink_consensus::sim::{Fault, InjectedBug, Plan, Report, Simulation, ViolationKind};
use sprucelink_consensus::TimeDelta;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Number of threads that run seeds.
const THREADS: usize = 4;

struct Run {
    seed: u64,
    report: Report,
}

impl Run {
    fn has_violation(&self) -> bool {
        self.report.violation.is_some()
    }
}

fn seconds(seconds: i64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

/// Runs seeds; with `stops_at_violation`, only until one has a violation.
fn run_seeds(plan: &Plan, seeds: Range<u64>, stops_at_violation: bool) -> Vec<Run> {
    let next_seed = AtomicU64::new(seeds.start);
    let runs: Mutex<Vec<Run>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                let has_violation = runs.lock().unwrap().iter().any(Run::has_violation);
                if seed >= seeds.end || (stops_at_violation && has_violation) {
                    return;
                }
                let report = Simulation::run(plan.clone(), seed);
                runs.lock().unwrap().push(Run { seed, report });
            });
        }
    });
    runs.into_inner().unwrap()
}

/// Runs seeds, which must all end without a violation. On average, each must have at least 3 faults and 20
/// committed proposals, so that the runs test something.
fn assert_no_violation(plan: Plan, seeds: Range<u64>) {
    let runs = run_seeds(&plan, seeds, false);
    let violations: Vec<String> = runs
        .iter()
        .filter_map(|run| Some(format!("seed {}: {}", run.seed, run.report.violation.as_ref()?)))
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
    let faults: u64 = runs.iter().map(|run| run.report.faults_injected).sum();
    let committed: u64 = runs.iter().map(|run| run.report.outcomes.committed).sum();
    let count = runs.len() as u64;
    assert!(faults >= 3 * count && committed >= 20 * count, "{faults} faults, {committed} committed");
}

/// An injected bug must be found within `seed_count` seeds, by a violation of the expected kind.
fn assert_bug_is_found(plan: Plan, seed_count: u64, is_expected: impl Fn(&ViolationKind) -> bool) {
    let runs = run_seeds(&plan, 0..seed_count, true);
    let violations = runs.iter().filter_map(|run| run.report.violation.as_ref());
    let kinds: Vec<&ViolationKind> = violations.map(|violation| &violation.kind).collect();
    assert!(kinds.iter().any(|kind| is_expected(kind)), "{} seeds, found: {kinds:?}", runs.len());
}

#[test]
fn no_violation_with_correct_disks() {
    assert_no_violation(Plan::correct_disks(3).shorter(seconds(6)), 0..40);
    assert_no_violation(Plan::correct_disks(5).shorter(seconds(6)), 0..40);
    assert_no_violation(Plan::correct_disks(7).shorter(seconds(6)), 0..10);
}

#[test]
fn no_violation_with_one_lying_disk_and_any_restarts() {
    assert_no_violation(Plan::one_lying_disk(3).shorter(seconds(6)), 0..60);
    assert_no_violation(Plan::one_lying_disk(5).shorter(seconds(6)), 0..30);
}

#[test]
fn no_violation_with_a_minority_of_lying_disks() {
    assert_no_violation(Plan::minority_lying_disks(5).shorter(seconds(6)), 0..30);
}

/// The seed determines the whole run: the number and size of the messages, outcomes, elections and alarms are
/// equal.
#[test]
fn same_seed_gives_the_same_run() {
    let run = || Simulation::run(Plan::one_lying_disk(5).shorter(seconds(6)), 77);
    let first = run();
    let second = run();
    assert_eq!(
        (
            first.messages,
            first.bytes,
            first.outcomes,
            &first.elections,
            &first.alarm_counts,
            first.last_committed
        ),
        (
            second.messages,
            second.bytes,
            second.outcomes,
            &second.elections,
            &second.alarm_counts,
            second.last_committed
        )
    );
}

/// The leader crashes repeatedly in an otherwise healthy group.
#[test]
fn another_member_leads_within_two_seconds_after_a_crash() {
    let runs = run_seeds(&Plan::leader_crashes(5).shorter(seconds(60)), 0..4, false);
    let times: Vec<TimeDelta> = runs.iter().flat_map(|run| run.report.elections.iter().copied()).collect();
    assert!(times.len() >= 20, "only {} elections", times.len());
    assert!(times.iter().all(|&time| time < seconds(2)), "{times:?}");
}

/// A short plan with only crashes and cut links, frequent enough for an injected bug to cause a violation.
fn crash_plan(members: u32, bugs: &[InjectedBug]) -> Plan {
    Plan {
        bugs: bugs.to_vec(),
        faults: vec![Fault::Crash, Fault::CrashMany, Fault::CrashLeader, Fault::Partition, Fault::Isolate],
        fault_every: TimeDelta::from_millis(400),
        max_sync_time: TimeDelta::from_millis(20),
        ..Plan::correct_disks(members).shorter(seconds(8))
    }
}

#[test]
fn vote_that_is_not_persisted_is_found() {
    let plan = crash_plan(3, &[InjectedBug::VoteNotPersisted, InjectedBug::TrustDisk]);
    assert_bug_is_found(plan, 400, |kind| matches!(kind, ViolationKind::DoubleVote { .. }));
}

#[test]
fn acknowledgement_before_the_sync_is_found() {
    let plan = crash_plan(3, &[InjectedBug::AckBeforeSync, InjectedBug::TrustDisk]);
    assert_bug_is_found(plan, 400, |_| true);
}

#[test]
fn lying_disk_without_acknowledgement_check_and_floors_is_found() {
    let plan = Plan { bugs: vec![InjectedBug::TrustDisk], ..Plan::one_lying_disk(3).shorter(seconds(8)) };
    assert_bug_is_found(plan, 400, |_| true);
}

#[test]
fn duplicates_that_are_applied_are_found() {
    let plan = Plan {
        bugs: vec![InjectedBug::DuplicatesApplied],
        duplicate_per_mille: 200,
        ..Plan::correct_disks(3).shorter(seconds(4))
    };
    assert_bug_is_found(plan, 40, |kind| matches!(kind, ViolationKind::AppliedRepeatedly { .. }));
}

#[test]
fn proposal_that_is_accepted_in_another_term_is_found() {
    // The delayed copy of a proposal must arrive when the former leader leads again in a later term.
    let plan = Plan {
        faults: vec![Fault::Transfer, Fault::Transfer, Fault::SlowLinks, Fault::Isolate],
        max_delay: TimeDelta::from_millis(100),
        duplicate_per_mille: 500,
        loss_per_mille: 0,
        propose_every: TimeDelta::from_millis(15),
        ..crash_plan(3, &[InjectedBug::AnyTermProposals])
    };
    assert_bug_is_found(plan, 200, |kind| matches!(kind, ViolationKind::DroppedButCommitted { .. }));
}
