//! Golden: a log's directory written by an earlier release. It is read as what was written, and what is written today has
//! the same bytes under the same names.

use sprucelink_wal::{DirectoryDisk, Entry, Recovered, Snapshot, TornTail, Wal, WriteBatch};
use std::path::{Path, PathBuf};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: format!("entry {index} of term {term}").into_bytes() }
}

/// Writes that fill a generation: entries, some of them written anew in a later term, a state alone.
fn first_generation() -> Vec<WriteBatch> {
    let write = |sequence, entries| WriteBatch {
        sequence,
        state: format!("state {sequence}").into_bytes(),
        snapshot: None,
        entries,
    };
    vec![
        write(1, vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
        write(2, vec![entry(3, 2), entry(4, 2)]),
        write(3, vec![]),
        write(4, vec![Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] }]),
    ]
}

/// Writes that begin the next generation with a snapshot.
fn second_generation() -> Vec<WriteBatch> {
    let snapshot = Snapshot { index: 3, term: 2, data: b"all up to 3".to_vec() };
    let entries = vec![entry(4, 2), Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] }];
    vec![
        WriteBatch { sequence: 5, state: vec![], snapshot: Some(snapshot), entries },
        WriteBatch { sequence: 6, state: b"last".to_vec(), snapshot: None, entries: vec![entry(6, 9)] },
    ]
}

/// What is in a folder: names and bytes.
fn files(folder: &Path) -> Vec<(String, Vec<u8>)> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    let name = |path: &Path| path.file_name().and_then(|n| n.to_str()).expect("a name").to_owned();
    let mut all: Vec<_> = entries.map(|path| (name(&path), std::fs::read(&path).expect("read"))).collect();
    all.sort();
    all
}

/// Opens a copy of a golden folder: opening may cut a torn end.
fn opened(name: &str) -> Recovered {
    let dir = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files(&golden(name)) {
        std::fs::write(dir.path().join(name), bytes).expect("copied");
    }
    Wal::open(DirectoryDisk::open(dir.path()).expect("opened")).expect("read").1
}

fn written(folder: &Path, writes: &[WriteBatch]) {
    let (mut wal, _) = Wal::open(DirectoryDisk::open(folder).expect("opened")).expect("read");
    writes.iter().for_each(|write| wal.write(write).expect("written"));
}

fn first_restored() -> Recovered {
    let last = Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] };
    Recovered {
        sequence: 4,
        state: b"state 4".to_vec(),
        snapshot: None,
        entries: vec![entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 2), last],
        torn_tail: None,
    }
}

#[test]
fn log_of_an_earlier_release_is_read_as_it_was_written() {
    assert_eq!(opened("entries"), first_restored());
    let snapshot = Snapshot { index: 3, term: 2, data: b"all up to 3".to_vec() };
    let middle = Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] };
    let expected = Recovered {
        sequence: 6,
        state: b"last".to_vec(),
        snapshot: Some(snapshot),
        entries: vec![entry(4, 2), middle, entry(6, 9)],
        torn_tail: None,
    };
    assert_eq!(opened("snapshot"), expected);
}

#[test]
fn log_of_an_earlier_release_with_a_torn_last_write_is_truncated_behind_the_one_before() {
    let torn = opened("torn");
    let before = Recovered {
        sequence: 3,
        state: b"state 3".to_vec(),
        entries: first_restored().entries[..4].to_vec(),
        torn_tail: Some(TornTail { sequence: 4, offset: 230, bytes: 48 }),
        ..first_restored()
    };
    assert_eq!(torn, before);
}

#[test]
fn log_is_written_byte_for_byte_as_by_an_earlier_release() {
    let dir = tempfile::tempdir().expect("a folder");
    written(dir.path(), &first_generation());
    assert_eq!(files(dir.path()), files(&golden("entries")));
    written(dir.path(), &second_generation());
    assert_eq!(files(dir.path()), files(&golden("snapshot")));
}
