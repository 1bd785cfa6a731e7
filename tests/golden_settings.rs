//! Golden files of settings: every key of the settings files and of the platform's configuration keeps the
//! name that it had in earlier versions. A renamed field must still be read under its old name, with the same
//! range of values.
mod support;

use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use support::{golden, scratch_dir};

/// Name of the golden document of each settings file, and the option that reads such a file.
const FILES: [(&str, &str); 5] = [
    ("capture", "--recorder"),
    ("cold-start", "--cold-start"),
    ("failover", "--failover"),
    ("membership", "--membership"),
    ("second-front", "--operator"),
];

/// Reads the golden document of a settings file and replaces the paths in it by that of an existing folder.
fn document(name: &str, dir: &Path) -> Value {
    let text = std::fs::read_to_string(golden::path(&format!("settings/{name}.json"))).expect("a document");
    let dir = dir.to_str().expect("text");
    let text = text
        .replace("/etc/sprucelink/authority.pem", dir)
        .replace("/var/lib/sprucelink\"", &format!("{dir}\""));
    serde_json::from_str(&text).expect("JSON")
}

/// One component of the path to a value.
#[derive(Clone)]
enum Step {
    Key(String),
    Index(usize),
}

/// Formats a path as error messages do, such as `acme.names[0]`.
fn path_text(path: &[Step]) -> String {
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

/// Collects the paths of all values below `path`; in lists, those of the first element.
fn collect_paths(value: &Value, path: &[Step], all: &mut Vec<Vec<Step>>) {
    let mut visit = |step: Step, value: &Value| {
        let path = [path, &[step]].concat();
        all.push(path.clone());
        collect_paths(value, &path, all);
    };
    match value {
        Value::Object(map) => map.iter().for_each(|(key, value)| visit(Step::Key(key.clone()), value)),
        Value::Array(list) => list.iter().take(1).for_each(|value| visit(Step::Index(0), value)),
        _ => {}
    }
}

/// The value at a path.
fn value_at<'a>(value: &'a mut Value, path: &[Step]) -> &'a mut Value {
    path.iter().fold(value, |value, step| match step {
        Step::Key(key) => &mut value[key.as_str()],
        Step::Index(index) => &mut value[*index],
    })
}

/// Copies of a document in each of which the value at `path` is changed in another way: another type, null,
/// numbers inside and outside of the permitted range, key absent or misspelt. Each has the name of its
/// change.
fn changes(document: &Value, path: &[Step]) -> Vec<(&'static str, Value)> {
    let mut changed = Vec::new();
    let mut add = |change, value: Value| {
        let mut copy = document.clone();
        *value_at(&mut copy, path) = value;
        changed.push((change, copy));
    };
    let mut original = document.clone();
    match value_at(&mut original, path) {
        Value::Object(_) | Value::Array(_) => add("type", json!(7)),
        _ => add("type", json!({ "not": "this" })),
    }
    add("null", Value::Null);
    if value_at(&mut original, path).is_number() {
        for (change, number) in [("-1", -1.0), ("0.5", 0.5), ("1.5", 1.5), ("1e300", 1e300)] {
            add(change, json!(number));
        }
        add("0", json!(0));
        add("70000", json!(70_000));
    }
    let (last, parent) = path.split_last().expect("a path");
    if let Step::Key(key) = last {
        let mut copy = document.clone();
        let map = value_at(&mut copy, parent).as_object_mut().expect("a map");
        let value = map.remove(key).expect("a value");
        changed.push(("absent", copy.clone()));
        value_at(&mut copy, parent)[format!("{key}_other")] = value;
        changed.push(("misspelt", copy));
    }
    changed
}

/// Exit statuses of `check` for each change of each value of a document, one line per value. `args` makes the
/// command line for a file.
fn statuses(
    dir: &Path,
    name: &str,
    document: &Value,
    args: &(dyn Fn(&str) -> Vec<String> + Sync),
) -> Vec<String> {
    let mut paths = Vec::new();
    collect_paths(document, &[], &mut paths);
    let check_value = |path: &Vec<Step>| {
        let key = path_text(path);
        let mut line = format!("{name} {key}:");
        for (change, changed) in changes(document, path) {
            let file = dir.join(format!("{name} {key} {change}.json"));
            std::fs::write(&file, changed.to_string()).expect("written");
            let args = args(file.to_str().expect("text"));
            let args: Vec<&str> = args.iter().map(String::as_str).collect();
            let (status, _, stderr) = golden::run(&args, &[]);
            assert!(
                !stderr.contains("panicked") && (status == 0) == stderr.is_empty(),
                "{line} {change}: {stderr}"
            );
            // The platform's keys are fixed: errors about a value's type name its path.
            let named = name == "platform" && change == "type" && stderr.contains(&format!(" {key}: "));
            line.push_str(&format!(" {change}={status}{}", if named { " by name" } else { "" }));
        }
        line
    };
    let parts: Vec<&[Vec<Step>]> = paths.chunks(paths.len().div_ceil(4)).collect();
    std::thread::scope(|scope| {
        let check_value = &check_value;
        let threads: Vec<_> = parts
            .iter()
            .map(|part| scope.spawn(move || part.iter().map(check_value).collect::<Vec<_>>()))
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    })
}

fn write_document(dir: &Path, name: &str, document: &Value) -> PathBuf {
    let path = dir.join(name);
    std::fs::write(&path, document.to_string()).expect("written");
    path
}

#[test]
fn each_key_of_a_settings_file_keeps_its_name_and_range() {
    let dir = scratch_dir();
    let config = write_document(&dir, "platform.json", &document("platform", &dir));
    let config = config.to_str().expect("text");
    let mut lines = Vec::new();
    for (name, option) in FILES {
        let document = document(name, &dir);
        let args = |file: &str| ["check", "--config", config, option, file].map(str::to_owned).to_vec();
        let unchanged = write_document(&dir, &format!("{name}.json"), &document);
        let unchanged = args(unchanged.to_str().expect("text"));
        let unchanged: Vec<&str> = unchanged.iter().map(String::as_str).collect();
        assert_eq!(golden::run(&unchanged, &[]).0, 0, "{name} without a change");
        lines.extend(statuses(&dir, name, &document, &args));
    }
    golden::assert_matches("settings-files.txt", &(lines.join("\n") + "\n"));
    drop(std::fs::remove_dir_all(dir));
}

#[test]
fn each_key_of_the_platforms_configuration_keeps_its_name() {
    let dir = scratch_dir();
    let document = document("platform", &dir);
    let args = |file: &str| ["check", "--config", file].map(str::to_owned).to_vec();
    let lines = statuses(&dir, "platform", &document, &args);
    golden::assert_matches("platform-keys.txt", &(lines.join("\n") + "\n"));
    drop(std::fs::remove_dir_all(dir));
}

/// `check` accepts each settings file in `deploy/`, the present and the earlier versions.
#[test]
fn shipped_settings_files_pass_the_check() {
    let dir = scratch_dir();
    let config = write_document(&dir, "platform.json", &document("platform", &dir));
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
            let (status, _, stderr) = golden::run(&["check", "--config", config, option, path], &[]);
            assert_eq!((status, stderr.as_str()), (0, ""), "{path}");
        }
    }
    // The second front's file has paths that exist only where it is deployed; everything before them is
    // accepted.
    let second = deploy.join("second-front.json");
    let second = second.to_str().expect("text");
    let (status, _, stderr) = golden::run(&["check", "--config", config, "--operator", second], &[]);
    assert!(status == 2 && stderr.contains("acme.trust_root: does not exist"), "{stderr}");
    drop(std::fs::remove_dir_all(dir));
}
