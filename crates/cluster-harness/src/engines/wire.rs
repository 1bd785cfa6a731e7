//! The engines' protocol: RESP arrays of bulk strings.

use tokio::io::{AsyncBufReadExt, AsyncReadExt};

/// Longest bulk string of a command, in bytes.
const MAX_PART_BYTES: usize = 1 << 20;
/// Maximum number of bulk strings of a command.
const MAX_PARTS: usize = 16;
/// Longest length line (`*3`, `$12`), in bytes.
const MAX_LINE_BYTES: u64 = 64;

fn push_bulk_string(out: &mut Vec<u8>, part: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
    out.extend_from_slice(part);
    out.extend_from_slice(b"\r\n");
}

/// Encodes an array of bulk strings.
pub(super) fn array(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    parts.iter().for_each(|p| push_bulk_string(&mut out, p));
    out
}

/// Reads the number of one length line (`*3`, `$12`); `None` at the end of the input or on invalid input.
async fn read_length<R: AsyncBufReadExt + Unpin>(input: &mut R, prefix: char, max: usize) -> Option<usize> {
    let mut line = Vec::new();
    input.take(MAX_LINE_BYTES).read_until(b'\n', &mut line).await.ok()?;
    let text = std::str::from_utf8(&line).ok()?.trim_end().strip_prefix(prefix)?;
    text.parse().ok().filter(|n| *n <= max)
}

/// Reads one RESP array of bulk strings; `None` at the end of the input or on invalid input.
pub(super) async fn read_command<R: AsyncBufReadExt + Unpin>(input: &mut R) -> Option<Vec<Vec<u8>>> {
    let n = read_length(input, '*', MAX_PARTS).await?;
    let mut parts = Vec::with_capacity(n);
    for _ in 0..n {
        let len = read_length(input, '$', MAX_PART_BYTES).await?;
        let mut part = vec![0; len + 2];
        input.read_exact(&mut part).await.ok()?;
        part.truncate(len);
        parts.push(part);
    }
    Some(parts)
}
