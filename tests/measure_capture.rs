//! What recording costs the running program, as ratios in one run: processor time with the recorder on against
//! off, whole and on the serving thread alone, and bytes a request. Not part of the suite:
//! `cargo test --release --test measure_capture -- --ignored --nocapture`.
mod support;

use std::thread;
use support::timed_engine::BUSY;
use support::*;

const ROUNDS: usize = 7;
const SESSIONS: u64 = 8;
const REQUESTS: u64 = 3_000;

/// Processor time in nanoseconds: of the whole process, and of its serving thread.
fn cpu(program: &Program) -> (u64, u64) {
    let one = |task: &std::path::Path| -> u64 {
        let text = std::fs::read_to_string(task.join("schedstat")).unwrap_or_default();
        text.split(' ').next().and_then(|n| n.parse().ok()).unwrap_or(0)
    };
    let root = std::path::PathBuf::from(format!("/proc/{}/task", program.id()));
    let tasks: Vec<_> = std::fs::read_dir(&root).expect("read").map(|e| e.expect("a task").path()).collect();
    (tasks.iter().map(|t| one(t)).sum(), one(&root.join(program.id().to_string())))
}

/// One round: nanoseconds a request, whole and serving, and bytes recorded a request.
fn round(capture: bool) -> (f64, f64, f64) {
    let engines: Vec<Engine> = (0..8).map(|_| Engine::echo()).collect();
    let ids: Vec<String> = (1..=8).map(|n| format!("s-{n}")).collect();
    let named: Vec<(&str, std::net::SocketAddr)> =
        ids.iter().map(String::as_str).zip(engines.iter().map(|e| e.address)).collect();
    let dir = scratch_dir();
    let more = ["--capture", dir.to_str().expect("text")];
    let more = if capture { &more[..] } else { &[] };
    let mut program = Program::launch(&named, None, None, (192, 1024), BUSY, more);
    let to = program.platform;
    let ask = |from: u64, n: u64| {
        let all: Vec<_> = (0..SESSIONS)
            .map(|s| {
                thread::spawn(move || {
                    let mut raw = RawClient::connect(to);
                    for k in 0..n {
                        let sql = support::timed_engine::lookup_sql((s << 40) + from + k, 5);
                        assert_eq!(rows(&raw.ask(&sql)).len(), 1);
                    }
                })
            })
            .collect();
        all.into_iter().for_each(|t| t.join().expect("asked"));
    };
    ask(0, 300);
    let before = cpu(&program);
    ask(1_000, REQUESTS);
    let after = cpu(&program);
    program.terminate();
    program.wait_for_exit();
    let bytes: u64 = std::fs::read_dir(&dir)
        .expect("read")
        .map(|e| e.expect("a file").metadata().expect("read").len())
        .sum();
    let n = (SESSIONS * REQUESTS) as f64;
    (
        (after.0 - before.0) as f64 / n,
        (after.1 - before.1) as f64 / n,
        bytes as f64 / (n + 300.0 * SESSIONS as f64),
    )
}

#[test]
#[ignore = "measures for about a minute"]
fn recording_against_none() {
    let (mut whole, mut serving, mut size) = (Vec::new(), Vec::new(), 0.0);
    for n in 0..ROUNDS {
        // The order changes from round to round, so that warming up favours neither.
        let (off, on) = if n % 2 == 0 {
            let off = round(false);
            (off, round(true))
        } else {
            let on = round(true);
            (round(false), on)
        };
        println!(
            "off {:.0} / {:.0} ns, on {:.0} / {:.0} ns a request, whole / serving thread",
            off.0, off.1, on.0, on.1
        );
        whole.push(on.0 / off.0);
        serving.push(on.1 / off.1);
        size = on.2;
    }
    let spread = |all: &mut Vec<f64>| {
        all.sort_by(f64::total_cmp);
        format!("{:.3} ({:.3} to {:.3})", all[all.len() / 2], all[0], all[all.len() - 1])
    };
    println!("serving thread, on against off: {}", spread(&mut serving));
    println!("whole process, on against off: {}", spread(&mut whole));
    println!("{size:.0} bytes a request");
}
