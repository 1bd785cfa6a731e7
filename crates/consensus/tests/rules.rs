//! Tests of single rules of rejoining, membership, configuration and commands.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_consensus::rejoin::{LogFloor, RejoinQuorum, RejoinResponse};
use sprucelink_consensus::sim::{Cluster, Plan, ProposalRecorder, Simulation};
use sprucelink_consensus::wire::{envelope::Body, Boot, Envelope, RejoinRequest};
use sprucelink_consensus::{
    Alarm, ConfChange, ConfChangeError, ConfChangeKind, ConfChangeViolation, Config, ConfigError, Dedup,
    Frame, LeadershipError, LogPosition, MemberId, Membership, Node, ProposalDedup, ProposalId, ProposeError,
    Role, SnapshotError, TimeDelta, Timestamp, Timing, VersionedMembership,
};
use std::collections::BTreeSet;

fn member(node: u32) -> MemberId {
    MemberId::new(node, 1)
}

fn membership(nodes: std::ops::RangeInclusive<u32>) -> Membership {
    let voters: Vec<MemberId> = nodes.map(member).collect();
    let incarnations = voters.iter().map(|voter| (voter.node, 1)).collect();
    Membership { voters, learners: vec![], incarnations }
}

fn seconds(seconds: i64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

fn rejoin_response(term: u64, last: (u64, u64), is_established: bool) -> RejoinResponse {
    RejoinResponse {
        term,
        last_position: LogPosition::new(last.0, last.1),
        floors: vec![],
        is_established,
        is_quarantined: false,
        membership: VersionedMembership { index: 1, membership: membership(1..=5) },
    }
}

fn rejoin_quorum() -> RejoinQuorum {
    let own = VersionedMembership { index: 1, membership: membership(1..=5) };
    RejoinQuorum::new(member(1), own, Timestamp::ZERO, TimeDelta::from_secs(10))
}

#[test]
fn member_rejoins_with_the_floors_of_a_majority_of_the_others() {
    let mut quorum = rejoin_quorum();
    assert_eq!(quorum.request_targets(), [2, 3, 4, 5].map(member));
    quorum.add_response(member(2), rejoin_response(7, (6, 40), true));
    quorum.add_response(member(3), rejoin_response(9, (5, 90), true));
    assert_eq!(quorum.outcome(seconds(1)), None, "two of four others are not a majority");
    quorum.add_response(member(9), rejoin_response(20, (20, 20), true));
    assert_eq!(quorum.outcome(seconds(1)), None, "the response of a non-member doesn't count");
    quorum.add_response(member(4), rejoin_response(8, (6, 30), true));
    let outcome = quorum.outcome(seconds(1)).unwrap();
    assert!(!outcome.is_weak);
    assert_eq!(
        (outcome.floors.last_term_without_vote, outcome.floors.furthest_log_position()),
        (9, LogPosition::new(6, 40))
    );
    quorum.discard_response(member(4));
    assert_eq!(quorum.outcome(seconds(1)), None, "the response of a restarted member no longer counts");
}

#[test]
fn responses_of_rejoining_members_count_late_or_when_no_majority_is_established() {
    let mut quorum = rejoin_quorum();
    for node in 2..=4 {
        quorum.add_response(member(node), rejoin_response(3, (3, 3), node == 2));
    }
    // Besides this member one member is established, two are rejoining and one has not responded. At most two
    // can be established, which is not a majority of the four, so there is no wait.
    assert!(quorum.outcome(Timestamp::ZERO).is_some_and(|outcome| outcome.is_weak));
    quorum.add_response(member(3), rejoin_response(3, (3, 3), true));
    assert_eq!(quorum.outcome(seconds(9)), None, "the fifth member may be established");
    assert!(quorum.outcome(seconds(10)).is_some_and(|outcome| outcome.is_weak));
}

#[test]
fn newer_membership_counts_and_a_lost_member_sets_no_floor() {
    let mut quorum = rejoin_quorum();
    let newer = |last| RejoinResponse {
        membership: VersionedMembership { index: 50, membership: membership(1..=3) },
        ..rejoin_response(4, last, true)
    };
    quorum.add_response(member(2), newer((4, 60)));
    assert_eq!(quorum.outcome(Timestamp::ZERO), None);
    let floor = LogFloor { member: member(2), last_position: LogPosition::new(4, 99) };
    quorum.add_response(member(3), RejoinResponse { floors: vec![floor], ..newer((4, 61)) });
    assert_eq!(
        quorum.outcome(Timestamp::ZERO).unwrap().floors.furthest_log_position(),
        LogPosition::new(4, 99),
        "the last entry that member 2 reported to member 3, though 2 has lost it since"
    );
    quorum.declare_lost(member(2));
    let outcome = quorum.outcome(Timestamp::ZERO).unwrap();
    assert!(outcome.is_weak);
    assert_eq!(outcome.floors.furthest_log_position(), LogPosition::new(4, 61));
}

#[test]
fn membership_change_that_breaks_a_rule_is_rejected() {
    let mut members = membership(1..=3);
    let change = |kind, node, incarnation| ConfChange { kind, member: MemberId::new(node, incarnation) };
    let check =
        |members: &Membership, kind, node, incarnation| members.check(change(kind, node, incarnation));
    use ConfChangeKind::{AddLearner, Promote, Remove};
    assert_eq!(check(&members, Remove, 1, 1), Err(ConfChangeViolation::TooFewVoters));
    assert_eq!(check(&members, AddLearner, 2, 1), Err(ConfChangeViolation::IncarnationReused));
    assert_eq!(check(&members, Promote, 4, 1), Err(ConfChangeViolation::NotALearner));
    assert_eq!(check(&members, AddLearner, 2, 2), Ok(()));
    members.learners.push(MemberId::new(2, 2));
    assert_eq!(check(&members, Promote, 2, 2), Ok(()));
    assert_eq!(check(&membership(1..=7), Promote, 8, 1), Err(ConfChangeViolation::NotALearner));
    let mut full = membership(1..=7);
    full.learners.push(member(8));
    assert_eq!(check(&full, Promote, 8, 1), Err(ConfChangeViolation::TooManyVoters));
}

#[test]
fn setting_out_of_its_range_is_named() {
    let timing = Timing { election_ticks: 5, heartbeat_ticks: 2, ..Timing::default() };
    let error = ConfigError::OutOfRange { setting: "election_ticks", value: 5, low: 6, high: 100 };
    assert_eq!(timing.check(), Err(error));
    let config =
        |founders| Config { member: member(1), founders, contacts: vec![], timing: Timing::default() };
    let invalid_founders = |count| Err(ConfigError::InvalidFounders { count });
    assert_eq!(config(vec![member(1), member(2)]).check(), invalid_founders(2));
    assert_eq!(config(vec![member(1), member(2), MemberId::new(2, 2)]).check(), invalid_founders(3));
    assert_eq!(config(vec![member(1), member(0), member(2)]).check(), Err(ConfigError::InvalidMember));
    assert_eq!(config(vec![]).check(), Ok(()));
}

/// A group of three members after four seconds without faults, the last second without proposals.
struct HealthyGroup {
    cluster: Cluster<ProposalRecorder>,
    leader: MemberId,
    followers: [MemberId; 2],
}

impl HealthyGroup {
    fn new() -> Self {
        let plan = Plan { fault_every: TimeDelta::ZERO, ..Plan::correct_disks(3) };
        let mut simulation = Simulation::new(plan, 5, |_| ProposalRecorder::default());
        simulation.run_until(seconds(3));
        simulation.heal();
        simulation.is_proposing = false;
        simulation.run_until(seconds(4));
        let cluster = simulation.cluster;
        let leader = cluster.leader().unwrap();
        let followers: Vec<MemberId> = (1..=3).map(member).filter(|&other| other != leader).collect();
        HealthyGroup { cluster, leader, followers: [followers[0], followers[1]] }
    }

    fn node(&mut self, id: MemberId) -> &mut Node {
        self.cluster.host_mut(id).node.as_mut().unwrap()
    }
}

/// Guards against a leader that still counts acknowledgements that a member sent before its restart. Floors
/// alone don't prevent this.
#[test]
fn leader_discards_acknowledgements_of_a_member_from_before_its_restart() {
    let mut group = HealthyGroup::new();
    let leader = group.leader;
    let [sender, restarted] = group.followers;
    let now = group.cluster.now() + group.cluster.host(leader).clock_offset;
    let node = group.node(leader);
    let matched = |node: &Node| {
        node.progress()
            .into_iter()
            .find(|progress| progress.member == restarted)
            .map(|progress| progress.matched)
    };
    assert!(matched(node).unwrap() > 1);
    let boots = vec![Boot { member: restarted.raw(), boot: 1000, nonce: 7 }];
    // Every frame contains boots. This one is a rejoin request, so its body changes nothing at the leader.
    let frame = Frame(Envelope {
        version: 1,
        from: sender.raw(),
        to: leader.raw(),
        boot: 1,
        boots,
        body: Some(Body::RejoinRequest(RejoinRequest { nonce: 1, term: 1 })),
        ..Envelope::default()
    });
    node.step(now, sender, frame);
    assert_eq!(node.role(), Some(Role::Leader));
    assert_eq!(matched(node), Some(0));
}

#[test]
fn leader_that_was_paused_steps_down_before_any_other_action() {
    let mut group = HealthyGroup::new();
    let leader = group.leader;
    let offset = group.cluster.host(leader).clock_offset;
    let node = group.node(leader);
    node.tick(seconds(4) + offset);
    assert_eq!(node.leader(), Some(leader));
    node.tick(seconds(9) + offset);
    assert_eq!(node.leader(), None);
    let ready = node.ready().unwrap();
    assert!(ready.alarms.iter().any(|alarm| matches!(alarm, Alarm::LeaderPaused { .. })));
    let id = ProposalId { origin: 1, sequence: 1 };
    assert_eq!(node.propose(vec![1], id), Err(ProposeError::NotLeader { leader: None }));
}

#[test]
fn invalid_command_is_rejected_with_the_reason() {
    let mut group = HealthyGroup::new();
    let leader = group.leader;
    let follower = group.followers[0];
    let id = |sequence| ProposalId { origin: 9, sequence };
    let node = group.node(follower);
    assert_eq!(node.add_learner(member(9)), Err(ConfChangeError::NotLeader { leader: Some(leader) }));
    assert_eq!(node.propose(vec![0; 65_537], id(0)), Err(ProposeError::TooLarge));
    let node = group.node(leader);
    assert_eq!(node.remove(leader), Err(ConfChangeError::RemovesLeader));
    let too_few_voters = ConfChangeError::Invalid(ConfChangeViolation::TooFewVoters);
    assert_eq!(node.remove(follower), Err(too_few_voters));
    assert_eq!(node.transfer_leadership(member(9)), Err(LeadershipError::NotAnotherVoter));
    assert_eq!(node.add_learner(member(9)), Ok(()));
    assert_eq!(node.add_learner(member(8)), Err(ConfChangeError::Pending));
    assert_eq!(node.snapshot_taken(1 << 30, vec![]), Err(SnapshotError::InvalidIndex { index: 1 << 30 }));
    assert_eq!(node.snapshot_taken(2, vec![0; (4 << 20) + 1]), Err(SnapshotError::TooLarge));
    for sequence in 1..=256 {
        assert_eq!(node.propose(vec![1], id(sequence)), Ok(()));
    }
    assert_eq!(node.propose(vec![1], id(1)), Err(ProposeError::AlreadyPending));
    assert_eq!(node.propose(vec![1], id(257)), Err(ProposeError::TooManyPending));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Compared with a plain set as the model: in any order within the window, new proposals are recognised
    /// and duplicates are dropped.
    #[test]
    fn duplicate_proposal_is_recognised(steps in proptest::collection::vec((0u64..3, 0u64..400), 1..200), jump in 1u64..2000) {
        let mut dedup = ProposalDedup::default();
        let mut recorded_ids: BTreeSet<ProposalId> = BTreeSet::new();
        for (step, (origin, sequence)) in steps.into_iter().enumerate() {
            let id = ProposalId { origin, sequence: sequence + (step as u64 / 100) * jump };
            let recorded = dedup.record(id);
            prop_assert_eq!(recorded == Dedup::New, recorded != Dedup::TooOld && !recorded_ids.contains(&id));
            if recorded == Dedup::New {
                recorded_ids.insert(id);
            }
            if recorded == Dedup::TooOld {
                prop_assert!(recorded_ids.iter().any(|other| other.origin == origin && other.sequence >= id.sequence + 512));
            }
            dedup = ProposalDedup::decode(&dedup.encode()).unwrap();
        }
    }
}
