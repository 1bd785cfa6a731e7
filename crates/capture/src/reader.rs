//! Reads captures segment by segment. Intact segments are returned; damage is reported with its offset in the
//! file.

use crate::codec::{decode_action, decode_engine, decode_header, decode_input};
use crate::error::{ParseError, ReadError};
use crate::file_name::SUFFIX;
use crate::frame::{self, FrameKind, FrameRead};
use crate::identity;
use crate::pb;
use crate::segment::{Answer, Record, Segment, SegmentEnd, SegmentHeader};
use prost::Message;
use sprucelink_policy::Timestamp;
use std::io::Read;
use std::path::{Path, PathBuf};

/// Maximum length of a body after decompression, in bytes; a longer one counts as damage.
const MAX_DECOMPRESSED_BYTES: u64 = 256 << 20;
/// Maximum length of a file, in bytes: a file holds one segment, or a few that were concatenated.
const MAX_FILE_BYTES: u64 = 4 << 30;

/// A part of a file that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    /// Offset in the file, in bytes.
    pub offset: usize,
    /// What is wrong at that offset.
    pub reason: String,
}

/// The contents of a capture file.
#[derive(Debug, Default)]
pub struct CaptureContents {
    /// Segments in the order of the file.
    pub segments: Vec<Segment>,
    /// Parts that could not be read.
    pub damage: Vec<Damage>,
}

/// The files of a capture: the capture files in a folder, oldest first, or `path` itself if it is a file.
///
/// # Errors
/// A path that cannot be read, or a folder without capture files.
pub fn list_files(path: &Path) -> Result<Vec<PathBuf>, ReadError> {
    let file_error = |source: std::io::Error| ReadError::File { path: path.to_owned(), source };
    if !std::fs::metadata(path).map_err(file_error)?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(file_error)? {
        let file = entry.map_err(file_error)?.path();
        if file.to_string_lossy().ends_with(SUFFIX) {
            files.push(file);
        }
    }
    files.sort();
    if files.is_empty() {
        return Err(ReadError::NoFiles { path: path.to_owned() });
    }
    Ok(files)
}

/// Reads a capture file. Damage in a part of the file is not an error: it is listed in the result.
///
/// # Errors
/// The file cannot be read, contains no segment, or is in a newer format.
pub fn read_file(path: &Path) -> Result<CaptureContents, ReadError> {
    let file_error = |source: std::io::Error| ReadError::File { path: path.to_owned(), source };
    let size = std::fs::metadata(path).map_err(file_error)?.len();
    if size > MAX_FILE_BYTES {
        return Err(ReadError::TooLong { path: path.to_owned() });
    }
    let bytes = std::fs::read(path).map_err(file_error)?;
    parse(&bytes, path).map_err(|source| ReadError::Content { path: path.to_owned(), source })
}

/// Reads the content of a capture file. `path` is not accessed, only stored as [`Segment::file`].
///
/// # Errors
/// The bytes contain no segment, or are in a newer format.
pub fn parse(bytes: &[u8], path: &Path) -> Result<CaptureContents, ParseError> {
    let mut contents = CaptureContents::default();
    let mut open: Option<OpenSegment> = None;
    let mut offset = 0;
    loop {
        match frame::read_frame(bytes, offset) {
            FrameRead::EndOfFile => {
                close(&mut contents, open.take(), SegmentEnd::Truncated { inside_frame: false });
                break;
            }
            FrameRead::Truncated => {
                close(&mut contents, open.take(), SegmentEnd::Truncated { inside_frame: true });
                break;
            }
            FrameRead::Damaged(reason) => {
                add_damage(&mut contents, open.take(), offset, reason);
                match frame::find_frame(bytes, offset + 1) {
                    Some(next) => offset = next,
                    None => break,
                }
            }
            FrameRead::Frame { kind, body, end } => {
                match read_body(&mut contents, &mut open, kind, body, (path, offset)) {
                    Ok(()) => {}
                    Err(BodyError::NewerFormat(format)) => {
                        return Err(ParseError::NewerFormat { format, supported: identity::FORMAT })
                    }
                    Err(BodyError::Damaged(reason)) => {
                        add_damage(&mut contents, open.take(), offset, &reason)
                    }
                }
                offset = end;
            }
        }
    }
    if contents.segments.is_empty() && contents.damage.is_empty() {
        return Err(if bytes.is_empty() { ParseError::Empty } else { ParseError::CutOff });
    }
    if contents.segments.is_empty() {
        let Damage { offset, reason } = contents.damage.swap_remove(0);
        return Err(ParseError::NotACapture { offset, reason });
    }
    Ok(contents)
}

/// A segment that is being read.
struct OpenSegment {
    header: SegmentHeader,
    /// Offset of the head in the file, in bytes.
    offset: usize,
    /// `None` until the checkpoint was read; without a checkpoint the segment is not returned.
    segment: Option<Segment>,
}

/// Why a frame's body cannot be used.
enum BodyError {
    /// The segment is in a format newer than this build reads; the value is its version.
    NewerFormat(u32),
    /// The body is damaged, for this reason.
    Damaged(String),
}

