//! Seeded runs of whole councils in virtual time. CI holds a few hundred seeds; `examples/seeds.rs` runs as many as wanted.

use sprucelink_consensus::sim::{Fault, InjectedBug, Plan, Report, Simulation};
use sprucelink_consensus::TimeDelta;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

/// Runs seeds on a few threads, until one shows a violation when that is what is looked for.
fn runs(plan: &Plan, seeds: std::ops::Range<u64>, stop_at_first: bool) -> Vec<(u64, Report)> {
    let (next, all) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                let found =
                    all.lock().unwrap().iter().any(|(_, report): &(u64, Report)| report.violation.is_some());
                if seed >= seeds.end || (stop_at_first && found) {
                    return;
                }
                let report = Simulation::run(plan.clone(), seed);
                all.lock().unwrap().push((seed, report));
            });
        }
    });
    all.into_inner().unwrap()
}

/// Runs seeds that must all hold, and must have been through something.
fn hold(plan: Plan, seeds: std::ops::Range<u64>) {
    let all = runs(&plan, seeds, false);
    let broken: Vec<String> = all
        .iter()
        .filter_map(|(seed, report)| Some(format!("seed {seed}: {}", report.violation.as_ref()?)))
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
    let (faults_injected, committed): (u64, u64) = all
        .iter()
        .fold((0, 0), |sum, (_, report)| (sum.0 + report.faults_injected, sum.1 + report.outcomes[0]));
    assert!(
        faults_injected >= 3 * all.len() as u64 && committed >= 20 * all.len() as u64,
        "{faults_injected} {committed}"
    );
}

/// A planted fault must show within so many seeds.
fn caught(plan: Plan, seeds: u64, sign: &str) {
    let all = runs(&plan, 0..seeds, true);
    let signs: Vec<&str> = all
        .iter()
        .filter_map(|(_, report)| report.violation.as_ref())
        .map(|violation| violation.what.as_str())
        .collect();
    assert!(signs.iter().any(|what| what.contains(sign)), "{} seeds, found: {signs:?}", all.len());
}

#[test]
fn honest_disks_through_everything() {
    hold(Plan::honest(3).shorter(TimeDelta::from_whole_secs(6)), 0..40);
    hold(Plan::honest(5).shorter(TimeDelta::from_whole_secs(6)), 0..40);
    hold(Plan::honest(7).shorter(TimeDelta::from_whole_secs(6)), 0..10);
}

#[test]
fn one_disk_that_forgets_whatever_restarts() {
    hold(Plan::one_liar(3).shorter(TimeDelta::from_whole_secs(6)), 0..60);
    hold(Plan::one_liar(5).shorter(TimeDelta::from_whole_secs(6)), 0..30);
}

#[test]
fn as_many_forgetful_disks_as_a_council_can_spare() {
    hold(Plan::liars(5).shorter(TimeDelta::from_whole_secs(6)), 0..30);
}

/// The same seed gives the same run, to the last message.
#[test]
fn a_seed_replays() {
    let run = || Simulation::run(Plan::one_liar(5).shorter(TimeDelta::from_whole_secs(6)), 77);
    let (one, two) = (run(), run());
    assert_eq!(
        (one.messages, one.bytes, one.outcomes, &one.elections, &one.alarms, one.last),
        (two.messages, two.bytes, two.outcomes, &two.elections, &two.alarms, two.last)
    );
}

/// A leader's death in a council that is otherwise whole: another leads within 2 s.
#[test]
fn another_leads_in_time() {
    let all = runs(&Plan::leader_dies(5).shorter(TimeDelta::from_whole_secs(60)), 0..4, false);
    let times: Vec<TimeDelta> = all.iter().flat_map(|(_, report)| report.elections.iter().copied()).collect();
    assert!(times.len() >= 20, "only {} elections", times.len());
    assert!(times.iter().all(|&time| time < TimeDelta::from_whole_secs(2)), "{times:?}");
}

/// A short plan with crashes only, thick enough for a planted fault to bite.
fn crashing(members: u32, bugs: &[InjectedBug]) -> Plan {
    Plan {
        bugs: bugs.to_vec(),
        faults: vec![Fault::Crash, Fault::CrashMany, Fault::CrashLeader, Fault::Split, Fault::Deaf],
        fault_every: TimeDelta::from_millis(400),
        max_sync_time: TimeDelta::from_millis(20),
        ..Plan::honest(members).shorter(TimeDelta::from_whole_secs(8))
    }
}

#[test]
fn a_vote_not_kept_is_caught() {
    caught(
        crashing(3, &[InjectedBug::VoteNotKept, InjectedBug::TrustDisk]),
        400,
        "votes duplicate_per_mille",
    );
}

#[test]
fn words_before_the_disk_are_caught() {
    caught(crashing(3, &[InjectedBug::AckBeforeSync, InjectedBug::TrustDisk]), 400, "");
}

#[test]
fn a_forgetful_disk_without_check_and_floors_is_caught() {
    let mut plan = Plan::one_liar(3).shorter(TimeDelta::from_whole_secs(8));
    plan.bugs = vec![InjectedBug::TrustDisk];
    caught(plan, 400, "");
}

#[test]
fn repeats_that_are_applied_are_caught() {
    let mut plan = Plan::honest(3).shorter(TimeDelta::from_whole_secs(4));
    (plan.bugs, plan.duplicate_per_mille) = (vec![InjectedBug::RepeatsApplied], 200);
    caught(plan, 40, "times");
}

#[test]
fn a_proposal_taken_in_another_term_is_caught() {
    // The late copy must find the member that led leading anew, in a later term.
    let mut plan = crashing(3, &[InjectedBug::AnyTermProposals]);
    plan.faults = vec![Fault::Transfer, Fault::Transfer, Fault::Slow, Fault::Deaf];
    (plan.max_delay, plan.duplicate_per_mille, plan.loss_per_mille, plan.propose_every) =
        (TimeDelta::from_millis(100), 500, 0, TimeDelta::from_millis(15));
    caught(plan, 200, "lost");
}
