//! Golden: a log's folder written by the program of before the readability work. It is read as what was written, and
//! what is written today has the same bytes under the same names.

use sprucelink_wal::folder::Folder;
use sprucelink_wal::{Base, Cut, Entry, Ledger, Restored, Write};
use std::path::{Path, PathBuf};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: format!("entry {index} of term {term}").into_bytes() }
}

/// Writes that fill a generation: entries, some of them written anew in a later term, a state alone.
fn first_generation() -> Vec<Write> {
    let write = |seq, entries| Write { seq, state: format!("state {seq}").into_bytes(), base: None, entries };
    vec![
        write(1, vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
        write(2, vec![entry(3, 2), entry(4, 2)]),
        write(3, vec![]),
        write(4, vec![Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] }]),
    ]
}

/// Writes that begin the next generation with a snapshot.
fn second_generation() -> Vec<Write> {
    let base = Base { index: 3, term: 2, data: b"all up to 3".to_vec() };
    let entries = vec![entry(4, 2), Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] }];
    vec![
        Write { seq: 5, state: vec![], base: Some(base), entries },
        Write { seq: 6, state: b"last".to_vec(), base: None, entries: vec![entry(6, 9)] },
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
fn opened(name: &str) -> Restored {
    let dir = tempfile::tempdir().expect("a folder");
    for (name, bytes) in files(&golden(name)) {
        std::fs::write(dir.path().join(name), bytes).expect("copied");
    }
    Ledger::open(Folder::open(dir.path()).expect("opened")).expect("read").1
}

fn written(folder: &Path, writes: &[Write]) {
    let (mut ledger, _) = Ledger::open(Folder::open(folder).expect("opened")).expect("read");
    writes.iter().for_each(|write| ledger.write(write).expect("written"));
}

fn first_restored() -> Restored {
    let last = Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] };
    Restored {
        seq: 4,
        state: b"state 4".to_vec(),
        base: None,
        entries: vec![entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 2), last],
        cut: None,
    }
}

#[test]
fn a_log_of_before_is_read_as_it_was_written() {
    assert_eq!(opened("entries"), first_restored());
    let base = Base { index: 3, term: 2, data: b"all up to 3".to_vec() };
    let middle = Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] };
    let expected = Restored {
        seq: 6,
        state: b"last".to_vec(),
        base: Some(base),
        entries: vec![entry(4, 2), middle, entry(6, 9)],
        cut: None,
    };
    assert_eq!(opened("snapshot"), expected);
}

#[test]
fn a_log_of_before_with_a_torn_last_write_is_cut_behind_the_one_before() {
    let torn = opened("torn");
    let before = Restored {
        seq: 3,
        state: b"state 3".to_vec(),
        entries: first_restored().entries[..4].to_vec(),
        cut: Some(Cut { seq: 4, at: 230, bytes: 48 }),
        ..first_restored()
    };
    assert_eq!(torn, before);
}

#[test]
fn a_log_is_written_byte_for_byte_as_before() {
    let dir = tempfile::tempdir().expect("a folder");
    written(dir.path(), &first_generation());
    assert_eq!(files(dir.path()), files(&golden("entries")));
    written(dir.path(), &second_generation());
    assert_eq!(files(dir.path()), files(&golden("snapshot")));
}
