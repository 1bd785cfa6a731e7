//! Compares two builds of the program, as ratios within one run: processor time of a start, a request and a
//! control feed event, and memory after the start and after the load. The test is ignored by default:
//! `SPRUCELINK_BEFORE=PATH SPRUCELINK_AFTER=PATH cargo test --test measure_plumbing -- --ignored --nocapture`.
mod support;

use std::os::unix::fs::PermissionsExt;
use std::thread;
use std::time::Duration;
use support::timed_engine::BUSY;
use support::*;

/// Number of rounds, in each of which both programs are measured.
const ROUNDS: usize = 7;
const SESSIONS: u64 = 8;
/// Measured requests per session.
const REQUESTS: u64 = 600;
/// Measured events of the control feed.
const EVENTS: usize = 400;

/// Processor time of the whole process so far, in microseconds.
fn processor_time(program: &Program) -> f64 {
    let root = format!("/proc/{}/task", program.id());
    let tasks = std::fs::read_dir(&root).expect("read").map(|e| e.expect("a task").path());
    let task_time = |task: std::path::PathBuf| -> f64 {
        let text = std::fs::read_to_string(task.join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0.0)
    };
    tasks.map(task_time).sum::<f64>() / 1e3
}

/// Memory in KiB, by the name of a field in `/proc/PID/status`.
fn memory(program: &Program, name: &str) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", program.id())).expect("read");
    let line = text.lines().find(|l| l.starts_with(name)).expect("a line");
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number")
}

const METRICS: [&str; 8] = [
    "start: processor time, us",
    "start: resident memory, KiB",
    "start: resident anonymous memory, KiB",
    "processor time per request, us",
    "processor time per feed event, us",
    "after the load: resident memory, KiB",
    "after the load: resident anonymous memory, KiB",
    "peak resident memory, KiB",
];

/// A fresh copy of a program's file. How much of the file a process has resident depends on how the file lies
/// in the page cache, which depends on how and when it was written.
fn fresh_copy(path: &str) -> std::path::PathBuf {
    let copy = scratch_dir().join("program");
    std::fs::write(&copy, std::fs::read(path).expect("read")).expect("written");
    std::fs::set_permissions(&copy, std::fs::Permissions::from_mode(0o755)).expect("set");
    copy
}

/// Measures one program under a memory limit of 32 MB. The results are in the order of [`METRICS`].
fn measure(path: &str) -> [f64; 8] {
    let file = fresh_copy(path);
    std::env::set_var("SPRUCELINK_PROGRAM", &file);
    let engines: Vec<Engine> = (0..8).map(|_| Engine::echo()).collect();
    let ids: Vec<String> = (1..=8).map(|n| format!("s-{n}")).collect();
    let engines_by_id: Vec<_> =
        ids.iter().map(String::as_str).zip(engines.iter().map(|e| e.address)).collect();
    let feed = Feed::start();
    let listed: Vec<_> = engines_by_id.iter().map(|(id, address)| (*id, *address, "ready")).collect();
    feed.send(list_event(1, true, &listed));
    let mut program = Program::launch(&engines_by_id, Some(&feed), None, (32, 1024), BUSY, &[]);
    wait_until(|| (feed.open_calls() > 0).then_some(()));
    thread::sleep(Duration::from_millis(300));
    let start = [processor_time(&program), memory(&program, "VmRSS"), memory(&program, "RssAnon")];
    let to = program.platform;
    let send_requests = |first_id: u64, count: u64| {
        let threads = (0..SESSIONS).map(|s| {
            thread::spawn(move || {
                let mut client = RawClient::connect(to);
                for k in 0..count {
                    let sql = support::timed_engine::lookup_sql((s << 40) + first_id + k, 5);
                    assert_eq!(rows(&client.ask(&sql)).len(), 1);
                }
            })
        });
        threads.collect::<Vec<_>>().into_iter().for_each(|t| t.join().expect("served"));
    };
    send_requests(0, 100);
    let before_requests = processor_time(&program);
    send_requests(1_000, REQUESTS);
    let before_events = processor_time(&program);
    (0..EVENTS).for_each(|n| feed.send(list_event(n + 2, false, &listed[..1])));
    feed.send(list_event(EVENTS + 2, false, &[("s-last", engines[0].address, "ready")]));
    program.wait_line("engine_id=s-last phase=Ready");
    let after_events = processor_time(&program);
    let end = [memory(&program, "VmRSS"), memory(&program, "RssAnon"), memory(&program, "VmHWM")];
    program.terminate();
    program.wait_for_exit();
    std::fs::remove_dir_all(file.parent().expect("a folder")).expect("removed");
    let per_request = (before_events - before_requests) / (SESSIONS * REQUESTS) as f64;
    let per_event = (after_events - before_events) / EVENTS as f64;
    [start[0], start[1], start[2], per_request, per_event, end[0], end[1], end[2]]
}

#[test]
#[ignore = "measures for about a minute"]
fn compare_two_builds() {
    let path = |name: &str| std::env::var(name).unwrap_or_else(|_| panic!("{name} must name a program"));
    let (before, after) = (path("SPRUCELINK_BEFORE"), path("SPRUCELINK_AFTER"));
    let mut rounds: Vec<[[f64; 8]; 2]> = Vec::new();
    for n in 0..ROUNDS {
        // The order alternates between rounds, so that warming up favours neither.
        rounds.push(if n % 2 == 0 {
            let first = measure(&before);
            [first, measure(&after)]
        } else {
            let first = measure(&after);
            [measure(&before), first]
        });
    }
    let median_and_range = |mut values: Vec<f64>| {
        values.sort_by(f64::total_cmp);
        (values[values.len() / 2], values[0], values[values.len() - 1])
    };
    println!("| metric | before | after | after relative to before (minimum to maximum of {ROUNDS} pairs) |");
    println!("| --- | --- | --- | --- |");
    for (i, name) in METRICS.iter().enumerate() {
        let median = |build: usize| median_and_range(rounds.iter().map(|r| r[build][i]).collect()).0;
        let (ratio, min, max) = median_and_range(rounds.iter().map(|r| r[1][i] / r[0][i]).collect());
        println!("| {name} | {:.1} | {:.1} | {ratio:.3} ({min:.3} to {max:.3}) |", median(0), median(1));
    }
}
