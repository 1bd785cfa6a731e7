//! `sprucelink-fault-soak`: runs the fault soak with many seeds and prints the violations of each run.

use lexopt::prelude::{Long, ValueExt as _};
use sprucelink_fault_soak::judge::count_by_rule;
use sprucelink_fault_soak::soak::{run, SoakConfig, SoakReport};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const USAGE: &str = "\
usage: sprucelink-fault-soak [--seeds FROM..TO] [--seconds N] [--managers N] [--engines N] [--rate R]
                             [--program PATH] [--folder DIR] [--arg ARG]... [--details N]

Starts so many processes of the program on loopback, fails their system calls, stops, kills and reloads them while clients
and engines misbehave, and judges each run by the platform's rules.

  --seeds FROM..TO   one run for each (1..2: the first alone)
  --seconds N        how long clients come (20)
  --managers N       processes (24)
  --engines N        stand-in engines (12)
  --rate R           clients a second in all (300)
  --program PATH     the program (target/release/sprucelink)
  --folder DIR       configurations and logs, DIR/SEED (a folder under the system's for such)
  --arg ARG          a further argument of serve, such as --arg=--log-level --arg=debug
  --details N        violations of each rule that are printed (5)

Exit status: 0 no violation, 1 a run could not be carried out, 2 a bad command line, 3 violations.
";

/// Options of the command line.
struct Options {
    seeds: std::ops::Range<u64>,
    details: usize,
    config: SoakConfig,
}

fn main() -> ExitCode {
    let options = match parse() {
        Ok(Some(options)) => options,
        Ok(None) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprint!("{error}\n\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(3).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the runtime: {error}");
            return ExitCode::from(1);
        }
    };
    let mut violations = 0;
    for seed in options.seeds.clone() {
        let folder = options.config.folder.join(seed.to_string());
        let config = SoakConfig { seed, folder, ..options.config.clone() };
        match runtime.block_on(run(config)) {
            Ok(report) => {
                print_report(seed, &report, options.details);
                violations += report.violations.len();
            }
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(1);
            }
        }
    }
    println!("{violations} violations in all");
    ExitCode::from(if violations == 0 { 0 } else { 3 })
}

fn print_report(seed: u64, report: &SoakReport, details: usize) {
    let requests = report.requests;
    let attempts = report.attempts;
    let lag = report.longest_lag;
    println!(
        "seed {seed}: {requests} requests, {attempts} attempts, {} violations, lag {lag:?}",
        report.violations.len()
    );
    println!("  {:?}", report.syscalls);
    for (rule, count) in count_by_rule(&report.violations) {
        println!("  {rule:?}: {count}");
        for violation in report.violations.iter().filter(|violation| violation.rule == rule).take(details) {
            println!("    {:.3} s: {}", violation.at.as_secs_f64(), violation.detail);
        }
    }
}

fn parse() -> Result<Option<Options>, lexopt::Error> {
    let mut options = Options {
        seeds: 1..2,
        details: 5,
        config: SoakConfig {
            program: PathBuf::from("target/release/sprucelink"),
            folder: std::env::temp_dir().join(format!("sprucelink-fault-soak-{}", std::process::id())),
            managers: 24,
            engines: 12,
            rate: 300.0,
            duration: Duration::from_secs(20),
            seed: 1,
            arguments: Vec::new(),
        },
    };
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seeds") => options.seeds = parse_range(&parser.value()?.string()?)?,
            Long("seconds") => options.config.duration = Duration::from_secs(parser.value()?.parse()?),
            Long("managers") => options.config.managers = parser.value()?.parse()?,
            Long("engines") => options.config.engines = parser.value()?.parse()?,
            Long("rate") => options.config.rate = parser.value()?.parse()?,
            Long("program") => options.config.program = parser.value()?.into(),
            Long("folder") => options.config.folder = parser.value()?.into(),
            Long("arg") => options.config.arguments.push(parser.value()?.string()?),
            Long("details") => options.details = parser.value()?.parse()?,
            Long("help") => return Ok(None),
            other => return Err(other.unexpected()),
        }
    }
    Ok(Some(options))
}

/// Parses a range of seeds, `FROM..TO`.
fn parse_range(text: &str) -> Result<std::ops::Range<u64>, lexopt::Error> {
    let bounds = text.split_once("..").and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    match bounds {
        Some((from, to)) if from < to => Ok(from..to),
        _ => Err(lexopt::Error::Custom(format!("--seeds: invalid range {text:?}: expected FROM..TO").into())),
    }
}
