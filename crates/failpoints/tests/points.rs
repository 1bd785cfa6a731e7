//! Points in a build that has them: told once, at the pass armed for, and waited at for no longer than armed.
#[cfg(feature = "hits")]
use std::time::{Duration, Instant};

/// A build without them waits nowhere, and does not pass over a file that asks for it.
#[cfg(not(feature = "hits"))]
#[test]
fn a_build_without_points_refuses_a_file_of_faults() {
    let dir = std::env::temp_dir().join(format!("sprucelink-no-points-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    assert!(sprucelink_failpoints::begin(&dir).is_ok());
    std::fs::write(dir.join("faults.json5"), "{}").expect("written");
    assert!(sprucelink_failpoints::begin(&dir).unwrap_err().contains("takes no faults"));
    let arm = [("a".to_owned(), 1)].into();
    assert!(sprucelink_failpoints::arm(sprucelink_failpoints::file::Points { arm, wait_ms: 1 }).is_err());
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[cfg(feature = "hits")]
#[test]
fn an_armed_point_waits_once_at_its_pass_and_others_do_not() {
    let dir = std::env::temp_dir().join(format!("sprucelink-failpoints-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    assert_eq!(
        sprucelink_failpoints::begin(&dir),
        Ok(sprucelink_failpoints::file::FaultFile::default()),
        "no file, no fault"
    );
    std::fs::write(dir.join("faults.json5"), "{ points: { arm: { 'a.b': 2 }, wait_ms: 300 } }")
        .expect("written");
    sprucelink_failpoints::begin(&dir).expect("armed");
    let took = |name: &str| {
        let begun = Instant::now();
        sprucelink_failpoints::hit(name);
        begun.elapsed() >= Duration::from_millis(300)
    };
    assert_eq!([took("a.b"), took("x"), took("a.b"), took("a.b")], [false, false, true, false]);
    std::fs::write(dir.join("faults.json5"), "{ point: 1 }").expect("written");
    assert!(sprucelink_failpoints::begin(&dir).unwrap_err().contains("faults.json5"));
    std::fs::remove_dir_all(&dir).expect("removed");
}
