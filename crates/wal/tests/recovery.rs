//! Recovery of the log after faults of its disk, and a comparison of the log with a simple model in random
//! runs.

use proptest::prelude::*;
use sprucelink_wal::{
    DirectoryDisk, Disk, Entry, FaultDisk, Faults, Recovered, Snapshot, Wal, WalError, WriteBatch,
};

fn batch(sequence: u64, first: u64, count: u64) -> WriteBatch {
    let entries = (first..first + count)
        .map(|index| Entry {
            index,
            term: sequence,
            data: format!("entry {index} of batch {sequence}").into_bytes(),
        })
        .collect();
    WriteBatch { sequence, state: sequence.to_le_bytes().to_vec(), snapshot: None, entries }
}

fn filled_wal(disk: FaultDisk, batches: u64) -> Wal<FaultDisk> {
    let (mut wal, _) = Wal::open(disk).unwrap();
    for sequence in 1..=batches {
        wal.write(&batch(sequence, sequence * 2 - 1, 2)).unwrap();
    }
    wal
}

#[test]
fn log_in_a_directory_is_recovered_as_written() {
    let directory = tempfile::tempdir().unwrap();
    let (mut wal, empty) = Wal::open(DirectoryDisk::open(directory.path()).unwrap()).unwrap();
    assert_eq!(empty, Recovered::default());
    wal.write(&batch(1, 1, 3)).unwrap();
    wal.write(&batch(2, 3, 2)).unwrap(); // entry 3 is overwritten
    drop(wal);
    let (mut wal, recovered) = Wal::open(DirectoryDisk::open(directory.path()).unwrap()).unwrap();
    assert_eq!((recovered.last_sequence, recovered.torn_tail), (2, None));
    assert_eq!(
        recovered.entries.iter().map(|entry| (entry.index, entry.term)).collect::<Vec<_>>(),
        [(1, 1), (2, 1), (3, 2), (4, 2)]
    );
    let snapshot = Snapshot { index: 3, term: 2, data: b"state at 3".to_vec() };
    let last = recovered.entries[3].clone();
    wal.write(&WriteBatch {
        sequence: 3,
        state: vec![9],
        snapshot: Some(snapshot.clone()),
        entries: vec![last.clone()],
    })
    .unwrap();
    drop(wal);
    let (_, recovered) = Wal::open(DirectoryDisk::open(directory.path()).unwrap()).unwrap();
    assert_eq!(
        recovered,
        Recovered {
            last_sequence: 3,
            state: vec![9],
            snapshot: Some(snapshot),
            entries: vec![last],
            torn_tail: None
        }
    );
    assert_eq!(std::fs::read_dir(directory.path()).unwrap().count(), 1, "the old segment is removed");
}

#[test]
fn directory_with_a_foreign_file_is_rejected() {
    let directory = tempfile::tempdir().unwrap();
    std::fs::write(directory.path().join("notes.txt"), "not a segment").unwrap();
    let opened = Wal::open(DirectoryDisk::open(directory.path()).unwrap());
    assert!(matches!(opened, Err(WalError::ForeignFile { name }) if name == "notes.txt"));
}

#[test]
fn open_fails_when_a_record_before_the_last_is_damaged() {
    let mut detected = 0;
    for seed in 0..200 {
        let wal = filled_wal(FaultDisk::new(seed), 20);
        let length = wal.segment_bytes();
        let mut disk = wal.into_disk();
        let name = disk.newest_segment().unwrap();
        // The flipped bit is before the last record, which starts within the last tenth of the file.
        assert!(disk.flip_bit(&name, length * 9 / 10));
        match Wal::open(disk) {
            Err(WalError::Corrupt { segment, offset, .. }) => {
                assert!(segment == name && offset < length);
                detected += 1;
            }
            other => panic!("seed {seed}: a flipped bit went undetected: {other:?}"),
        }
    }
    assert_eq!(detected, 200);
}

#[test]
fn torn_last_record_is_truncated_and_reported() {
    let mut torn_tails = 0;
    for seed in 0..200 {
        let mut disk = filled_wal(FaultDisk::new(seed), 5).into_disk();
        disk.faults = Faults { torn_writes: true, ..Faults::default() };
        let (mut wal, _) = Wal::open(disk).unwrap();
        // The crash interrupts this batch: its bytes were appended, its sync failed.
        wal.disk_mut().faults.failing_sync = true;
        assert!(matches!(wal.write(&batch(6, 11, 2)), Err(WalError::Failed(_))));
        assert!(
            matches!(wal.write(&batch(6, 11, 2)), Err(WalError::Failed(_))),
            "every write after a failure fails"
        );
        let mut disk = wal.into_disk();
        disk.crash();
        disk.faults = Faults::default();
        let (mut wal, recovered) = Wal::open(disk).unwrap();
        assert_eq!((recovered.last_sequence, recovered.entries.len()), (5, 10), "seed {seed}");
        torn_tails +=
            usize::from(recovered.torn_tail.is_some_and(|tail| tail.sequence == 6 && tail.bytes > 0));
        wal.write(&batch(6, 11, 1)).unwrap();
        let (_, reopened) = Wal::open(wal.into_disk()).unwrap();
        assert_eq!((reopened.last_sequence, reopened.torn_tail, reopened.entries.len()), (6, None, 11));
    }
    assert!(
        torn_tails > 50,
        "only {torn_tails} of 200 crashes left a torn tail: the fault is not injected as intended"
    );
}

