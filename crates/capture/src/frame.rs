//! Frames of a capture file, sans-io: a mark, a length, a kind, a checksum, and a body.
//!
//! ```text
//! mark  4 bytes  "SLF1"
//! len   4 bytes  of the body, little endian, at most MOST_BODY
//! kind  4 bytes  1 head, 2 checkpoint, 3 block, 4 tail
//! crc   4 bytes  CRC-32 (IEEE) of len, kind and body
//! body  len bytes
//! ```
//!
//! A file is frames one behind the other, so files laid behind one another are a file, too. Behind damage
//! a reader searches for the next mark under which a whole frame stands.

/// Begins every frame.
pub const MARK: [u8; 4] = *b"SLF1";
/// Bytes before a frame's body.
pub const HEADER: usize = 16;
/// Longest body. A state of 5,000 engines and 20,000 requests is under 10 MB before compression; what says
/// it is longer is damage, and is not believed.
pub const MOST_BODY: usize = 32 << 20;

/// What a frame's body is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Begins a segment.
    Head,
    /// The module's state, once, behind the head.
    Checkpoint,
    /// Records.
    Block,
    /// Ends a segment that was closed in order.
    Tail,
}

const KINDS: [Kind; 4] = [Kind::Head, Kind::Checkpoint, Kind::Block, Kind::Tail];

/// What stands at a place in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    /// A whole frame; `end` is the place behind it.
    Frame {
        /// What it is.
        kind: Kind,
        /// Its body.
        body: &'a [u8],
        /// The place behind it.
        end: usize,
    },
    /// The beginning of a frame that the file ends in: what a crash leaves.
    Cut,
    /// No frame: damage.
    Damage(&'static str),
    /// The file ends here.
    End,
}

/// Appends a frame. Bodies over [`MOST_BODY`] are the caller's fault and give `false`, with nothing written.
pub fn write(out: &mut Vec<u8>, kind: Kind, body: &[u8]) -> bool {
    if body.len() > MOST_BODY {
        return false;
    }
    let place = KINDS.iter().position(|k| *k == kind).unwrap_or(0) as u32 + 1;
    let (len, kind) = ((body.len() as u32).to_le_bytes(), place.to_le_bytes());
    out.extend_from_slice(&MARK);
    out.extend_from_slice(&len);
    out.extend_from_slice(&kind);
    out.extend_from_slice(&sum(&len, &kind, body).to_le_bytes());
    out.extend_from_slice(body);
    true
}

fn sum(len: &[u8], kind: &[u8], body: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    [len, kind, body].iter().for_each(|part| sum.update(part));
    sum.finalize()
}

fn word(bytes: &[u8], at: usize) -> u32 {
    bytes.get(at..at + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// Reads what stands at a place of a whole file.
pub fn read(bytes: &[u8], at: usize) -> Found<'_> {
    let rest = bytes.get(at..).unwrap_or_default();
    if rest.is_empty() {
        return Found::End;
    }
    let marked = rest.len().min(MARK.len());
    if rest[..marked] != MARK[..marked] {
        return Found::Damage("no frame begins here");
    }
    if rest.len() < HEADER {
        return Found::Cut;
    }
    let len = word(rest, 4) as usize;
    if len > MOST_BODY {
        return Found::Damage("the length is more than any frame has");
    }
    let Some(kind) = (word(rest, 8) as usize).checked_sub(1).and_then(|k| KINDS.get(k)) else {
        return Found::Damage("the kind is not known");
    };
    let Some(body) = rest.get(HEADER..HEADER + len) else {
        // Guards against a length that was damaged and reaches over all that follows: a later mark that a
        // whole frame stands under shows that the file was not cut here.
        return match next(bytes, at + 1) {
            Some(_) => Found::Damage("the length reaches over what follows"),
            None => Found::Cut,
        };
    };
    if sum(&rest[4..8], &rest[8..12], body) != word(rest, 12) {
        return Found::Damage("the checksum does not match");
    }
    Found::Frame { kind: *kind, body, end: at + HEADER + len }
}

/// The next place from `from` on at which a whole frame stands.
pub fn next(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(hit) = bytes.get(at..).and_then(|b| b.windows(MARK.len()).position(|w| w == MARK)) {
        at += hit;
        let len = word(bytes, at + 4) as usize;
        let body = bytes.get(at + HEADER..(at + HEADER).saturating_add(len.min(MOST_BODY)));
        let whole = len <= MOST_BODY
            && bytes.len() >= at + HEADER + len
            && body.is_some_and(|b| {
                sum(&bytes[at + 4..at + 8], &bytes[at + 8..at + 12], b) == word(bytes, at + 12)
            });
        if whole {
            return Some(at);
        }
        at += 1;
    }
    None
}

#[cfg(test)]
mod tests;
