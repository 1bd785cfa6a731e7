//! Encodes and decodes the frames of a capture file in memory: magic bytes, length, kind, checksum and body.
//!
//! ```text
//! magic 4 bytes  "SLF1"
//! len   4 bytes  of the body, little endian, at most MAX_BODY_BYTES
//! kind  4 bytes  1 head, 2 checkpoint, 3 block, 4 tail
//! crc   4 bytes  CRC-32 (IEEE) of len, kind and body
//! body  len bytes
//! ```
//!
//! A file is a sequence of frames, so concatenated capture files form a valid capture file. After damage a
//! reader searches for the next intact frame ([`find_frame`]).

/// The first bytes of every frame.
pub const MAGIC: [u8; 4] = *b"SLF1";
/// Length of a frame's header, in bytes.
pub const HEADER_BYTES: usize = 16;
/// Maximum length of a body, in bytes. The state of a policy with 5,000 engines and 20,000 requests is under
/// 10 MB before compression; a longer length in a file counts as damage.
pub const MAX_BODY_BYTES: usize = 32 << 20;

/// Kind of a frame, which says how its body is encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// The head of a segment ([`crate::pb::Head`]).
    Head,
    /// The state of the policy ([`crate::pb::Checkpoint`]), compressed; one follows each head.
    Checkpoint,
    /// Records ([`crate::pb::Block`]), compressed.
    Block,
    /// The end of a segment that was closed regularly ([`crate::pb::Tail`]).
    Tail,
}

/// Kinds of frames in the order of their numbers in a file, which begin with 1.
const FRAME_KINDS: [FrameKind; 4] =
    [FrameKind::Head, FrameKind::Checkpoint, FrameKind::Block, FrameKind::Tail];

/// Result of reading a frame at a byte offset of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRead<'a> {
    /// An intact frame.
    Frame {
        /// Kind of the frame.
        kind: FrameKind,
        /// Body of the frame, as stored.
        body: &'a [u8],
        /// Offset of the first byte after the frame.
        end: usize,
    },
    /// The file ends inside the frame, as after a crash of the writer.
    Truncated,
    /// There is no intact frame, for this reason.
    Damaged(&'static str),
    /// The offset is the end of the file.
    EndOfFile,
}

/// Appends a frame to `out`. Returns `false` and appends nothing if the body is longer than
/// [`MAX_BODY_BYTES`].
pub fn append_frame(out: &mut Vec<u8>, kind: FrameKind, body: &[u8]) -> bool {
    if body.len() > MAX_BODY_BYTES {
        return false;
    }
    let number = FRAME_KINDS.iter().position(|k| *k == kind).unwrap_or(0) as u32 + 1;
    let len = (body.len() as u32).to_le_bytes();
    let kind = number.to_le_bytes();
    out.extend_from_slice(&MAGIC);
    out.extend_from_slice(&len);
    out.extend_from_slice(&kind);
    out.extend_from_slice(&checksum(&len, &kind, body).to_le_bytes());
    out.extend_from_slice(body);
    true
}

fn checksum(len: &[u8], kind: &[u8], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    [len, kind, body].iter().for_each(|part| hasher.update(part));
    hasher.finalize()
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    bytes.get(offset..offset + 4).and_then(|b| b.try_into().ok()).map_or(0, u32::from_le_bytes)
}

/// Reads the frame that begins at a byte offset of a file's content.
pub fn read_frame(bytes: &[u8], offset: usize) -> FrameRead<'_> {
    let rest = bytes.get(offset..).unwrap_or_default();
    if rest.is_empty() {
        return FrameRead::EndOfFile;
    }
    let available = rest.len().min(MAGIC.len());
    if rest[..available] != MAGIC[..available] {
        return FrameRead::Damaged("no frame begins here");
    }
    if rest.len() < HEADER_BYTES {
        return FrameRead::Truncated;
    }
    let len = read_u32(rest, 4) as usize;
    if len > MAX_BODY_BYTES {
        return FrameRead::Damaged("the length exceeds the maximum");
    }
    let Some(kind) = (read_u32(rest, 8) as usize).checked_sub(1).and_then(|k| FRAME_KINDS.get(k)) else {
        return FrameRead::Damaged("the frame kind is unknown");
    };
    let Some(body) = rest.get(HEADER_BYTES..HEADER_BYTES + len) else {
        // A damaged length may reach beyond the end of the file: an intact frame after it shows that the file
        // was not truncated here.
        return match find_frame(bytes, offset + 1) {
            Some(_) => FrameRead::Damaged("the length extends over an intact frame"),
            None => FrameRead::Truncated,
        };
    };
    if checksum(&rest[4..8], &rest[8..12], body) != read_u32(rest, 12) {
        return FrameRead::Damaged("the checksum does not match");
    }
    FrameRead::Frame { kind: *kind, body, end: offset + HEADER_BYTES + len }
}

/// Byte offset of the next intact frame at or after `from`.
pub fn find_frame(bytes: &[u8], from: usize) -> Option<usize> {
    let mut offset = from;
    while let Some(distance) =
        bytes.get(offset..).and_then(|b| b.windows(MAGIC.len()).position(|w| w == MAGIC))
    {
        offset += distance;
        let len = read_u32(bytes, offset + 4) as usize;
        let body_start = offset + HEADER_BYTES;
        let body = bytes.get(body_start..body_start.saturating_add(len.min(MAX_BODY_BYTES)));
        let is_intact = len <= MAX_BODY_BYTES
            && bytes.len() >= body_start + len
            && body.is_some_and(|b| {
                let (len_field, kind_field) =
                    (&bytes[offset + 4..offset + 8], &bytes[offset + 8..offset + 12]);
                checksum(len_field, kind_field, b) == read_u32(bytes, offset + 12)
            });
        if is_intact {
            return Some(offset);
        }
        offset += 1;
    }
    None
}

#[cfg(test)]
mod tests;
