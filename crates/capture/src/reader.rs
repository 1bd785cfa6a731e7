//! Reads captures back, a segment at a time: what is whole is used, what is damaged is named with its place.

use crate::error::{ParseError, ReadError, StateError, WriteError};
use crate::frame::{self, FrameKind, FrameRead};
use crate::identity;
use crate::pb;
use crate::recorder::SUFFIX;
use crate::wire::{action_in, told_in, Told};
use prost::Message;
use sprucelink_policy::Policy;
use sprucelink_policy::{Action, Timestamp};
use std::io::Read;
use std::path::{Path, PathBuf};

/// Longest body after decompression: what claims to be longer is not believed.
const MOST_PLAIN: u64 = 256 << 20;
/// Longest file that is read: a file holds one segment, or a few laid behind one another.
const MOST_FILE: u64 = 4 << 30;

/// What the module answered to one event.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The actions.
    Whole(Vec<Action>),
    /// Their count and digest.
    Digest(u32, u64),
    /// The program ended before the module had answered.
    None,
}

/// One record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// When the module was told.
    pub at: Timestamp,
    /// What.
    pub told: Told,
    /// What it answered.
    pub answer: Answer,
}

/// How a segment ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// In order; events were lost behind it, or none.
    Closed {
        /// How many were lost.
        lost: u64,
    },
    /// The file ends behind a whole frame, or inside one: the program is still writing, or was cut off.
    Cut {
        /// The last frame is not whole.
        within: bool,
    },
    /// Damaged from a place in the file on.
    Damaged {
        /// The place, in bytes.
        offset: usize,
        /// What is wrong there.
        why: String,
    },
}

/// A stretch of a capture that replays alone.
#[derive(Clone, Debug)]
pub struct Segment {
    /// The file it stands in.
    pub file: PathBuf,
    /// Where it begins there, in bytes.
    pub offset: usize,
    /// Its head.
    pub head: pb::Head,
    /// When its checkpoint was taken.
    pub at: Timestamp,
    /// The module's state then, in MessagePack.
    pub state: Vec<u8>,
    /// Engines as numbered then.
    pub engines: Vec<(String, u32)>,
    /// What came after.
    pub records: Vec<Record>,
    /// How it ended.
    pub end: End,
}

impl Segment {
    /// The module as it was at the checkpoint. Settings or figures that an older state lacks take their
    /// defaults.
    pub fn module(&self) -> Result<Policy, StateError> {
        rmp_serde::from_slice(&self.state).map_err(StateError)
    }

    /// The time of its last record, or of its checkpoint.
    pub fn until(&self) -> Timestamp {
        self.records.last().map_or(self.at, |r| r.at)
    }

    /// What of this build and the one that recorded differs, in words; none where they decide alike.
    pub fn differs(&self) -> Vec<String> {
        let mut all = Vec::new();
        if self.head.module != identity::module() {
            all.push(format!(
                "recorded by another decision module ({:08x}, here {:08x})",
                self.head.module,
                identity::module()
            ));
        }
        if self.head.floats != identity::floats() {
            all.push(
                "recorded by a build whose exp, ln or powf round otherwise: decisions may part in the last bit of \
                 a weight"
                    .to_owned(),
            );
        }
        all
    }
}

/// What was read of a file.
#[derive(Debug, Default)]
pub struct Contents {
    /// Segments, in order.
    pub segments: Vec<Segment>,
    /// What could not be read: the place in bytes, and why.
    pub damage: Vec<(usize, String)>,
}

/// The files of a capture: a folder's, oldest first, or the one file.
pub fn files(path: &Path) -> Result<Vec<PathBuf>, ReadError> {
    let fault = |source: std::io::Error| ReadError::File { path: path.to_owned(), source };
    if !std::fs::metadata(path).map_err(fault)?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut all = Vec::new();
    for entry in std::fs::read_dir(path).map_err(fault)? {
        let file = entry.map_err(fault)?.path();
        if file.to_string_lossy().ends_with(SUFFIX) {
            all.push(file);
        }
    }
    all.sort();
    if all.is_empty() {
        return Err(ReadError::NoFiles { path: path.to_owned() });
    }
    Ok(all)
}

