//! Simulations of members in virtual time, with faults that loopback cannot reproduce. Each test of a fault
//! names the part of the protocol that handles it, and fails without that part.
mod common;

use common::{DirectedLoss, SimulatedNetwork, DEFAULT_DELAY_MICROS};
use sprucelink_membership::GossipPayload;
use sprucelink_membership::MembershipEventKind;
use sprucelink_membership::ProtocolConfig;
use sprucelink_membership::Timestamp;

fn converged_network(members: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(members, ProtocolConfig::default(), seed);
    network.uses_codec = true;
    assert!(network.converge(60).is_some(), "views of {members} members converge");
    network
}

#[test]
fn flood_of_joins_converges() {
    let mut network = SimulatedNetwork::new(10, ProtocolConfig::default(), 1);
    network.uses_codec = true;
    network.converge(60).expect("ten members converge");
    let mut network = SimulatedNetwork::new(110, ProtocolConfig::default(), 2);
    let elapsed_s = network.converge(60).expect("110 members that join at once converge");
    assert!(elapsed_s < 30.0, "{elapsed_s} s");
    assert_eq!(network.event_count(MembershipEventKind::Died, Timestamp::ZERO), 0);
}

/// All members report a crash within the suspicion's duration and some rounds of gossip.
#[test]
fn crash_is_detected_by_all_and_no_other_member_is_declared_dead() {
    let mut network = converged_network(20, 3);
    let since = network.now;
    network.crash(7);
    network.run_for(60);
    assert_eq!(network.events_on("n7", MembershipEventKind::Died, since).len(), 19);
    assert_eq!(
        network.event_count(MembershipEventKind::Died, since),
        19,
        "only the crashed member was declared dead"
    );
    assert!(network.views_agree());
}

/// With 10% datagram loss no member is declared dead in ten minutes, because of indirect probes and
/// refutation. Without both (no helpers, and suspicions that expire at once) members are often declared dead.
#[test]
fn members_are_declared_dead_at_ten_per_cent_loss_only_without_indirect_probes_and_suspicion() {
    let mut network = converged_network(30, 4);
    let since = network.now;
    network.loss = 0.1;
    network.run_for(600);
    assert_eq!(network.event_count(MembershipEventKind::Died, since), 0);
    let unprotected = ProtocolConfig {
        indirect_probes: 0,
        suspicion_multiplier: 1.0,
        max_suspicion_multiplier: 1.0,
        max_local_health: 0,
        ..ProtocolConfig::default()
    };
    let unprotected = ProtocolConfig { retransmit_multiplier: 1.0, gossip_fanout: 0, ..unprotected };
    let mut network = SimulatedNetwork::new(30, unprotected, 4);
    network.converge(120);
    let since = network.now;
    network.loss = 0.1;
    network.run_for(600);
    assert!(
        network.event_count(MembershipEventKind::Died, since) > 0,
        "without indirect probes and suspicion, members are declared dead"
    );
}

/// With 30% datagram loss members may be suspected and refute; members that were declared dead rejoin.
#[test]
fn suspicions_at_thirty_per_cent_loss_are_refuted_and_views_converge_afterwards() {
    let mut network = converged_network(30, 5);
    let since = network.now;
    network.loss = 0.3;
    network.run_for(300);
    assert!(
        network.event_count(MembershipEventKind::Suspected, since) > 0
            && network.event_count(MembershipEventKind::Refuted, since) > 0
    );
    network.loss = 0.0;
    network.converge(60).expect("views converge again");
}

/// All datagrams in one direction are lost: the two members cannot probe each other, but others can on their
/// behalf.
#[test]
fn one_way_loss_between_two_members_is_bridged_by_indirect_probes() {
    let mut network = converged_network(12, 6);
    let since = network.now;
    network.directed_loss = Some(DirectedLoss { from: 2, to: 3, fraction: 1.0 });
    network.run_for(300);
    assert_eq!(network.event_count(MembershipEventKind::Died, since), 0);
    let mut network =
        SimulatedNetwork::new(12, ProtocolConfig { indirect_probes: 0, ..ProtocolConfig::default() }, 6);
    network.converge(120).expect("views converge");
    let since = network.now;
    network.directed_loss = Some(DirectedLoss { from: 2, to: 3, fraction: 1.0 });
    network.run_for(300);
    assert!(
        network.event_count(MembershipEventKind::Suspected, since) > 0,
        "without indirect probes the member is suspected"
    );
}

/// During delay spikes members probe with longer time-outs, and none is declared dead.
#[test]
fn no_member_is_declared_dead_in_delay_spikes() {
    let mut network = converged_network(30, 7);
    let since = network.now;
    for _ in 0..5 {
        network.delay_micros = 400_000..=900_000;
        network.run_for(5);
        network.delay_micros = DEFAULT_DELAY_MICROS;
        network.run_for(20);
    }
    assert_eq!(network.event_count(MembershipEventKind::Died, since), 0);
}

