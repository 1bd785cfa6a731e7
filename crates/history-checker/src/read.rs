//! Reads a history from its lines.

use crate::event::Line;

/// Lines of a history that are judged at most.
pub const MOST_LINES: usize = 5_000_000;

/// Reads a history: one event a line, times never falling.
///
/// # Errors
/// The line's number and what is wrong with it: not an event, a time before the line above, or too many lines.
pub fn lines<'a>(text: impl IntoIterator<Item = &'a str>) -> Result<Vec<Line>, String> {
    let (mut all, mut last) = (Vec::new(), 0);
    for (i, row) in text.into_iter().enumerate() {
        if i >= MOST_LINES {
            return Err(format!("a history of over {MOST_LINES} lines is not judged"));
        }
        let line: Line = serde_json::from_str(row).map_err(|e| format!("line {}: {e}", i + 1))?;
        if line.at_us < last {
            return Err(format!("line {}: {} us is before the line above, {last} us", i + 1, line.at_us));
        }
        last = line.at_us;
        all.push(line);
    }
    Ok(all)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::cursor::Cursor;
    use crate::event::Event;

    #[test]
    fn lines_come_back_as_they_were_written_and_bad_ones_are_named() {
        let line = Line {
            at_us: 7,
            event: Event::Join {
                subscriber: "s1".into(),
                manager: "n0".into(),
                cursor: Some(Cursor::new(1, 4)),
                version: "2".into(),
                filter: String::new(),
            },
        };
        let text = serde_json::to_string(&line).expect("written");
        assert!(text.contains(r#""kind":"join""#) && text.contains(r#""cursor":"1:4""#), "{text}");
        assert_eq!(lines([text.as_str()]).expect("read"), [line]);
        let early = text.replace("\"at_us\":7", "\"at_us\":6");
        assert!(lines([text.as_str(), &early]).unwrap_err().starts_with("line 2: 6 us is before"));
        assert!(lines(["{}"]).unwrap_err().starts_with("line 1"));
        assert!(lines([text.replace("1:4", "4").as_str()]).unwrap_err().contains("EPOCH:INDEX"));
    }
}