fn damaged(reason: impl std::fmt::Display) -> BodyError {
    BodyError::Damaged(reason.to_string())
}

fn close(contents: &mut CaptureContents, open: Option<OpenSegment>, end: SegmentEnd) {
    if let Some(segment) = open.and_then(|open| open.segment) {
        contents.segments.push(Segment { end, ..segment });
    }
}

fn add_damage(contents: &mut CaptureContents, open: Option<OpenSegment>, offset: usize, reason: &str) {
    contents.damage.push(Damage { offset, reason: reason.to_owned() });
    close(contents, open, SegmentEnd::Damaged { offset, reason: reason.to_owned() });
}

fn decompress(body: &[u8]) -> Result<Vec<u8>, BodyError> {
    let mut out = Vec::new();
    let decoder = zstd::stream::read::Decoder::new(body).map_err(damaged)?;
    decoder.take(MAX_DECOMPRESSED_BYTES + 1).read_to_end(&mut out).map_err(damaged)?;
    if out.len() as u64 > MAX_DECOMPRESSED_BYTES {
        return Err(damaged("the decompressed body exceeds the maximum length"));
    }
    Ok(out)
}

/// Decodes the body of the frame at `offset` and adds it to the contents or to the open segment.
fn read_body(
    contents: &mut CaptureContents,
    open: &mut Option<OpenSegment>,
    kind: FrameKind,
    body: &[u8],
    (path, offset): (&Path, usize),
) -> Result<(), BodyError> {
    match kind {
        FrameKind::Head => {
            close(contents, open.take(), SegmentEnd::Truncated { inside_frame: false });
            *open = Some(OpenSegment { header: read_header(body)?, offset, segment: None });
            Ok(())
        }
        FrameKind::Checkpoint => read_checkpoint(open.as_mut(), body, path),
        // After damage no segment is open, and blocks before the next head cannot be used.
        FrameKind::Block => open.as_mut().map_or(Ok(()), |open| read_block(open, body)),
        FrameKind::Tail => {
            let tail = read_tail(open.as_ref(), body)?;
            close(contents, open.take(), SegmentEnd::Closed { lost_events: tail.lost });
            Ok(())
        }
    }
}

fn read_header(body: &[u8]) -> Result<SegmentHeader, BodyError> {
    let header = decode_header(pb::Head::decode(body).map_err(damaged)?);
    if header.format == 0 {
        return Err(damaged("the head has no format version"));
    }
    if header.format > identity::FORMAT {
        return Err(BodyError::NewerFormat(header.format));
    }
    Ok(header)
}

fn read_checkpoint(open: Option<&mut OpenSegment>, body: &[u8], path: &Path) -> Result<(), BodyError> {
    let Some(open) = open.filter(|open| open.segment.is_none()) else {
        return Err(damaged("a checkpoint without a head before it"));
    };
    let checkpoint = pb::Checkpoint::decode(&decompress(body)?[..]).map_err(damaged)?;
    open.segment = Some(Segment {
        file: path.to_owned(),
        offset: open.offset,
        header: open.header.clone(),
        at: Timestamp::from_micros(checkpoint.at_us),
        state: checkpoint.state,
        engines: checkpoint.engines.into_iter().map(decode_engine).collect(),
        records: Vec::new(),
        end: SegmentEnd::Truncated { inside_frame: false },
    });
    Ok(())
}

fn read_block(open: &mut OpenSegment, body: &[u8]) -> Result<(), BodyError> {
    let Some(segment) = &mut open.segment else {
        return Err(damaged("records without a checkpoint before them"));
    };
    let block = pb::Block::decode(&decompress(body)?[..]).map_err(damaged)?;
    for record in block.records {
        let at = Timestamp::from_micros(segment.until().as_micros().saturating_add(record.after_us));
        segment.records.push(to_record(record, at, segment.header.has_complete_answers)?);
    }
    Ok(())
}

/// Decodes the tail of the open segment, and checks its number of records against those that were read.
fn read_tail(open: Option<&OpenSegment>, body: &[u8]) -> Result<pb::Tail, BodyError> {
    let tail = pb::Tail::decode(body).map_err(damaged)?;
    let Some(segment) = open.and_then(|open| open.segment.as_ref()) else { return Ok(tail) };
    let records = segment.records.len() as u64;
    if records != tail.records {
        return Err(damaged(format!("{} records were written, {records} were read", tail.records)));
    }
    Ok(tail)
}

fn to_record(record: pb::Record, at: Timestamp, complete_answers: bool) -> Result<Record, BodyError> {
    let input =
        decode_input(record.what.ok_or_else(|| damaged("a record without an input"))?).map_err(damaged)?;
    let answer = if record.unanswered {
        Answer::None
    } else if complete_answers {
        let actions = record.actions.into_iter().map(decode_action).collect::<Result<_, _>>();
        Answer::Complete(actions.map_err(damaged)?)
    } else {
        Answer::Digest { count: record.count, digest: record.digest }
    };
    Ok(Record { at, input, answer })
}
