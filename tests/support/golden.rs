//! Golden files: what the program of before the readability work wrote, to which the present one is held.
//!
//! `GOLDEN_WRITE=1` with `SPRUCELINK_PROGRAM` set to another program's file writes the golden files anew from that
//! program. Such a run fails every test that wrote, so that it can't be taken for a check.

use std::path::{Path, PathBuf};
use std::process::Command;

/// A golden file's path.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Whether the golden files are written anew, from another program.
pub fn is_writing() -> bool {
    ["GOLDEN_WRITE", "SPRUCELINK_PROGRAM"].iter().all(|name| std::env::var_os(name).is_some())
}

/// Holds a text to a golden file, line by line. Called once a test.
pub fn hold(name: &str, got: &str) {
    let path = path(name);
    if is_writing() {
        std::fs::write(&path, got).expect("written");
        panic!("tests/golden/{name} was written anew and nothing was checked");
    }
    let expected = std::fs::read_to_string(&path).expect("a golden file");
    for (number, (expected, got)) in expected.lines().zip(got.lines()).enumerate() {
        assert_eq!(got, expected, "tests/golden/{name}, line {}", number + 1);
    }
    assert_eq!(got.lines().count(), expected.lines().count(), "lines of tests/golden/{name}");
}

/// One run of the program to its end: exit status, standard output, standard error.
pub fn run(args: &[&str], vars: &[(&str, &str)]) -> (i32, String, String) {
    let mut command = Command::new(super::program());
    for name in ["EDGE_CONFIG", "EDGE_OPERATOR", "EDGE_FD"] {
        command.env_remove(name);
    }
    let output = command.args(args).envs(vars.iter().copied()).output().expect("run");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (output.status.code().expect("an exit status"), text(output.stdout), text(output.stderr))
}
