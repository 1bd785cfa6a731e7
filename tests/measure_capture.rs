//! Cost of recording in the running program, as ratios within one run: processor time with the recorder on
//! relative to off, of the whole process and of the serving thread, and bytes per request. The test is
//! ignored by default: `cargo test --release --test measure_capture -- --ignored --nocapture`.
mod support;

use std::thread;
use support::timed_engine::BUSY;
use support::*;

/// Number of rounds, in each of which the program is measured with the recorder off and on.
const ROUNDS: usize = 7;
const SESSIONS: u64 = 8;
/// Measured requests per session.
const REQUESTS: u64 = 3_000;

/// Processor time of the whole process and of its serving thread, in nanoseconds.
fn processor_time(program: &Program) -> (u64, u64) {
    let task_time = |task: &std::path::Path| -> u64 {
        let text = std::fs::read_to_string(task.join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0)
    };
    let root = std::path::PathBuf::from(format!("/proc/{}/task", program.id()));
    let tasks: Vec<_> = std::fs::read_dir(&root).expect("read").map(|e| e.expect("a task").path()).collect();
    (tasks.iter().map(|t| task_time(t)).sum(), task_time(&root.join(program.id().to_string())))
}

/// Measures the program once, with the recorder on if `capture` is true: processor time per request of the
/// whole process and of the serving thread, in nanoseconds, and bytes recorded per request.
fn measure(capture: bool) -> (f64, f64, f64) {
    let engines: Vec<Engine> = (0..8).map(|_| Engine::echo()).collect();
    let ids: Vec<String> = (1..=8).map(|n| format!("s-{n}")).collect();
    let engines_by_id: Vec<(&str, std::net::SocketAddr)> =
        ids.iter().map(String::as_str).zip(engines.iter().map(|e| e.address)).collect();
    let dir = scratch_dir();
    let args = ["--capture", dir.to_str().expect("text")];
    let args = if capture { &args[..] } else { &[] };
    let mut program = Program::launch(&engines_by_id, None, None, (192, 1024), BUSY, args);
    let to = program.platform;
    let send_requests = |first_id: u64, count: u64| {
        let threads: Vec<_> = (0..SESSIONS)
            .map(|s| {
                thread::spawn(move || {
                    let mut client = RawClient::connect(to);
                    for k in 0..count {
                        let sql = support::timed_engine::lookup_sql((s << 40) + first_id + k, 5);
                        assert_eq!(rows(&client.ask(&sql)).len(), 1);
                    }
                })
            })
            .collect();
        threads.into_iter().for_each(|t| t.join().expect("served"));
    };
    send_requests(0, 300);
    let before = processor_time(&program);
    send_requests(1_000, REQUESTS);
    let after = processor_time(&program);
    program.terminate();
    program.wait_for_exit();
    let bytes: u64 = std::fs::read_dir(&dir)
        .expect("read")
        .map(|e| e.expect("a file").metadata().expect("read").len())
        .sum();
    let requests = (SESSIONS * REQUESTS) as f64;
    (
        (after.0 - before.0) as f64 / requests,
        (after.1 - before.1) as f64 / requests,
        bytes as f64 / (requests + 300.0 * SESSIONS as f64),
    )
}

#[test]
#[ignore = "measures for about a minute"]
fn cost_of_recording() {
    let (mut process_ratios, mut thread_ratios, mut bytes) = (Vec::new(), Vec::new(), 0.0);
    for n in 0..ROUNDS {
        // The order alternates between rounds, so that warming up favours neither.
        let (off, on) = if n % 2 == 0 {
            let off = measure(false);
            (off, measure(true))
        } else {
            let on = measure(true);
            (measure(false), on)
        };
        println!(
            "off {:.0} / {:.0} ns, on {:.0} / {:.0} ns per request, whole process / serving thread",
            off.0, off.1, on.0, on.1
        );
        process_ratios.push(on.0 / off.0);
        thread_ratios.push(on.1 / off.1);
        bytes = on.2;
    }
    let median_and_range = |ratios: &mut Vec<f64>| {
        ratios.sort_by(f64::total_cmp);
        format!("{:.3} ({:.3} to {:.3})", ratios[ratios.len() / 2], ratios[0], ratios[ratios.len() - 1])
    };
    println!("serving thread, on relative to off: {}", median_and_range(&mut thread_ratios));
    println!("whole process, on relative to off: {}", median_and_range(&mut process_ratios));
    println!("{bytes:.0} bytes per request");
}
