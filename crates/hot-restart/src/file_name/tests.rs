//! Tests of parsing file names.

use super::*;

#[test]
fn formatted_name_is_parsed_and_invalid_names_are_rejected() {
    let instance = Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
    let started_at = Timestamp::from_micros(1_700_000_000_000_000);
    let process = Process { generation: 9, started_at, pid: 7 };
    let parts = StateFileName::new(&instance, &process);
    let name = parts.to_string();
    assert!(name.ends_with(".7-1700000000000000.handover"), "{name}");
    assert_eq!(StateFileName::parse(&name), Some(parts));
    let temporary = StateFileName { is_temporary: true, ..parts };
    assert_eq!(StateFileName::parse(&StateFileName::temporary(&name)), Some(temporary));
    let other_instance = StateFileName::new(&Instance { name: "n30".into(), ..instance.clone() }, &process);
    assert_ne!(other_instance.instance_hash, parts.instance_hash);
    for invalid in [
        "",
        "sprucelink.handover",
        "sprucelink.00000001.7.handover",
        "sprucelink.00000001.+7-1.handover",
        "sprucelink.00000001.7-01.handover",
        "sprucelink.1.7-1.handover",
        "sprucelink.00000001.7-1.handover.tmp.tmp",
        "../sprucelink.00000001.7-1.handover",
        "sprucelink.00000001.7-99999999999999999999.handover",
    ] {
        assert_eq!(StateFileName::parse(invalid), None, "{invalid}");
    }
    assert!(StateFileName::parse("sprucelink.00000001.7-1.handover").is_some());
}
