//! The council's smaller rules, one by one.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_consensus::rejoin::{RejoinAnswer, RejoinQuorum};
use sprucelink_consensus::sim::{Plan, ProposalRecorder, Simulation};
use sprucelink_consensus::wire::{envelope::Body, Boot, Envelope, RejoinRequest};
use sprucelink_consensus::{
    Alarm, ConfChange, ConfChangeKind, Config, ConfigError, Dedup, Frame, MemberError, MemberId, Membership,
    ProposalDedup, ProposalId, ProposeError, Role, SnapshotError, TimeDelta, Timestamp, Timing,
};
use std::collections::BTreeSet;

fn member(node: u32) -> MemberId {
    MemberId::new(node, 1)
}

fn list(nodes: std::ops::RangeInclusive<u32>) -> Membership {
    let voters: Vec<MemberId> = nodes.map(member).collect();
    let incarnations = voters.iter().map(|voter| (voter.node, 1)).collect();
    Membership { voters, learners: vec![], incarnations }
}

fn answer(term: u64, last: (u64, u64), established: bool) -> RejoinAnswer {
    RejoinAnswer { term, last, floors: vec![], established, quarantined: false, members: (1, list(1..=5)) }
}

fn probation() -> RejoinQuorum {
    RejoinQuorum::new(member(1), (1, list(1..=5)), Timestamp::ZERO, TimeDelta::from_whole_secs(10))
}

#[test]
fn a_majority_of_the_others_vouches_and_sets_the_floors() {
    let mut probation = probation();
    assert_eq!(probation.asked(), [2, 3, 4, 5].map(member));
    probation.answer(member(2), answer(7, (6, 40), true));
    probation.answer(member(3), answer(9, (5, 90), true));
    assert_eq!(probation.outcome(Timestamp::from_whole_secs(1)), None, "two of four others are no majority");
    probation.answer(member(9), answer(20, (20, 20), true));
    assert_eq!(
        probation.outcome(Timestamp::from_whole_secs(1)),
        None,
        "a stranger's answer counts for nothing"
    );
    probation.answer(member(4), answer(8, (6, 30), true));
    let vouched = probation.outcome(Timestamp::from_whole_secs(1)).unwrap();
    assert!(!vouched.relaxed);
    assert_eq!((vouched.floors.vote, vouched.floors.log()), (9, (6, 40)));
    probation.forget(member(4));
    assert_eq!(probation.outcome(Timestamp::from_whole_secs(1)), None, "who starts anew has said nothing");
}

#[test]
fn members_in_probation_count_late_or_when_there_is_no_hope() {
    let mut probation = probation();
    for node in 2..=4 {
        probation.answer(member(node), answer(3, (3, 3), node == 2));
    }
    // One established, one unheard: no three can come, so nothing is waited for.
    assert!(probation.outcome(Timestamp::ZERO).is_some_and(|vouched| vouched.relaxed));
    probation.answer(member(3), answer(3, (3, 3), true));
    assert_eq!(probation.outcome(Timestamp::from_whole_secs(9)), None, "the fifth may be established");
    assert!(probation.outcome(Timestamp::from_whole_secs(10)).is_some_and(|vouched| vouched.relaxed));
}

#[test]
fn a_newer_list_counts_and_who_is_gone_sets_no_floor() {
    let mut probation = probation();
    let newer = |last| RejoinAnswer { members: (50, list(1..=3)), ..answer(4, last, true) };
    probation.answer(member(2), newer((4, 60)));
    assert_eq!(probation.outcome(Timestamp::ZERO), None);
    let told = RejoinAnswer { floors: vec![(member(2), (4, 99))], ..newer((4, 61)) };
    probation.answer(member(3), told);
    assert_eq!(
        probation.outcome(Timestamp::ZERO).unwrap().floors.log(),
        (4, 99),
        "what 2 told 3, though 2 has forgotten it since"
    );
    probation.gone(member(2));
    let vouched = probation.outcome(Timestamp::ZERO).unwrap();
    assert!(vouched.relaxed);
    assert_eq!(vouched.floors.log(), (4, 61));
}

#[test]
fn lists_of_members_keep_their_rules() {
    let mut members = list(1..=3);
    let change = |kind, node, incarnation| ConfChange { kind, member: MemberId::new(node, incarnation) };
    assert!(members.objection(change(ConfChangeKind::Remove, 1, 1)).is_some(), "three stay");
    assert!(members.objection(change(ConfChangeKind::AddLearner, 2, 1)).is_some(), "that incarnation was in");
    assert!(members.objection(change(ConfChangeKind::Promote, 4, 1)).is_some(), "not a learner");
    assert!(members.objection(change(ConfChangeKind::AddLearner, 2, 2)).is_none());
    members.learners.push(MemberId::new(2, 2));
    assert!(members.objection(change(ConfChangeKind::Promote, 2, 2)).is_none());
    assert!(list(1..=7).objection(change(ConfChangeKind::Promote, 8, 1)).is_some());
}

#[test]
fn settings_out_of_range_are_named() {
    let timing = Timing { election_ticks: 5, heartbeat_ticks: 2, ..Timing::default() };
    let wrong = ConfigError::OutOfRange { what: "election_ticks", value: 5, low: 6, high: 100 };
    assert_eq!(timing.check(), Err(wrong));
    let config =
        |founders| Config { member: member(1), founders, contacts: vec![], timing: Timing::default() };
    assert_eq!(config(vec![member(1), member(2)]).check(), Err(ConfigError::Founders(2)));
    assert_eq!(
        config(vec![member(1), member(2), MemberId::new(2, 2)]).check(),
        Err(ConfigError::Founders(3))
    );
    assert_eq!(config(vec![member(1), member(0), member(2)]).check(), Err(ConfigError::Name));
    assert_eq!(config(vec![]).check(), Ok(()));
}

