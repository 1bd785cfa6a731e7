//! Members in virtual time: what loopback cannot reproduce. Each fault's test names the part of the protocol that handles
//! it, and fails without it.
mod common;

use common::{DirectedLoss, SimulatedNetwork, USUAL_DELAY_MICROS};
use sprucelink_membership::GossipPayload;
use sprucelink_membership::MembershipEventKind;
use sprucelink_membership::ProtocolConfig;
use sprucelink_membership::Timestamp;

fn converged(members: usize, seed: u64) -> SimulatedNetwork {
    let mut network = SimulatedNetwork::new(members, ProtocolConfig::default(), seed);
    network.uses_codec = true;
    assert!(network.converge(60).is_some(), "views of {members} members converge");
    network
}

#[test]
fn flood_of_joins_converges() {
    let mut network = SimulatedNetwork::new(10, ProtocolConfig::default(), 1);
    network.uses_codec = true;
    network.converge(60).expect("ten converge");
    let mut network = SimulatedNetwork::new(110, ProtocolConfig::default(), 2);
    let took = network.converge(60).expect("a hundred more at once converge, too");
    assert!(took < 30.0, "{took} s");
    assert_eq!(network.event_count(MembershipEventKind::Died, Timestamp::ZERO), 0);
}

/// A crash is reported by all within the suspicion's duration and some rounds of gossip.
#[test]
fn crash_is_detected_by_all_and_nobody_else_is_declared_dead() {
    let mut network = converged(20, 3);
    let since = network.now;
    network.crash(7);
    network.run_for(60);
    assert_eq!(network.events_on("n7", MembershipEventKind::Died, since).len(), 19);
    assert_eq!(network.event_count(MembershipEventKind::Died, since), 19, "nobody else died");
    assert!(network.views_agree());
}

/// With one in ten datagrams lost nobody is declared dead in ten minutes: indirect probes and refutation. With neither (no
/// helpers, suspicions that expire at once) members are declared dead all the time.
#[test]
fn nobody_is_declared_dead_at_ten_per_cent_loss_except_without_indirect_probes_and_suspicion() {
    let mut network = converged(30, 4);
    let since = network.now;
    network.loss = 0.1;
    network.run_for(600);
    assert_eq!(network.event_count(MembershipEventKind::Died, since), 0);
    let bare = ProtocolConfig {
        indirect_probes: 0,
        suspicion_multiplier: 1.0,
        max_suspicion_multiplier: 1.0,
        max_local_health: 0,
        ..ProtocolConfig::default()
    };
    let bare = ProtocolConfig { retransmit_multiplier: 1.0, gossip_fanout: 0, ..bare };
    let mut network = SimulatedNetwork::new(30, bare, 4);
    network.converge(120);
    let since = network.now;
    network.loss = 0.1;
    network.run_for(600);
    assert!(
        network.event_count(MembershipEventKind::Died, since) > 0,
        "without them somebody is declared dead"
    );
}

/// Thirty per cent lost: members may be suspected, and refute; those declared dead come back.
#[test]
fn suspicions_at_thirty_per_cent_loss_are_refuted_and_views_converge_afterwards() {
    let mut network = converged(30, 5);
    let since = network.now;
    network.loss = 0.3;
    network.run_for(300);
    assert!(
        network.event_count(MembershipEventKind::Suspected, since) > 0
            && network.event_count(MembershipEventKind::Refuted, since) > 0
    );
    network.loss = 0.0;
    network.converge(60).expect("one view again");
}

/// All datagrams lost in one direction: the two cannot probe each other, others can on their behalf.
#[test]
fn one_way_loss_between_two_members_is_bridged_by_indirect_probes() {
    let mut network = converged(12, 6);
    let since = network.now;
    network.directed_loss = Some(DirectedLoss { from: 2, to: 3, fraction: 1.0 });
    network.run_for(300);
    assert_eq!(network.event_count(MembershipEventKind::Died, since), 0);
    let mut network =
        SimulatedNetwork::new(12, ProtocolConfig { indirect_probes: 0, ..ProtocolConfig::default() }, 6);
    network.converge(120).expect("converged");
    let since = network.now;
    network.directed_loss = Some(DirectedLoss { from: 2, to: 3, fraction: 1.0 });
    network.run_for(300);
    assert!(
        network.event_count(MembershipEventKind::Suspected, since) > 0,
        "without indirect probes it is suspected again and again"
    );
}

