//! `sprucelink-fleet start-up`: starts many managers at once against a counting list service and counting
//! engines, and prints what the fleet did to them in its first seconds, as one CSV line under its head.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use lexopt::prelude::*;
use sprucelink_fleetrig::engines::CountingEngine;
use sprucelink_fleetrig::lists::{ListService, Mood};
use sprucelink_fleetrig::procs::{self, Fleet, MOST_MANAGERS};
use std::path::PathBuf;
use std::time::{Duration, Instant};

const USAGE: &str = "\
usage: sprucelink-fleet start-up [--managers N] [--engines N] [--seconds S] [--refuse-for S]
                                 [--cold-start FILE] [--program PATH] [--dir DIR]

Starts N managers (1 to 1000, default 50) of PATH (default target/release/sprucelink) at once against a
stand-in list service and E counting engines (default 8), sends each one request, waits S seconds (default 4),
and prints one CSV line: list calls, the most in 100 ms and in 1 s, dials to engines and their peaks, and
how many managers served. --refuse-for makes the list service answer 503 for its first S seconds.
";

struct Ask {
    managers: usize,
    engines: usize,
    seconds: f64,
    refuse_for: f64,
    cold_start: Option<String>,
    program: PathBuf,
    dir: PathBuf,
}

fn value(p: &mut lexopt::Parser) -> Result<String, String> {
    p.value().map_err(|e| e.to_string())?.string().map_err(|e| format!("{e:?}"))
}

/// The option's value as a number within `low` and `high`; the error names the option and its range.
fn number<T: std::str::FromStr + PartialOrd + std::fmt::Display>(
    p: &mut lexopt::Parser,
    name: &str,
    low: T,
    high: T,
) -> Result<T, String> {
    let v = value(p)?.parse::<T>().ok().filter(|v| *v >= low && *v <= high);
    v.ok_or_else(|| format!("--{name}: {low} to {high}"))
}

fn parse() -> Result<Ask, String> {
    let mut p = lexopt::Parser::from_env();
    let mut ask = Ask {
        managers: 50,
        engines: 8,
        seconds: 4.0,
        refuse_for: 0.0,
        cold_start: None,
        program: PathBuf::from("target/release/sprucelink"),
        dir: std::env::temp_dir().join(format!("sprucelink-fleet-{}", std::process::id())),
    };
    let mut command = None;
    while let Some(arg) = p.next().map_err(|e| e.to_string())? {
        match arg {
            Long("managers") => ask.managers = number(&mut p, "managers", 1, MOST_MANAGERS)?,
            Long("engines") => ask.engines = number(&mut p, "engines", 1, 100)?,
            Long("seconds") => ask.seconds = number(&mut p, "seconds", 0.5, 120.0)?,
            Long("refuse-for") => ask.refuse_for = number(&mut p, "refuse-for", 0.0, 120.0)?,
            Long("cold-start") => ask.cold_start = Some(value(&mut p)?),
            Long("program") => ask.program = PathBuf::from(value(&mut p)?),
            Long("dir") => ask.dir = PathBuf::from(value(&mut p)?),
            Long("help") | Short('h') => return Err("help".into()),
            Value(v) if command.is_none() => command = Some(v.string().map_err(|e| format!("{e:?}"))?),
            other => return Err(other.unexpected().to_string()),
        }
    }
    match command.as_deref() {
        Some("start-up") => Ok(ask),
        _ => Err(String::new()),
    }
}

fn main() {
    let ask = match parse() {
        Ok(ask) => ask,
        Err(e) if e == "help" => return print!("{USAGE}"),
        Err(e) => {
            eprint!("{}{USAGE}", if e.is_empty() { String::new() } else { format!("{e}\n\n") });
            std::process::exit(2);
        }
    };
    if let Err(e) = run(&ask) {
        eprintln!("sprucelink-fleet: {e}");
        std::process::exit(1);
    }
}

fn run(ask: &Ask) -> Result<(), String> {
    let start = Instant::now();
    let engines: Vec<CountingEngine> = (0..ask.engines)
        .map(|_| CountingEngine::start(start))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    let named: Vec<(String, std::net::SocketAddr)> =
        engines.iter().enumerate().map(|(i, e)| (format!("s-{i:04}"), e.address)).collect();
    let list = procs::list(&named);
    let service = ListService::start(list.clone(), start).map_err(|e| e.to_string())?;
    if ask.refuse_for > 0.0 {
        service.set_mood(Mood::Refusing);
    }
    let settings = procs::settings(ask.managers);
    let args: Vec<String> =
        ask.cold_start.iter().flat_map(|f| ["--cold-start".to_owned(), f.clone()]).collect();
    let mut fleet = Fleet::new(&ask.program, &ask.dir).map_err(|e| e.to_string())?;
    for i in 0..ask.managers {
        let name = format!("n{i}");
        let config = procs::config(&name, 0x5eed_0000 + i as u64, service.address, &list, &settings);
        fleet.start(&name, &config, &args).map_err(|e| format!("{name}: {e}"))?;
    }
    let up = fleet.wait_all("serving on ", Duration::from_secs(30));
    let asked: Vec<_> = (0..ask.managers)
        .filter_map(|i| fleet.serving(i).map(|at| (i, at)))
        .map(|(i, at)| {
            std::thread::spawn(move || sprucelink_fleetrig::ask_once(at, 1 + i as u64).unwrap_or(false))
        })
        .collect();
    let served = asked.into_iter().map(|h| h.join()).filter(|r| matches!(r, Ok(true))).count();
    let end = start + Duration::from_secs_f64(ask.seconds);
    if ask.refuse_for > 0.0 {
        std::thread::sleep(
            (start + Duration::from_secs_f64(ask.refuse_for)).saturating_duration_since(Instant::now()),
        );
        service.set_mood(Mood::Serving);
    }
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    fleet.end_all();
    let calls = service.calls.lock().map_err(|_| "poisoned")?.clone();
    let mut dials = sprucelink_fleetrig::Counted::default();
    for e in &engines {
        dials.at.extend(e.dials.lock().map_err(|_| "poisoned")?.at.iter().copied());
    }
    let (ms100, s1) = (Duration::from_millis(100), Duration::from_secs(1));
    println!("managers,cold_start,up,served,list_calls,calls_peak_100ms,calls_peak_1s,dials,dials_peak_100ms,dials_peak_1s");
    println!(
        "{},{},{up},{served},{},{},{},{},{},{}",
        ask.managers,
        ask.cold_start.is_some(),
        calls.at.len(),
        calls.peak(ms100),
        calls.peak(s1),
        dials.at.len(),
        dials.peak(ms100),
        dials.peak(s1)
    );
    let _ = std::fs::remove_dir_all(&ask.dir);
    Ok(())
}
