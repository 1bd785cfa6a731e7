//! The phases of two processes step by step: who accepts connections, who spends what, and who dies when.

use sprucelink_hot_restart::*;
use std::slice::from_ref;

const MS: i64 = 1_000;

fn t(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + ms * MS)
}

fn process(generation: u64) -> Process {
    Process { generation, started_at: Timestamp::from_micros(generation as i64), pid: 7 }
}

/// What another process reads of one with this status.
fn peer_state(process: Process, stand: &PhaseStatus) -> PeerState {
    PeerState { process, phase: stand.phase, shares_with: stand.shares_with.clone() }
}

/// An old process that serves, and a new one that starts.
fn pair() -> (PhaseMachine, PhaseMachine, PeerState) {
    let (mut old, new) = (PhaseMachine::new(process(1), t(0)), PhaseMachine::new(process(2), t(100)));
    let stand = old.step(t(0), &[], false, true);
    (old, new, peer_state(process(1), &stand))
}

#[test]
fn single_process_serves_as_soon_as_it_can_with_the_full_budget() {
    let mut p = PhaseMachine::new(process(1), t(0));
    let stand = p.step(t(0), &[], false, false);
    assert_eq!((stand.phase, stand.accepts_connections, stand.has_served), (Phase::Starting, false, false));
    let stand = p.step(t(50), &[], false, true);
    assert_eq!(
        (stand.phase, stand.since, stand.accepts_connections, stand.has_served),
        (Phase::Serving, t(50), true, true)
    );
    assert_eq!((stand.budget_parts, stand.close_idle_after, stand.shares_with), (1, None, Vec::new()));
    // A restart without a successor: what still arrives is accepted, then all idle sessions are closed.
    let stand = p.step(t(1_000), &[], true, true);
    assert_eq!(
        (stand.phase, stand.accepts_connections, stand.close_idle_after),
        (Phase::Draining, true, None)
    );
    let stand = p.step(t(1_000) + ACCEPT_GRACE, &[], true, true);
    assert_eq!(
        (stand.accepts_connections, stand.close_idle_after, stand.has_served),
        (false, Some(TimeDelta::ZERO), true)
    );
}

#[test]
fn completed_hot_restart_never_spends_more_than_one_managers_budget() {
    let (mut old, mut new, seen) = pair();
    let n = new.step(t(100), from_ref(&seen), false, false);
    assert_eq!((n.phase, n.accepts_connections, n.has_served), (Phase::Starting, false, false));
    let e = old.step(t(200), &[peer_state(process(2), &n)], false, true);
    assert_eq!((e.phase, e.budget_parts), (Phase::Serving, 1), "a process that cannot serve gets no part");
    let n = new.step(t(300), from_ref(&seen), false, true);
    assert_eq!(
        (n.phase, n.accepts_connections, n.has_served, n.budget_parts),
        (Phase::Ready, false, false, 2)
    );
    let e = old.step(t(400), &[peer_state(process(2), &n)], false, true);
    assert_eq!(
        (e.phase, e.since, e.budget_parts, e.accepts_connections),
        (Phase::ServingBesideSuccessor, t(400), 2, true)
    );
    assert_eq!(e.shares_with, [process(2)]);
    let n = new.step(t(500), &[peer_state(process(1), &e)], false, true);
    assert_eq!(
        (n.phase, n.accepts_connections, n.has_served, n.budget_parts),
        (Phase::Serving, true, true, 2)
    );
    let e = old.step(t(600), &[peer_state(process(2), &n)], false, true);
    assert_eq!(
        (e.accepts_connections, e.close_idle_after, e.budget_parts),
        (false, None, 2),
        "its successor serves, and SIGTERM is yet to come"
    );
    let e = old.step(t(650), &[peer_state(process(2), &n)], true, true);
    assert_eq!(
        (e.phase, e.accepts_connections, e.close_idle_after),
        (Phase::Draining, false, Some(MIN_IDLE_TIME))
    );
    let e = old.step(t(650) + IDLE_GRACE, &[peer_state(process(2), &n)], true, true);
    assert_eq!(e.close_idle_after, Some(TimeDelta::ZERO));
    let n = new.step(t(1_300), &[peer_state(process(1), &e)], false, true);
    assert_eq!((n.phase, n.budget_parts), (Phase::Serving, 2), "an old that leaves still spends");
    old.terminate(t(2_000));
    assert_eq!(old.step(t(2_000), &[], true, true).phase, Phase::Terminated);
    assert_eq!(new.step(t(2_100), &[], false, true).budget_parts, 1);
}

