//! Golden: state files written by an earlier release. They are read as what they say, and
//! what is written today has the same bytes and the same names.

use sprucelink_cordon::{Cause, CordonEntry, CordonRecord, Target};
use sprucelink_hot_restart::*;
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

fn me() -> Instance {
    Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
}

/// A moment, this many microseconds after the first.
fn at(micros: i64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + micros)
}

fn process(generation: u64) -> Process {
    Process { generation, started_at: at(generation as i64), pid: 70 + generation as u32 }
}

fn cordon(
    target: Target,
    cause: Cause,
    cordoned: bool,
    lease: Option<Timestamp>,
    reason: &str,
) -> CordonRecord {
    let entry = CordonEntry {
        version: 1_700_000_000_000_007,
        cordoned,
        lease_expires_at: lease,
        changed_at: at(7),
        reason: reason.into(),
    };
    CordonRecord { target, cause, entry }
}

/// A file in which every field holds something.
fn full() -> StateFile {
    let engine = |id: &str| Target::Engine(id.into());
    let ration =
        |n: u32| RetryBudgetBucket { start: at(250_000 * i64::from(n)), retries: n, admitted: 100 + 3 * n };
    StateFile {
        instance: me(),
        process: process(4),
        build: "sprucelink 0.1.0".into(),
        clock: None,
        written_at: at(9_000_000),
        sequence: 36,
        phase: Phase::ServingBesideSuccessor,
        phase_since: at(8_000_000),
        shares_with: vec![process(5), process(6)],
        snapshot: StateSnapshot {
            cordons: vec![
                cordon(engine("s-1"), Cause::Operator, true, None, "by the operators' address"),
                cordon(engine("s-2"), Cause::Operator, false, None, ""),
                cordon(
                    engine("s-2"),
                    Cause::Fleet { permit: u64::MAX },
                    true,
                    Some(at(60_000_000)),
                    "rollout, é",
                ),
                cordon(Target::Manager, Cause::Fleet { permit: 0 }, true, Some(at(1)), "x"),
            ],
            known_ids: vec![0, 1, 0x9b1f_03aa_5c7e_2d41, u64::MAX],
            retry_budget: (0..20).map(ration).collect(),
            warmup: vec![
                WarmupLoad { engine: "s-9".into(), buckets: vec![] },
                WarmupLoad {
                    engine: "s-10".into(),
                    buckets: vec![
                        WarmupBucket { start: at(250_000), work_ms: 0 },
                        WarmupBucket { start: at(500_000), work_ms: u32::MAX },
                    ],
                },
            ],
            last_event: 812,
        },
    }
}

/// A file without content, in a phase.
fn bare(phase: Phase) -> StateFile {
    StateFile {
        instance: me(),
        process: process(1),
        build: String::new(),
        clock: None,
        written_at: at(0),
        sequence: 1,
        phase,
        phase_since: at(-1),
        shares_with: Vec::new(),
        snapshot: StateSnapshot::default(),
    }
}

fn files() -> Vec<(String, StateFile)> {
    let phases = [
        ("starting", Phase::Starting),
        ("ready", Phase::Ready),
        ("serving", Phase::Serving),
        ("accompanied", Phase::ServingBesideSuccessor),
        ("leaving", Phase::Draining),
        ("gone", Phase::Terminated),
    ];
    let bare = phases.map(|(name, phase)| (format!("{name}.handover"), bare(phase)));
    let full = full();
    let name = StateFileName::new(&full.instance, &full.process).to_string();
    bare.into_iter().chain([(name, full)]).collect()
}

#[test]
fn state_files_of_an_earlier_release_are_read_as_they_were_written() {
    for (name, expected) in files() {
        let bytes = std::fs::read(folder().join(&name)).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(decode(&bytes, &me()), Ok(expected), "{name}");
    }
}

#[test]
fn state_files_are_written_byte_for_byte_as_by_an_earlier_release() {
    for (name, content) in files() {
        let bytes = std::fs::read(folder().join(&name)).unwrap_or_else(|e| panic!("{name}: {e}"));
        let encoded = encode(&content).expect("small");
        assert_eq!((encoded.bytes, encoded.ids_left_out), (bytes, 0), "{name}");
    }
}

/// A folder as a process of an earlier release left it: its successor finds the file by its name, and reads it.
#[test]
fn process_finds_the_state_file_of_a_predecessor_of_an_earlier_release() {
    let full = full();
    let name = StateFileName::new(&full.instance, &full.process).to_string();
    assert_eq!(name, "sprucelink.938a317b.74-1700000000000004.handover");
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::copy(folder().join(&name), dir.path().join(&name)).expect("copied");
    let (driver, scan) = StateFileDriver::open(DiskFolder::new(dir.path()), me(), "test", 7, at(9_100_000));
    assert_eq!(scan.files, [full]);
    assert_eq!(driver.process().generation, 5);
}
