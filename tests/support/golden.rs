//! Golden files: output of an earlier version of the program, with which the present output is compared.
//!
//! `GOLDEN_WRITE=1` with `SPRUCELINK_PROGRAM` set to the path of another program rewrites the golden files
//! from the output of that program. Every test that writes a file then fails, so that the run can't be
//! mistaken for a check.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Path of a golden file.
pub fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

/// Whether this run rewrites the golden files from another program's output.
pub fn is_writing() -> bool {
    ["GOLDEN_WRITE", "SPRUCELINK_PROGRAM"].iter().all(|name| std::env::var_os(name).is_some())
}

/// Compares a text with a golden file, line by line. A test calls this once, because a run that rewrites
/// golden files panics here after the first file.
pub fn assert_matches(name: &str, actual: &str) {
    let path = path(name);
    if is_writing() {
        std::fs::write(&path, actual).expect("written");
        panic!("tests/golden/{name} was rewritten and nothing was checked");
    }
    let expected = std::fs::read_to_string(&path).expect("a golden file");
    for (number, (expected, actual)) in expected.lines().zip(actual.lines()).enumerate() {
        assert_eq!(actual, expected, "tests/golden/{name}, line {}", number + 1);
    }
    assert_eq!(actual.lines().count(), expected.lines().count(), "lines of tests/golden/{name}");
}

/// Runs the program to its end and returns its exit status, standard output and standard error.
pub fn run(args: &[&str], vars: &[(&str, &str)]) -> (i32, String, String) {
    let mut command = Command::new(super::program_path());
    for name in ["EDGE_CONFIG", "EDGE_OPERATOR", "EDGE_FD"] {
        command.env_remove(name);
    }
    let output = command.args(args).envs(vars.iter().copied()).output().expect("run");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (output.status.code().expect("an exit status"), text(output.stdout), text(output.stderr))
}
