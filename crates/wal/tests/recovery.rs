//! The store against its disk's faults, and as a state machine against a plain model.

use proptest::prelude::*;
use sprucelink_wal::faults::{FaultDisk, Faults};
use sprucelink_wal::folder::Folder;
use sprucelink_wal::{Base, Disk, Entry, Ledger, LedgerError, Restored, Write};

fn write(seq: u64, first: u64, count: u64) -> Write {
    let entries = (first..first + count)
        .map(|index| Entry { index, term: seq, data: format!("entry {index} of write {seq}").into_bytes() })
        .collect();
    Write { seq, state: seq.to_le_bytes().to_vec(), base: None, entries }
}

fn filled(disk: FaultDisk, writes: u64) -> Ledger<FaultDisk> {
    let (mut ledger, _) = Ledger::open(disk).unwrap();
    for seq in 1..=writes {
        ledger.write(&write(seq, seq * 2 - 1, 2)).unwrap();
    }
    ledger
}

#[test]
fn comes_back_as_written_from_a_real_folder() {
    let folder = tempfile::tempdir().unwrap();
    let (mut ledger, fresh) = Ledger::open(Folder::open(folder.path()).unwrap()).unwrap();
    assert_eq!(fresh, Restored::default());
    ledger.write(&write(1, 1, 3)).unwrap();
    ledger.write(&write(2, 3, 2)).unwrap(); // entry 3 is written anew
    drop(ledger);
    let (mut ledger, back) = Ledger::open(Folder::open(folder.path()).unwrap()).unwrap();
    assert_eq!((back.seq, back.cut), (2, None));
    assert_eq!(
        back.entries.iter().map(|e| (e.index, e.term)).collect::<Vec<_>>(),
        [(1, 1), (2, 1), (3, 2), (4, 2)]
    );
    let base = Base { index: 3, term: 2, data: b"state at 3".to_vec() };
    let tail = back.entries[3].clone();
    ledger
        .write(&Write { seq: 3, state: vec![9], base: Some(base.clone()), entries: vec![tail.clone()] })
        .unwrap();
    drop(ledger);
    let (_, back) = Ledger::open(Folder::open(folder.path()).unwrap()).unwrap();
    assert_eq!(back, Restored { seq: 3, state: vec![9], base: Some(base), entries: vec![tail], cut: None });
    assert_eq!(std::fs::read_dir(folder.path()).unwrap().count(), 1, "the old generation is gone");
}

#[test]
fn a_foreign_folder_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("notes.txt"), "mine").unwrap();
    let opened = Ledger::open(Folder::open(folder.path()).unwrap());
    assert!(matches!(opened, Err(LedgerError::Foreign(name)) if name == "notes.txt"));
}

#[test]
fn damage_before_the_last_record_keeps_the_member_out() {
    let mut seen = 0;
    for seed in 0..200 {
        let ledger = filled(FaultDisk::new(seed), 20);
        let len = ledger.bytes();
        let mut disk = ledger.into_disk();
        let name = disk.newest().unwrap();
        // Below the last record, which starts well inside the last tenth of the file.
        assert!(disk.turn_bit(&name, len * 9 / 10));
        match Ledger::open(disk) {
            Err(LedgerError::Damaged { file, at, .. }) => {
                assert!(file == name && at < len);
                seen += 1;
            }
            other => panic!("seed {seed}: a turned bit went unseen: {other:?}"),
        }
    }
    assert_eq!(seen, 200);
}

#[test]
fn a_torn_last_write_is_cut_and_told() {
    let mut cuts = 0;
    for seed in 0..200 {
        let mut disk = filled(FaultDisk::new(seed), 5).into_disk();
        disk.faults = Faults { torn: true, ..Faults::default() };
        let (mut ledger, _) = Ledger::open(disk).unwrap();
        // The write that the crash interrupts: its bytes were handed over, its sync failed.
        ledger.disk_mut().faults.failing_sync = true;
        assert!(matches!(ledger.write(&write(6, 11, 2)), Err(LedgerError::Broken(_))));
        assert!(matches!(ledger.write(&write(6, 11, 2)), Err(LedgerError::Broken(_))), "broken stays broken");
        let mut disk = ledger.into_disk();
        disk.crash();
        disk.faults = Faults::default();
        let (mut ledger, back) = Ledger::open(disk).unwrap();
        assert_eq!((back.seq, back.entries.len()), (5, 10), "seed {seed}");
        cuts += usize::from(back.cut.is_some_and(|cut| cut.seq == 6 && cut.bytes > 0));
        ledger.write(&write(6, 11, 1)).unwrap();
        let (_, again) = Ledger::open(ledger.into_disk()).unwrap();
        assert_eq!((again.seq, again.cut, again.entries.len()), (6, None, 11));
    }
    assert!(cuts > 50, "only {cuts} of 200 crashes left a torn tail: the fault is not as meant");
}

