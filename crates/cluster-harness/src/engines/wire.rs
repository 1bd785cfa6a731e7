//! The engines' wire: RESP arrays of bulk strings.

use tokio::io::{AsyncBufReadExt, AsyncReadExt};

/// Longest part of a command, in bytes.
const MAX_PART_BYTES: usize = 1 << 20;
/// Parts of a command.
const MAX_PARTS: usize = 16;
/// Longest line of a command's head, in bytes.
const MAX_LINE: u64 = 64;

fn bulk(out: &mut Vec<u8>, part: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
    out.extend_from_slice(part);
    out.extend_from_slice(b"\r\n");
}

pub(super) fn array(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    parts.iter().for_each(|p| bulk(&mut out, p));
    out
}

/// Reads the number of one head line (`*3`, `$12`); `None` at the end or on what cannot be read.
async fn number<R: AsyncBufReadExt + Unpin>(input: &mut R, mark: char, most: usize) -> Option<usize> {
    let mut line = Vec::new();
    input.take(MAX_LINE).read_until(b'\n', &mut line).await.ok()?;
    let text = std::str::from_utf8(&line).ok()?.trim_end().strip_prefix(mark)?;
    text.parse().ok().filter(|n| *n <= most)
}

/// Reads one RESP array of bulk strings; `None` at the end or on what cannot be read.
pub(super) async fn command<R: AsyncBufReadExt + Unpin>(input: &mut R) -> Option<Vec<Vec<u8>>> {
    let n = number(input, '*', MAX_PARTS).await?;
    let mut parts = Vec::with_capacity(n);
    for _ in 0..n {
        let len = number(input, '$', MAX_PART_BYTES).await?;
        let mut part = vec![0; len + 2];
        input.read_exact(&mut part).await.ok()?;
        part.truncate(len);
        parts.push(part);
    }
    Some(parts)
}
