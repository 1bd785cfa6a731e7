//! Members in virtual time: what loopback cannot show the same way twice. Each fault's test names the part that
//! handles it, and fails without it.
mod common;

use common::{Net, S};
use sprucelink_membership::facts::Facts;
use sprucelink_membership::swim::What;
use sprucelink_membership::terms::Protocol;
use sprucelink_membership::{TimeDelta, Timestamp};

fn settled(n: usize, seed: u64) -> Net {
    let mut net = Net::new(n, Protocol::default(), seed);
    net.coded = true;
    assert!(net.settle(60).is_some(), "{n} members settle");
    net
}

fn after(net: &Net, s: i64) -> Timestamp {
    net.now + TimeDelta::from_micros(s * S)
}

#[test]
fn a_flood_of_joins_settles() {
    let mut net = Net::new(10, Protocol::default(), 1);
    net.coded = true;
    net.settle(60).expect("ten settle");
    let mut net = Net::new(110, Protocol::default(), 2);
    let took = net.settle(60).expect("a hundred more at once settle, too");
    assert!(took < 30.0, "{took} s");
    assert_eq!(net.count(What::Died, Timestamp::ZERO), 0);
}

/// A crash is told of by all within the suspicion's time and some rounds of news.
#[test]
fn a_crash_is_seen_by_all_and_nobody_else_is_blamed() {
    let mut net = settled(20, 3);
    let since = net.now;
    net.crash(7);
    net.run(after(&net, 60));
    assert_eq!(net.told("n7", What::Died, since).len(), 19);
    assert_eq!(net.count(What::Died, since), 19, "nobody else died");
    assert!(net.agree());
}

/// With one in ten datagrams lost nobody is taken for dead in half an hour: indirect probes and refutation. The
/// same with neither (no others asked, a suspicion that ends at once) loses members all the time.
#[test]
fn ten_per_cent_loss_kills_nobody_and_would_without_indirect_probes_and_suspicion() {
    let mut net = settled(30, 4);
    let since = net.now;
    net.loss = 0.1;
    net.run(after(&net, 600));
    assert_eq!(net.count(What::Died, since), 0);
    let bare = Protocol {
        indirect: 0,
        suspicion_least: 1.0,
        suspicion_most: 1.0,
        health_most: 0,
        ..Protocol::default()
    };
    let bare = Protocol { retransmit: 1.0, fanout: 0, ..bare };
    let mut net = Net::new(30, bare, 4);
    net.settle(120);
    let since = net.now;
    net.loss = 0.1;
    net.run(after(&net, 600));
    assert!(net.count(What::Died, since) > 0, "the comparison has no ground");
}

/// Thirty per cent lost: members may be suspected, and refute; what dies comes back.
#[test]
fn thirty_per_cent_loss_is_refuted_and_settles_once_it_ends() {
    let mut net = settled(30, 5);
    let since = net.now;
    net.loss = 0.3;
    net.run(after(&net, 300));
    assert!(net.count(What::Suspected, since) > 0 && net.count(What::Refuted, since) > 0);
    net.loss = 0.0;
    net.settle(60).expect("one view again");
}

/// A way that loses all one way only: the pair cannot probe each other, others can in their stead.
#[test]
fn one_way_loss_between_two_is_bridged_by_others() {
    let mut net = settled(12, 6);
    let since = net.now;
    net.one_way = vec![(2, 3, 1.0)];
    net.run(after(&net, 300));
    assert_eq!(net.count(What::Died, since), 0);
    let mut net = Net::new(12, Protocol { indirect: 0, ..Protocol::default() }, 6);
    net.settle(120).expect("settled");
    let since = net.now;
    net.one_way = vec![(2, 3, 1.0)];
    net.run(after(&net, 300));
    assert!(net.count(What::Suspected, since) > 0, "without indirect probes it is suspected again and again");
}

/// A member whose answers are slow for a while is probed more patiently by those that see trouble, and lives.
#[test]
fn delay_spikes_kill_nobody() {
    let mut net = settled(30, 7);
    let since = net.now;
    for _ in 0..5 {
        net.delay = [400_000, 900_000];
        net.run(after(&net, 5));
        net.delay = [500, 2_000];
        net.run(after(&net, 20));
    }
    assert_eq!(net.count(What::Died, since), 0);
}

