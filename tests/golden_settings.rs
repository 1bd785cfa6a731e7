//! Golden: every key of the settings files and of the platform's configuration, under the name it had before the
//! readability work. A renamed field must still take its old name, and hold the value to the same range.
mod support;

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use support::{golden, scratch_dir};

/// The settings files: name of the golden document and the option that reads it.
const FILES: [(&str, &str); 5] = [
    ("capture", "--recorder"),
    ("cold-start", "--cold-start"),
    ("failover", "--failover"),
    ("membership", "--membership"),
    ("second-front", "--operator"),
];

/// The golden document of a file, with paths that exist here.
fn document(name: &str, dir: &Path) -> Value {
    let text = std::fs::read_to_string(golden::path(&format!("settings/{name}.json"))).expect("a document");
    let dir = dir.to_str().expect("text");
    let text = text
        .replace("/etc/sprucelink/authority.pem", dir)
        .replace("/var/lib/sprucelink\"", &format!("{dir}\""));
    serde_json::from_str(&text).expect("JSON")
}

/// A step on the way to a value.
#[derive(Clone)]
enum Step {
    Key(String),
    Index(usize),
}

/// A path as errors write it.
fn shown(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => text.push_str(&format!(".{key}")),
            Step::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

/// All values under a key, those of the first element of each list among them.
fn paths(value: &Value, path: &[Step], all: &mut Vec<Vec<Step>>) {
    let mut below = |step: Step, value: &Value| {
        let path = [path, &[step]].concat();
        all.push(path.clone());
        paths(value, &path, all);
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| below(Step::Key(key.clone()), value)),
        Value::Array(list) => list.iter().take(1).for_each(|value| below(Step::Index(0), value)),
        _ => {}
    }
}

fn at<'a>(value: &'a mut Value, path: &[Step]) -> &'a mut Value {
    path.iter().fold(value, |value, step| match step {
        Step::Key(key) => &mut value[key.as_str()],
        Step::Index(index) => &mut value[*index],
    })
}

/// A document with one value changed in each way: type, then figures in and out of ranges, then without it.
fn changes(document: &Value, path: &[Step]) -> Vec<(&'static str, Value)> {
    let mut changed = Vec::new();
    let mut with = |name, value: Value| {
        let mut other = document.clone();
        *at(&mut other, path) = value;
        changed.push((name, other));
    };
    let mut old = document.clone();
    match at(&mut old, path) {
        Value::Object(_) | Value::Array(_) => with("type", json!(7)),
        _ => with("type", json!({ "not": "this" })),
    }
    with("null", Value::Null);
    if at(&mut old, path).is_number() {
        for (name, figure) in [("-1", -1.0), ("0.5", 0.5), ("1.5", 1.5), ("1e300", 1e300)] {
            with(name, json!(figure));
        }
        with("0", json!(0));
        with("70000", json!(70_000));
    }
    let (last, parent) = path.split_last().expect("a path");
    if let Step::Key(key) = last {
        let mut other = document.clone();
        let map = at(&mut other, parent).as_object_mut().expect("a map");
        let value = map.remove(key).expect("a value");
        changed.push(("absent", other.clone()));
        at(&mut other, parent)[format!("{key}_other")] = value;
        changed.push(("misspelt", other));
    }
    changed
}

/// Statuses of `check` for each change of a file's values, a line for each value.
fn statuses(
    dir: &Path,
    name: &str,
    document: &Value,
    args: &(dyn Fn(&str) -> Vec<String> + Sync),
) -> Vec<String> {
    let mut all = Vec::new();
    paths(document, &[], &mut all);
    let one = |path: &Vec<Step>| {
        let place = shown(path);
        let mut line = format!("{name} {place}:");
        for (change, other) in changes(document, path) {
            let file = dir.join(format!("{name} {place} {change}.json"));
            std::fs::write(&file, other.to_string()).expect("written");
            let args = args(file.to_str().expect("text"));
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            let (status, _, why) = golden::run(&args, &[]);
            assert!(!why.contains("panicked") && (status == 0) == why.is_empty(), "{line} {change}: {why}");
            // The platform's names are fixed: errors of type give the path.
            let named = name == "platform" && change == "type" && why.contains(&format!(" {place}: "));
            line.push_str(&format!(" {change}={status}{}", if named { " by name" } else { "" }));
        }
        line
    };
    let parts: Vec<&[Vec<Step>]> = all.chunks(all.len().div_ceil(4)).collect();
    std::thread::scope(|scope| {
        let one = &one;
        let threads: Vec<_> =
            parts.iter().map(|part| scope.spawn(move || part.iter().map(one).collect::<Vec<_>>())).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    })
}

fn written(dir: &Path, name: &str, document: &Value) -> PathBuf {
    let path = dir.join(name);
    std::fs::write(&path, document.to_string()).expect("written");
    path
}

#[test]
fn each_key_of_a_settings_file_is_taken_under_its_old_name_in_its_old_range() {
    let dir = scratch_dir();
    let config = written(&dir, "platform.json", &document("platform", &dir));
    let config = config.to_str().expect("text");
    let mut lines = Vec::new();
    for (name, option) in FILES {
        let document = document(name, &dir);
        let args = |file: &str| ["check", "--config", config, option, file].map(str::to_owned).to_vec();
        let whole = written(&dir, &format!("{name}.json"), &document);
        let whole = args(whole.to_str().expect("text"));
        let whole: Vec<&str> = whole.iter().map(String::as_str).collect();
        assert_eq!(golden::run(&whole, &[]).0, 0, "{name} as it is");
        lines.extend(statuses(&dir, name, &document, &args));
    }
    golden::assert_matches("settings-files.txt", &(lines.join("\n") + "\n"));
    drop(std::fs::remove_dir_all(dir));
}

#[test]
fn each_key_of_the_platforms_configuration_is_read_under_its_name() {
    let dir = scratch_dir();
    let document = document("platform", &dir);
    let args = |file: &str| ["check", "--config", file].map(str::to_owned).to_vec();
    let lines = statuses(&dir, "platform", &document, &args);
    golden::assert_matches("platform-keys.txt", &(lines.join("\n") + "\n"));
    drop(std::fs::remove_dir_all(dir));
}

/// `check` accepts each settings file in `deploy/`, those of today and those of before.
#[test]
fn shipped_settings_files_pass_the_check() {
    let dir = scratch_dir();
    let config = written(&dir, "platform.json", &document("platform", &dir));
    let config = config.to_str().expect("text");
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    for (option, file) in [
        ("--recorder", "capture.json5"),
        ("--cold-start", "cold-start.json5"),
        ("--cold-start", "cold-start-wide.json5"),
        ("--failover", "failover.json5"),
        ("--membership", "membership.json5"),
    ] {
        for path in [deploy.join(file), golden::path("settings").join(file)] {
            let path = path.to_str().expect("text");
            let (status, _, why) = golden::run(&["check", "--config", config, option, path], &[]);
            assert_eq!((status, why.as_str()), (0, ""), "{path}");
        }
    }
    // The second front's file names paths of its own machine, and everything before them is accepted.
    let second = deploy.join("second-front.json");
    let second = second.to_str().expect("text");
    let (status, _, why) = golden::run(&["check", "--config", config, "--operator", second], &[]);
    assert!(status == 2 && why.contains("acme.trust_root: does not exist"), "{why}");
    drop(std::fs::remove_dir_all(dir));
}
