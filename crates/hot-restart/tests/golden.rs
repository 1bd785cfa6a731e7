//! Golden tests with state files written by an earlier release: their contents are decoded unchanged, and the
//! same contents are encoded with the same bytes and file names.

use sprucelink_cordon::{Cause, CordonEntry, CordonRecord, Target};
use sprucelink_hot_restart::*;
use std::path::{Path, PathBuf};

fn golden_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden")
}

fn instance() -> Instance {
    Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
}

/// The timestamp `micros` microseconds after the first one.
fn at_micros(micros: i64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + micros)
}

fn process(generation: u64) -> Process {
    Process { generation, started_at: at_micros(generation as i64), pid: 70 + generation as u32 }
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
        changed_at: at_micros(7),
        reason: reason.into(),
    };
    CordonRecord { target, cause, entry }
}

/// A file in which all fields of that release are set.
fn full_file() -> StateFile {
    let engine = |id: &str| Target::Engine(id.into());
    let retry_bucket = |index: u32| RetryBudgetBucket {
        start: at_micros(250_000 * i64::from(index)),
        retries: index,
        admitted: 100 + 3 * index,
    };
    StateFile {
        instance: instance(),
        process: process(4),
        build: "sprucelink 0.1.0".into(),
        clock_reference: None,
        written_at: at_micros(9_000_000),
        sequence: 36,
        phase: Phase::ServingBesideSuccessor,
        phase_since: at_micros(8_000_000),
        sharing_peers: vec![process(5), process(6)],
        snapshot: StateSnapshot {
            cordons: vec![
                cordon(engine("s-1"), Cause::Operator, true, None, "by the operators' address"),
                cordon(engine("s-2"), Cause::Operator, false, None, ""),
                cordon(
                    engine("s-2"),
                    Cause::Fleet { permit: u64::MAX },
                    true,
                    Some(at_micros(60_000_000)),
                    "rollout, é",
                ),
                cordon(Target::Manager, Cause::Fleet { permit: 0 }, true, Some(at_micros(1)), "x"),
            ],
            known_ids: vec![0, 1, 0x9b1f_03aa_5c7e_2d41, u64::MAX],
            retry_budget: (0..20).map(retry_bucket).collect(),
            warmup: vec![
                WarmupLoad { engine: "s-9".into(), buckets: vec![] },
                WarmupLoad {
                    engine: "s-10".into(),
                    buckets: vec![
                        WarmupBucket { start: at_micros(250_000), work_ms: 0 },
                        WarmupBucket { start: at_micros(500_000), work_ms: u32::MAX },
                    ],
                },
            ],
            last_event: 812,
            // Fields of later releases.
            cancel_requests: Vec::new(),
            request_ids: Vec::new(),
            feed_change: None,
        },
    }
}

/// A file with an empty snapshot, in the given phase.
fn empty_file(phase: Phase) -> StateFile {
    StateFile {
        instance: instance(),
        process: process(1),
        build: String::new(),
        clock_reference: None,
        written_at: at_micros(0),
        sequence: 1,
        phase,
        phase_since: at_micros(-1),
        sharing_peers: Vec::new(),
        snapshot: StateSnapshot::default(),
    }
}

/// Names and expected contents of the golden files.
fn golden_files() -> Vec<(String, StateFile)> {
    let phases = [
        ("starting", Phase::Starting),
        ("ready", Phase::Ready),
        ("serving", Phase::Serving),
        ("accompanied", Phase::ServingBesideSuccessor),
        ("leaving", Phase::Draining),
        ("gone", Phase::Terminated),
    ];
    let empty_files = phases.map(|(name, phase)| (format!("{name}.handover"), empty_file(phase)));
    let full_file = full_file();
    let name = StateFileName::new(&full_file.instance, &full_file.process).to_string();
    empty_files.into_iter().chain([(name, full_file)]).collect()
}

#[test]
fn state_files_of_an_earlier_release_are_decoded_unchanged() {
    for (name, expected) in golden_files() {
        let bytes =
            std::fs::read(golden_folder().join(&name)).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(decode(&bytes, &instance()), Ok(expected), "{name}");
    }
}

#[test]
fn state_files_are_encoded_byte_for_byte_as_by_an_earlier_release() {
    for (name, contents) in golden_files() {
        let bytes =
            std::fs::read(golden_folder().join(&name)).unwrap_or_else(|error| panic!("{name}: {error}"));
        let encoded = encode(&contents).expect("small");
        assert_eq!((encoded.bytes, encoded.ids_left_out), (bytes, 0), "{name}");
    }
}

/// A process finds the file of a predecessor of an earlier release by its name, and decodes it.
#[test]
fn process_finds_the_state_file_of_a_predecessor_of_an_earlier_release() {
    let full_file = full_file();
    let name = StateFileName::new(&full_file.instance, &full_file.process).to_string();
    assert_eq!(name, "sprucelink.938a317b.74-1700000000000004.handover");
    let dir = tempfile::tempdir().expect("temporary folder");
    std::fs::copy(golden_folder().join(&name), dir.path().join(&name)).expect("copied");
    let (driver, scan) =
        StateFileDriver::open(DiskFolder::new(dir.path()), instance(), "test", 7, at_micros(9_100_000));
    assert_eq!(scan.files, [full_file]);
    assert_eq!(driver.process().generation, 5);
}
