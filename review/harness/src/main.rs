//! The cases of the review: each starts the program with the deploy file's `run`, plays its clients, engines and
//! control feed, and judges what these can see.
//!
//! `review-harness CASE FOLDER`, from the root of the repository. Exit status: 0 the rule held, 1 it was broken,
//! 2 the case could not run. `TROUBLE=0` in the environment leaves out the disruption.

mod cases;
mod client;
mod engine;
mod feed;
mod manager;
mod record;

use record::Record;
use std::fs;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// The result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

/// What every case gets.
pub struct Bench {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder of this run.
    pub folder: PathBuf,
    pub record: Record,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

impl Bench {
    /// A private `$TMPDIR` for a workload manager.
    pub fn tmpdir(&self, name: &str) -> PathBuf {
        let folder = self.folder.join(name);
        fs::create_dir_all(&folder).expect("a folder");
        folder
    }
}

/// Ends the run as one that could not take place if it is not over in time; `run.sh` may take 120 s.
fn end_in_time(record: Record, temporary: PathBuf) {
    let limit = std::env::var("REVIEW_LIMIT_S").ok().and_then(|text| text.parse().ok());
    let limit = Duration::from_secs(limit.unwrap_or(110));
    thread::spawn(move || {
        thread::sleep(limit);
        manager::kill_all();
        let _ = fs::remove_dir_all(&temporary);
        let text = format!("could not run: not over after {} s", limit.as_secs());
        record.line(&text);
        println!("{text}");
        std::process::exit(2);
    });
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-harness CASE FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(Path::new(folder));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&temporary).expect("a temporary folder");
    let bench = Bench {
        root: std::env::current_dir().expect("the root"),
        folder: temporary.clone(),
        record: record.clone(),
        trouble,
    };
    end_in_time(record.clone(), temporary.clone());
    record.line(format!("case {case}, trouble {}", if trouble { "on" } else { "off" }));
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(case, &bench)));
    let verdict = verdict.unwrap_or_else(|_| Verdict::CouldNotRun("the harness failed".to_owned()));
    if std::env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(&temporary);
    }
    let (status, text) = match verdict {
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(status);
}
