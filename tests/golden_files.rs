//! Golden files of captures: captures of an earlier version are replayed, listed, verified and explained with
//! unchanged answers. The JSON output, which programs read, is compared, without paths, builds and durations;
//! texts for people may change.
mod support;

use serde_json::{json, Value};
use support::golden::{self, run};
use support::scratch_dir;

/// Each capture with the id of one of its requests.
const CAPTURES: [(&str, &str); 5] = [
    ("a-fifth-slows", "24f"),
    ("burst", "17b"),
    ("connections-break", "74"),
    ("drain-edge", "17c"),
    ("engine-dies", "4d"),
];

fn capture(name: &str) -> String {
    format!("{}/captures/{name}.slc", env!("CARGO_MANIFEST_DIR"))
}

/// Runs the program and returns its exit status and the JSON value of each output line.
fn run_json(args: &[&str]) -> (i32, Vec<Value>) {
    let (status, out, stderr) = run(args, &[]);
    let lines: Vec<Value> =
        out.lines().map(|line| serde_json::from_str(line).expect("one object per line")).collect();
    assert!(!lines.is_empty(), "{args:?}: {stderr}");
    (status, lines)
}

/// Removes values that differ between builds and between runs.
fn mask(value: &mut Value) {
    let Value::Object(map) = value else {
        value.as_array_mut().into_iter().flatten().for_each(mask);
        return;
    };
    for key in ["file", "case", "other_build", "took_s", "text"] {
        map.remove(key);
    }
    // Removes the description of a replay's first divergence.
    if map.contains_key("expected") {
        for key in ["event", "expected", "got"] {
            map.remove(key);
        }
    }
    map.values_mut().for_each(mask);
}

fn masked(mut lines: Vec<Value>) -> Vec<String> {
    lines.iter_mut().for_each(mask);
    lines.iter().map(Value::to_string).collect()
}

/// 64-bit FNV-1a hash of lines, for answers that are too long to store.
fn digest(lines: &[String]) -> u64 {
    let bytes = lines.iter().flat_map(|line| line.bytes().chain([b'\n']));
    bytes.fold(0xcbf2_9ce4_8422_2325, |sum, byte| (sum ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

#[test]
fn earlier_captures_are_replayed_and_listed_with_the_same_answers() {
    let mut text = String::new();
    for (name, _) in CAPTURES {
        let path = capture(name);
        let calls: [&[&str]; 7] = [
            &["replay", &path, "--json"],
            &["replay", &path, "--json", "--against"],
            &["replay", &path, "--json", "--treatment", "matched", "--set", "gateways=2"],
            &["replay", &path, "--json", "--until", "+1.5"],
            &["replay", &path, "--json", "--set", "attempt_budget.share=0.2"],
            &["capture", "show", &path, "--json"],
            &["capture", "verify", &path, "--json"],
        ];
        for args in calls {
            let (status, lines) = run_json(args);
            let args = args.join(" ").replace(&path, name);
            text.push_str(&format!("{args}: {status}\n{}\n", masked(lines).join("\n")));
        }
    }
    golden::assert_matches("captures.txt", &text);
}

#[test]
fn earlier_captures_are_explained_with_the_same_answers() {
    let mut text = String::new();
    for (name, request) in CAPTURES {
        let path = capture(name);
        for question in [["--request", request], ["--engine", "#1"], ["--engine", "s-1"], ["--at", "+1"]] {
            let (status, lines) = run_json(&["explain", &path, question[0], question[1], "--json"]);
            let lines = masked(lines);
            let (count, digest) = (lines.len(), digest(&lines));
            text.push_str(&format!("{name} {question:?}: {status}, {count} lines, digest {digest:016x}\n"));
            for line in lines.iter().take(8) {
                text.push_str(&format!("{line}\n"));
            }
        }
    }
    golden::assert_matches("explanations.txt", &text);
}

/// A case cut by an earlier program and one cut by the present program give the same answers.
#[test]
fn case_is_cut_as_before_and_earlier_cases_are_read() {
    let dir = scratch_dir();
    let out = dir.join("cut.slc");
    let out = out.to_str().expect("text");
    let path = capture("drain-edge");
    let rule = "{rule: 'sends', engine: 2, from_ms: 520, at_most: 0}";
    let cut = ["capture", "cut", &path, "--around", "+0.5", "--before", "0.1", "--after", "0.1"];
    let holds = ["--holds", "drain", "--holds", "one_out", "--holds", rule, "--note", "a note", "--out", out];
    assert_eq!(run(&[&cut[..], &holds[..]].concat(), &[]).0, 0);
    let earlier_case = golden::path("cut.slc");
    if golden::is_writing() {
        std::fs::copy(out, &earlier_case).expect("copied");
    }
    let answers = |path: &str| {
        let mut answers = Vec::new();
        for args in [&["capture", "show", path, "--json"][..], &["capture", "verify", path, "--json"]] {
            let (status, mut lines) = run_json(args);
            // Masks the build that wrote the case.
            if let Some(segment) = lines[0].pointer_mut("/segments/0").and_then(Value::as_object_mut) {
                segment.insert("build".to_owned(), json!(null));
                segment.insert("module".to_owned(), json!(null));
            }
            answers.push(format!("{status} {}", masked(lines).join("\n")));
        }
        let (status, lines) = run_json(&["replay", path, "--json"]);
        answers.push(format!("{status} {}", masked(lines).join("\n")));
        answers.join("\n")
    };
    let text = answers(earlier_case.to_str().expect("text"));
    assert_eq!(answers(out), text, "the case cut now and the earlier one");
    golden::assert_matches("cut.txt", &(text + "\n"));
    drop(std::fs::remove_dir_all(dir));
}
