//! Simulates members in virtual time, at fleet sizes beyond what loopback can run, and measures failure
//! detection, false positives, traffic and convergence after a partition.
//!
//! `cargo run --release -p sprucelink-membership --example model -- SIZE...` prints one CSV line per size.
#[path = "../tests/common/mod.rs"]
mod common;

use common::SimulatedNetwork;
use sprucelink_membership::{MembershipEventKind, ProtocolConfig, Timestamp};
use std::ops::RangeInclusive;

/// Supported numbers of members.
const MEMBER_RANGE: RangeInclusive<usize> = 4..=2_000;
/// Maximum number of crashes, which are simulated one after another.
const MAX_CRASHES: usize = 20;
/// Fraction of datagrams lost while false positives are counted.
const LOSS_FRACTION: f64 = 0.1;
/// Header line of the output.
const COLUMNS: &str = "members,settled_s,crashes,first_s_p50,first_s_p99,all_s_p50,all_s_p99,\
                       false_deaths_10pct_30min,suspicions_10pct_30min,bytes_member_s,messages_member_s,heal_s";

/// A quantile of ascending values; NaN if there are none.
fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = ((sorted.len() as f64 * fraction) as usize).min(last);
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// Traffic that each member sends per second without faults.
struct Traffic {
    bytes: f64,
    messages: f64,
}

fn measure_traffic(network: &mut SimulatedNetwork) -> Traffic {
    let started_at = network.now;
    let bytes_before = network.bytes;
    let messages_before = network.messages;
    network.run_for(60);
    let member_seconds = (network.now - started_at).as_secs_f64() * network.nodes.len() as f64;
    Traffic {
        bytes: (network.bytes - bytes_before) as f64 / member_seconds,
        messages: (network.messages - messages_before) as f64 / member_seconds,
    }
}

/// Times from crashes to their reports, in seconds, ascending.
struct DetectionTimes {
    /// Until the first member reported the crash.
    first_report: Vec<f64>,
    /// Until the last member reported the crash.
    last_report: Vec<f64>,
}

fn measure_detection(network: &mut SimulatedNetwork, crashes: usize) -> DetectionTimes {
    let mut times = DetectionTimes { first_report: Vec::new(), last_report: Vec::new() };
    for crash in 0..crashes {
        let index = network.nodes.len() - 1 - crash;
        let crashed_at = network.now;
        network.crash(index);
        network.run_for(40);
        let reports = network.events_on(&format!("n{index}"), MembershipEventKind::Died, crashed_at);
        let seconds = |reported_at: &Timestamp| (*reported_at - crashed_at).as_secs_f64();
        times.first_report.extend(reports.iter().min().map(seconds));
        times.last_report.extend(reports.iter().max().map(seconds));
        network.start(index);
        network.converge(60);
    }
    times.first_report.sort_by(f64::total_cmp);
    times.last_report.sort_by(f64::total_cmp);
    times
}

/// Numbers of members that were declared dead or suspected although all were running.
struct FalsePositives {
    deaths: usize,
    suspicions: usize,
}

fn count_false_positives(network: &mut SimulatedNetwork, seconds: i64) -> FalsePositives {
    network.loss = LOSS_FRACTION;
    let since = network.now;
    network.run_for(seconds);
    let false_positives = FalsePositives {
        deaths: network.event_count(MembershipEventKind::Died, since),
        suspicions: network.event_count(MembershipEventKind::Suspected, since),
    };
    network.loss = 0.0;
    network.converge(60);
    false_positives
}

/// Time in seconds until views converge after a partition into two thirds and one third that lasts a minute.
fn measure_convergence_after_partition(network: &mut SimulatedNetwork) -> f64 {
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
    // Half an hour for small fleets, less for large ones; the output line states the duration.
    let false_positives_s = if members <= 200 { 1_800 } else { 120 };
    let false_positives = count_false_positives(&mut network, false_positives_s);
    let heal_s = measure_convergence_after_partition(&mut network);
    println!(
        "{members},{settled_s:.1},{crashes},{:.2},{:.2},{:.2},{:.2},{} in {false_positives_s} s,{},{:.0},{:.1},{heal_s:.1}",
        quantile(&detection.first_report, 0.5),
        quantile(&detection.first_report, 0.99),
        quantile(&detection.last_report, 0.5),
        quantile(&detection.last_report, 0.99),
        false_positives.deaths,
        false_positives.suspicions,
        traffic.bytes,
        traffic.messages,
    );
}

fn main() {
    println!("{COLUMNS}");
    for argument in std::env::args().skip(1) {
        let Some(members) = argument.parse().ok().filter(|members| MEMBER_RANGE.contains(members)) else {
            eprintln!("invalid number of members {argument:?}: expected 4 to 2000");
            std::process::exit(2);
        };
        simulate(members);
    }
}
