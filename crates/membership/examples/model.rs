//! Members in virtual time at sizes that loopback does not hold: detection, false positives, traffic, healing.
//! `cargo run --release -p sprucelink-membership --example model -- SIZE...`; one CSV line a size.
#[path = "../tests/common/mod.rs"]
mod common;

use common::SimulatedNetwork;
use sprucelink_membership::{MembershipEventKind, ProtocolConfig, Timestamp};
use std::ops::RangeInclusive;

/// Numbers of members that can be simulated.
const MEMBERS: RangeInclusive<usize> = 4..=2_000;
/// Largest number of crashes, one after another.
const MAX_CRASHES: usize = 20;
/// Fraction of datagrams lost while false positives are counted.
const LOSS: f64 = 0.1;
/// The columns of the output.
const COLUMNS: &str = "members,settled_s,crashes,first_s_p50,first_s_p99,all_s_p50,all_s_p99,\
                       false_deaths_10pct_30min,suspicions_10pct_30min,bytes_member_s,messages_member_s,heal_s";

/// A quantile of ascending values; not a number without any.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = ((sorted.len() as f64 * fraction) as usize).min(last);
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// What a member sends in a second without faults.
struct Traffic {
    bytes: f64,
    messages: f64,
}

fn measure_traffic(network: &mut SimulatedNetwork) -> Traffic {
    let begun = network.now;
    let bytes_before = network.bytes;
    let messages_before = network.messages;
    network.run_for(60);
    let member_seconds = (network.now - begun).as_secs_f64() * network.nodes.len() as f64;
    Traffic {
        bytes: (network.bytes - bytes_before) as f64 / member_seconds,
        messages: (network.messages - messages_before) as f64 / member_seconds,
    }
}

/// How long crashes take to be reported, in seconds, ascending.
struct Detection {
    by_the_first: Vec<f64>,
    by_all: Vec<f64>,
}

fn measure_detection(network: &mut SimulatedNetwork, crashes: usize) -> Detection {
    let mut detection = Detection { by_the_first: Vec::new(), by_all: Vec::new() };
    for crash in 0..crashes {
        let index = network.nodes.len() - 1 - crash;
        let crashed_at = network.now;
        network.crash(index);
        network.run_for(40);
        let reports = network.events_on(&format!("n{index}"), MembershipEventKind::Died, crashed_at);
        let seconds = |reported_at: &Timestamp| (*reported_at - crashed_at).as_secs_f64();
        detection.by_the_first.extend(reports.iter().min().map(seconds));
        detection.by_all.extend(reports.iter().max().map(seconds));
        network.start(index);
        network.converge(60);
    }
    detection.by_the_first.sort_by(f64::total_cmp);
    detection.by_all.sort_by(f64::total_cmp);
    detection
}

/// Members that were declared dead or suspected although all ran.
struct FalsePositives {
    deaths: usize,
    suspicions: usize,
}

fn count_false_positives(network: &mut SimulatedNetwork, seconds: i64) -> FalsePositives {
    network.loss = LOSS;
    let since = network.now;
    network.run_for(seconds);
    let counted = FalsePositives {
        deaths: network.event_count(MembershipEventKind::Died, since),
        suspicions: network.event_count(MembershipEventKind::Suspected, since),
    };
    network.loss = 0.0;
    network.converge(60);
    counted
}

/// How long views take to converge after two thirds and one third were partitioned for a minute, in seconds.
fn measure_healing(network: &mut SimulatedNetwork) -> f64 {
    let members = network.nodes.len();
    network.partition = Some((0..members).map(|index| index >= members * 2 / 3).collect());
    network.run_for(60);
    network.partition = None;
    network.converge(300).unwrap_or(f64::NAN)
}

fn simulate(members: usize) {
    let mut network = SimulatedNetwork::new(members, ProtocolConfig::default(), 1);
    let settled_s = network.converge(300).unwrap_or(f64::NAN);
    let traffic = measure_traffic(&mut network);
    let crashes = MAX_CRASHES.min(members / 2);
    let detection = measure_detection(&mut network, crashes);
    // Half an hour where that is affordable, less beyond: the line states what was run.
    let quiet_s = if members <= 200 { 1_800 } else { 120 };
    let false_positives = count_false_positives(&mut network, quiet_s);
    let heal_s = measure_healing(&mut network);
    println!(
        "{members},{settled_s:.1},{crashes},{:.2},{:.2},{:.2},{:.2},{} in {quiet_s} s,{},{:.0},{:.1},{heal_s:.1}",
        quantile(&detection.by_the_first, 0.5),
        quantile(&detection.by_the_first, 0.99),
        quantile(&detection.by_all, 0.5),
        quantile(&detection.by_all, 0.99),
        false_positives.deaths,
        false_positives.suspicions,
        traffic.bytes,
        traffic.messages,
    );
}

fn main() {
    println!("{COLUMNS}");
    for argument in std::env::args().skip(1) {
        let Some(members) = argument.parse().ok().filter(|members| MEMBERS.contains(members)) else {
            eprintln!("members: 4 to 2000, not {argument:?}");
            std::process::exit(2);
        };
        simulate(members);
    }
}
