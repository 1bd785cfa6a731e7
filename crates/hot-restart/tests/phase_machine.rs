//! Step-by-step tests of the phases of two processes: which of them accepts connections, the budget parts of
//! each, and deaths in each phase.

use sprucelink_hot_restart::*;
use std::slice::from_ref;

/// One millisecond in microseconds.
const MS: i64 = 1_000;

fn at_ms(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + ms * MS)
}

fn process(generation: u64) -> Process {
    Process { generation, started_at: Timestamp::from_micros(generation as i64), pid: 7 }
}

/// The state of a process with the given status, as other processes read it.
fn peer_state(process: Process, status: &PhaseStatus) -> PeerState {
    PeerState { process, phase: status.phase, shares_with: status.shares_with.clone() }
}

/// An old process that serves, a new one that starts, and the state of the old one as the new one reads it.
fn old_and_new_process() -> (PhaseMachine, PhaseMachine, PeerState) {
    let (mut old, new) = (PhaseMachine::new(process(1), at_ms(0)), PhaseMachine::new(process(2), at_ms(100)));
    let status = old.step(at_ms(0), &[], false, true);
    (old, new, peer_state(process(1), &status))
}

#[test]
fn single_process_serves_with_the_full_budget_as_soon_as_it_can() {
    let mut machine = PhaseMachine::new(process(1), at_ms(0));
    let status = machine.step(at_ms(0), &[], false, false);
    assert_eq!(
        (status.phase, status.accepts_connections, status.has_served),
        (Phase::Starting, false, false)
    );
    let status = machine.step(at_ms(50), &[], false, true);
    assert_eq!(
        (status.phase, status.since, status.accepts_connections, status.has_served),
        (Phase::Serving, at_ms(50), true, true)
    );
    assert_eq!((status.budget_parts, status.close_idle_after, status.shares_with), (1, None, Vec::new()));
    // A restart without a successor: new connections are accepted at first, then all idle sessions are
    // closed.
    let status = machine.step(at_ms(1_000), &[], true, true);
    assert_eq!(
        (status.phase, status.accepts_connections, status.close_idle_after),
        (Phase::Draining, true, None)
    );
    let status = machine.step(at_ms(1_000) + ACCEPT_GRACE, &[], true, true);
    assert_eq!(
        (status.accepts_connections, status.close_idle_after, status.has_served),
        (false, Some(TimeDelta::ZERO), true)
    );
}

#[test]
fn completed_hot_restart_never_spends_more_than_one_managers_budget() {
    let (mut old, mut new, old_state) = old_and_new_process();
    let new_status = new.step(at_ms(100), from_ref(&old_state), false, false);
    assert_eq!(
        (new_status.phase, new_status.accepts_connections, new_status.has_served),
        (Phase::Starting, false, false)
    );
    let old_status = old.step(at_ms(200), &[peer_state(process(2), &new_status)], false, true);
    assert_eq!(
        (old_status.phase, old_status.budget_parts),
        (Phase::Serving, 1),
        "a process that cannot serve gets no budget part"
    );
    let new_status = new.step(at_ms(300), from_ref(&old_state), false, true);
    assert_eq!(
        (new_status.phase, new_status.accepts_connections, new_status.has_served, new_status.budget_parts),
        (Phase::Ready, false, false, 2)
    );
    let old_status = old.step(at_ms(400), &[peer_state(process(2), &new_status)], false, true);
    assert_eq!(
        (old_status.phase, old_status.since, old_status.budget_parts, old_status.accepts_connections),
        (Phase::ServingBesideSuccessor, at_ms(400), 2, true)
    );
    assert_eq!(old_status.shares_with, [process(2)]);
    let new_status = new.step(at_ms(500), &[peer_state(process(1), &old_status)], false, true);
    assert_eq!(
        (new_status.phase, new_status.accepts_connections, new_status.has_served, new_status.budget_parts),
        (Phase::Serving, true, true, 2)
    );
    let old_status = old.step(at_ms(600), &[peer_state(process(2), &new_status)], false, true);
    assert_eq!(
        (old_status.accepts_connections, old_status.close_idle_after, old_status.budget_parts),
        (false, None, 2),
        "the successor serves, and SIGTERM was not received yet"
    );
    let old_status = old.step(at_ms(650), &[peer_state(process(2), &new_status)], true, true);
    assert_eq!(
        (old_status.phase, old_status.accepts_connections, old_status.close_idle_after),
        (Phase::Draining, false, Some(MIN_IDLE_TIME))
    );
    let old_status = old.step(at_ms(650) + IDLE_GRACE, &[peer_state(process(2), &new_status)], true, true);
    assert_eq!(old_status.close_idle_after, Some(TimeDelta::ZERO));
    let new_status = new.step(at_ms(1_300), &[peer_state(process(1), &old_status)], false, true);
    assert_eq!(
        (new_status.phase, new_status.budget_parts),
        (Phase::Serving, 2),
        "a draining old process still spends its budget part"
    );
    old.terminate(at_ms(2_000));
    assert_eq!(old.step(at_ms(2_000), &[], true, true).phase, Phase::Terminated);
    assert_eq!(new.step(at_ms(2_100), &[], false, true).budget_parts, 1);
}

