//! Nesting depth of the brackets in a `.proto` text, measured before the text reaches the recursive compiler.

/// The greatest number of brackets open at once, outside of quotes and comments.
pub(super) fn max_nesting(text: &str) -> usize {
    let mut depth = 0usize;
    let mut max_depth = 0usize;
    let mut bytes = text.bytes().peekable();
    while let Some(byte) = bytes.next() {
        match byte {
            b'{' | b'[' | b'(' | b'<' => {
                depth += 1;
                max_depth = max_depth.max(depth);
            }
            b'}' | b']' | b')' | b'>' => depth = depth.saturating_sub(1),
            b'"' | b'\'' => {
                while let Some(inner) = bytes.next() {
                    match inner {
                        b'\\' => _ = bytes.next(),
                        _ if inner == byte || inner == b'\n' => break,
                        _ => {}
                    }
                }
            }
            b'/' if bytes.peek() == Some(&b'/') => while bytes.next().is_some_and(|inner| inner != b'\n') {},
            b'/' if bytes.peek() == Some(&b'*') => {
                bytes.next();
                let mut last = 0;
                for inner in bytes.by_ref() {
                    if last == b'*' && inner == b'/' {
                        break;
                    }
                    last = inner;
                }
            }
            _ => {}
        }
    }
    max_depth
}
