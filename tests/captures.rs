//! Traffic capture by the running program, the subcommands that read captures, and the cases in `captures/`.
mod support;

use std::path::{Path, PathBuf};
use std::process::Command;
use support::timed_engine::{lookup_sql, TimedEngine, BUSY};
use support::*;

/// Runs the program to its end and returns its exit status, standard output and standard error.
fn run_cli(args: &[&str]) -> (i32, String, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_sprucelink")).args(args).output().expect("run");
    let text = |b: Vec<u8>| String::from_utf8(b).expect("text");
    (out.status.code().expect("an exit status"), text(out.stdout), text(out.stderr))
}

fn files(dir: &Path) -> Vec<PathBuf> {
    let mut all: Vec<PathBuf> =
        std::fs::read_dir(dir).expect("a folder").map(|e| e.expect("an entry").path()).collect();
    all.sort();
    all
}

/// Sends lookups with consecutive ids on one session and returns the number of rows received.
fn send_lookups(program: &Program, first_id: u64, count: u64) -> usize {
    let mut client = RawClient::connect(program.platform);
    (first_id..first_id + count).map(|id| rows(&client.ask(&lookup_sql(id, 5))).len()).sum()
}

/// Replays in ten processes give the same digest, and `explain` shows the history of a request or an engine.
#[test]
fn recorded_run_replays_identically_in_every_process() {
    let (first_engine, second_engine, dir) = (TimedEngine::start(), TimedEngine::start(), scratch_dir());
    let path = dir.to_str().expect("text");
    let engines = [("s-1", first_engine.address), ("s-2", second_engine.address)];
    let mut program = Program::launch(&engines, None, None, (192, 1024), BUSY, &["--capture", path]);
    assert_eq!(send_lookups(&program, 1, 60), 60);
    program.terminate();
    assert_eq!(program.wait_for_exit(), Some(0));
    let first = run_cli(&["replay", path, "--times", "3", "--json"]);
    assert_eq!((first.0, first.2.as_str()), (0, ""), "{}", first.1);
    let json: serde_json::Value = serde_json::from_str(&first.1).expect("JSON");
    assert_eq!((&json["same"], &json["alike"], &json["differ"]), (&true.into(), &true.into(), &0.into()));
    for _ in 0..9 {
        let again: serde_json::Value =
            serde_json::from_str(&run_cli(&["replay", path, "--json"]).1).expect("JSON");
        assert_eq!(again["digest"], json["digest"]);
    }
    let (status, text, _) = run_cli(&["explain", path, "--request", &format!("{:016x}", 7)]);
    assert_eq!(status, 0);
    for part in ["arrived: class 0", "priced", "draw at", "sent, attempt 0, to s-", "ended Delivered"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let (status, text, _) = run_cli(&["explain", path, "--engine", "s-1", "--json"]);
    let line: serde_json::Value = serde_json::from_str(text.lines().next().expect("a line")).expect("JSON");
    assert!(status == 0 && line["data"]["kind"].is_string());
    let shown: serde_json::Value =
        serde_json::from_str(&run_cli(&["capture", "show", path, "--json"]).1).expect("JSON");
    let segment = &shown["segments"][0];
    assert_eq!(
        (&segment["events"]["arrived"], &segment["end"], &segment["lost_after"]),
        (&60.into(), &"closed".into(), &0.into())
    );
    // A replay with another setting: the exit status tells whether answers differ.
    let (status, text, _) = run_cli(&["replay", path, "--set", "gateways=1", "--treatment", "matched"]);
    assert!(status == 0 || text.contains("answers differ"), "{text}");
    // A case cut from the capture satisfies its rules.
    let case_path = dir.join("case.case");
    let case_path = case_path.to_str().expect("text");
    let (status, text, stderr) = run_cli(&[
        "capture", "cut", path, "--around", "+0.2", "--before", "0.1", "--after", "0.1", "--out", case_path,
    ]);
    assert!(status == 0 && text.contains("holds"), "{text}{stderr}");
    assert_eq!(run_cli(&["capture", "verify", case_path]).0, 0);
    assert_eq!(
        run_cli(&["explain", path, "--request", "ffffffffffffffff"]).0,
        2,
        "an unknown request cannot be explained"
    );
}

/// A crash loses only the events that were not yet handed over to the thread that writes the capture. A
/// truncated or damaged capture replays up to the fault, which is reported.
#[test]
fn truncated_or_damaged_capture_replays_up_to_the_fault_and_reports_it() {
    let (engine, dir) = (TimedEngine::start(), scratch_dir());
    let path = dir.to_str().expect("text");
    let mut program =
        Program::launch(&[("s-1", engine.address)], None, None, (192, 1024), BUSY, &["--capture", path]);
    assert_eq!(send_lookups(&program, 1, 40), 40);
    // Waits until a block has been written after the header and the checkpoint.
    wait_until(|| {
        let (_, text, _) = run_cli(&["capture", "show", path, "--json"]);
        let shown: serde_json::Value = serde_json::from_str(&text).ok()?;
        (shown["segments"][0]["events"]["arrived"].as_u64()? >= 40).then_some(())
    });
    program.kill();
    let (status, _, stderr) = run_cli(&["replay", path]);
    assert!(status == 0 && stderr.contains("is cut off"), "{stderr}");
    // A partial frame at the end, as a crash in the middle of a write leaves it.
    let file = &files(&dir)[0];
    let bytes = std::fs::read(file).expect("read");
    std::fs::write(file, [&bytes[..], &bytes[..9]].concat()).expect("written");
    let (status, _, stderr) = run_cli(&["replay", path]);
    assert!(status == 0 && stderr.contains("cut off inside a frame"), "{stderr}");
    // A changed byte is reported as damage with its offset; a file that is not a capture is rejected.
    let mut damaged = bytes.clone();
    let offset = damaged.len() - 3;
    damaged[offset] ^= 1;
    std::fs::write(file, &damaged).expect("written");
    let (status, _, stderr) = run_cli(&["replay", path]);
    assert!(status == 0 && stderr.contains("damaged at byte"), "{stderr}");
    std::fs::write(file, "no capture").expect("written");
    assert_eq!(run_cli(&["replay", path]).0, 2);
    assert_eq!(run_cli(&["replay", dir.join("nothing").to_str().expect("text")]).0, 2);
}

#[test]
fn unusable_capture_folder_does_not_stop_serving() {
    let (engine, dir) = (TimedEngine::start(), scratch_dir());
    let file = dir.join("file");
    std::fs::write(&file, "no folder").expect("written");
    let path = file.join("below");
    let args = ["--capture", path.to_str().expect("text")];
    let mut program = Program::launch(&[("s-1", engine.address)], None, None, (192, 1024), BUSY, &args);
    program.wait_line("capture not written");
    assert_eq!(send_lookups(&program, 1, 30), 30);
    program.terminate();
    assert_eq!(program.wait_for_exit(), Some(0));
}

#[test]
fn invalid_recorder_settings_are_rejected_at_start() {
    let dir = scratch_dir();
    let (config, recorder) = (dir.join("c.json"), dir.join("r.json5"));
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":1,"known":{{"n":1,"events":[{}]}},"settings":{BUSY}}}"#,
        list_event(1, true, &[])
    );
    std::fs::write(&config, text).expect("written");
    let args = ["--config", config.to_str().expect("text"), "--recorder", recorder.to_str().expect("text")];
    for (text, field) in [
        ("{dir: 'x', ring_mb: 'y'}", "ring_mb"),
        ("{dir: 'x', rings: 3}", "rings"),
        ("{dir: 'x', segment_s: 0}", "segment_s"),
    ] {
        std::fs::write(&recorder, text).expect("written");
        for command in ["check", "serve"] {
            let (status, _, stderr) = run_cli(&[&[command], &args[..]].concat());
            assert!(
                status == 2 && (stderr.contains(field) || stderr.contains("line 1")),
                "{status}: {stderr}"
            );
        }
    }
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/capture.json5");
    let args = ["check", args[0], args[1], args[2], example.to_str().expect("text")];
    let (status, text, stderr) = run_cli(&args);
    assert!(status == 0 && text.contains("recorder's settings will do"), "{stderr}");
}

/// Each case in `captures/` records a past failure, with the rules that a replay must satisfy.
#[test]
fn every_stored_case_satisfies_its_rules() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("captures");
    let cases = files(&dir);
    assert!(cases.iter().filter(|c| c.extension().is_some_and(|e| e == "slc")).count() >= 4);
    let (status, text, stderr) = run_cli(&["capture", "verify", dir.to_str().expect("text")]);
    assert_eq!(status, 0, "{text}{stderr}");
}

/// With `--log-format json` each log line is one object with the fields of the event.
#[test]
fn log_lines_can_be_json() {
    let engine = TimedEngine::start();
    let args = ["--log-format", "json", "--log-level", "debug"];
    let engines = [("s-1", engine.address)];
    let program = Program::launch(&engines, None, None, (192, 1024), BUSY, &args);
    let line = program.wait_line(r#""engine_id":"s-1","phase":"Ready""#);
    let json: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(
        (&json["level"], &json["message"], &json["engine_id"], &json["engine"]),
        (&"INFO".into(), &"endpoint updated".into(), &"s-1".into(), &0.into())
    );
}
