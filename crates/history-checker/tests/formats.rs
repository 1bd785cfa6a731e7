//! Tests of the textual formats of cursors and histories.

use sprucelink_history_checker::cursor::Cursor;
use sprucelink_history_checker::event::{Event, HistoryEntry};
use sprucelink_history_checker::read::parse_history;
use std::error::Error;

#[test]
fn cursor_is_parsed_strictly_and_ordered_by_epoch_first() {
    assert_eq!("3:17".parse(), Ok(Cursor::new(3, 17)));
    for invalid in ["", "3", "3:", ":1", "+3:1", "3:-1", "3:1:2", "03:1", "18446744073709551616:1", " 3:1"] {
        assert!(invalid.parse::<Cursor>().is_err(), "{invalid:?}");
    }
    assert!(Cursor::new(2, 1) > Cursor::new(1, 900));
    assert!(Cursor::new(1, 1).is_followed_by(Cursor::new(1, 2)));
    assert!(!Cursor::new(1, 1).is_followed_by(Cursor::new(2, 2)));
    assert!(!Cursor::new(1, u64::MAX).is_followed_by(Cursor::new(1, 0)));
}

#[test]
fn serialized_entry_is_parsed_unchanged_and_an_invalid_line_is_reported_by_number() {
    let entry = HistoryEntry {
        at_us: 7,
        event: Event::SubscriberConnected {
            subscriber: "s1".into(),
            manager: "n0".into(),
            cursor: Some(Cursor::new(1, 4)),
            version: "2".into(),
            filter: String::new(),
        },
    };
    let text = serde_json::to_string(&entry).expect("serializable");
    assert!(text.contains(r#""kind":"join""#) && text.contains(r#""cursor":"1:4""#), "{text}");
    assert_eq!(parse_history([text.as_str()]).expect("valid"), [entry]);
    let earlier = text.replace("\"at_us\":7", "\"at_us\":6");
    let error = parse_history([text.as_str(), &earlier]).unwrap_err().to_string();
    assert!(error.starts_with("line 2: 6 us is before"), "{error}");
    let error = parse_history(["{}"]).unwrap_err().to_string();
    assert!(error.starts_with("line 1"), "{error}");
    let error = parse_history([text.replace("1:4", "4").as_str()]).unwrap_err();
    let source = error.source().expect("a source").to_string();
    assert!(source.contains("EPOCH:INDEX"), "{source}");
}
