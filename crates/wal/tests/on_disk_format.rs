//! The bytes on disk are the same as those of the released version: `data/gen-0000000000000002` was written
//! before the crate's types were renamed.

use sprucelink_wal::{Disk, Entry, FaultDisk, Recovered, Snapshot, Wal, WriteBatch};

const SEGMENT: &str = "gen-0000000000000002";
const SEGMENT_BYTES: &[u8] = include_bytes!("data/gen-0000000000000002");

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, data: format!("entry {index} of term {term}").into_bytes() }
}

fn snapshot() -> Snapshot {
    Snapshot { index: 2, term: 1, data: b"snapshot at 2".to_vec() }
}

/// The batches that were written to the log; the first one is in the segment before this one.
fn batches() -> [WriteBatch; 4] {
    let batch = |sequence, state: &[u8], snapshot, entries| WriteBatch {
        sequence,
        state: state.to_vec(),
        snapshot,
        entries,
    };
    [
        batch(1, b"state 1", None, vec![entry(1, 1), entry(2, 1)]),
        batch(2, b"state 2", Some(snapshot()), vec![entry(3, 2), entry(4, 2)]),
        batch(3, b"state 3", None, vec![entry(4, 3), entry(5, 3)]),
        batch(4, b"", None, vec![]),
    ]
}

#[test]
fn batches_are_written_as_the_bytes_of_the_released_version() {
    let (mut wal, _) = Wal::open(FaultDisk::new(1)).unwrap();
    for batch in &batches() {
        wal.write(batch).unwrap();
    }
    let disk = wal.into_disk();
    assert_eq!(disk.list().unwrap(), [SEGMENT]);
    assert_eq!(disk.read(SEGMENT).unwrap(), SEGMENT_BYTES);
}

#[test]
fn segment_of_the_released_version_is_recovered() {
    let mut disk = FaultDisk::new(1);
    disk.create(SEGMENT).unwrap();
    disk.append(SEGMENT, SEGMENT_BYTES).unwrap();
    let (_, recovered) = Wal::open(disk).unwrap();
    let expected = Recovered {
        last_sequence: 4,
        state: vec![],
        snapshot: Some(snapshot()),
        entries: vec![entry(3, 2), entry(4, 3), entry(5, 3)],
        torn_tail: None,
    };
    assert_eq!(recovered, expected);
}