#[test]
fn new_process_killed_before_it_is_healthy_leaves_the_old_one_the_full_budget() {
    let (mut old, mut new, seen) = pair();
    let n = new.step(t(300), from_ref(&seen), false, true);
    let e = old.step(t(400), &[peer_state(process(2), &n)], false, true);
    assert_eq!((e.budget_parts, e.accepts_connections), (2, true));
    let e = old.step(t(2_000), &[], false, true);
    assert_eq!(
        (e.phase, e.budget_parts, e.accepts_connections, e.shares_with),
        (Phase::Serving, 1, true, Vec::new())
    );
    // The same for one that died right after it had begun to serve.
    let serving = PeerState { process: process(3), phase: Phase::Serving, shares_with: Vec::new() };
    assert!(!old.step(t(3_000), &[serving], false, true).accepts_connections);
    assert!(old.step(t(5_000), &[], false, true).accepts_connections);
}

#[test]
fn old_process_killed_or_stuck_does_not_delay_the_new_one() {
    let (_, mut new, seen) = pair();
    assert_eq!(new.step(t(300), from_ref(&seen), false, true).phase, Phase::Ready);
    let mut stuck = new.clone();
    let n = new.step(t(400), &[], false, true);
    assert_eq!(
        (n.phase, n.budget_parts, n.has_served),
        (Phase::Serving, 1, true),
        "its file no longer changes"
    );
    assert!(!n.is_unacknowledged);
    assert_eq!(stuck.step(t(299) + ACK_TIMEOUT, from_ref(&seen), false, true).phase, Phase::Ready);
    let n = stuck.step(t(300) + ACK_TIMEOUT, from_ref(&seen), false, true);
    assert_eq!(
        (n.phase, n.budget_parts, n.has_served),
        (Phase::Serving, 2, true),
        "alive, and not acknowledging"
    );
    assert!(n.is_unacknowledged);
}

#[test]
fn old_process_accepts_after_sigterm_until_its_successor_serves() {
    let (mut old, mut new, seen) = pair();
    let n = new.step(t(300), from_ref(&seen), false, true);
    let e = old.step(t(350), &[peer_state(process(2), &n)], true, true);
    assert_eq!(
        (e.phase, e.accepts_connections, e.close_idle_after, e.shares_with.clone()),
        (Phase::Draining, true, None, vec![process(2)])
    );
    let n = new.step(t(400), &[peer_state(process(1), &e)], false, true);
    assert_eq!(n.phase, Phase::Serving, "a draining process shares its budgets as well");
    let e = old.step(t(450), &[peer_state(process(2), &n)], true, true);
    assert_eq!((e.accepts_connections, e.close_idle_after), (false, Some(MIN_IDLE_TIME)));
}

#[test]
fn process_that_never_served_accepts_nothing_after_sigterm() {
    let (_, mut new, seen) = pair();
    let n = new.step(t(300), from_ref(&seen), true, true);
    assert_eq!((n.phase, n.accepts_connections, n.has_served), (Phase::Draining, false, false));
}

#[test]
fn two_processes_that_start_at_once_serve_one_after_the_other() {
    let same = |started| Process { generation: 1, started_at: Timestamp::from_micros(started), pid: 7 };
    let (mut a, mut b) = (PhaseMachine::new(same(1), t(0)), PhaseMachine::new(same(2), t(0)));
    let fresh = |process| PeerState { process, phase: Phase::Starting, shares_with: Vec::new() };
    let first = a.step(t(10), &[fresh(same(2))], false, true);
    let second = b.step(t(10), &[fresh(same(1))], false, true);
    assert_eq!((first.phase, second.phase), (Phase::Serving, Phase::Ready));
    let first = a.step(t(110), &[peer_state(same(2), &second)], false, true);
    let second = b.step(t(110), &[peer_state(same(1), &first)], false, true);
    assert_eq!((first.budget_parts, second.budget_parts, second.phase), (2, 2, Phase::Serving));
}

#[test]
fn overlapping_hot_restarts_divide_the_budget_among_all_live_processes() {
    let at_work =
        |g| PeerState { process: process(g), phase: Phase::Draining, shares_with: vec![process(g + 1)] };
    let mut p = PhaseMachine::new(process(9), t(0));
    assert_eq!(p.step(t(0), &[at_work(8)], false, true).budget_parts, 2);
    assert_eq!(p.step(t(0), &[at_work(7), at_work(8)], false, true).budget_parts, 3);
    let many: Vec<PeerState> = (10..90).map(at_work).collect();
    let stand = p.step(t(0), &many, false, true);
    assert_eq!(
        (stand.budget_parts as usize, stand.shares_with.len()),
        (MAX_SHARING_PEERS + 1, MAX_SHARING_PEERS)
    );
}
