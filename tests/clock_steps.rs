//! Steps of the wall clock while the program runs: durations are measured in elapsed time, within a process
//! and between the processes of a hot restart.

mod support;

use sprucelink_fault_soak::clock::{monotonic_ms, wall_ms, ClockStep};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use support::*;

const HOUR_MS: i64 = 3_600_000;

/// Compiles the library of system call faults. This takes seconds on a loaded machine, so that the time of a
/// step is set only afterwards: otherwise the step could pass before the program has started.
fn build_fault_library() -> PathBuf {
    sprucelink_fault_soak::shim::build(&scratch_dir()).expect("the fault library compiles")
}

/// Environment variables that preload the fault library and make a program's wall clock step.
fn clock_step_variables(library: &Path, steps: &[ClockStep]) -> Vec<(&'static str, String)> {
    let steps: Vec<String> =
        steps.iter().map(|step| format!("step={}:{}", step.at_ms, step.ahead_ms)).collect();
    let library = library.to_str().expect("the library's path is UTF-8").to_owned();
    vec![("LD_PRELOAD", library), ("SYSCALL_FAULTS", steps.join(","))]
}

/// A list event that adds an engine with this start time, in Unix milliseconds.
fn engine_started_event(n: usize, id: &str, address: SocketAddr, up_since_ms: i64) -> String {
    format!(
        r#"{{"n":{n},"members":{{"revision":{n},"complete":false,"members":[{{"id":"{id}","host_port":"{address}",
"locality":"hall-a","flavor":"std","cell":0,"phase":"ready","size":1,"up_since_ms":{up_since_ms}}}]}}}}"#
    )
    .replace('\n', "")
}

/// Counts how many of 100 requests go to an engine that started just before the step and is listed after it.
/// Each request is estimated at 10 s of work: by the settings, about ten fit the engine's slow start.
fn sends_to_an_engine_started_before_a_step(ahead_ms: i64, settings: &str, wait: Duration) -> usize {
    let (old, new) = (Engine::echo(), Engine::echo());
    let feed = Feed::start();
    feed.send(list_event(1, true, &[("s-1", old.address, "ready")]));
    let fault_library = build_fault_library();
    let step = ClockStep { at_ms: monotonic_ms() + 1_500, ahead_ms };
    let vars = clock_step_variables(&fault_library, &[step]);
    let vars: Vec<(&str, &str)> = vars.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let engines = [("s-1", old.address)];
    let program = Program::launch_in(&vars, None, &engines, Some(&feed), None, (192, 1024), settings, &[]);
    wait_until(|| (feed.open_calls() > 0).then_some(()));
    let up_since_ms = wall_ms(&[]);
    let pause = u64::try_from(step.at_ms + 300 - monotonic_ms()).expect("the clock has not stepped yet");
    std::thread::sleep(Duration::from_millis(pause));
    feed.send(engine_started_event(2, "s-2", new.address, up_since_ms));
    program.wait_line("engine_id=s-2 phase=Ready");
    std::thread::sleep(wait);
    let mut client = RawClient::connect(program.platform);
    let started_at = Instant::now();
    for id in 1..=100 {
        let sql = format!(
            "/* kind=lane-rate,req={id:016x},timeout=28000,owner=sud,ms=10000 */ SELECT 1 FROM a_1.b"
        );
        let _ = client.ask(&sql);
    }
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_millis(1_900), "{elapsed:?} exceeds one window of slow start");
    new.received("do").len()
}

/// The slow-start limit N is 2.5 x 0.3 x 64 cores x 2 s / 10 s, about 10; with the tolerance (a multiple of
/// the root of N) 20.
#[test]
fn engine_started_before_a_step_forward_is_in_slow_start() {
    let sends = sends_to_an_engine_started_before_a_step(HOUR_MS, SETTINGS, Duration::ZERO);
    assert!(sends <= 20, "{sends} of 100 went to a cold engine");
}

/// With a slow start of 2 s the engine is warm when the requests arrive, whatever the wall clock shows.
#[test]
fn engine_started_before_a_step_back_leaves_slow_start_in_time() {
    let settings = SETTINGS.replace(r#""cold":15.0"#, r#""cold":2.0"#);
    let sends = sends_to_an_engine_started_before_a_step(-HOUR_MS, &settings, Duration::from_millis(2_500));
    assert!(sends >= 30, "only {sends} of 100 went to a warm engine");
}

/// Starts the old process of a hot restart before the step and the new one after it, and checks that each
/// recognises the other as alive.
fn check_hot_restart_across_step(ahead_ms: i64) {
    let engine = Engine::echo();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let folder = scratch_dir();
    let fault_library = build_fault_library();
    let step = ClockStep { at_ms: monotonic_ms() + 1_500, ahead_ms };
    let vars = clock_step_variables(&fault_library, &[step]);
    let mut environment: Vec<(&str, &str)> =
        vars.iter().map(|(name, value)| (*name, value.as_str())).collect();
    environment.extend([("EDGE_OPERATOR", "127.0.0.1:0"), ("EDGE_FD", "5")]);
    environment.push(("TMPDIR", folder.to_str().expect("a name in UTF-8")));
    let start = || {
        let engines = [("s-1", engine.address)];
        Program::launch_in(&environment, Some(&listener), &engines, None, None, (192, 1024), SETTINGS, &[])
    };
    let old = start();
    old.wait_line("phase=Serving ");
    let pause = u64::try_from(step.at_ms + 300 - monotonic_ms()).expect("the clock has not stepped yet");
    std::thread::sleep(Duration::from_millis(pause));
    let new = start();
    new.wait_line("phase=Serving budget_parts=2");
    old.wait_line("phase=ServingBesideSuccessor budget_parts=2");
    let unacknowledged = new.lines().into_iter().find(|line| line.contains("did not share"));
    assert_eq!(unacknowledged, None);
}

#[test]
fn processes_of_a_hot_restart_recognise_each_other_across_a_step_forward() {
    check_hot_restart_across_step(HOUR_MS);
}

#[test]
fn processes_of_a_hot_restart_recognise_each_other_across_a_step_back() {
    check_hot_restart_across_step(-HOUR_MS);
}
