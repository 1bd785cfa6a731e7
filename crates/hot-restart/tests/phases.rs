//! The phases of two processes by hand: who accepts, who spends what, and who dies when.

use sprucelink_hot_restart::*;
use std::slice::from_ref;

const MS: i64 = 1_000;

fn t(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + ms * MS)
}

fn process(generation: u64) -> Process {
    Process { generation, started: Timestamp::from_micros(generation as i64), pid: 7 }
}

/// What another's file tells, from where it stands.
fn told(process: Process, stand: &Stand) -> Other {
    Other { process, phase: stand.phase, room_for: stand.room_for.clone() }
}

/// An elder that serves, and a newcomer that starts.
fn pair() -> (Upgrade, Upgrade, Other) {
    let (mut elder, newcomer) = (Upgrade::new(process(1), t(0)), Upgrade::new(process(2), t(100)));
    let stand = elder.step(t(0), &[], false, true);
    (elder, newcomer, told(process(1), &stand))
}

#[test]
fn alone_it_serves_as_soon_as_it_can_with_everything() {
    let mut p = Upgrade::new(process(1), t(0));
    let stand = p.step(t(0), &[], false, false);
    assert_eq!((stand.phase, stand.accepts, stand.yes), (Phase::Starting, false, false));
    let stand = p.step(t(50), &[], false, true);
    assert_eq!((stand.phase, stand.since, stand.accepts, stand.yes), (Phase::Serving, t(50), true, true));
    assert_eq!((stand.parts, stand.let_go, stand.room_for), (1, None, Vec::new()));
    // A restart with nobody beside it: what still comes is taken, then all that is idle is let go.
    let stand = p.step(t(1_000), &[], true, true);
    assert_eq!((stand.phase, stand.accepts, stand.let_go), (Phase::Leaving, true, None));
    let stand = p.step(t(1_000) + STILL_COMING, &[], true, true);
    assert_eq!((stand.accepts, stand.let_go, stand.yes), (false, Some(TimeDelta::ZERO), true));
}

#[test]
fn an_upgrade_in_order_never_spends_more_than_one_managers_part() {
    let (mut elder, mut newcomer, seen) = pair();
    let n = newcomer.step(t(100), from_ref(&seen), false, false);
    assert_eq!((n.phase, n.accepts, n.yes), (Phase::Starting, false, false));
    let e = elder.step(t(200), &[told(process(2), &n)], false, true);
    assert_eq!((e.phase, e.parts), (Phase::Serving, 1), "one that cannot serve takes nothing away");
    let n = newcomer.step(t(300), from_ref(&seen), false, true);
    assert_eq!((n.phase, n.accepts, n.yes, n.parts), (Phase::Ready, false, false, 2));
    let e = elder.step(t(400), &[told(process(2), &n)], false, true);
    assert_eq!((e.phase, e.since, e.parts, e.accepts), (Phase::Accompanied, t(400), 2, true));
    assert_eq!(e.room_for, [process(2)]);
    let n = newcomer.step(t(500), &[told(process(1), &e)], false, true);
    assert_eq!((n.phase, n.accepts, n.yes, n.parts), (Phase::Serving, true, true, 2));
    let e = elder.step(t(600), &[told(process(2), &n)], false, true);
    assert_eq!((e.accepts, e.let_go, e.parts), (false, None, 2), "relieved, and not yet asked to go");
    let e = elder.step(t(650), &[told(process(2), &n)], true, true);
    assert_eq!((e.phase, e.accepts, e.let_go), (Phase::Leaving, false, Some(IDLE_FOR)));
    let e = elder.step(t(650) + IDLE_WAIT, &[told(process(2), &n)], true, true);
    assert_eq!(e.let_go, Some(TimeDelta::ZERO));
    let n = newcomer.step(t(1_300), &[told(process(1), &e)], false, true);
    assert_eq!((n.phase, n.parts), (Phase::Serving, 2), "an elder that leaves still spends");
    elder.gone(t(2_000));
    assert_eq!(elder.step(t(2_000), &[], true, true).phase, Phase::Gone);
    assert_eq!(newcomer.step(t(2_100), &[], false, true).parts, 1);
}

