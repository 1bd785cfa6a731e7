//! The real folder, and keepers on it.

use sprucelink_hot_restart::*;
use std::fs;
use std::os::unix::fs::{symlink, PermissionsExt};
use std::sync::atomic::{AtomicBool, Ordering};

fn me() -> Instance {
    Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
}

fn t(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_700_000_000_000_000 + ms * 1_000)
}

fn open(folder: &DiskFolder, pid: u32, at: Timestamp) -> (Keeper<DiskFolder>, Looked) {
    Keeper::open(folder.clone(), me(), "test", pid, at)
}

fn name(keeper: &Keeper<DiskFolder>) -> String {
    FileName::of(&me(), &keeper.process()).to_string()
}

#[test]
fn an_upgrade_on_a_real_folder_leaves_one_file() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path());
    let (mut elder, looked) = open(&folder, 40, t(0));
    assert!(looked.read.is_empty() && looked.trouble.is_empty());
    assert!(elder.due(t(0)) && !elder.says_yes());
    elder.step(t(0), false, true);
    assert!(!elder.says_yes(), "its file does not say so yet");
    elder.write(t(0), Content { last_event: 9, ..Content::default() }).expect("written");
    assert!(elder.says_yes() && !elder.due(t(249)) && elder.due(t(250)));
    let mode = fs::metadata(dir.path().join(name(&elder))).expect("there").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    // The clock is set back by an hour between the two starts: the newcomer is the younger one all the same.
    let back = |ms| t(ms) - TimeDelta::from_micros(3_600_000_000);
    let (mut newcomer, looked) = open(&folder, 40, back(100));
    assert_eq!((looked.read.len(), looked.read[0].content.last_event), (1, 9));
    assert_eq!((newcomer.process().generation, newcomer.process() > elder.process()), (2, true));
    newcomer.step(back(100), false, true);
    assert_eq!(newcomer.stand().phase, Phase::Ready);
    newcomer.write(back(100), Content::default()).expect("written");
    assert!(!newcomer.says_yes());
    assert_eq!(elder.look(back(200)).read.len(), 1);
    assert_eq!(elder.step(back(200), false, true).room_for, [newcomer.process()]);
    assert!(elder.due(back(200)), "what the newcomer waits for is written at once");
    elder.write(back(200), Content::default()).expect("written");
    assert_eq!(newcomer.look(back(300)).read.len(), 1);
    assert_eq!(newcomer.look(back(300)).read.len(), 0, "nothing new");
    newcomer.step(back(300), false, true);
    assert!(newcomer.stand().yes && !newcomer.says_yes(), "the elder could not read that it was relieved");
    newcomer.write(back(300), Content::default()).expect("written");
    assert!(newcomer.says_yes());
    elder.leave(back(400), Content { last_event: 11, ..Content::default() }).expect("written");
    assert_eq!(elder.stand().phase, Phase::Gone);
    let last = newcomer.look(back(500)).read;
    assert_eq!((last.len(), last[0].content.last_event, last[0].phase), (1, 11, Phase::Gone));
    newcomer.step(back(500), false, true);
    let written = newcomer.write(back(500), Content::default()).expect("written");
    assert_eq!(written.removed, 1);
    assert_eq!(folder.list().expect("listed"), [name(&newcomer)]);
}

/// Whoever reads while a file is replaced again and again reads one version of it, whole.
#[test]
fn a_reader_never_sees_half_a_file() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path());
    let (mut writer, _) = open(&folder, 41, t(0));
    writer.write(t(0), Content::default()).expect("written");
    let (name, over) = (name(&writer), AtomicBool::new(false));
    let reads = std::thread::scope(|scope| {
        let reading = scope.spawn(|| {
            let mut reads = 0_u32;
            while !over.load(Ordering::Relaxed) || reads < 100 {
                let bytes = folder.read(&name, FILE_MOST).expect("it is there all the time");
                decode(&bytes, &me()).expect("whole");
                reads += 1;
            }
            reads
        });
        for i in 1..600 {
            let ids = (0..i * 4).collect();
            writer.write(t(i as i64), Content { ids, ..Content::default() }).expect("written");
        }
        over.store(true, Ordering::Relaxed);
        reading.join().expect("it read on")
    });
    assert!(reads >= 100, "{reads}");
}

#[test]
fn names_that_lead_elsewhere_are_neither_followed_nor_opened() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path());
    let victim = dir.path().join("victim");
    fs::write(&victim, "mine").expect("written");
    for name in ["victim", "../victim", "", "sprucelink.00000001.1-1.handover/../victim"] {
        assert!(folder.read(name, 9).is_err() && folder.replace(name, b"x").is_err(), "{name}");
        assert!(folder.remove(name).is_err(), "{name}");
    }
    let (mut keeper, _) = open(&folder, 42, t(0));
    let name = name(&keeper);
    symlink(&victim, dir.path().join(&name)).expect("laid");
    symlink(&victim, dir.path().join(format!("{name}.tmp"))).expect("laid");
    assert!(folder.read(&name, 9).is_err(), "a link is no file");
    keeper.write(t(0), Content::default()).expect("written in its place");
    assert_eq!(fs::read_to_string(&victim).expect("there"), "mine");
    assert!(decode(&folder.read(&name, FILE_MOST).expect("read"), &me()).is_ok());
    let copy = "sprucelink.00000001.1-1.handover".replace("00000001", &name["sprucelink.".len()..][..8]);
    fs::copy(dir.path().join(&name), dir.path().join(&copy)).expect("copied");
    let refused = open(&folder, 43, t(1)).1.refused;
    assert!(matches!(&refused[..], [(name, Refusal::Invalid(_))] if *name == copy), "{refused:?}");
    fs::create_dir(dir.path().join("sprucelink.00000001.1-1.handover")).expect("made");
    assert!(folder.read("sprucelink.00000001.1-1.handover", 9).is_err());
}

/// A folder that went away, or a file in its place: every call says so, the process goes on and says yes.
#[test]
fn a_folder_that_is_not_there_is_no_end() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path().join("none"));
    let (mut keeper, looked) = open(&folder, 43, t(0));
    assert_eq!(looked.trouble.len(), 1);
    let stand = keeper.step(t(0), false, true);
    assert!(stand.accepts && stand.parts == 1);
    assert!(matches!(keeper.write(t(0), Content::default()), Err(WriteFailed::Folder(_))));
    assert!(keeper.says_yes() && !keeper.due(t(249)) && keeper.due(t(250)));
    assert!(folder.remove("sprucelink.00000001.1-1.handover").is_ok(), "what is not there is removed");
}

/// Hundreds of managers in one folder, as on a test rig: each opens its own files only, and of those the youngest.
#[test]
fn others_files_are_not_opened_and_own_ones_only_so_many() {
    let dir = tempfile::tempdir().expect("a folder");
    let folder = DiskFolder::new(dir.path());
    for i in 0..300 {
        let other = Instance { name: format!("n{i}"), listen: "127.0.0.1:7002".into() };
        Keeper::open(folder.clone(), other, "test", 1, t(i))
            .0
            .write(t(i), Content::default())
            .expect("written");
    }
    for i in 0..FILES_MOST as i64 + 3 {
        open(&folder, 1, t(i)).0.write(t(i), Content::default()).expect("written");
    }
    let (_, looked) = open(&folder, 2, t(10_000));
    assert_eq!((looked.read.len(), looked.left_alone, looked.refused.len()), (FILES_MOST, 3, 0));
    assert!(looked.read.iter().all(|h| h.process.started >= t(3)));
}
