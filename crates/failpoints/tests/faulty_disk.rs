//! Tests of the faulty disk: the contents of a file after a crash, and those that the store reads before the
//! crash.

use sprucelink_failpoints::fault_file::DiskFaults;
use sprucelink_failpoints::faulty_disk::{FaultyDisk, Write};
use std::io::ErrorKind;

fn apply(file: &mut Vec<u8>, writes: Vec<Write>) {
    for write in writes {
        let start = write.offset as usize;
        let end = start + write.bytes.len();
        file.resize(file.len().max(end), 0);
        file[start..end].copy_from_slice(&write.bytes);
    }
}

/// Appends three times; returns the contents of the file after a crash, and the contents that the store read
/// before the crash.
fn append_three_times(faults: DiskFaults) -> (Vec<u8>, Vec<u8>) {
    let mut disk = FaultyDisk::new(faults);
    let mut file = Vec::new();
    for (offset, bytes) in [(0, b"abc"), (3, b"def"), (6, b"ghi")] {
        let writes = disk.write(offset, bytes).expect("accepted");
        apply(&mut file, writes);
    }
    let mut contents = file.clone();
    contents.resize(disk.visible_length(file.len() as u64) as usize, 0);
    disk.overlay(0, &mut contents);
    (file, contents)
}

#[test]
fn crash_loses_delayed_writes_and_tears_the_last_one() {
    let complete = b"abcdefghi".to_vec();
    let delayed = |writes| DiskFaults { delayed_writes: writes, ..DiskFaults::default() };
    let torn = |bytes| DiskFaults { torn_bytes: bytes, ..DiskFaults::default() };
    assert_eq!(append_three_times(DiskFaults::default()), (complete.clone(), complete.clone()));
    assert_eq!(append_three_times(delayed(2)), (b"abc".to_vec(), complete.clone()));
    assert_eq!(append_three_times(torn(2)), (b"abcdefg".to_vec(), complete.clone()));
    assert_eq!(append_three_times(torn(9)), (b"abcdef".to_vec(), complete));
}

#[test]
fn full_disk_accepts_the_bytes_that_fit_and_rejects_further_writes() {
    let faults = DiskFaults { full_after: Some(4), delayed_writes: 1, ..DiskFaults::default() };
    let mut disk = FaultyDisk::new(faults);
    assert_eq!(disk.write(0, b"abc"), Ok(vec![]), "delayed");
    let failed = disk.write(3, b"def").unwrap_err();
    let mut file = Vec::new();
    assert_eq!(failed.to_io_error().kind(), ErrorKind::StorageFull);
    apply(&mut file, failed.partial);
    assert_eq!(file, b"abcd");
    assert_eq!(disk.write(4, b"x").unwrap_err().partial, []);
    assert!(disk.write(4, b"").is_ok(), "an empty write needs no capacity");
}
