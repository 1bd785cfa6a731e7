//! Two programs side by side, one build against another, as ratios in one run: processor time at a start, a
//! request and an event of the control feed, and memory at a start and after the load. Not part of the suite:
//! `SPRUCELINK_BEFORE=PATH SPRUCELINK_AFTER=PATH cargo test --test measure_plumbing -- --ignored --nocapture`.
mod support;

use std::os::unix::fs::PermissionsExt;
use std::thread;
use std::time::Duration;
use support::timed_engine::BUSY;
use support::*;

const ROUNDS: usize = 7;
const SESSIONS: u64 = 8;
const REQUESTS: u64 = 600;
const EVENTS: usize = 400;

/// Processor time of the whole process so far, in microseconds.
fn cpu(program: &Program) -> f64 {
    let root = format!("/proc/{}/task", program.id());
    let tasks = std::fs::read_dir(&root).expect("read").map(|e| e.expect("a task").path());
    let one = |task: std::path::PathBuf| -> f64 {
        let text = std::fs::read_to_string(task.join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0)
    };
    tasks.map(one).sum::<f64>() / 1e3
}

/// Memory in KiB by a name of `/proc/ID/status`.
fn memory(program: &Program, name: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", program.id())).expect("read");
    let line = text.lines().find(|l| l.starts_with(name)).expect("a line");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

const FIGURES: [&str; 8] = [
    "start: us of processor",
    "start: KiB resident",
    "start: KiB of it not in files",
    "us of processor a request",
    "us of processor an event of the feed",
    "after the load: KiB resident",
    "after the load: KiB of it not in files",
    "peak KiB resident",
];

/// A fresh copy of a program's file: how much of it a process holds resident goes by how the file lies in the page
/// cache, and that by how and when it was written.
fn copied(path: &str) -> std::path::PathBuf {
    let copy = scratch_dir().join("program");
    std::fs::write(&copy, std::fs::read(path).expect("read")).expect("written");
    std::fs::set_permissions(&copy, std::fs::Permissions::from_mode(0o755)).expect("set");
    copy
}

/// One program's figures, under a limit of 32 MB.
fn round(path: &str) -> [f64; 8] {
    let file = copied(path);
    std::env::set_var("SPRUCELINK_PROGRAM", &file);
    let engines: Vec<Engine> = (0..8).map(|_| Engine::echo()).collect();
    let ids: Vec<String> = (1..=8).map(|n| format!("s-{n}")).collect();
    let named: Vec<_> = ids.iter().map(String::as_str).zip(engines.iter().map(|e| e.address)).collect();
    let feed = Feed::start();
    let whole: Vec<_> = named.iter().map(|(id, at)| (*id, *at, "ready")).collect();
    feed.send(list(1, true, &whole));
    let mut program = Program::launch(&named, Some(&feed), None, (32, 1024), BUSY, &[]);
    wait_until(|| (feed.open_calls() > 0).then_some(()));
    thread::sleep(Duration::from_millis(300));
    let start = [cpu(&program), memory(&program, "VmRSS"), memory(&program, "RssAnon")];
    let to = program.platform;
    let ask = |from: u64, n: u64| {
        let all = (0..SESSIONS).map(|s| {
            thread::spawn(move || {
                let mut raw = RawClient::connect(to);
                for k in 0..n {
                    let sql = support::timed_engine::lookup_sql((s << 40) + from + k, 5);
                    assert_eq!(rows(&raw.ask(&sql)).len(), 1);
                }
            })
        });
        all.collect::<Vec<_>>().into_iter().for_each(|t| t.join().expect("asked"));
    };
    ask(0, 100);
    let before = cpu(&program);
    ask(1_000, REQUESTS);
    let asked = cpu(&program);
    (0..EVENTS).for_each(|n| feed.send(list(n + 2, false, &whole[..1])));
    feed.send(list(EVENTS + 2, false, &[("s-last", engines[0].address, "ready")]));
    program.wait_line("engine_id=s-last phase=Ready");
    let told = cpu(&program);
    let end = [memory(&program, "VmRSS"), memory(&program, "RssAnon"), memory(&program, "VmHWM")];
    program.terminate();
    program.wait_for_exit();
    std::fs::remove_dir_all(file.parent().expect("a folder")).expect("removed");
    let a_request = (asked - before) / (SESSIONS * REQUESTS) as f64;
    let an_event = (told - asked) / EVENTS as f64;
    [start[0], start[1], start[2], a_request, an_event, end[0], end[1], end[2]]
}

#[test]
#[ignore = "measures for about a minute"]
fn one_build_against_another() {
    let path = |name: &str| std::env::var(name).unwrap_or_else(|_| panic!("{name} names a program"));
    let (before, after) = (path("SPRUCELINK_BEFORE"), path("SPRUCELINK_AFTER"));
    let mut all: Vec<[[f64; 8]; 2]> = Vec::new();
    for n in 0..ROUNDS {
        // The order changes from round to round, so that warming up favours neither.
        all.push(if n % 2 == 0 {
            let first = round(&before);
            [first, round(&after)]
        } else {
            let first = round(&after);
            [round(&before), first]
        });
    }
    let middle = |mut v: Vec<f64>| {
        v.sort_by(f64::total_cmp);
        (v[v.len() / 2], v[0], v[v.len() - 1])
    };
    println!("| figure | before | after | after against before (least to most of {ROUNDS} pairs) |");
    println!("| --- | --- | --- | --- |");
    for (i, name) in FIGURES.iter().enumerate() {
        let of = |side: usize| middle(all.iter().map(|r| r[side][i]).collect()).0;
        let (ratio, least, most) = middle(all.iter().map(|r| r[1][i] / r[0][i]).collect());
        println!("| {name} | {:.1} | {:.1} | {ratio:.3} ({least:.3} to {most:.3}) |", of(0), of(1));
    }
}