#[test]
fn rejected_write_leaves_no_bytes_and_can_be_repeated() {
    let mut wal = filled_wal(FaultDisk::new(4), 3);
    wal.disk_mut().faults.disk_full = true;
    assert!(matches!(wal.write(&batch(4, 7, 2)), Err(WalError::WriteRejected(_))));
    let snapshot = Snapshot { index: 6, term: 3, data: vec![1] };
    let batch_with_snapshot =
        WriteBatch { sequence: 4, state: vec![], snapshot: Some(snapshot), entries: vec![] };
    assert!(matches!(wal.write(&batch_with_snapshot), Err(WalError::WriteRejected(_))));
    wal.disk_mut().faults.disk_full = false;
    assert!(matches!(wal.write(&batch(6, 7, 2)), Err(WalError::OutOfOrder { expected: 4, found: 6 })));
    wal.write(&batch(4, 7, 2)).unwrap();
    let (_, recovered) = Wal::open(wal.into_disk()).unwrap();
    assert_eq!((recovered.last_sequence, recovered.entries.len(), recovered.torn_tail), (4, 8, None));
}

#[test]
fn lying_sync_loses_complete_batches_and_the_rest_is_recovered() {
    let mut wal = filled_wal(FaultDisk::new(7), 4);
    wal.disk_mut().faults.lying_sync = true;
    wal.write(&batch(5, 9, 2)).unwrap();
    let snapshot = Snapshot { index: 10, term: 5, data: vec![1] };
    wal.write(&WriteBatch { sequence: 6, state: vec![], snapshot: Some(snapshot), entries: vec![] }).unwrap();
    let mut disk = wal.into_disk();
    disk.crash();
    let (_, recovered) = Wal::open(disk).unwrap();
    assert_eq!(
        (recovered.last_sequence, recovered.entries.len(), recovered.snapshot),
        (4, 8, None),
        "the batches that the last correct sync covered are recovered"
    );
}

/// A step of a random run.
#[derive(Debug, Clone)]
enum Step {
    /// Writes a batch of `count` entries that overwrites the last `overwritten` ones.
    Append {
        overwritten: u64,
        count: u64,
    },
    /// Writes a snapshot that leaves this number of the last entries after it.
    Snapshot {
        retained: u64,
    },
    RejectedWrite,
    Crash {
        torn: bool,
        during_write: bool,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0u64..4, 0u64..5).prop_map(|(overwritten, count)| Step::Append { overwritten, count }),
        1 => (0u64..6).prop_map(|retained| Step::Snapshot { retained }),
        1 => Just(Step::RejectedWrite),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(torn, during_write)| Step::Crash { torn, during_write }),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// In any order of writes, snapshots, rejected writes and crashes, every batch that was written
    /// successfully is recovered.
    #[test]
    fn acknowledged_batches_are_recovered(seed in 0u64..1000, steps in steps()) {
        let (mut wal, mut model) = Wal::open(FaultDisk::new(seed)).unwrap();
        for step in steps {
            let last = model.entries.last().map(|entry| entry.index).or(model.snapshot.as_ref().map(|snapshot| snapshot.index)).unwrap_or(0);
            let lowest = model.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let sequence = model.last_sequence + 1;
            match step {
                Step::Append { overwritten, count } => {
                    let first = last.saturating_sub(overwritten).max(lowest) + 1;
                    let batch = batch(sequence, first, count);
                    wal.write(&batch).unwrap();
                    if count > 0 {
                        model.entries.retain(|entry| entry.index < first);
                    }
                    model.entries.extend(batch.entries);
                    model.last_sequence = sequence;
                    model.state = batch.state;
                }
                Step::Snapshot { retained } => {
                    let index = last.saturating_sub(retained).max(lowest);
                    model.snapshot = Some(Snapshot { index, term: sequence, data: vec![sequence as u8; 40] });
                    model.entries.retain(|entry| entry.index > index);
                    model.last_sequence = sequence;
                    model.state = vec![1];
                    let batch = WriteBatch {
                        sequence,
                        state: vec![1],
                        snapshot: model.snapshot.clone(),
                        entries: model.entries.clone(),
                    };
                    wal.write(&batch).unwrap();
                }
                Step::RejectedWrite => {
                    wal.disk_mut().faults.disk_full = true;
                    prop_assert!(wal.write(&batch(sequence, last + 1, 1)).is_err());
                    wal.disk_mut().faults.disk_full = false;
                }
                Step::Crash { torn, during_write } => {
                    wal.disk_mut().faults.torn_writes = torn;
                    if during_write {
                        wal.disk_mut().faults.failing_sync = true;
                        prop_assert!(wal.write(&batch(sequence, last + 1, 2)).is_err());
                    }
                    let mut disk = wal.into_disk();
                    disk.crash();
                    disk.faults = Faults::default();
                    let (reopened, mut recovered) = Wal::open(disk).unwrap();
                    prop_assert!(recovered.torn_tail.is_none() || during_write);
                    recovered.torn_tail = None;
                    prop_assert_eq!(&recovered, &model);
                    wal = reopened;
                }
            }
        }
    }

    /// Arbitrary bytes after a segment's records give a result, never a panic.
    #[test]
    fn open_does_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400), kept_bytes in 0usize..400) {
        let mut disk = filled_wal(FaultDisk::new(3), 2).into_disk();
        let name = disk.newest_segment().unwrap();
        let mut content = disk.read(&name).unwrap();
        content.truncate(kept_bytes);
        content.extend(bytes);
        disk.create(&name).unwrap();
        disk.append(&name, &content).unwrap();
        let _ = Wal::open(disk);
    }
}
