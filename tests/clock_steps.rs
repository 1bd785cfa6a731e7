//! The wall clock steps while the program runs: what counts is real time, within a process and between two.

mod support;

use sprucelink_fault_soak::clock::{monotonic_ms, wall_ms, ClockStep};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};
use support::*;

const HOUR_MS: i64 = 3_600_000;

/// The variables under which a program's wall clock steps.
fn stepping(steps: &[ClockStep]) -> Vec<(&'static str, String)> {
    let library = sprucelink_fault_soak::shim::build(&scratch_dir()).expect("compiled");
    let steps: Vec<String> =
        steps.iter().map(|step| format!("step={}:{}", step.at_ms, step.ahead_ms)).collect();
    let library = library.to_str().expect("a name in UTF-8").to_owned();
    vec![("LD_PRELOAD", library), ("SYSCALL_FAULTS", steps.join(","))]
}

/// A list event that names one more engine, which started at this Unix millisecond.
fn started(n: usize, id: &str, address: SocketAddr, up_since_ms: i64) -> String {
    format!(
        r#"{{"n":{n},"members":{{"revision":{n},"complete":false,"members":[{{"id":"{id}","host_port":"{address}",
"locality":"hall-a","flavor":"std","cell":0,"phase":"ready","size":1,"up_since_ms":{up_since_ms}}}]}}}}"#
    )
    .replace('\n', "")
}

/// How many of 100 requests an engine gets that started just before the step, and is listed behind it. Each is estimated at
/// 10 s of work: by the settings, some ten fit its slow start.
fn sends_to_an_engine_started_before_a_step(ahead_ms: i64, settings: &str, wait: Duration) -> usize {
    let (known, fresh) = (Engine::echo(), Engine::echo());
    let feed = Feed::start();
    feed.send(list(1, true, &[("s-1", known.address, "ready")]));
    let step = ClockStep { at_ms: monotonic_ms() + 1_500, ahead_ms };
    let vars = stepping(&[step]);
    let vars: Vec<(&str, &str)> = vars.iter().map(|(name, value)| (*name, value.as_str())).collect();
    let engines = [("s-1", known.address)];
    let program = Program::launch_in(&vars, None, &engines, Some(&feed), None, (192, 1024), settings, &[]);
    wait_until(|| (feed.open_calls() > 0).then_some(()));
    let up_since_ms = wall_ms(&[]);
    let pause = u64::try_from(step.at_ms + 300 - monotonic_ms()).expect("the step is to come");
    std::thread::sleep(Duration::from_millis(pause));
    feed.send(started(2, "s-2", fresh.address, up_since_ms));
    program.wait_line("engine_id=s-2 phase=Ready");
    std::thread::sleep(wait);
    let mut client = RawClient::connect(program.platform);
    let begun = Instant::now();
    for id in 1..=100 {
        let sql = format!(
            "/* kind=lane-rate,req={id:016x},timeout=28000,owner=sud,ms=10000 */ SELECT 1 FROM a_1.b"
        );
        let _ = client.ask(&sql);
    }
    assert!(begun.elapsed() < Duration::from_millis(1_900), "{:?}: no window of slow start", begun.elapsed());
    fresh.received("do").len()
}

/// N is 2.5 x 0.3 x 64 cores x 2 s over 10 s: about 10, and 20 with its root.
#[test]
fn engine_started_before_a_step_forward_is_in_slow_start() {
    let sends = sends_to_an_engine_started_before_a_step(HOUR_MS, SETTINGS, Duration::ZERO);
    assert!(sends <= 20, "{sends} of 100 went to a cold engine");
}

/// With a slow start of 2 s the engine is warm by then, whatever the wall clock says.
#[test]
fn engine_started_before_a_step_back_leaves_slow_start_in_time() {
    let settings = SETTINGS.replace(r#""cold":15.0"#, r#""cold":2.0"#);
    let sends = sends_to_an_engine_started_before_a_step(-HOUR_MS, &settings, Duration::from_millis(2_500));
    assert!(sends >= 30, "{sends} of 100 went to an engine that is warm");
}

/// Two processes of a hot restart that the step lies between: each knows that the other lives.
fn both_know_each_other(ahead_ms: i64) {
    let engine = Engine::echo();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let folder = scratch_dir();
    let step = ClockStep { at_ms: monotonic_ms() + 1_500, ahead_ms };
    let vars = stepping(&[step]);
    let mut all: Vec<(&str, &str)> = vars.iter().map(|(name, value)| (*name, value.as_str())).collect();
    all.extend([("EDGE_OPERATOR", "127.0.0.1:0"), ("EDGE_FD", "5")]);
    all.push(("TMPDIR", folder.to_str().expect("a name in UTF-8")));
    let start = || {
        let engines = [("s-1", engine.address)];
        Program::launch_in(&all, Some(&listener), &engines, None, None, (192, 1024), SETTINGS, &[])
    };
    let old = start();
    old.wait_line("phase=Serving ");
    let pause = u64::try_from(step.at_ms + 300 - monotonic_ms()).expect("the step is to come");
    std::thread::sleep(Duration::from_millis(pause));
    let new = start();
    new.wait_line("phase=Serving budget_parts=2");
    old.wait_line("phase=ServingBesideSuccessor budget_parts=2");
    let unacknowledged = new.lines().into_iter().find(|line| line.contains("did not share"));
    assert_eq!(unacknowledged, None);
}

#[test]
fn processes_of_a_hot_restart_know_each_other_over_a_step_forward() {
    both_know_each_other(HOUR_MS);
}

#[test]
fn processes_of_a_hot_restart_know_each_other_over_a_step_back() {
    both_know_each_other(-HOUR_MS);
}
