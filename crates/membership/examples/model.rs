//! Members in virtual time at sizes that loopback does not hold: detection, false positives, traffic, healing.
//! `cargo run --release -p sprucelink-membership --example model -- SIZE...`; one CSV line a size.
#[path = "../tests/common/mod.rs"]
mod common;

use common::SimulatedNetwork;
use sprucelink_membership::MembershipEventKind;
use sprucelink_membership::ProtocolConfig;

fn quantile(sorted: &[f64], q: f64) -> f64 {
    sorted
        .get(((sorted.len() as f64 * q) as usize).min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(f64::NAN)
}

fn main() {
    println!("members,settled_s,crashes,first_s_p50,first_s_p99,all_s_p50,all_s_p99,false_deaths_10pct_30min,suspicions_10pct_30min,bytes_member_s,messages_member_s,heal_s");
    for arg in std::env::args().skip(1) {
        let Some(n) = arg.parse::<usize>().ok().filter(|n| (4..=2_000).contains(n)) else {
            eprintln!("members: 4 to 2000, not {arg:?}");
            std::process::exit(2);
        };
        // Half an hour where that is affordable, less beyond: the line says what was run.
        let quiet: i64 = if n <= 200 { 1_800 } else { 120 };
        let mut network = SimulatedNetwork::new(n, ProtocolConfig::default(), 1);
        let settled = network.converge(300).unwrap_or(f64::NAN);
        let (bytes, messages, begun) = (network.bytes, network.messages, network.now);
        network.run_for(60);
        let span = (network.now - begun).as_secs_f64() * n as f64;
        let (bytes, messages) =
            ((network.bytes - bytes) as f64 / span, (network.messages - messages) as f64 / span);
        // Crashes, one at a time.
        let crashes = 20.min(n / 2);
        let (mut first, mut all) = (Vec::new(), Vec::new());
        for k in 0..crashes {
            let (i, at) = (n - 1 - k, network.now);
            network.crash(i);
            network.run_for(40);
            let reported = network.events_on(&format!("n{i}"), MembershipEventKind::Died, at);
            first.extend(reported.iter().min().map(|t| (*t - at).as_secs_f64()));
            all.extend(reported.iter().max().map(|t| (*t - at).as_secs_f64()));
            network.start(i);
            network.converge(60);
        }
        first.sort_by(f64::total_cmp);
        all.sort_by(f64::total_cmp);
        // One in ten lost.
        network.loss = 0.1;
        let since = network.now;
        network.run_for(quiet);
        let (dead, suspected) = (
            network.event_count(MembershipEventKind::Died, since),
            network.event_count(MembershipEventKind::Suspected, since),
        );
        network.loss = 0.0;
        network.converge(60);
        // Two thirds and one third apart for a minute.
        network.partition = Some((0..n).map(|i| i >= n * 2 / 3).collect());
        network.run_for(60);
        network.partition = None;
        let heal = network.converge(300).unwrap_or(f64::NAN);
        println!(
            "{n},{settled:.1},{crashes},{:.2},{:.2},{:.2},{:.2},{dead} in {quiet} s,{suspected},{bytes:.0},{messages:.1},{heal:.1}",
            quantile(&first, 0.5),
            quantile(&first, 0.99),
            quantile(&all, 0.5),
            quantile(&all, 0.99)
        );
    }
}