/// Reads one file. An error says that it is no capture at all, or one of a newer format.
pub fn read(path: &Path) -> Result<Contents, ReadError> {
    let fault = |source: std::io::Error| ReadError::File { path: path.to_owned(), source };
    let size = std::fs::metadata(path).map_err(fault)?.len();
    if size > MOST_FILE {
        return Err(ReadError::TooLong { path: path.to_owned() });
    }
    let bytes = std::fs::read(path).map_err(fault)?;
    parse(&bytes, path).map_err(|source| ReadError::Content { path: path.to_owned(), source })
}

/// Reads a file's bytes; `path` is only noted.
pub fn parse(bytes: &[u8], path: &Path) -> Result<Contents, ParseError> {
    let mut out = Contents::default();
    let mut open: Option<Open> = None;
    let mut at = 0;
    loop {
        match frame::read_frame(bytes, at) {
            FrameRead::EndOfFile => {
                close(&mut out, open.take(), End::Cut { within: false });
                break;
            }
            FrameRead::Truncated => {
                close(&mut out, open.take(), End::Cut { within: true });
                break;
            }
            FrameRead::Damaged(why) => {
                damage(&mut out, open.take(), at, why);
                match frame::find_frame(bytes, at + 1) {
                    Some(next) => at = next,
                    None => break,
                }
            }
            FrameRead::Frame { kind, body, end } => {
                match take(&mut out, &mut open, kind, body, (path, at)) {
                    Ok(()) => {}
                    Err(Fault::Newer(format)) => {
                        return Err(ParseError::NewerFormat { format, supported: identity::FORMAT })
                    }
                    Err(Fault::Bad(why)) => damage(&mut out, open.take(), at, &why),
                }
                at = end;
            }
        }
    }
    if out.segments.is_empty() && out.damage.is_empty() {
        return Err(if bytes.is_empty() { ParseError::Empty } else { ParseError::CutOff });
    }
    if out.segments.is_empty() {
        let (offset, why) = &out.damage[0];
        return Err(ParseError::NotACapture { offset: *offset, reason: why.clone() });
    }
    Ok(out)
}

/// A segment that is being read: it counts once its checkpoint is there.
struct Open {
    head: pb::Head,
    offset: usize,
    segment: Option<Segment>,
}

enum Fault {
    Newer(u32),
    Bad(String),
}

fn bad(e: impl std::fmt::Display) -> Fault {
    Fault::Bad(e.to_string())
}

fn close(out: &mut Contents, open: Option<Open>, end: End) {
    if let Some(segment) = open.and_then(|o| o.segment) {
        out.segments.push(Segment { end, ..segment });
    }
}

fn damage(out: &mut Contents, open: Option<Open>, offset: usize, why: &str) {
    out.damage.push((offset, why.to_owned()));
    close(out, open, End::Damaged { offset, why: why.to_owned() });
}

fn plain(body: &[u8]) -> Result<Vec<u8>, Fault> {
    let mut out = Vec::new();
    let decoder = zstd::stream::read::Decoder::new(body).map_err(bad)?;
    decoder.take(MOST_PLAIN + 1).read_to_end(&mut out).map_err(bad)?;
    if out.len() as u64 > MOST_PLAIN {
        return Err(bad("unpacks to more than any frame holds"));
    }
    Ok(out)
}

