//! Golden tests with directories of the log that were written by an earlier release: they are recovered with
//! the same content, and the current version writes the same files.

use sprucelink_wal::{DirectoryDisk, Entry, Recovered, Snapshot, TornTail, Wal, WriteBatch};
use std::path::{Path, PathBuf};

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name)
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: format!("entry {index} of term {term}").into_bytes() }
}

/// Batches of the first segment: entries, one of them overwritten in a later term, and a batch with only a
/// state.
fn first_segment() -> Vec<WriteBatch> {
    let batch = |sequence, entries| WriteBatch {
        sequence,
        state: format!("state {sequence}").into_bytes(),
        snapshot: None,
        entries,
    };
    vec![
        batch(1, vec![entry(1, 1), entry(2, 1), entry(3, 1)]),
        batch(2, vec![entry(3, 2), entry(4, 2)]),
        batch(3, vec![]),
        batch(4, vec![Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] }]),
    ]
}

/// Batches of the second segment, which starts with a snapshot.
fn second_segment() -> Vec<WriteBatch> {
    let snapshot = Snapshot { index: 3, term: 2, data: b"all up to 3".to_vec() };
    let entries = vec![entry(4, 2), Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] }];
    vec![
        WriteBatch { sequence: 5, state: vec![], snapshot: Some(snapshot), entries },
        WriteBatch { sequence: 6, state: b"last".to_vec(), snapshot: None, entries: vec![entry(6, 9)] },
    ]
}

/// Names and contents of the files in a directory, sorted by name.
fn files(directory: &Path) -> Vec<(String, Vec<u8>)> {
    let entries = std::fs::read_dir(directory).expect("a directory");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let name = |path: &Path| path.file_name().and_then(|name| name.to_str()).expect("a name").to_owned();
    let mut files: Vec<_> = paths.map(|path| (name(&path), std::fs::read(&path).expect("read"))).collect();
    files.sort();
    files
}

/// Recovers a copy of a golden directory. It is copied because opening may truncate a torn tail.
fn recover_copy(name: &str) -> Recovered {
    let directory = tempfile::tempdir().expect("a directory");
    for (name, bytes) in files(&golden(name)) {
        std::fs::write(directory.path().join(name), bytes).expect("copied");
    }
    Wal::open(DirectoryDisk::open(directory.path()).expect("opened")).expect("recovered").1
}

fn write_batches(directory: &Path, batches: &[WriteBatch]) {
    let (mut wal, _) = Wal::open(DirectoryDisk::open(directory).expect("opened")).expect("recovered");
    batches.iter().for_each(|batch| wal.write(batch).expect("written"));
}

fn first_segment_recovered() -> Recovered {
    let last = Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] };
    Recovered {
        last_sequence: 4,
        state: b"state 4".to_vec(),
        snapshot: None,
        entries: vec![entry(1, 1), entry(2, 1), entry(3, 2), entry(4, 2), last],
        torn_tail: None,
    }
}

#[test]
fn log_of_an_earlier_release_is_recovered_as_it_was_written() {
    assert_eq!(recover_copy("entries"), first_segment_recovered());
    let snapshot = Snapshot { index: 3, term: 2, data: b"all up to 3".to_vec() };
    let last_of_first_segment = Entry { index: 5, term: u64::MAX, data: vec![0, 255, 10] };
    let expected = Recovered {
        last_sequence: 6,
        state: b"last".to_vec(),
        snapshot: Some(snapshot),
        entries: vec![entry(4, 2), last_of_first_segment, entry(6, 9)],
        torn_tail: None,
    };
    assert_eq!(recover_copy("snapshot"), expected);
}

#[test]
fn log_of_an_earlier_release_with_a_torn_last_record_is_truncated_after_the_previous_one() {
    let recovered = recover_copy("torn");
    let expected = Recovered {
        last_sequence: 3,
        state: b"state 3".to_vec(),
        entries: first_segment_recovered().entries[..4].to_vec(),
        torn_tail: Some(TornTail { sequence: 4, offset: 230, bytes: 48 }),
        ..first_segment_recovered()
    };
    assert_eq!(recovered, expected);
}

#[test]
fn log_is_written_byte_for_byte_as_by_an_earlier_release() {
    let directory = tempfile::tempdir().expect("a directory");
    write_batches(directory.path(), &first_segment());
    assert_eq!(files(directory.path()), files(&golden("entries")));
    write_batches(directory.path(), &second_segment());
    assert_eq!(files(directory.path()), files(&golden("snapshot")));
}
