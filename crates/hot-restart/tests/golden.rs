//! Golden: state files written by the program of before the readability work. They are read as what they say, and
//! what is written today has the same bytes and the same names.

use sprucelink_cordon::{Ban, By, Target, Word};
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
    Process { generation, started: at(generation as i64), pid: 70 + generation as u32 }
}

fn ban(target: Target, by: By, out: bool, until: Option<Timestamp>, why: &str) -> Ban {
    let word = Word { version: 1_700_000_000_000_007, out, until, at: at(7), why: why.into() };
    Ban { target, by, word }
}

/// A file in which every field holds something.
fn full() -> Handover {
    let engine = |id: &str| Target::Engine(id.into());
    let ration = |n: u32| RationBucket { at: at(250_000 * i64::from(n)), further: n, taken: 100 + 3 * n };
    Handover {
        instance: me(),
        process: process(4),
        build: "sprucelink 0.1.0".into(),
        written_at: at(9_000_000),
        seq: 36,
        phase: Phase::Accompanied,
        phase_since: at(8_000_000),
        room_for: vec![process(5), process(6)],
        content: Content {
            bans: vec![
                ban(engine("s-1"), By::Operator, true, None, "by the operators' address"),
                ban(engine("s-2"), By::Operator, false, None, ""),
                ban(engine("s-2"), By::Fleet { permit: u64::MAX }, true, Some(at(60_000_000)), "rollout, é"),
                ban(Target::Manager, By::Fleet { permit: 0 }, true, Some(at(1)), "x"),
            ],
            ids: vec![0, 1, 0x9b1f_03aa_5c7e_2d41, u64::MAX],
            ration: (0..20).map(ration).collect(),
            cold: vec![
                ColdSends { engine: "s-9".into(), buckets: vec![] },
                ColdSends {
                    engine: "s-10".into(),
                    buckets: vec![
                        ColdBucket { at: at(250_000), work_ms: 0 },
                        ColdBucket { at: at(500_000), work_ms: u32::MAX },
                    ],
                },
            ],
            last_event: 812,
        },
    }
}

/// A file without content, in a phase.
fn bare(phase: Phase) -> Handover {
    Handover {
        instance: me(),
        process: process(1),
        build: String::new(),
        written_at: at(0),
        seq: 1,
        phase,
        phase_since: at(-1),
        room_for: Vec::new(),
        content: Content::default(),
    }
}

fn files() -> Vec<(String, Handover)> {
    let phases = [
        ("starting", Phase::Starting),
        ("ready", Phase::Ready),
        ("serving", Phase::Serving),
        ("accompanied", Phase::Accompanied),
        ("leaving", Phase::Leaving),
        ("gone", Phase::Gone),
    ];
    let bare = phases.map(|(name, phase)| (format!("{name}.handover"), bare(phase)));
    let full = full();
    let name = FileName::of(&full.instance, &full.process).to_string();
    bare.into_iter().chain([(name, full)]).collect()
}

#[test]
fn state_files_of_before_are_read_as_they_were_written() {
    for (name, expected) in files() {
        let bytes = std::fs::read(folder().join(&name)).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(decode(&bytes, &me()), Ok(expected), "{name}");
    }
}

#[test]
fn state_files_are_written_byte_for_byte_as_before() {
    for (name, content) in files() {
        let bytes = std::fs::read(folder().join(&name)).unwrap_or_else(|e| panic!("{name}: {e}"));
        let encoded = encode(&content).expect("small");
        assert_eq!((encoded.bytes, encoded.ids_left_out), (bytes, 0), "{name}");
    }
}

/// A folder as a process of before left it: its successor finds the file by its name, and reads it.
#[test]
fn a_process_finds_the_state_file_of_its_predecessor_of_before() {
    let full = full();
    let name = FileName::of(&full.instance, &full.process).to_string();
    assert_eq!(name, "sprucelink.938a317b.74-1700000000000004.handover");
    let dir = tempfile::tempdir().expect("a folder");
    std::fs::copy(folder().join(&name), dir.path().join(&name)).expect("copied");
    let (keeper, looked) = Keeper::open(DiskFolder::new(dir.path()), me(), "test", 7, at(9_100_000));
    assert_eq!(looked.read, [full]);
    assert_eq!(keeper.process().generation, 5);
}
