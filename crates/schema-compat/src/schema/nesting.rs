//! How deeply the brackets of a `.proto` text nest, measured before the recursive compiler is given it.

/// The greatest number of brackets open at once, outside of quotes and comments.
pub(super) fn max_nesting(text: &str) -> usize {
    let mut depth = 0usize;
    let mut max_depth = 0usize;
    let mut rest = text.bytes().peekable();
    while let Some(byte) = rest.next() {
        match byte {
            b'{' | b'[' | b'(' | b'<' => {
                depth += 1;
                max_depth = max_depth.max(depth);
            }
            b'}' | b']' | b')' | b'>' => depth = depth.saturating_sub(1),
            b'"' | b'\'' => {
                while let Some(inner) = rest.next() {
                    match inner {
                        b'\\' => _ = rest.next(),
                        _ if inner == byte || inner == b'\n' => break,
                        _ => {}
                    }
                }
            }
            b'/' if rest.peek() == Some(&b'/') => while rest.next().is_some_and(|inner| inner != b'\n') {},
            b'/' if rest.peek() == Some(&b'*') => {
                rest.next();
                let mut last = 0;
                for inner in rest.by_ref() {
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