fn take(
    out: &mut Contents,
    open: &mut Option<Open>,
    kind: FrameKind,
    body: &[u8],
    (path, offset): (&Path, usize),
) -> Result<(), Fault> {
    match kind {
        FrameKind::Head => {
            close(out, open.take(), End::Cut { within: false });
            let head = pb::Head::decode(body).map_err(bad)?;
            if head.format == 0 {
                return Err(bad("the head names no format"));
            }
            if head.format > identity::FORMAT {
                return Err(Fault::Newer(head.format));
            }
            *open = Some(Open { head, offset, segment: None });
        }
        FrameKind::Checkpoint => {
            let Some(open) = open.as_mut().filter(|o| o.segment.is_none()) else {
                return Err(bad("a checkpoint without its head"));
            };
            let point = pb::Checkpoint::decode(&plain(body)?[..]).map_err(bad)?;
            open.segment = Some(Segment {
                file: path.to_owned(),
                offset: open.offset,
                head: open.head.clone(),
                at: Timestamp::from_micros(point.at_us),
                state: point.state,
                engines: point.engines.into_iter().map(|e| (e.id, e.number)).collect(),
                records: Vec::new(),
                end: End::Cut { within: false },
            });
        }
        FrameKind::Block => {
            // Behind damage there is no open segment: blocks up to the next head are of no use.
            let Some(open) = open.as_mut() else { return Ok(()) };
            let Some(segment) = &mut open.segment else { return Err(bad("records without a checkpoint")) };
            let block = pb::Block::decode(&plain(body)?[..]).map_err(bad)?;
            for record in block.records {
                let at = Timestamp::from_micros(segment.until().as_micros().saturating_add(record.after_us));
                segment.records.push(one(record, at, segment.head.whole_answers)?);
            }
        }
        FrameKind::Tail => {
            let tail = pb::Tail::decode(body).map_err(bad)?;
            let held = open.as_ref().and_then(|o| o.segment.as_ref()).map(|s| s.records.len() as u64);
            if held.is_some_and(|n| n != tail.records) {
                return Err(bad(format!(
                    "{} records were written, {} are here",
                    tail.records,
                    held.unwrap_or(0)
                )));
            }
            close(out, open.take(), End::Closed { lost: tail.lost });
        }
    }
    Ok(())
}

fn one(record: pb::Record, at: Timestamp, whole: bool) -> Result<Record, Fault> {
    let told = told_in(record.what.ok_or_else(|| bad("a record of nothing"))?).map_err(bad)?;
    let answer = if record.unanswered {
        Answer::None
    } else if whole {
        Answer::Whole(record.actions.into_iter().map(action_in).collect::<Result<_, _>>().map_err(bad)?)
    } else {
        Answer::Digest(record.count, record.digest)
    };
    Ok(Record { at, told, answer })
}

/// A segment as bytes, as the recorder would have written it: for cases.
pub fn write(segment: &Segment) -> Result<Vec<u8>, WriteError> {
    let mut out = Vec::new();
    let pack = |body: Vec<u8>| zstd::bulk::compress(&body, 19).map_err(WriteError::Compression);
    let mut frame = |kind, body: &[u8]| {
        let written = frame::append_frame(&mut out, kind, body);
        written.then_some(()).ok_or(WriteError::FrameTooLong)
    };
    frame(FrameKind::Head, &pb::Head { whole_answers: true, ..segment.head.clone() }.encode_to_vec())?;
    let number =
        |(id, number): &(String, u32)| pb::Numbered { id: id.clone(), number: *number, freed: false };
    let engines = segment.engines.iter().map(number).collect();
    let point = pb::Checkpoint { at_us: segment.at.as_micros(), state: segment.state.clone(), engines };
    frame(FrameKind::Checkpoint, &pack(point.encode_to_vec())?)?;
    let mut last = segment.at;
    let mut records = Vec::with_capacity(segment.records.len());
    for r in &segment.records {
        let what = match &r.told {
            Told::Event(event) => crate::wire::event_out(event),
            Told::Numbered { id, number, freed } => {
                pb::record::What::Numbered(pb::Numbered { id: id.clone(), number: *number, freed: *freed })
            }
        };
        let (actions, unanswered) = match &r.answer {
            Answer::Whole(actions) => (crate::wire::answers_out(actions), false),
            Answer::None => (Vec::new(), true),
            Answer::Digest(..) => return Err(WriteError::DigestsOnly),
        };
        let count = actions.len() as u32;
        let after_us = (r.at - last).as_micros();
        last = r.at;
        records.push(pb::Record { after_us, what: Some(what), actions, count, digest: 0, unanswered });
    }
    let count = records.len() as u64;
    frame(FrameKind::Block, &pack(pb::Block { records }.encode_to_vec())?)?;
    frame(FrameKind::Tail, &pb::Tail { records: count, lost: 0 }.encode_to_vec())?;
    Ok(out)
}