/// A partition into two thirds and one third lasts two minutes: each side declares the other dead, and
/// afterwards views converge without a restart. Without comparisons with seeds and dead members they never
/// converge.
#[test]
fn views_converge_after_a_partition() {
    let converge_after_partition = |config: ProtocolConfig| {
        let mut network = SimulatedNetwork::new(30, config, 8);
        network.uses_codec = true;
        network.converge(120).expect("views converge");
        network.partition = Some((0..30).map(|i| i >= 20).collect());
        network.run_for(120);
        let live_counts: Vec<usize> = network.nodes.iter().flatten().map(|node| node.live_count()).collect();
        assert!(
            live_counts[..20].iter().all(|count| *count == 20)
                && live_counts[20..].iter().all(|count| *count == 10),
            "{live_counts:?}"
        );
        network.partition = None;
        network.converge(90)
    };
    let elapsed_s = converge_after_partition(ProtocolConfig::default()).expect("views converge again");
    assert!(elapsed_s < 60.0, "{elapsed_s} s");
    assert_eq!(
        converge_after_partition(ProtocolConfig {
            anti_entropy_interval_ms: 600_000.0,
            ..ProtocolConfig::default()
        }),
        None,
        "without anti-entropy views never converge"
    );
}

/// A member stopped for longer than a suspicion lasts is declared dead. When it resumes it declares no other
/// member dead, refutes its own death, and all views agree again.
#[test]
fn stopped_member_resumes_and_refutes() {
    let mut network = converged_network(20, 9);
    let since = network.now;
    network.is_stopped[4] = true;
    network.run_for(60);
    assert_eq!(network.events_on("n4", MembershipEventKind::Died, since).len(), 19);
    let resumed_at = network.now;
    network.resume(4);
    network.converge(60).expect("views converge again");
    assert_eq!(
        network.event_count(MembershipEventKind::Died, resumed_at),
        0,
        "the resumed member declares no other member dead"
    );
    assert!(!network.events_on("n4", MembershipEventKind::Refuted, resumed_at).is_empty());
    assert_eq!(network.nodes[4].as_ref().expect("the member runs").counters().stops, 1);
}

/// A new process under a crashed member's name replaces the old process, even before the crash is suspected.
#[test]
fn later_process_replaces_the_earlier_one_under_the_same_name() {
    let mut network = converged_network(20, 10);
    let since = network.now;
    network.crash(5);
    network.run_for(1);
    network.start(5);
    network.converge(60).expect("views converge");
    assert_eq!(network.events_on("n5", MembershipEventKind::Restarted, since).len(), 19);
    network.run_for(60);
    assert_eq!(
        network.event_count(MembershipEventKind::Died, since),
        0,
        "updates about the old process are ignored"
    );
}

#[test]
fn member_that_left_is_not_suspected() {
    let mut network = converged_network(20, 11);
    let since = network.now;
    if let Some(node) = &mut network.nodes[6] {
        node.leave();
    }
    network.run_for(3);
    network.crash(6);
    network.run_for(60);
    assert_eq!(
        (
            network.event_count(MembershipEventKind::Died, since),
            network.events_on("n6", MembershipEventKind::Left, since).len()
        ),
        (0, 19)
    );
}

/// Payloads reach all members, the newest version is stored, and a dead member's payload is removed.
#[test]
fn payloads_reach_all_members_and_are_removed_with_their_member() {
    let mut network = converged_network(20, 12);
    network.loss = 0.1;
    for (i, node) in network.nodes.iter_mut().enumerate() {
        let node = node.as_mut().expect("the member runs");
        node.set_payload(GossipPayload { admitted_requests: 1, ..GossipPayload::default() });
        node.set_payload(GossipPayload {
            admitted_requests: i as u32,
            retries: 2,
            ..GossipPayload::default()
        });
    }
    network.run_for(20);
    let payload_count = |network: &SimulatedNetwork, i: usize| {
        network.nodes[i].as_ref().expect("the member runs").payloads().len()
    };
    let complete_count = (0..20).filter(|i| payload_count(&network, *i) == 19).count();
    assert!(
        complete_count >= 18,
        "{complete_count} of 20 members have all payloads: the last transmission of an update may be lost, \
         and a later version replaces it"
    );
    let payloads_of_n3 = network.nodes[3].as_ref().expect("the member runs").payloads();
    let is_newest =
        |payload: &GossipPayload| (payload.admitted_requests, payload.retries, payload.version) == (9, 2, 2);
    assert!(payloads_of_n3.get("n9").is_none_or(|stored| is_newest(&stored.payload)));
    network.loss = 0.0;
    network.crash(9);
    network.run_for(60);
    assert!((0..20).filter(|i| *i != 9).all(|i| network.nodes[i]
        .as_ref()
        .expect("the member runs")
        .payloads()
        .get("n9")
        .is_none()));
}

#[test]
fn same_seed_gives_the_same_run() {
    let run = || {
        let mut network = SimulatedNetwork::new(15, ProtocolConfig::default(), 77);
        network.loss = 0.2;
        network.run(Timestamp::from_secs(60));
        (network.bytes, network.messages, network.events.len())
    };
    assert_eq!(run(), run());
}
