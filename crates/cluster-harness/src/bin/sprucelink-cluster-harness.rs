//! `sprucelink-cluster-harness`: runs scenarios of correlated failures of many processes of the program, and
//! reports the figures as a table and their course as a chart.

use lexopt::prelude::{Long, Short, Value, ValueExt as _};
use sprucelink_cluster_harness::history;
use sprucelink_cluster_harness::report::{chart, ChartError, Report, Series, BUCKET};
use sprucelink_cluster_harness::run::{self, Outcome, Program, RunError, Views};
use sprucelink_cluster_harness::scenario::{Scenario, ScenarioError};
use sprucelink_history_checker::CheckReport;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The text of `--help`.
const USAGE: &str = "\
usage: sprucelink-cluster-harness run SCENARIO.json5 [--cold-start FILE] [--pair FILE] [--managers N] [--rate R]
                        [--seed N] [--repeat N] [--out DIR] [--format csv|json] [--program PATH]
                        [--keep-logs DIR] [--share none|ration|parts|all]
                        [--failover on|off] [--arg ARG]...
                        [--history DIR]
       sprucelink-cluster-harness check SCENARIO.json5...
       sprucelink-cluster-harness judge SCENARIO.json5 HISTORY.jsonl...

run    Starts the managers, stand-ins and clients of a scenario, does its steps, and prints one line of figures.
       --cold-start FILE  managers run with these settings of the cold start
       --pair FILE        two runs: without a cold start, and with these settings
       --managers N, --rate R, --seed N   instead of what the scenario says (R: requests a second in all)
       --repeat N         so many runs (or pairs), with seeds counted up (1 to 50)
       --out DIR          a chart of each run, DIR/NAME-N-on.svg and -off.svg
       --format           the figures as csv (the default) or one JSON object a line
       --program PATH     instead of target/release/sprucelink
       --keep-logs DIR    the managers' last logs are left there
       --arg ARG          a further argument of the managers' serve, such as --arg=--log-level --arg=debug
       --failover off     without the failover between zones that the scenario sets (on: as it sets it)
       --share WHAT       what managers that keep a view spend as a fleet, instead of what the scenario says
       --history DIR      what processes did goes to DIR/NAME-SEED-on.jsonl and -off.jsonl
check  Reads scenarios and says whether they will do.
judge  Holds histories against a scenario's terms (its `check`) anew.

Exit status: 0 done, 1 a run could not be carried out, 2 a bad command line or scenario, 3 a rule of the journal was
broken.
";

