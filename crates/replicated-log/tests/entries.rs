//! Encoding and decoding of entries: accepted and rejected ones, and compatibility with the released version.

use sprucelink_replicated_log::prost::Message;
use sprucelink_replicated_log::v1::{self, entry::Body};
use sprucelink_replicated_log::{decode, encode, Entry, EntryError, Record, MAX_ENTRY_BYTES};

fn note_entry() -> Entry {
    let body = Body::OperatorNote(v1::OperatorNote { by: "m1".into(), text: "harvest".into() });
    Entry { origin: "m1".into(), sequence: 7, body: Some(body), ..Entry::default() }
}

#[test]
fn entry_is_decoded_as_encoded_and_an_invalid_one_is_rejected() {
    let entry = note_entry();
    let bytes = encode(&entry).expect("encoded");
    assert_eq!(decode(&bytes), Ok(entry.clone()));
    assert_eq!(
        encode(&Entry { origin: String::new(), ..entry.clone() }),
        Err(EntryError::MissingField("origin"))
    );
    assert_eq!(encode(&Entry { sequence: 0, ..entry.clone() }), Err(EntryError::MissingField("sequence")));
    let text = "x".repeat(MAX_ENTRY_BYTES);
    let body = Body::OperatorNote(v1::OperatorNote { by: String::new(), text });
    let long = Entry { body: Some(body), ..entry };
    assert!(matches!(encode(&long), Err(EntryError::TooLong { .. })));
    assert!(matches!(decode(&vec![0; MAX_ENTRY_BYTES + 1]), Err(EntryError::TooLong { .. })));
    assert!(matches!(decode(&bytes[..bytes.len() - 1]), Err(EntryError::Undecodable(_))));
}

/// An old manager may receive an entry with a body of a later version. It must decode the entry, so that its
/// position counts, with no body and thus no effect.
#[test]
fn body_of_a_later_version_is_decoded_as_none() {
    let mut bytes = Entry { origin: "m1".into(), sequence: 1, ..Entry::default() }.encode_to_vec();
    // Field 900, length-delimited, one byte.
    bytes.extend_from_slice(&[0xa2, 0x38, 1, 0]);
    assert_eq!(decode(&bytes).expect("decoded").body, None);
}

/// `data/records.hex` contains a record with each kind of body, written before the messages were renamed.
/// Every field is set, so a field that was dropped or renumbered changes the bytes.
#[test]
fn records_of_the_released_version_are_decoded_and_encoded_to_the_same_bytes() {
    let mut record_count = 0;
    for line in include_str!("data/records.hex").lines() {
        let bytes: Vec<u8> = (0..line.len())
            .step_by(2)
            .map(|start| u8::from_str_radix(&line[start..start + 2], 16).expect("hexadecimal"))
            .collect();
        let record = Record::decode(bytes.as_slice()).expect("decoded");
        assert!(record.entry.as_ref().is_some_and(|entry| entry.body.is_some()), "{line}");
        assert_eq!(record.encode_to_vec(), bytes);
        record_count += 1;
    }
    assert_eq!(record_count, 19);
}
