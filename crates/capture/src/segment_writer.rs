//! Encodes a segment as a file, for cases that were cut out of a capture.

use crate::codec::{encode_actions, encode_engine, encode_header, encode_input};
use crate::error::WriteError;
use crate::frame::{self, FrameKind};
use crate::pb;
use crate::segment::{Answer, Record, Segment};
use prost::Message;
use sprucelink_policy::TimeDelta;

/// zstd level of cases: it gives small files, and cases are written rarely.
const COMPRESSION_LEVEL: i32 = 19;

/// Encodes a file that holds only this segment, in the recorder's format, and returns its content.
///
/// # Errors
/// A frame is too long or cannot be compressed, or the answers are recorded as digests.
pub fn write(segment: &Segment) -> Result<Vec<u8>, WriteError> {
    let mut file = Vec::new();
    let head = pb::Head { whole_answers: true, ..encode_header(&segment.header) };
    append(&mut file, FrameKind::Head, &head.encode_to_vec())?;
    let checkpoint = pb::Checkpoint {
        at_us: segment.at.as_micros(),
        state: segment.state.clone(),
        engines: segment.engines.iter().map(|engine| encode_engine(&engine.id, engine.number)).collect(),
    };
    append(&mut file, FrameKind::Checkpoint, &compress(&checkpoint.encode_to_vec())?)?;
    let block = pb::Block { records: encode_records(segment)? };
    append(&mut file, FrameKind::Block, &compress(&block.encode_to_vec())?)?;
    let tail = pb::Tail { records: segment.records.len() as u64, lost: 0 };
    append(&mut file, FrameKind::Tail, &tail.encode_to_vec())?;
    Ok(file)
}

fn append(file: &mut Vec<u8>, kind: FrameKind, body: &[u8]) -> Result<(), WriteError> {
    match frame::append_frame(file, kind, body) {
        true => Ok(()),
        false => Err(WriteError::FrameTooLong),
    }
}

fn compress(body: &[u8]) -> Result<Vec<u8>, WriteError> {
    zstd::bulk::compress(body, COMPRESSION_LEVEL).map_err(WriteError::Compression)
}

fn encode_records(segment: &Segment) -> Result<Vec<pb::Record>, WriteError> {
    let mut last_record_at = segment.at;
    let mut records = Vec::with_capacity(segment.records.len());
    for record in &segment.records {
        records.push(encode_record(record, record.at - last_record_at)?);
        last_record_at = record.at;
    }
    Ok(records)
}

/// Encodes a record; `after` is the time since the previous record.
fn encode_record(record: &Record, after: TimeDelta) -> Result<pb::Record, WriteError> {
    let actions = match &record.answer {
        Answer::Complete(actions) => encode_actions(actions),
        Answer::None => Vec::new(),
        Answer::Digest { .. } => return Err(WriteError::DigestsOnly),
    };
    Ok(pb::Record {
        after_us: after.as_micros(),
        what: Some(encode_input(&record.input)),
        count: actions.len() as u32,
        actions,
        digest: 0,
        unanswered: record.answer == Answer::None,
    })
}
