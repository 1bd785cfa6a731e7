//! Tests of the fault file: defaults, the pass for which a failpoint is armed, and rejected values.

use sprucelink_failpoints::fault_file::FaultFile;

#[test]
fn missing_fields_take_their_defaults() {
    let text = "{ points: { arm: { 'vote.unsynced': 2 } }, disk: { torn: 3 } }";
    let faults = FaultFile::parse(text).expect("valid");
    assert_eq!((faults.points.wait_ms, faults.disk.torn_bytes, faults.disk.delayed_writes), (2_000, 3, 0));
}

#[test]
fn failpoint_is_hit_once_at_the_pass_for_which_it_is_armed() {
    let faults = FaultFile::parse("{ points: { arm: { 'vote.unsynced': 2 } } }").expect("valid");
    let mut points = faults.points;
    let passes = [1, 2, 3].map(|_| points.count_pass("vote.unsynced"));
    assert_eq!(passes, [false, true, false], "only at the second pass");
    assert!(!points.count_pass("other"));
}

#[test]
fn value_out_of_range_is_rejected_by_the_name_of_its_field() {
    for (text, field) in [
        ("{ points: { wait_ms: 60000 } }", "points.wait_ms"),
        ("{ points: { arm: { 'a b': 1 } } }", "points.arm"),
        ("{ points: { arm: { a: 0 } } }", "points.arm"),
        ("{ disk: { hold_back: 5000 } }", "disk.hold_back"),
        ("{ disk: { full: 1 } }", "full"),
    ] {
        let error = FaultFile::parse(text).unwrap_err().to_string();
        assert!(error.contains(field), "{text}: {error}");
    }
}
