//! Order of positions and their text form.

use sprucelink_replicated_log::{ParsePositionError, Position};

#[test]
fn position_has_exactly_one_text_form() {
    let position = Position { epoch: 3, index: 41 };
    assert_eq!((position.to_string().as_str(), "3:41".parse()), ("3:41", Ok(position)));
    for invalid in
        ["", "3", "3:", ":41", "+3:41", "3: 41", "03:41", "3:41:1", "3:99999999999999999999", "3:-1"]
    {
        assert_eq!(invalid.parse::<Position>(), Err(ParsePositionError), "{invalid}");
    }
    assert!(Position { epoch: 2, index: 900 } < position);
    assert_eq!(position.next(), Some(Position { epoch: 3, index: 42 }));
    assert_eq!(Position { epoch: 1, index: u64::MAX }.next(), None);
}