/// A council of three in which all is well, two seconds on.
fn calm() -> (Simulation<ProposalRecorder>, MemberId, MemberId, MemberId) {
    let mut world = Simulation::new(Plan { fault_every: TimeDelta::ZERO, ..Plan::honest(3) }, 5, |_| {
        ProposalRecorder::default()
    });
    world.run_until(Timestamp::from_whole_secs(3));
    world.heal();
    world.proposing = false;
    world.run_until(Timestamp::from_whole_secs(4));
    let leader = world.leader().unwrap();
    let others: Vec<MemberId> = (1..=3).map(member).filter(|&other| other != leader).collect();
    (world, leader, others[0], others[1])
}

fn council(world: &mut Simulation<ProposalRecorder>, id: MemberId) -> &mut sprucelink_consensus::Node {
    world.host_mut(id).council.as_mut().unwrap()
}

/// What the floors alone don't cover: a leader that counts what a member acknowledged before it started anew.
#[test]
fn a_leader_forgets_what_was_acknowledged_before_a_start() {
    let (mut world, leader, teller, restarted) = calm();
    let now = world.now() + world.host(leader).offset;
    let council = council(&mut world, leader);
    let matched = |council: &sprucelink_consensus::Node| {
        council.progress().into_iter().find(|(id, _)| *id == restarted).map(|(_, index)| index)
    };
    assert!(matched(council).unwrap() > 1);
    let boots = vec![Boot { member: restarted.raw(), boot: 1000, nonce: 7 }];
    let (from, to) = (teller.raw(), leader.raw());
    // Any frame tells it; this one is a hello that itself asks for nothing new.
    let body = Some(Body::RejoinRequest(RejoinRequest { nonce: 1, term: 1 }));
    let frame = Frame(Envelope { version: 1, from, to, boot: 1, boots, body, ..Envelope::default() });
    council.step(now, teller, frame);
    assert_eq!(council.role(), Some(Role::Leader));
    assert_eq!(matched(council), Some(0));
}

#[test]
fn a_leader_that_was_stopped_steps_down_before_it_does_anything() {
    let (mut world, leader, ..) = calm();
    let offset = world.host(leader).offset;
    let council = council(&mut world, leader);
    council.tick(Timestamp::ZERO + offset + TimeDelta::from_whole_secs(4));
    assert_eq!(council.leader(), Some(leader));
    council.tick(Timestamp::ZERO + offset + TimeDelta::from_whole_secs(9));
    assert_eq!(council.leader(), None);
    let ready = council.ready().unwrap();
    assert!(ready.alarms.iter().any(|alarm| matches!(alarm, Alarm::LeaderPaused { .. })));
    let id = ProposalId { origin: 1, sequence: 1 };
    assert_eq!(council.propose(vec![1], id), Err(ProposeError::NotLeader { leader: None }));
}

#[test]
fn commands_say_why_not() {
    let (mut world, leader, other, _) = calm();
    let id = |sequence| ProposalId { origin: 9, sequence };
    let council_of = council(&mut world, other);
    assert_eq!(council_of.add_learner(member(9)), Err(MemberError::NotLeader { leader: Some(leader) }));
    assert_eq!(council_of.propose(vec![0; 65_537], id(0)), Err(ProposeError::TooLarge));
    let council = council(&mut world, leader);
    assert!(matches!(council.remove(leader), Err(MemberError::Refused(_))));
    assert!(matches!(council.remove(other), Err(MemberError::Refused(_))), "three stay");
    assert!(matches!(council.transfer(member(9)), Err(MemberError::Refused(_))));
    assert_eq!(council.add_learner(member(9)), Ok(()));
    assert_eq!(council.add_learner(member(8)), Err(MemberError::UnderWay));
    assert_eq!(council.snapshot_taken(1 << 30, vec![]), Err(SnapshotError::Index));
    assert_eq!(council.snapshot_taken(2, vec![0; (4 << 20) + 1]), Err(SnapshotError::TooLarge));
    for sequence in 1..=256 {
        assert_eq!(council.propose(vec![1], id(sequence)), Ok(()));
    }
    assert_eq!(council.propose(vec![1], id(1)), Err(ProposeError::InHand));
    assert_eq!(council.propose(vec![1], id(257)), Err(ProposeError::TooMany));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Against a plain set: first times are told as such, repeats never, whatever the order within the window.
    #[test]
    fn repeats_are_told(steps in proptest::collection::vec((0u64..3, 0u64..400), 1..200), jump in 1u64..2000) {
        let (mut repeats, mut seen) = (ProposalDedup::default(), BTreeSet::new());
        for (at, (origin, sequence)) in steps.into_iter().enumerate() {
            let id = ProposalId { origin, sequence: sequence + (at as u64 / 100) * jump };
            let verdict = repeats.first(id);
            prop_assert_eq!(verdict == Dedup::New, verdict != Dedup::TooOld && !seen.contains(&id));
            if verdict == Dedup::New {
                seen.insert(id);
            }
            if verdict == Dedup::TooOld {
                prop_assert!(seen.iter().any(|held| held.origin == origin && held.sequence >= id.sequence + 512));
            }
            repeats = ProposalDedup::decode(&repeats.encode()).unwrap();
        }
    }
}