#[test]
fn a_refused_write_leaves_nothing_and_may_come_again() {
    let mut ledger = filled(FaultDisk::new(4), 3);
    ledger.disk_mut().faults.full = true;
    assert!(matches!(ledger.write(&write(4, 7, 2)), Err(LedgerError::Refused(_))));
    let base = Base { index: 6, term: 3, data: vec![1] };
    let snapshot = Write { seq: 4, state: vec![], base: Some(base), entries: vec![] };
    assert!(matches!(ledger.write(&snapshot), Err(LedgerError::Refused(_))));
    ledger.disk_mut().faults.full = false;
    assert!(matches!(ledger.write(&write(6, 7, 2)), Err(LedgerError::OutOfOrder { due: 4, came: 6 })));
    ledger.write(&write(4, 7, 2)).unwrap();
    let (_, back) = Ledger::open(ledger.into_disk()).unwrap();
    assert_eq!((back.seq, back.entries.len(), back.cut), (4, 8, None));
}

#[test]
fn a_lying_sync_loses_whole_writes_and_the_rest_reads_well() {
    let mut ledger = filled(FaultDisk::new(7), 4);
    ledger.disk_mut().faults.lying = true;
    ledger.write(&write(5, 9, 2)).unwrap();
    let base = Base { index: 10, term: 5, data: vec![1] };
    ledger.write(&Write { seq: 6, state: vec![], base: Some(base), entries: vec![] }).unwrap();
    let mut disk = ledger.into_disk();
    disk.crash();
    let (_, back) = Ledger::open(disk).unwrap();
    assert_eq!((back.seq, back.entries.len(), back.base), (4, 8, None), "back to the last honest sync");
}

/// A step of the state machine test.
#[derive(Debug, Clone)]
enum Step {
    Append(u64, u64),
    Snapshot(u64),
    Refuse,
    Crash { torn: bool, mid_write: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0u64..4, 0u64..5).prop_map(|(back, count)| Step::Append(back, count)),
        1 => (0u64..6).prop_map(Step::Snapshot),
        1 => Just(Step::Refuse),
        2 => (any::<bool>(), any::<bool>()).prop_map(|(torn, mid_write)| Step::Crash { torn, mid_write }),
    ];
    proptest::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Through any order of writes, snapshots, refusals and crashes, what was written well is what comes back.
    #[test]
    fn what_was_acknowledged_comes_back(seed in 0u64..1000, steps in steps()) {
        let (mut ledger, mut model) = Ledger::open(FaultDisk::new(seed)).unwrap();
        for step in steps {
            let last = model.entries.last().map(|e| e.index).or(model.base.as_ref().map(|b| b.index)).unwrap_or(0);
            let low = model.base.as_ref().map_or(0, |b| b.index);
            let seq = model.seq + 1;
            match step {
                Step::Append(back, count) => {
                    let first = last.saturating_sub(back).max(low) + 1;
                    let write = write(seq, first, count);
                    ledger.write(&write).unwrap();
                    if count > 0 {
                        model.entries.retain(|e| e.index < first);
                    }
                    model.entries.extend(write.entries);
                    (model.seq, model.state) = (seq, write.state);
                }
                Step::Snapshot(back) => {
                    let index = last.saturating_sub(back).max(low);
                    model.base = Some(Base { index, term: seq, data: vec![seq as u8; 40] });
                    model.entries.retain(|e| e.index > index);
                    (model.seq, model.state) = (seq, vec![1]);
                    ledger.write(&Write { seq, state: vec![1], base: model.base.clone(), entries: model.entries.clone() }).unwrap();
                }
                Step::Refuse => {
                    ledger.disk_mut().faults.full = true;
                    prop_assert!(ledger.write(&write(seq, last + 1, 1)).is_err());
                    ledger.disk_mut().faults.full = false;
                }
                Step::Crash { torn, mid_write } => {
                    ledger.disk_mut().faults.torn = torn;
                    if mid_write {
                        ledger.disk_mut().faults.failing_sync = true;
                        prop_assert!(ledger.write(&write(seq, last + 1, 2)).is_err());
                    }
                    let mut disk = ledger.into_disk();
                    disk.crash();
                    disk.faults = Faults::default();
                    let (again, mut back) = Ledger::open(disk).unwrap();
                    prop_assert!(back.cut.is_none() || mid_write);
                    back.cut = None;
                    prop_assert_eq!(&back, &model);
                    ledger = again;
                }
            }
        }
    }

    /// Bytes of any kind as a generation: an answer, never a panic.
    #[test]
    fn garbage_is_told(bytes in proptest::collection::vec(any::<u8>(), 0..400), keep in 0usize..400) {
        let mut disk = filled(FaultDisk::new(3), 2).into_disk();
        let name = disk.newest().unwrap();
        let mut content = disk.read(&name).unwrap();
        content.truncate(keep);
        content.extend(bytes);
        disk.create(&name).unwrap();
        disk.append(&name, &content).unwrap();
        let _ = Ledger::open(disk);
    }
}
