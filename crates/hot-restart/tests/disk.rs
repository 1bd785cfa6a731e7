//! Tests of the folder on disk and of drivers that use it.

use sprucelink_hot_restart::*;
use std::fs;
use std::os::unix::fs::{symlink, PermissionsExt};
use std::sync::atomic::{AtomicBool, Ordering};

fn instance() -> Instance {
    Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
}

fn at_ms(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + ms * 1_000)
}

fn open(folder: &DiskFolder, pid: u32, now: Timestamp) -> (StateFileDriver<DiskFolder>, FolderScan) {
    StateFileDriver::open(folder.clone(), instance(), "test", pid, now)
}

fn file_name(driver: &StateFileDriver<DiskFolder>) -> String {
    StateFileName::new(&instance(), &driver.process()).to_string()
}

#[test]
fn hot_restart_on_disk_leaves_one_file() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let folder = DiskFolder::new(dir.path());
    let (mut old, scan) = open(&folder, 40, at_ms(0));
    assert!(scan.files.is_empty() && scan.folder_errors.is_empty());
    assert!(old.is_write_due(at_ms(0)) && !old.is_healthy());
    old.step(at_ms(0), false, true);
    assert!(!old.is_healthy(), "the file does not announce yet that the process serves");
    old.write(at_ms(0), StateSnapshot { last_event: 9, ..StateSnapshot::default() }).expect("written");
    assert!(old.is_healthy() && !old.is_write_due(at_ms(249)) && old.is_write_due(at_ms(250)));
    let mode = fs::metadata(dir.path().join(file_name(&old))).expect("exists").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    // The clock is set back by an hour between the two starts; the new process still counts as the
    // newer one.
    let set_back_ms = |ms| at_ms(ms) - TimeDelta::from_micros(3_600_000_000);
    let (mut new, scan) = open(&folder, 40, set_back_ms(100));
    assert_eq!((scan.files.len(), scan.files[0].snapshot.last_event), (1, 9));
    assert_eq!((new.process().generation, new.process() > old.process()), (2, true));
    new.step(set_back_ms(100), false, true);
    assert_eq!(new.status().phase, Phase::Ready);
    new.write(set_back_ms(100), StateSnapshot::default()).expect("written");
    assert!(!new.is_healthy());
    assert_eq!(old.scan(set_back_ms(200)).files.len(), 1);
    assert_eq!(old.step(set_back_ms(200), false, true).shares_with, [new.process()]);
    assert!(
        old.is_write_due(set_back_ms(200)),
        "an acknowledgement that the new process waits for is written at once"
    );
    old.write(set_back_ms(200), StateSnapshot::default()).expect("written");
    assert_eq!(new.scan(set_back_ms(300)).files.len(), 1);
    assert_eq!(new.scan(set_back_ms(300)).files.len(), 0, "no file has changed");
    new.step(set_back_ms(300), false, true);
    assert!(
        new.status().has_served && !new.is_healthy(),
        "the old process cannot read yet that its successor serves"
    );
    new.write(set_back_ms(300), StateSnapshot::default()).expect("written");
    assert!(new.is_healthy());
    old.write_last(set_back_ms(400), StateSnapshot { last_event: 11, ..StateSnapshot::default() })
        .expect("written");
    assert_eq!(old.status().phase, Phase::Terminated);
    let last_files = new.scan(set_back_ms(500)).files;
    assert_eq!(
        (last_files.len(), last_files[0].snapshot.last_event, last_files[0].phase),
        (1, 11, Phase::Terminated)
    );
    new.step(set_back_ms(500), false, true);
    let report = new.write(set_back_ms(500), StateSnapshot::default()).expect("written");
    assert_eq!(report.removed_files, 1);
    assert_eq!(folder.list().expect("listed"), [file_name(&new)]);
}

