//! Runs many seeds of the simulator: `seeds PLAN FROM COUNT [THREADS]`, where PLAN is one of honest, liar,
//! liars, leader, followed by a colon and the number of members (`honest:5`). Prints violations and totals.
//! The exit status is 1 on a violation, 2 for wrong arguments.

use sprucelink_consensus::sim::{OutcomeCounts, Plan, Report, Simulation};
use sprucelink_consensus::TimeDelta;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

const USAGE: &str = "seeds honest|liar|liars|leader:MEMBERS FROM COUNT [THREADS]";
/// Number of threads when THREADS is not given.
const DEFAULT_THREADS: u64 = 4;

fn parse_plan(name: &str) -> Option<Plan> {
    let (kind, members) = name.split_once(':')?;
    let members = members.parse().ok().filter(|members| (3..=7).contains(members))?;
    match kind {
        "honest" => Some(Plan::correct_disks(members)),
        "liar" => Some(Plan::one_lying_disk(members)),
        "liars" => Some(Plan::minority_lying_disks(members)),
        "leader" => Some(Plan::leader_crashes(members)),
        _ => None,
    }
}

/// Totals over the runs of all seeds.
#[derive(Default)]
struct Totals {
    violations: u64,
    elections: Vec<TimeDelta>,
    outcomes: OutcomeCounts,
    faults_injected: u64,
    replaced: u64,
    messages: u64,
    bytes: u64,
    damaged: u64,
    alarms: BTreeMap<&'static str, u64>,
}

impl Totals {
    fn add(&mut self, seed: u64, report: Report) {
        if let Some(violation) = report.violation {
            println!("seed {seed}: {violation}");
            self.violations += 1;
        }
        self.elections.extend(report.elections);
        self.outcomes.committed += report.outcomes.committed;
        self.outcomes.dropped += report.outcomes.dropped;
        self.outcomes.unknown += report.outcomes.unknown;
        self.faults_injected += report.faults_injected;
        self.replaced += report.members_replaced;
        self.messages += report.messages;
        self.bytes += report.bytes;
        self.damaged += report.damaged_stores;
        for (kind, count) in report.alarm_counts {
            *self.alarms.entry(kind).or_default() += count;
        }
    }

    fn print(&mut self, seeds: u64) {
        let OutcomeCounts { committed, dropped, unknown } = self.outcomes;
        println!("{seeds} seeds, {} violations", self.violations);
        println!("proposals committed {committed}, dropped {dropped}, unknown {unknown}");
        println!(
            "faults {}, replaced {}, damaged stores {}",
            self.faults_injected, self.replaced, self.damaged
        );
        println!("messages {}, bytes about {}, alarms {:?}", self.messages, self.bytes, self.alarms);
        self.elections.sort_unstable();
        println!(
            "{} elections after a leader's crash, ms: p50 {} p90 {} p99 {} p99.9 {} max {}",
            self.elections.len(),
            self.election_quantile(500),
            self.election_quantile(900),
            self.election_quantile(990),
            self.election_quantile(999),
            self.elections.last().map_or(0, |time| time.as_millis())
        );
    }

    /// The quantile of the election times, in milliseconds; the times must be sorted.
    fn election_quantile(&self, per_mille: usize) -> i64 {
        self.elections.get(self.elections.len() * per_mille / 1000).map_or(0, |time| time.as_millis())
    }
}

fn run_seeds(plan: &Plan, from: u64, count: u64, threads: u64) -> Totals {
    let next_seed = AtomicU64::new(from);
    let totals = Mutex::new(Totals::default());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                let report = Simulation::run(plan.clone(), seed);
                totals.lock().unwrap_or_else(PoisonError::into_inner).add(seed, report);
            });
        }
    });
    totals.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize| args.get(index).and_then(|arg| arg.parse::<u64>().ok());
    let plan = args.first().and_then(|name| parse_plan(name));
    let (Some(plan), Some(from), Some(count)) = (plan, number(1), number(2)) else {
        eprintln!("{USAGE}");
        return ExitCode::from(2);
    };
    let mut totals = run_seeds(&plan, from, count, number(3).unwrap_or(DEFAULT_THREADS));
    totals.print(count);
    ExitCode::from(u8::from(totals.violations > 0))
}
