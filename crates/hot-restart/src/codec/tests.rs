//! Tests of files that are rejected despite a valid checksum, and of fields added by newer builds.

use super::*;
use crate::state::{Phase, Process, StateSnapshot};
use sprucelink_time::Timestamp;

fn instance() -> Instance {
    Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() }
}

fn small_file(name: &str, generation: u64) -> StateFile {
    StateFile {
        instance: Instance { name: name.into(), ..instance() },
        process: Process { generation, started_at: Timestamp::from_micros(1), pid: 2 },
        build: "test".into(),
        clock: None,
        written_at: Timestamp::from_micros(3),
        sequence: 4,
        phase: Phase::Serving,
        phase_since: Timestamp::from_micros(3),
        shares_with: Vec::new(),
        snapshot: StateSnapshot::default(),
    }
}

/// A file with any format version and body and a valid checksum, as another build may have written it.
fn file_with_body(format: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = [MAGIC, format.to_le_bytes(), (body.len() as u32).to_le_bytes()].concat();
    let crc = checksum(&bytes[FORMAT_OFFSET..CRC_OFFSET], body);
    bytes.extend_from_slice(&crc.to_le_bytes());
    bytes.extend_from_slice(body);
    bytes
}

#[test]
fn complete_files_that_cannot_be_used_are_rejected_by_kind() {
    let own_file = encode(&small_file("n3", 1)).expect("small").bytes;
    assert_eq!(decode(&own_file, &instance()), Ok(small_file("n3", 1)));
    let other_file = encode(&small_file("n4", 1)).expect("small").bytes;
    let rejected = decode(&other_file, &instance());
    assert!(matches!(rejected, Err(StateFileError::OtherInstance(instance)) if instance.name == "n4"));
    let newer = FORMAT_VERSION + 1;
    assert_eq!(
        decode(&file_with_body(newer, b"?"), &instance()),
        Err(StateFileError::NewerFormat { format: newer })
    );
    let older = MIN_FORMAT_VERSION - 1;
    let unsupported = Err(StateFileError::UnsupportedFormat { format: older });
    assert_eq!(decode(&file_with_body(older, b"?"), &instance()), unsupported);
    let garbage = decode(&file_with_body(FORMAT_VERSION, b"\xff\xff"), &instance());
    assert!(matches!(garbage, Err(StateFileError::Invalid(InvalidState::Protobuf(_)))));
    let empty = decode(&file_with_body(FORMAT_VERSION, b""), &instance()).expect_err("rejected");
    assert_eq!(empty, StateFileError::Invalid(InvalidState::MissingProcess));
    assert_eq!(empty.to_string(), "invalid: process: missing");
    let too_large = vec![0; MAX_FILE_BYTES + 1];
    assert_eq!(decode(&too_large, &instance()), Err(StateFileError::TooLarge { bytes: MAX_FILE_BYTES + 1 }));
    assert!(matches!(decode(b"", &instance()), Err(StateFileError::Damaged(_))));
    assert!(matches!(decode(b"a text that is no such file", &instance()), Err(StateFileError::Damaged(_))));
}

/// Newer builds may add fields to the same format version.
#[test]
fn unknown_fields_are_skipped() {
    // Field 3 (process) with an empty message, then field 100, a varint.
    let body = [0x1a, 0, 0xa0, 0x06, 7];
    let empty_instance = Instance { name: "".into(), listen: "".into() };
    let decoded = decode(&file_with_body(FORMAT_VERSION, &body), &empty_instance);
    assert_eq!(decoded.map(|file| file.phase), Ok(Phase::Starting));
}