/// Two thirds and one third apart for two minutes: each side takes the other for dead, and after the healing one
/// view comes again, without anybody being restarted. Without comparisons with seeds and the dead it never does.
#[test]
fn a_partition_heals_to_one_view() {
    let heal = |terms: Protocol| {
        let mut net = Net::new(30, terms, 8);
        net.coded = true;
        net.settle(120).expect("settled");
        net.parted = Some((0..30).map(|i| i >= 20).collect());
        net.run(after(&net, 120));
        let sizes: Vec<usize> = net.nodes.iter().flatten().map(|s| s.size()).collect();
        assert!(sizes[..20].iter().all(|s| *s == 20) && sizes[20..].iter().all(|s| *s == 10), "{sizes:?}");
        net.parted = None;
        net.settle(90)
    };
    let took = heal(Protocol::default()).expect("one view again");
    assert!(took < 60.0, "{took} s");
    assert_eq!(
        heal(Protocol { rejoin_ms: 600_000.0, ..Protocol::default() }),
        None,
        "the comparison has no ground"
    );
}

/// A member stopped for longer than its suspicion is taken for dead; when it goes on it blames nobody, refutes, and
/// all agree again.
#[test]
fn a_stopped_member_comes_back_and_refutes() {
    let mut net = settled(20, 9);
    let since = net.now;
    net.stopped[4] = true;
    net.run(after(&net, 60));
    assert_eq!(net.told("n4", What::Died, since).len(), 19);
    let back = net.now;
    net.resume(4);
    net.settle(60).expect("one view again");
    assert_eq!(net.count(What::Died, back), 0, "it blamed nobody for its own sleep");
    assert!(!net.told("n4", What::Refuted, back).is_empty());
    assert_eq!(net.nodes[4].as_ref().expect("it runs").counters().stopped, 1);
}

/// A new process under a crashed member's name, before the crash was even suspected, replaces it.
#[test]
fn a_name_is_taken_over_by_a_later_life() {
    let mut net = settled(20, 10);
    let since = net.now;
    net.crash(5);
    net.run(after(&net, 1));
    net.start(5);
    net.settle(60).expect("one view");
    assert_eq!(net.told("n5", What::Restarted, since).len(), 19);
    net.run(after(&net, 60));
    assert_eq!(net.count(What::Died, since), 0, "words on the old life touch nobody");
}

#[test]
fn one_that_leaves_is_not_suspected() {
    let mut net = settled(20, 11);
    let since = net.now;
    if let Some(node) = &mut net.nodes[6] {
        node.leave();
    }
    net.run(after(&net, 3));
    net.crash(6);
    net.run(after(&net, 60));
    assert_eq!((net.count(What::Died, since), net.told("n6", What::Left, since).len()), (0, 19));
}

/// Summaries reach all, the newest wins, and what a dead member told is forgotten.
#[test]
fn summaries_reach_all_and_die_with_their_member() {
    let mut net = settled(20, 12);
    net.loss = 0.1;
    for (i, node) in net.nodes.iter_mut().enumerate() {
        let node = node.as_mut().expect("it runs");
        node.set_facts(Facts { taken: 1, ..Facts::default() });
        node.set_facts(Facts { taken: i as u32, spent: 2, ..Facts::default() });
    }
    net.run(after(&net, 20));
    let seen = |net: &Net, i: usize| net.nodes[i].as_ref().expect("it runs").board().len();
    let whole = (0..20).filter(|i| seen(&net, *i) == 19).count();
    assert!(
        whole >= 18,
        "{whole} of 20 have all: news may be lost with its last copy, versions that follow mend it"
    );
    let at3 = net.nodes[3].as_ref().expect("it runs").board();
    assert!(at3.get("n9").is_none_or(|(_, f)| (f.taken, f.spent, f.version) == (9, 2, 2)));
    net.loss = 0.0;
    net.crash(9);
    net.run(after(&net, 60));
    assert!((0..20).filter(|i| *i != 9).all(|i| net.nodes[i]
        .as_ref()
        .expect("runs")
        .board()
        .get("n9")
        .is_none()));
}

/// One seed gives one run.
#[test]
fn one_seed_one_run() {
    let go = || {
        let mut net = Net::new(15, Protocol::default(), 77);
        net.loss = 0.2;
        net.run(Timestamp::from_micros(60 * S));
        (net.bytes, net.messages, net.changes.len())
    };
    assert_eq!(go(), go());
}