/// Why a command line was rejected, or [`CommandLineError::Help`] if it asks for help.
#[derive(Debug, Error)]
enum CommandLineError {
    #[error("help")]
    Help,
    #[error(transparent)]
    Syntax(#[from] lexopt::Error),
    #[error("--{option}: expected {min} to {max}")]
    OutOfRange { option: &'static str, min: String, max: String },
    #[error("--share: expected none, ration, parts or all, found {0:?}")]
    UnknownShare(String),
    #[error("--format: expected csv or json, found {0:?}")]
    UnknownFormat(String),
    #[error("--failover: expected on or off, found {0:?}")]
    UnknownFailover(String),
    #[error("expected SCENARIO.json5 and at least one HISTORY.jsonl")]
    NoScenarioAndHistory,
    #[error("expected SCENARIO.json5: one for run, at least one for check")]
    NoScenario,
    #[error("unknown command {0:?}: expected run, check or judge")]
    UnknownCommand(String),
    #[error("no command: expected run, check or judge")]
    NoCommand,
}

/// Why a scenario file could not be used.
#[derive(Debug, Error)]
enum ReadScenarioError {
    #[error("{}: {source}", path.display())]
    Read { path: PathBuf, source: std::io::Error },
    #[error("{}: {source}", path.display())]
    Parse { path: PathBuf, source: ScenarioError },
}

/// Why a run failed, or its results could not be written.
#[derive(Debug, Error)]
enum HarnessError {
    #[error(transparent)]
    Run(#[from] RunError),
    #[error(transparent)]
    Chart(#[from] ChartError),
    #[error("--history: the scenario records no history")]
    NoHistory,
    #[error("{}: {source}", path.display())]
    Io { path: PathBuf, source: std::io::Error },
}

impl HarnessError {
    /// Wraps an I/O error with the path of the file.
    fn io(path: &Path) -> impl FnOnce(std::io::Error) -> HarnessError + '_ {
        move |source| HarnessError::Io { path: path.to_owned(), source }
    }
}

/// The parsed command line.
struct Options {
    /// One scenario for `run`, scenarios for `check`, a scenario and then histories for `judge`.
    input_paths: Vec<PathBuf>,
    /// The cold start's settings file of each run; `None`: no cold start.
    cold_starts: Vec<Option<String>>,
    managers: Option<usize>,
    rate: Option<f64>,
    seed: Option<u64>,
    repeat: u64,
    chart_dir: Option<PathBuf>,
    /// Whether the figures are printed as JSON rather than CSV.
    json: bool,
    program: PathBuf,
    /// Folder for the managers' configurations and logs, which stay after the run; `None`: a temporary one.
    kept_run_dir: Option<PathBuf>,
    /// Whether the fleet pools its retry budgets, and whether it divides slow-start parts by live members;
    /// `None`: as in the scenario.
    budget_sharing: Option<(bool, bool)>,
    no_failover: bool,
    /// Additional arguments of the managers' `serve`.
    args: Vec<String>,
    history_dir: Option<PathBuf>,
    command: Command,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Command {
    Run,
    Check,
    Judge,
}

fn string_value(parser: &mut lexopt::Parser) -> Result<String, CommandLineError> {
    Ok(parser.value()?.string()?)
}

/// The option's value as a number from `min` to `max`; the error contains the option and its range.
fn number_value<T: std::str::FromStr + PartialOrd + std::fmt::Display>(
    parser: &mut lexopt::Parser,
    option: &'static str,
    min: T,
    max: T,
) -> Result<T, CommandLineError> {
    let value = string_value(parser)?.parse::<T>().ok().filter(|v| *v >= min && *v <= max);
    value.ok_or_else(|| CommandLineError::OutOfRange { option, min: min.to_string(), max: max.to_string() })
}

impl Default for Options {
    fn default() -> Options {
        Options {
            input_paths: Vec::new(),
            cold_starts: vec![None],
            managers: None,
            rate: None,
            seed: None,
            repeat: 1,
            chart_dir: None,
            json: false,
            program: PathBuf::from("target/release/sprucelink"),
            kept_run_dir: None,
            budget_sharing: None,
            no_failover: false,
            args: Vec::new(),
            history_dir: None,
            command: Command::Run,
        }
    }
}

/// Parses the value of `--share`: whether the fleet pools its retry budgets, and whether it divides
/// slow-start parts by live members.
fn parse_share(word: &str) -> Result<(bool, bool), CommandLineError> {
    match word {
        "none" => Ok((false, false)),
        "ration" => Ok((true, false)),
        "parts" => Ok((false, true)),
        "all" => Ok((true, true)),
        other => Err(CommandLineError::UnknownShare(other.to_owned())),
    }
}

fn parse() -> Result<Options, CommandLineError> {
    let mut parser = lexopt::Parser::from_env();
    let mut options = Options::default();
    let mut command: Option<String> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("cold-start") => options.cold_starts = vec![Some(string_value(&mut parser)?)],
            Long("pair") => options.cold_starts = vec![None, Some(string_value(&mut parser)?)],
            Long("managers") => options.managers = Some(number_value(&mut parser, "managers", 1, 1_000)?),
            Long("rate") => options.rate = Some(number_value(&mut parser, "rate", 0.0, 5_000.0)?),
            Long("seed") => options.seed = Some(number_value(&mut parser, "seed", 0, u64::MAX)?),
            Long("repeat") => options.repeat = number_value(&mut parser, "repeat", 1, 50)?,
            Long("out") => options.chart_dir = Some(string_value(&mut parser)?.into()),
            Long("format") => match string_value(&mut parser)?.as_str() {
                "csv" => options.json = false,
                "json" => options.json = true,
                other => return Err(CommandLineError::UnknownFormat(other.to_owned())),
            },
            Long("program") => options.program = string_value(&mut parser)?.into(),
            Long("keep-logs") => options.kept_run_dir = Some(string_value(&mut parser)?.into()),
            Long("history") => options.history_dir = Some(string_value(&mut parser)?.into()),
            Long("arg") if options.args.len() < 32 => options.args.push(string_value(&mut parser)?),
            Long("failover") => match string_value(&mut parser)?.as_str() {
                "on" => options.no_failover = false,
                "off" => options.no_failover = true,
                other => return Err(CommandLineError::UnknownFailover(other.to_owned())),
            },
            Long("share") => options.budget_sharing = Some(parse_share(&string_value(&mut parser)?)?),
            Long("help") | Short('h') => return Err(CommandLineError::Help),
            Value(v) if command.is_none() => command = Some(v.string()?),
            Value(v) => options.input_paths.push(v.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    with_command(options, command.as_deref())
}

/// Sets the command, after a check of its number of files.
fn with_command(options: Options, command: Option<&str>) -> Result<Options, CommandLineError> {
    match command {
        Some("run") if options.input_paths.len() == 1 => Ok(options),
        Some("check") if !options.input_paths.is_empty() => {
            Ok(Options { command: Command::Check, ..options })
        }
        Some("judge") if options.input_paths.len() > 1 => Ok(Options { command: Command::Judge, ..options }),
        Some("judge") => Err(CommandLineError::NoScenarioAndHistory),
        Some("run" | "check") => Err(CommandLineError::NoScenario),
        Some(other) => Err(CommandLineError::UnknownCommand(other.to_owned())),
        None => Err(CommandLineError::NoCommand),
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, ReadScenarioError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| ReadScenarioError::Read { path: path.to_owned(), source })?;
    Scenario::parse(&text).map_err(|source| ReadScenarioError::Parse { path: path.to_owned(), source })
}

fn main() {
    let options = match parse() {
        Ok(options) => options,
        Err(CommandLineError::Help) => return print!("{USAGE}"),
        Err(e) => exit_invalid(&format!("{e}\n\n{USAGE}")),
    };
    let scenario_paths =
        if options.command == Command::Judge { &options.input_paths[..1] } else { &options.input_paths[..] };
    let scenarios: Vec<Scenario> = scenario_paths
        .iter()
        .map(|path| read_scenario(path))
        .map(|s| s.unwrap_or_else(|e| exit_invalid(&e.to_string())))
        .collect();
    if options.command == Command::Judge {
        return judge(&scenarios[0], &options.input_paths[1..]);
    }
    if options.command == Command::Check {
        for s in &scenarios {
            println!(
                "{} will do: {} managers, {} engines, {} s",
                s.name, s.managers, s.engines.count, s.seconds
            );
        }
        return;
    }
    let mut scenario = scenarios[0].clone();
    scenario.managers = options.managers.unwrap_or(scenario.managers);
    scenario.load.rate = options.rate.unwrap_or(scenario.load.rate);
    scenario.seed = options.seed.unwrap_or(scenario.seed);
    if options.no_failover {
        scenario.failover = None;
        scenario.name.push_str("-off");
    }
    if let Some((pool_retry_budgets, divide_by_live_members)) = options.budget_sharing {
        let membership = scenario.membership.get_or_insert_default();
        membership.share.pool_retry_budgets = pool_retry_budgets;
        membership.share.divide_by_live_members = divide_by_live_members;
    }
    if options.history_dir.is_some() {
        scenario.history.get_or_insert_default();
    }
    scenario.check().unwrap_or_else(|e| exit_invalid(&e.to_string()));
    match run_scenario(&options, &scenario) {
        Ok(true) => {}
        Ok(false) => std::process::exit(3),
        Err(e) => {
            eprintln!("sprucelink-cluster-harness: {e}");
            std::process::exit(1);
        }
    }
}

/// Prints the violations of a history on standard error; returns whether the history has none.
fn print_verdict(verdict: &CheckReport) -> bool {
    for (name, findings) in &verdict.invariants {
        for violation in &findings.violations {
            eprintln!("{name}: {:.6} s: {}", violation.at_us as f64 / 1e6, violation.description);
        }
        if findings.dropped > 0 {
            eprintln!("{name}: {} more", findings.dropped);
        }
    }
    let examined: Vec<String> =
        verdict.invariants.iter().map(|(name, f)| format!("{name} {}", f.examined)).collect();
    eprintln!("judged: {}", examined.join(", "));
    verdict.is_passed()
}

/// Checks recorded histories with the scenario's `check` section; exits with status 3 if one violates it.
fn judge(scenario: &Scenario, histories: &[PathBuf]) {
    let Some(config) = &scenario.check else { exit_invalid("the scenario has no `check`") };
    let mut passed = true;
    for file in histories {
        let entries = history::read(file).unwrap_or_else(|e| exit_invalid(&e.to_string()));
        println!("{}: {} lines", file.display(), entries.len());
        passed &= print_verdict(&sprucelink_history_checker::check(&entries, config));
    }
    if !passed {
        std::process::exit(3);
    }
}

/// Exits with the status for an invalid command line or scenario.
fn exit_invalid(why: &str) -> ! {
    eprintln!("sprucelink-cluster-harness: {why}");
    std::process::exit(2)
}

/// Runs the scenario as the options say; returns whether no run violated an invariant of the journal.
fn run_scenario(options: &Options, scenario: &Scenario) -> Result<bool, HarnessError> {
    let mut passed = true;
    if !options.json {
        println!("{},seed", Report::head());
    }
    for k in 0..options.repeat {
        let scenario = Scenario { seed: scenario.seed + k, ..scenario.clone() };
        for cold_start in &options.cold_starts {
            let mut args = options.args.clone();
            args.extend(cold_start.iter().flat_map(|f| ["--cold-start".to_owned(), f.clone()]));
            let dir = options.kept_run_dir.clone().unwrap_or_else(|| run::scratch(&scenario.name));
            let program = Program { path: options.program.clone(), args, dir: dir.clone() };
            let result = run::run(&scenario, &program);
            let cold_start_label = if cold_start.is_some() { "on" } else { "off" };
            if let (Some(dir), Ok(outcome)) = (&options.history_dir, &result) {
                let file = dir.join(format!("{}-{}-{cold_start_label}.jsonl", scenario.name, scenario.seed));
                copy_history(outcome, &file)?;
            }
            if options.kept_run_dir.is_none() {
                run::clear(&dir);
            }
            let outcome = result?;
            passed &= outcome.verdict.as_ref().is_none_or(print_verdict);
            match options.json {
                true => println!("{}", outcome.report.json()),
                false => println!("{},{}", outcome.report.line(), scenario.seed),
            }
            if let Some(dir) = &options.chart_dir {
                std::fs::create_dir_all(dir).map_err(HarnessError::io(dir))?;
                let name = format!("{}-{}-{cold_start_label}.svg", scenario.name, scenario.managers);
                draw_chart(&dir.join(name), &scenario, cold_start_label, &outcome)?;
            }
        }
    }
    Ok(passed)
}

/// Copies a run's history to a file, whose folder is created.
fn copy_history(outcome: &Outcome, file: &Path) -> Result<(), HarnessError> {
    let Some(from) = &outcome.history else { return Err(HarnessError::NoHistory) };
    file.parent().map_or(Ok(()), std::fs::create_dir_all).map_err(HarnessError::io(file))?;
    std::fs::copy(from, file).map(|_| ()).map_err(HarnessError::io(file))
}

/// The chart's lines of polled managers, managers with a right view and distinct views; the value of a bucket
/// is that of the last round of polling before the bucket's end.
fn view_series(outcome: &Outcome) -> Vec<Series<'static>> {
    let buckets = outcome.calls.len();
    let last_poll = |i: usize| {
        let end = (i + 1) as f64 * BUCKET.as_secs_f64();
        outcome.views.iter().rfind(|v| v.at < end)
    };
    let series = |name, count: fn(&Views) -> usize| Series {
        name,
        values: (0..buckets).map(|i| last_poll(i).map_or(0.0, |v| count(v) as f64)).collect(),
    };
    vec![
        series("managers asked", |v| v.polled),
        series("view right", |v| v.right_views),
        series("different views", |v| v.distinct_views),
    ]
}

fn draw_chart(
    file: &Path,
    scenario: &Scenario,
    cold_start_label: &str,
    outcome: &Outcome,
) -> Result<(), HarnessError> {
    let line = |name, values: &[u32]| Series { name, values: values.iter().map(|v| f64::from(*v)).collect() };
    let requests = &outcome.requests;
    let request_lines = vec![
        line("asked", &requests.issued),
        line("served", &requests.served),
        line("refused", &requests.refused),
        line("failed, lost", &requests.failed_or_lost),
    ];
    let connection_lines = vec![line("list calls", &outcome.calls), line("dials", &outcome.dials)];
    let title = format!("{}: {} managers, cold start {cold_start_label}", scenario.name, scenario.managers);
    let mut panels =
        vec![("requests in 250 ms", request_lines), ("calls and dials in 250 ms", connection_lines)];
    if !outcome.views.is_empty() {
        panels.push(("views of the fleet", view_series(outcome)));
    }
    Ok(chart(file, &title, &panels)?)
}