#[test]
fn new_process_killed_before_it_is_healthy_leaves_the_old_one_the_full_budget() {
    let (mut old, mut new, old_state) = old_and_new_process();
    let new_status = new.step(at_ms(300), from_ref(&old_state), false, true);
    let old_status = old.step(at_ms(400), &[peer_state(process(2), &new_status)], false, true);
    assert_eq!((old_status.budget_parts, old_status.accepts_connections), (2, true));
    let old_status = old.step(at_ms(2_000), &[], false, true);
    assert_eq!(
        (old_status.phase, old_status.budget_parts, old_status.accepts_connections, old_status.shares_with),
        (Phase::Serving, 1, true, Vec::new())
    );
    // A new process that died right after it began to serve.
    let serving = PeerState { process: process(3), phase: Phase::Serving, shares_with: Vec::new() };
    assert!(!old.step(at_ms(3_000), &[serving], false, true).accepts_connections);
    assert!(old.step(at_ms(5_000), &[], false, true).accepts_connections);
}

#[test]
fn killed_or_stuck_old_process_does_not_delay_the_new_one() {
    let (_, mut new, old_state) = old_and_new_process();
    assert_eq!(new.step(at_ms(300), from_ref(&old_state), false, true).phase, Phase::Ready);
    let mut new_beside_stuck = new.clone();
    let new_status = new.step(at_ms(400), &[], false, true);
    assert_eq!(
        (new_status.phase, new_status.budget_parts, new_status.has_served),
        (Phase::Serving, 1, true),
        "the old process is dead, since its file no longer changes"
    );
    assert!(!new_status.is_unacknowledged);
    assert_eq!(
        new_beside_stuck.step(at_ms(299) + ACK_TIMEOUT, from_ref(&old_state), false, true).phase,
        Phase::Ready
    );
    let new_status = new_beside_stuck.step(at_ms(300) + ACK_TIMEOUT, from_ref(&old_state), false, true);
    assert_eq!(
        (new_status.phase, new_status.budget_parts, new_status.has_served),
        (Phase::Serving, 2, true),
        "the old process is alive and does not acknowledge"
    );
    assert!(new_status.is_unacknowledged);
}

#[test]
fn old_process_accepts_after_sigterm_until_its_successor_serves() {
    let (mut old, mut new, old_state) = old_and_new_process();
    let new_status = new.step(at_ms(300), from_ref(&old_state), false, true);
    let old_status = old.step(at_ms(350), &[peer_state(process(2), &new_status)], true, true);
    assert_eq!(
        (
            old_status.phase,
            old_status.accepts_connections,
            old_status.close_idle_after,
            old_status.shares_with.clone()
        ),
        (Phase::Draining, true, None, vec![process(2)])
    );
    let new_status = new.step(at_ms(400), &[peer_state(process(1), &old_status)], false, true);
    assert_eq!(new_status.phase, Phase::Serving, "a draining process also shares its budgets");
    let old_status = old.step(at_ms(450), &[peer_state(process(2), &new_status)], true, true);
    assert_eq!((old_status.accepts_connections, old_status.close_idle_after), (false, Some(MIN_IDLE_TIME)));
}

#[test]
fn process_that_never_served_accepts_no_connections_after_sigterm() {
    let (_, mut new, old_state) = old_and_new_process();
    let new_status = new.step(at_ms(300), from_ref(&old_state), true, true);
    assert_eq!(
        (new_status.phase, new_status.accepts_connections, new_status.has_served),
        (Phase::Draining, false, false)
    );
}

#[test]
fn two_processes_that_start_at_the_same_time_serve_one_after_the_other() {
    let first_generation =
        |started_at| Process { generation: 1, started_at: Timestamp::from_micros(started_at), pid: 7 };
    let mut first = PhaseMachine::new(first_generation(1), at_ms(0));
    let mut second = PhaseMachine::new(first_generation(2), at_ms(0));
    let starting = |process| PeerState { process, phase: Phase::Starting, shares_with: Vec::new() };
    let first_status = first.step(at_ms(10), &[starting(first_generation(2))], false, true);
    let second_status = second.step(at_ms(10), &[starting(first_generation(1))], false, true);
    assert_eq!((first_status.phase, second_status.phase), (Phase::Serving, Phase::Ready));
    let first_status =
        first.step(at_ms(110), &[peer_state(first_generation(2), &second_status)], false, true);
    let second_status =
        second.step(at_ms(110), &[peer_state(first_generation(1), &first_status)], false, true);
    assert_eq!(
        (first_status.budget_parts, second_status.budget_parts, second_status.phase),
        (2, 2, Phase::Serving)
    );
}

#[test]
fn overlapping_hot_restarts_divide_the_budget_among_all_live_processes() {
    let draining = |generation| PeerState {
        process: process(generation),
        phase: Phase::Draining,
        shares_with: vec![process(generation + 1)],
    };
    let mut machine = PhaseMachine::new(process(9), at_ms(0));
    assert_eq!(machine.step(at_ms(0), &[draining(8)], false, true).budget_parts, 2);
    assert_eq!(machine.step(at_ms(0), &[draining(7), draining(8)], false, true).budget_parts, 3);
    let many_peers: Vec<PeerState> = (10..90).map(draining).collect();
    let status = machine.step(at_ms(0), &many_peers, false, true);
    assert_eq!(
        (status.budget_parts as usize, status.shares_with.len()),
        (MAX_SHARING_PEERS + 1, MAX_SHARING_PEERS)
    );
}