#[test]
fn a_newcomer_killed_before_its_yes_leaves_the_elder_with_everything() {
    let (mut elder, mut newcomer, seen) = pair();
    let n = newcomer.step(t(300), from_ref(&seen), false, true);
    let e = elder.step(t(400), &[told(process(2), &n)], false, true);
    assert_eq!((e.parts, e.accepts), (2, true));
    let e = elder.step(t(2_000), &[], false, true);
    assert_eq!((e.phase, e.parts, e.accepts, e.room_for), (Phase::Serving, 1, true, Vec::new()));
    // And the same for one that died right after it had relieved the elder.
    let serving = Other { process: process(3), phase: Phase::Serving, room_for: Vec::new() };
    assert!(!elder.step(t(3_000), &[serving], false, true).accepts);
    assert!(elder.step(t(5_000), &[], false, true).accepts);
}

#[test]
fn an_elder_killed_in_the_middle_or_stuck_does_not_hold_up_the_newcomer() {
    let (_, mut newcomer, seen) = pair();
    assert_eq!(newcomer.step(t(300), from_ref(&seen), false, true).phase, Phase::Ready);
    let mut stuck = newcomer.clone();
    let n = newcomer.step(t(400), &[], false, true);
    assert_eq!((n.phase, n.parts, n.yes), (Phase::Serving, 1, true), "its file has gone quiet");
    assert!(!n.without_room);
    assert_eq!(stuck.step(t(299) + ROOM_WAIT, from_ref(&seen), false, true).phase, Phase::Ready);
    let n = stuck.step(t(300) + ROOM_WAIT, from_ref(&seen), false, true);
    assert_eq!((n.phase, n.parts, n.yes), (Phase::Serving, 2, true), "alive, and without an answer");
    assert!(n.without_room);
}

#[test]
fn sigterm_before_the_newcomer_serves_takes_what_still_comes() {
    let (mut elder, mut newcomer, seen) = pair();
    let n = newcomer.step(t(300), from_ref(&seen), false, true);
    let e = elder.step(t(350), &[told(process(2), &n)], true, true);
    assert_eq!(
        (e.phase, e.accepts, e.let_go, e.room_for.clone()),
        (Phase::Leaving, true, None, vec![process(2)])
    );
    let n = newcomer.step(t(400), &[told(process(1), &e)], false, true);
    assert_eq!(n.phase, Phase::Serving, "one that leaves makes room as well");
    let e = elder.step(t(450), &[told(process(2), &n)], true, true);
    assert_eq!((e.accepts, e.let_go), (false, Some(IDLE_FOR)));
}

#[test]
fn sigterm_to_one_that_never_served_accepts_nothing() {
    let (_, mut newcomer, seen) = pair();
    let n = newcomer.step(t(300), from_ref(&seen), true, true);
    assert_eq!((n.phase, n.accepts, n.yes), (Phase::Leaving, false, false));
}

#[test]
fn two_that_start_at_once_go_one_after_the_other() {
    let same = |started| Process { generation: 1, started: Timestamp::from_micros(started), pid: 7 };
    let (mut a, mut b) = (Upgrade::new(same(1), t(0)), Upgrade::new(same(2), t(0)));
    let fresh = |process| Other { process, phase: Phase::Starting, room_for: Vec::new() };
    let first = a.step(t(10), &[fresh(same(2))], false, true);
    let second = b.step(t(10), &[fresh(same(1))], false, true);
    assert_eq!((first.phase, second.phase), (Phase::Serving, Phase::Ready));
    let first = a.step(t(110), &[told(same(2), &second)], false, true);
    let second = b.step(t(110), &[told(same(1), &first)], false, true);
    assert_eq!((first.parts, second.parts, second.phase), (2, 2, Phase::Serving));
}

#[test]
fn overlapping_upgrades_part_among_all_that_live() {
    let at_work = |g| Other { process: process(g), phase: Phase::Leaving, room_for: vec![process(g + 1)] };
    let mut p = Upgrade::new(process(9), t(0));
    assert_eq!(p.step(t(0), &[at_work(8)], false, true).parts, 2);
    assert_eq!(p.step(t(0), &[at_work(7), at_work(8)], false, true).parts, 3);
    let many: Vec<Other> = (10..90).map(at_work).collect();
    let stand = p.step(t(0), &many, false, true);
    assert_eq!((stand.parts as usize, stand.room_for.len()), (ROOM_MOST + 1, ROOM_MOST));
}
