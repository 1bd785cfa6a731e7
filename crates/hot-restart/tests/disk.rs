//! The folder on disk, and drivers on it.

use sprucelink_hot_restart::*;
use std::fs;
use std::os::unix::fs::{symlink, PermissionsExt};
use std::sync::atomic::{AtomicBool, Ordering};

fn instance() -> Instance {
    Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
}

fn t(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + ms * 1_000)
}

fn open(folder: &DiskFolder, pid: u32, at: Timestamp) -> (StateFileDriver<DiskFolder>, FolderScan) {
    StateFileDriver::open(folder.clone(), instance(), "test", pid, at)
}

fn name(driver: &StateFileDriver<DiskFolder>) -> String {
    StateFileName::new(&instance(), &driver.process()).to_string()
}

#[test]
fn hot_restart_on_disk_leaves_one_file() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path());
    let (mut old, scan) = open(&folder, 40, t(0));
    assert!(scan.files.is_empty() && scan.folder_errors.is_empty());
    assert!(old.is_write_due(t(0)) && !old.is_healthy());
    old.step(t(0), false, true);
    assert!(!old.is_healthy(), "its file does not announce it yet");
    old.write(t(0), StateSnapshot { last_event: 9, ..StateSnapshot::default() }).expect("written");
    assert!(old.is_healthy() && !old.is_write_due(t(249)) && old.is_write_due(t(250)));
    let mode = fs::metadata(dir.path().join(name(&old))).expect("there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    // The clock is set back by an hour between the two starts: the new process counts as the newer one all the same.
    let back = |ms| t(ms) - TimeDelta::from_micros(3_600_000_000);
    let (mut new, scan) = open(&folder, 40, back(100));
    assert_eq!((scan.files.len(), scan.files[0].snapshot.last_event), (1, 9));
    assert_eq!((new.process().generation, new.process() > old.process()), (2, true));
    new.step(back(100), false, true);
    assert_eq!(new.status().phase, Phase::Ready);
    new.write(back(100), StateSnapshot::default()).expect("written");
    assert!(!new.is_healthy());
    assert_eq!(old.scan(back(200)).files.len(), 1);
    assert_eq!(old.step(back(200), false, true).shares_with, [new.process()]);
    assert!(old.is_write_due(back(200)), "what the new process waits for is written at once");
    old.write(back(200), StateSnapshot::default()).expect("written");
    assert_eq!(new.scan(back(300)).files.len(), 1);
    assert_eq!(new.scan(back(300)).files.len(), 0, "nothing new");
    new.step(back(300), false, true);
    assert!(
        new.status().has_served && !new.is_healthy(),
        "the old process could not read that its successor serves"
    );
    new.write(back(300), StateSnapshot::default()).expect("written");
    assert!(new.is_healthy());
    old.write_last(back(400), StateSnapshot { last_event: 11, ..StateSnapshot::default() }).expect("written");
    assert_eq!(old.status().phase, Phase::Terminated);
    let last = new.scan(back(500)).files;
    assert_eq!((last.len(), last[0].snapshot.last_event, last[0].phase), (1, 11, Phase::Terminated));
    new.step(back(500), false, true);
    let written = new.write(back(500), StateSnapshot::default()).expect("written");
    assert_eq!(written.removed_files, 1);
    assert_eq!(folder.list().expect("listed"), [name(&new)]);
}

/// A reader sees one complete version of a file while it is replaced again and again.
#[test]
fn reader_never_sees_a_partial_file() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path());
    let (mut writer, _) = open(&folder, 41, t(0));
    writer.write(t(0), StateSnapshot::default()).expect("written");
    let (name, over) = (name(&writer), AtomicBool::new(false));
    let reads = std::thread::scope(|scope| {
        let reading = scope.spawn(|| {
            let mut reads = 0_u32;
            while !over.load(Ordering::Relaxed) || reads < 100 {
                let bytes = folder.read(&name, MAX_FILE_BYTES).expect("it is there all the time");
                decode(&bytes, &instance()).expect("whole");
                reads += 1;
            }
            reads
        });
        for i in 1..600 {
            let ids = (0..i * 4).collect();
            writer
                .write(t(i as i64), StateSnapshot { known_ids: ids, ..StateSnapshot::default() })
                .expect("written");
        }
        over.store(true, Ordering::Relaxed);
        reading.join().expect("it read on")
    });
    assert!(reads >= 100, "{reads}");
}

