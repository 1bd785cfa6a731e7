//! Tests of failpoints that are armed from the fault file and hit once, at the configured pass.

#[cfg(feature = "hits")]
use sprucelink_failpoints::fault_file::FaultFile;
use sprucelink_failpoints::{hit, load_and_arm};
#[cfg(feature = "hits")]
use std::time::{Duration, Instant};

#[cfg(not(feature = "hits"))]
#[test]
fn fault_file_is_rejected_by_a_build_without_failpoints() {
    let folder = std::env::temp_dir().join(format!("sprucelink-no-points-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("temporary folder");
    assert!(load_and_arm(&folder).is_ok());
    std::fs::write(folder.join("faults.json5"), "{}").expect("written");
    assert!(load_and_arm(&folder).unwrap_err().to_string().contains("takes no faults"));
    let arm = [("a".to_owned(), 1)].into();
    let points = sprucelink_failpoints::fault_file::Failpoints { arm, wait_ms: 1 };
    assert!(sprucelink_failpoints::arm(points).is_err());
    hit("a");
    std::fs::remove_dir_all(&folder).expect("removed");
}

#[cfg(feature = "hits")]
#[test]
fn armed_failpoint_blocks_once_at_its_pass_and_others_do_not() {
    let folder = std::env::temp_dir().join(format!("sprucelink-failpoints-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("temporary folder");
    assert_eq!(load_and_arm(&folder).expect("without a file there are no faults"), FaultFile::default());
    std::fs::write(folder.join("faults.json5"), "{ points: { arm: { 'a.b': 2 }, wait_ms: 300 } }")
        .expect("written");
    load_and_arm(&folder).expect("armed");
    let blocks = |name: &str| {
        let started_at = Instant::now();
        hit(name);
        started_at.elapsed() >= Duration::from_millis(300)
    };
    assert_eq!([blocks("a.b"), blocks("x"), blocks("a.b"), blocks("a.b")], [false, false, true, false]);
    std::fs::write(folder.join("faults.json5"), "{ point: 1 }").expect("written");
    assert!(load_and_arm(&folder).unwrap_err().to_string().contains("faults.json5"));
    std::fs::remove_dir_all(&folder).expect("removed");
}
