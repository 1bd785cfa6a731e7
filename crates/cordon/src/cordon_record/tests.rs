//! Tests of the sanitizing of reasons and of the validation of records.

use super::*;

#[test]
fn long_or_multiline_reason_becomes_one_line_truncated_at_a_character() {
    assert_eq!(sanitize_reason("  disk\nswap\t"), "disk swap");
    let long = sanitize_reason(&"é".repeat(100));
    assert_eq!((long.len(), long.chars().count()), (MAX_REASON_BYTES, MAX_REASON_BYTES / 2));
    assert_eq!(sanitize_reason(&format!("a{}", "é".repeat(100))).len(), MAX_REASON_BYTES - 1);
}

#[test]
fn malformed_record_is_rejected_with_its_field() {
    let entry = CordonEntry {
        version: 7,
        cordoned: true,
        lease_expires_at: None,
        changed_at: Timestamp::from_micros(7),
        reason: "swap".into(),
    };
    let valid = CordonRecord { target: Target::Engine("e".into()), cause: Cause::Operator, entry };
    assert_eq!(valid.validate(), Ok(()));
    let error_of = |change: fn(&mut CordonRecord)| {
        let mut record = valid.clone();
        change(&mut record);
        record.validate().expect_err("malformed").to_string()
    };
    assert!(error_of(|r| r.target = Target::Engine("a\nb".into())).starts_with("target"));
    assert!(error_of(|r| r.target = Target::Engine(String::new())).starts_with("target"));
    assert!(error_of(|r| r.entry.version = MAX_VERSION + 1).starts_with("version"));
    assert!(error_of(|r| r.entry.reason = "x".repeat(MAX_REASON_BYTES + 1)).starts_with("why"));
    assert!(error_of(|r| r.cause = Cause::Fleet { permit: 1 }).starts_with("until"));
    assert!(error_of(|r| r.entry.lease_expires_at = Some(Timestamp::from_micros(9))).starts_with("until"));
}