/// A reader always sees one complete version of a file that is replaced repeatedly.
#[test]
fn reader_never_sees_a_partial_file() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let folder = DiskFolder::new(dir.path());
    let (mut writer, _) = open(&folder, 41, at_ms(0));
    writer.write(at_ms(0), StateSnapshot::default()).expect("written");
    let (name, is_finished) = (file_name(&writer), AtomicBool::new(false));
    let read_count = std::thread::scope(|scope| {
        let reader = scope.spawn(|| {
            let mut read_count = 0_u32;
            while !is_finished.load(Ordering::Relaxed) || read_count < 100 {
                let bytes = folder.read(&name, MAX_FILE_BYTES).expect("the file always exists");
                decode(&bytes, &instance()).expect("the file is complete");
                read_count += 1;
            }
            read_count
        });
        for i in 1..600 {
            let ids = (0..i * 4).collect();
            writer
                .write(at_ms(i as i64), StateSnapshot { known_ids: ids, ..StateSnapshot::default() })
                .expect("written");
        }
        is_finished.store(true, Ordering::Relaxed);
        reader.join().expect("the reader did not panic")
    });
    assert!(read_count >= 100, "{read_count}");
}

#[test]
fn names_and_links_that_lead_out_of_the_folder_are_not_followed() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let folder = DiskFolder::new(dir.path());
    let victim = dir.path().join("victim");
    fs::write(&victim, "unchanged").expect("written");
    for name in ["victim", "../victim", "", "sprucelink.00000001.1-1.handover/../victim"] {
        assert!(folder.read(name, 9).is_err() && folder.replace(name, b"x").is_err(), "{name}");
        assert!(folder.remove(name).is_err(), "{name}");
    }
    let (mut driver, _) = open(&folder, 42, at_ms(0));
    let name = file_name(&driver);
    symlink(&victim, dir.path().join(&name)).expect("linked");
    symlink(&victim, dir.path().join(format!("{name}.tmp"))).expect("linked");
    assert!(folder.read(&name, 9).is_err(), "a link is not a regular file");
    driver.write(at_ms(0), StateSnapshot::default()).expect("the link is replaced");
    assert_eq!(fs::read_to_string(&victim).expect("exists"), "unchanged");
    assert!(decode(&folder.read(&name, MAX_FILE_BYTES).expect("read"), &instance()).is_ok());
    let copy = "sprucelink.00000001.1-1.handover".replace("00000001", &name["sprucelink.".len()..][..8]);
    fs::copy(dir.path().join(&name), dir.path().join(&copy)).expect("copied");
    let rejected = open(&folder, 43, at_ms(1)).1.rejected;
    assert!(matches!(&rejected[..], [(name, StateFileError::Invalid(_))] if *name == copy), "{rejected:?}");
    fs::create_dir(dir.path().join("sprucelink.00000001.1-1.handover")).expect("created");
    assert!(folder.read("sprucelink.00000001.1-1.handover", 9).is_err());
}

/// Without the folder every call reports an error; the process continues to serve and is healthy.
#[test]
fn missing_folder_is_reported_and_the_process_serves() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let folder = DiskFolder::new(dir.path().join("none"));
    let (mut driver, scan) = open(&folder, 43, at_ms(0));
    assert_eq!(scan.folder_errors.len(), 1);
    let status = driver.step(at_ms(0), false, true);
    assert!(status.accepts_connections && status.budget_parts == 1);
    assert!(matches!(driver.write(at_ms(0), StateSnapshot::default()), Err(WriteError::Folder(_))));
    assert!(driver.is_healthy() && !driver.is_write_due(at_ms(249)) && driver.is_write_due(at_ms(250)));
    assert!(
        folder.remove("sprucelink.00000001.1-1.handover").is_ok(),
        "removing a missing file is not an error"
    );
}

/// Hundreds of managers share one folder, as on a test rig: each opens only the files of its own instance,
/// and of those only the newest.
#[test]
fn files_of_other_instances_are_ignored_and_files_of_the_own_instance_are_limited() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let folder = DiskFolder::new(dir.path());
    for i in 0..300 {
        let other = Instance { name: format!("n{i}"), listen: "127.0.0.1:7002".into() };
        StateFileDriver::open(folder.clone(), other, "test", 1, at_ms(i))
            .0
            .write(at_ms(i), StateSnapshot::default())
            .expect("written");
    }
    for i in 0..MAX_PEER_FILES as i64 + 3 {
        open(&folder, 1, at_ms(i)).0.write(at_ms(i), StateSnapshot::default()).expect("written");
    }
    let (_, scan) = open(&folder, 2, at_ms(10_000));
    assert_eq!((scan.files.len(), scan.ignored, scan.rejected.len()), (MAX_PEER_FILES, 3, 0));
    assert!(scan.files.iter().all(|file| file.process.started_at >= at_ms(3)));
}
