//! Writes a segment as a file, for cases that were cut out of a capture.

use crate::error::WriteError;
use crate::frame::{self, FrameKind};
use crate::pb;
use crate::segment::{Answer, Segment};
use crate::wire::{answers_out, event_out, Told};
use prost::Message;

/// The zstd level of cases: small files, which are written rarely.
const COMPRESSION_LEVEL: i32 = 19;

/// The bytes of a file with this one segment, in the recorder's format.
///
/// # Errors
/// A frame that is too long or cannot be compressed, or answers that are digests.
pub fn write(segment: &Segment) -> Result<Vec<u8>, WriteError> {
    let mut file = Vec::new();
    let compress =
        |body: Vec<u8>| zstd::bulk::compress(&body, COMPRESSION_LEVEL).map_err(WriteError::Compression);
    let mut append = |kind, body: &[u8]| {
        let written = frame::append_frame(&mut file, kind, body);
        written.then_some(()).ok_or(WriteError::FrameTooLong)
    };
    append(FrameKind::Head, &pb::Head { whole_answers: true, ..segment.head.clone() }.encode_to_vec())?;
    let number =
        |(id, number): &(String, u32)| pb::Numbered { id: id.clone(), number: *number, freed: false };
    let engines = segment.engines.iter().map(number).collect();
    let checkpoint = pb::Checkpoint { at_us: segment.at.as_micros(), state: segment.state.clone(), engines };
    append(FrameKind::Checkpoint, &compress(checkpoint.encode_to_vec())?)?;
    let mut last_record_at = segment.at;
    let mut records = Vec::with_capacity(segment.records.len());
    for record in &segment.records {
        let what = match &record.told {
            Told::Event(event) => event_out(event),
            Told::Numbered { id, number, freed } => {
                pb::record::What::Numbered(pb::Numbered { id: id.clone(), number: *number, freed: *freed })
            }
        };
        let (actions, unanswered) = match &record.answer {
            Answer::Whole(actions) => (answers_out(actions), false),
            Answer::None => (Vec::new(), true),
            Answer::Digest(..) => return Err(WriteError::DigestsOnly),
        };
        let count = actions.len() as u32;
        let after_us = (record.at - last_record_at).as_micros();
        last_record_at = record.at;
        records.push(pb::Record { after_us, what: Some(what), actions, count, digest: 0, unanswered });
    }
    let count = records.len() as u64;
    append(FrameKind::Block, &compress(pb::Block { records }.encode_to_vec())?)?;
    append(FrameKind::Tail, &pb::Tail { records: count, lost: 0 }.encode_to_vec())?;
    Ok(file)
}
