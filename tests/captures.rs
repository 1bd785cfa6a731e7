//! The recorder in the running program, the tools that read what it wrote, and every case in `captures/`.
mod support;

use std::path::{Path, PathBuf};
use std::process::Command;
use support::timed_engine::{lookup_sql, TimedEngine, BUSY};
use support::*;

/// Runs the program to its end: exit status, standard output, standard error.
fn tool(args: &[&str]) -> (i32, String, String) {
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

fn ask(program: &Program, from: u64, n: u64) -> usize {
    let mut raw = RawClient::connect(program.platform);
    (from..from + n).map(|id| rows(&raw.ask(&lookup_sql(id, 5))).len()).sum()
}

/// Ten replays in ten processes give the same answers, and the story of a request can be asked for.
#[test]
fn recorded_run_replays_identically_in_every_process() {
    let (a, b, dir) = (TimedEngine::start(), TimedEngine::start(), scratch_dir());
    let path = dir.to_str().expect("text");
    let engines = [("s-1", a.address), ("s-2", b.address)];
    let mut program = Program::launch(&engines, None, None, (192, 1024), BUSY, &["--capture", path]);
    assert_eq!(ask(&program, 1, 60), 60);
    program.terminate();
    assert_eq!(program.wait_for_exit(), Some(0));
    let first = tool(&["replay", path, "--times", "3", "--json"]);
    assert_eq!((first.0, first.2.as_str()), (0, ""), "{}", first.1);
    let json: serde_json::Value = serde_json::from_str(&first.1).expect("JSON");
    assert_eq!((&json["same"], &json["alike"], &json["differ"]), (&true.into(), &true.into(), &0.into()));
    for _ in 0..9 {
        let again: serde_json::Value =
            serde_json::from_str(&tool(&["replay", path, "--json"]).1).expect("JSON");
        assert_eq!(again["digest"], json["digest"]);
    }
    let (status, text, _) = tool(&["explain", path, "--request", &format!("{:016x}", 7)]);
    assert_eq!(status, 0);
    for part in ["arrived: class 0", "priced", "draw at", "sent, attempt 0, to s-", "ended Delivered"] {
        assert!(text.contains(part), "{part}: {text}");
    }
    let (status, text, _) = tool(&["explain", path, "--engine", "s-1", "--json"]);
    let line: serde_json::Value = serde_json::from_str(text.lines().next().expect("a line")).expect("JSON");
    assert!(status == 0 && line["data"]["kind"].is_string());
    let shown: serde_json::Value =
        serde_json::from_str(&tool(&["capture", "show", path, "--json"]).1).expect("JSON");
    let segment = &shown["segments"][0];
    assert_eq!(
        (&segment["events"]["arrived"], &segment["end"], &segment["lost_after"]),
        (&60.into(), &"closed".into(), &0.into())
    );
    // What would have been with another setting, and the exit status that says so.
    let (status, text, _) = tool(&["replay", path, "--set", "gateways=1", "--treatment", "matched"]);
    assert!(status == 0 || text.contains("answers differ"), "{text}");
    // A case out of it, which holds.
    let case = dir.join("case.case");
    let case = case.to_str().expect("text");
    let (status, text, why) = tool(&[
        "capture", "cut", path, "--around", "+0.2", "--before", "0.1", "--after", "0.1", "--out", case,
    ]);
    assert!(status == 0 && text.contains("holds"), "{text}{why}");
    assert_eq!(tool(&["capture", "verify", case]).0, 0);
    assert_eq!(tool(&["explain", path, "--request", "ffffffffffffffff"]).0, 2, "nothing is told of it");
}

/// A crash loses what was not handed over yet, and nothing else.
#[test]
fn truncated_or_damaged_capture_replays_up_to_the_fault_and_reports_it() {
    let (a, dir) = (TimedEngine::start(), scratch_dir());
    let path = dir.to_str().expect("text");
    let mut program =
        Program::launch(&[("s-1", a.address)], None, None, (192, 1024), BUSY, &["--capture", path]);
    assert_eq!(ask(&program, 1, 40), 40);
    // Until a block has been written behind head and checkpoint.
    wait_until(|| {
        let (_, text, _) = tool(&["capture", "show", path, "--json"]);
        let shown: serde_json::Value = serde_json::from_str(&text).ok()?;
        (shown["segments"][0]["events"]["arrived"].as_u64()? >= 40).then_some(())
    });
    program.kill();
    let (status, _, why) = tool(&["replay", path]);
    assert!(status == 0 && why.contains("is cut off"), "{why}");
    // The same with half a frame behind it, as a crash in the middle of a write leaves.
    let file = &files(&dir)[0];
    let bytes = std::fs::read(file).expect("read");
    std::fs::write(file, [&bytes[..], &bytes[..9]].concat()).expect("written");
    let (status, _, why) = tool(&["replay", path]);
    assert!(status == 0 && why.contains("cut off inside a frame"), "{why}");
    // A byte changed in the middle is damage, and is named with its place; so is a file that is none.
    let mut hurt = bytes.clone();
    let last = hurt.len() - 3;
    hurt[last] ^= 1;
    std::fs::write(file, &hurt).expect("written");
    let (status, _, why) = tool(&["replay", path]);
    assert!(status == 0 && why.contains("damaged at byte"), "{why}");
    std::fs::write(file, "no capture").expect("written");
    assert_eq!(tool(&["replay", path]).0, 2);
    assert_eq!(tool(&["replay", dir.join("nothing").to_str().expect("text")]).0, 2);
}

#[test]
fn unusable_capture_folder_does_not_stop_serving() {
    let (a, dir) = (TimedEngine::start(), scratch_dir());
    let file = dir.join("file");
    std::fs::write(&file, "no folder").expect("written");
    let path = file.join("below");
    let more = ["--capture", path.to_str().expect("text")];
    let mut program = Program::launch(&[("s-1", a.address)], None, None, (192, 1024), BUSY, &more);
    program.wait_line("capture not written");
    assert_eq!(ask(&program, 1, 30), 30);
    program.terminate();
    assert_eq!(program.wait_for_exit(), Some(0));
}

#[test]
fn invalid_recorder_settings_are_rejected_at_start() {
    let dir = scratch_dir();
    let (config, recorder) = (dir.join("c.json"), dir.join("r.json5"));
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":1,"known":{{"n":1,"events":[{}]}},"settings":{BUSY}}}"#,
        list(1, true, &[])
    );
    std::fs::write(&config, text).expect("written");
    let args = ["--config", config.to_str().expect("text"), "--recorder", recorder.to_str().expect("text")];
    for (text, word) in [
        ("{dir: 'x', ring_mb: 'y'}", "ring_mb"),
        ("{dir: 'x', rings: 3}", "rings"),
        ("{dir: 'x', segment_s: 0}", "segment_s"),
    ] {
        std::fs::write(&recorder, text).expect("written");
        for command in ["check", "serve"] {
            let (status, _, why) = tool(&[&[command], &args[..]].concat());
            assert!(status == 2 && (why.contains(word) || why.contains("line 1")), "{status}: {why}");
        }
    }
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/capture.json5");
    let args = ["check", args[0], args[1], args[2], shipped.to_str().expect("text")];
    let (status, text, why) = tool(&args);
    assert!(status == 0 && text.contains("recorder's settings will do"), "{why}");
}

/// Every failure that was made a case stays mended: what each case holds, holds.
#[test]
fn every_kept_case_holds_its_rules() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("captures");
    let cases = files(&dir);
    assert!(cases.iter().filter(|c| c.extension().is_some_and(|e| e == "slc")).count() >= 4);
    let (status, text, why) = tool(&["capture", "verify", dir.to_str().expect("text")]);
    assert_eq!(status, 0, "{text}{why}");
}

/// Log lines as JSON: one object a line, with fields.
#[test]
fn log_lines_can_be_json() {
    let a = TimedEngine::start();
    let more = ["--log-format", "json", "--log-level", "debug"];
    let engines = [("s-1", a.address)];
    let program = Program::launch(&engines, None, None, (192, 1024), BUSY, &more);
    let line = program.wait_line(r#""engine_id":"s-1","phase":"Ready""#);
    let json: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(
        (&json["level"], &json["message"], &json["engine_id"], &json["engine"]),
        (&"INFO".into(), &"endpoint updated".into(), &"s-1".into(), &0.into())
    );
}