/// Members whose answers are slow for a while are probed with longer time-outs, and none is declared dead.
#[test]
fn nobody_is_declared_dead_in_delay_spikes() {
    let mut network = converged(30, 7);
    let since = network.now;
    for _ in 0..5 {
        network.delay_micros = 400_000..=900_000;
        network.run_for(5);
        network.delay_micros = USUAL_DELAY_MICROS;
        network.run_for(20);
    }
    assert_eq!(network.event_count(MembershipEventKind::Died, since), 0);
}

/// Two thirds and one third partitioned for two minutes: each side declares the other dead, and afterwards views converge
/// without a restart. Without comparisons with seeds and dead members they never do.
#[test]
fn views_converge_after_a_partition() {
    let heal = |config: ProtocolConfig| {
        let mut network = SimulatedNetwork::new(30, config, 8);
        network.uses_codec = true;
        network.converge(120).expect("converged");
        network.partition = Some((0..30).map(|i| i >= 20).collect());
        network.run_for(120);
        let sizes: Vec<usize> = network.nodes.iter().flatten().map(|node| node.live_count()).collect();
        assert!(
            sizes[..20].iter().all(|size| *size == 20) && sizes[20..].iter().all(|size| *size == 10),
            "{sizes:?}"
        );
        network.partition = None;
        network.converge(90)
    };
    let took = heal(ProtocolConfig::default()).expect("one view again");
    assert!(took < 60.0, "{took} s");
    assert_eq!(
        heal(ProtocolConfig { anti_entropy_interval_ms: 600_000.0, ..ProtocolConfig::default() }),
        None,
        "without anti-entropy views never converge"
    );
}

/// A member stopped for longer than a suspicion lasts is declared dead; when it resumes it declares nobody dead, refutes,
/// and all agree again.
#[test]
fn stopped_member_resumes_and_refutes() {
    let mut network = converged(20, 9);
    let since = network.now;
    network.is_stopped[4] = true;
    network.run_for(60);
    assert_eq!(network.events_on("n4", MembershipEventKind::Died, since).len(), 19);
    let back = network.now;
    network.resume(4);
    network.converge(60).expect("one view again");
    assert_eq!(
        network.event_count(MembershipEventKind::Died, back),
        0,
        "it declared nobody dead for its own stop"
    );
    assert!(!network.events_on("n4", MembershipEventKind::Refuted, back).is_empty());
    assert_eq!(network.nodes[4].as_ref().expect("it is running").counters().stops, 1);
}

/// A new process under a crashed member's name replaces it, even before the crash was suspected.
#[test]
fn later_process_takes_over_a_name() {
    let mut network = converged(20, 10);
    let since = network.now;
    network.crash(5);
    network.run_for(1);
    network.start(5);
    network.converge(60).expect("one view");
    assert_eq!(network.events_on("n5", MembershipEventKind::Restarted, since).len(), 19);
    network.run_for(60);
    assert_eq!(
        network.event_count(MembershipEventKind::Died, since),
        0,
        "updates on the old process apply to nobody"
    );
}

#[test]
fn member_that_left_is_not_suspected() {
    let mut network = converged(20, 11);
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

/// Payloads reach all, the newest wins, and a dead member's payload is removed.
#[test]
fn payloads_reach_all_and_are_removed_with_their_member() {
    let mut network = converged(20, 12);
    network.loss = 0.1;
    for (i, node) in network.nodes.iter_mut().enumerate() {
        let node = node.as_mut().expect("it is running");
        node.set_payload(GossipPayload { admitted_requests: 1, ..GossipPayload::default() });
        node.set_payload(GossipPayload {
            admitted_requests: i as u32,
            retries: 2,
            ..GossipPayload::default()
        });
    }
    network.run_for(20);
    let payload_count = |network: &SimulatedNetwork, i: usize| {
        network.nodes[i].as_ref().expect("it is running").payloads().len()
    };
    let complete = (0..20).filter(|i| payload_count(&network, *i) == 19).count();
    assert!(
        complete >= 18,
        "{complete} of 20 have all: an update may be lost with its last copy, later versions replace it"
    );
    let at3 = network.nodes[3].as_ref().expect("it is running").payloads();
    let is_newest =
        |payload: &GossipPayload| (payload.admitted_requests, payload.retries, payload.version) == (9, 2, 2);
    assert!(at3.get("n9").is_none_or(|stored| is_newest(&stored.payload)));
    network.loss = 0.0;
    network.crash(9);
    network.run_for(60);
    assert!((0..20).filter(|i| *i != 9).all(|i| network.nodes[i]
        .as_ref()
        .expect("it is running")
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