#[test]
fn names_and_links_that_lead_elsewhere_are_not_followed() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path());
    let victim = dir.path().join("victim");
    fs::write(&victim, "mine").expect("written");
    for name in ["victim", "../victim", "", "sprucelink.00000001.1-1.handover/../victim"] {
        assert!(folder.read(name, 9).is_err() && folder.replace(name, b"x").is_err(), "{name}");
        assert!(folder.remove(name).is_err(), "{name}");
    }
    let (mut driver, _) = open(&folder, 42, t(0));
    let name = name(&driver);
    symlink(&victim, dir.path().join(&name)).expect("laid");
    symlink(&victim, dir.path().join(format!("{name}.tmp"))).expect("laid");
    assert!(folder.read(&name, 9).is_err(), "a link is no file");
    driver.write(t(0), StateSnapshot::default()).expect("written in its place");
    assert_eq!(fs::read_to_string(&victim).expect("there"), "mine");
    assert!(decode(&folder.read(&name, MAX_FILE_BYTES).expect("read"), &instance()).is_ok());
    let copy = "sprucelink.00000001.1-1.handover".replace("00000001", &name["sprucelink.".len()..][..8]);
    fs::copy(dir.path().join(&name), dir.path().join(&copy)).expect("copied");
    let refused = open(&folder, 43, t(1)).1.rejected;
    assert!(matches!(&refused[..], [(name, StateFileError::Invalid(_))] if *name == copy), "{refused:?}");
    fs::create_dir(dir.path().join("sprucelink.00000001.1-1.handover")).expect("made");
    assert!(folder.read("sprucelink.00000001.1-1.handover", 9).is_err());
}

/// Without the folder every call reports an error; the process goes on and is healthy.
#[test]
fn missing_folder_is_reported_and_the_process_serves() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path().join("none"));
    let (mut driver, scan) = open(&folder, 43, t(0));
    assert_eq!(scan.folder_errors.len(), 1);
    let stand = driver.step(t(0), false, true);
    assert!(stand.accepts_connections && stand.budget_parts == 1);
    assert!(matches!(driver.write(t(0), StateSnapshot::default()), Err(WriteError::Folder(_))));
    assert!(driver.is_healthy() && !driver.is_write_due(t(249)) && driver.is_write_due(t(250)));
    assert!(folder.remove("sprucelink.00000001.1-1.handover").is_ok(), "removing a missing file is no error");
}

/// Hundreds of managers in one folder, as on a test rig: each opens the files of its own instance only, and of those the
/// newest.
#[test]
fn files_of_other_instances_are_ignored_and_own_ones_limited() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path());
    for i in 0..300 {
        let other = Instance { name: format!("n{i}"), listen: "127.0.0.1:7002".into() };
        StateFileDriver::open(folder.clone(), other, "test", 1, t(i))
            .0
            .write(t(i), StateSnapshot::default())
            .expect("written");
    }
    for i in 0..MAX_PEER_FILES as i64 + 3 {
        open(&folder, 1, t(i)).0.write(t(i), StateSnapshot::default()).expect("written");
    }
    let (_, scan) = open(&folder, 2, t(10_000));
    assert_eq!((scan.files.len(), scan.ignored, scan.rejected.len()), (MAX_PEER_FILES, 3, 0));
    assert!(scan.files.iter().all(|h| h.process.started_at >= t(3)));
}
