//! Runs many seeds of the simulator: `seeds PLAN FROM COUNT [THREADS]`, with PLAN one of honest, liar, liars, leader,
//! and a number of members behind a colon (`honest:5`). Prints what failed, and sums. Exit status 1 on a violation.

use sprucelink_consensus::sim::{Plan, Report, Simulation};
use sprucelink_consensus::TimeDelta;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

fn plan(name: &str) -> Option<Plan> {
    let (kind, members) = name.split_once(':')?;
    let members = members.parse().ok().filter(|members| (3..=7).contains(members))?;
    match kind {
        "honest" => Some(Plan::honest(members)),
        "liar" => Some(Plan::one_liar(members)),
        "liars" => Some(Plan::liars(members)),
        "leader" => Some(Plan::leader_dies(members)),
        _ => None,
    }
}

#[derive(Default)]
struct Sums {
    failed: Vec<(u64, String)>,
    elections: Vec<TimeDelta>,
    outcomes: [u64; 3],
    faults_injected: u64,
    replaced: u64,
    messages: u64,
    bytes: u64,
    damaged: u64,
    alarms: BTreeMap<&'static str, u64>,
}

impl Sums {
    fn add(&mut self, seed: u64, report: Report) {
        if let Some(violation) = report.violation {
            println!("seed {seed}: {violation}");
            self.failed.push((seed, violation.what));
        }
        self.elections.extend(report.elections);
        self.outcomes.iter_mut().zip(report.outcomes).for_each(|(sum, part)| *sum += part);
        self.faults_injected += report.faults_injected;
        self.replaced += report.replaced;
        self.messages += report.messages;
        self.bytes += report.bytes;
        self.damaged += report.damaged;
        for (kind, count) in report.alarms {
            *self.alarms.entry(kind).or_default() += count;
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize| args.get(at).and_then(|arg| arg.parse::<u64>().ok());
    let (Some(plan), Some(from), Some(count)) =
        (args.first().and_then(|name| plan(name)), number(1), number(2))
    else {
        eprintln!("seeds honest|liar|liars|leader:MEMBERS FROM COUNT [THREADS]");
        return ExitCode::from(2);
    };
    let (next, sums) = (AtomicU64::new(from), Mutex::new(Sums::default()));
    std::thread::scope(|scope| {
        for _ in 0..number(3).unwrap_or(4) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                let report = Simulation::run(plan.clone(), seed);
                sums.lock().unwrap_or_else(|held| held.into_inner()).add(seed, report);
            });
        }
    });
    let mut sums = sums.into_inner().unwrap_or_else(|held| held.into_inner());
    sums.elections.sort_unstable();
    let share =
        |of: usize| sums.elections.get(sums.elections.len() * of / 1000).map_or(0, |time| time.as_millis());
    println!("{count} seeds, {} violations", sums.failed.len());
    println!(
        "proposals committed {}, lost {}, unknown {}",
        sums.outcomes[0], sums.outcomes[1], sums.outcomes[2]
    );
    println!("faults {}, replaced {}, damaged stores {}", sums.faults_injected, sums.replaced, sums.damaged);
    println!("messages {}, bytes about {}, alarms {:?}", sums.messages, sums.bytes, sums.alarms);
    println!(
        "{} elections after a leader's death, ms: p50 {} p90 {} p99 {} p99.9 {} max {}",
        sums.elections.len(),
        share(500),
        share(900),
        share(990),
        share(999),
        sums.elections.last().map_or(0, |time| time.as_millis())
    );
    ExitCode::from(u8::from(!sums.failed.is_empty()))
}
