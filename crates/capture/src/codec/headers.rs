//! Converts segment headers, and the engine numbers in checkpoints, to protobuf messages and back.

use crate::engine_numbers::EngineNumber;
use crate::pb;
use crate::segment::SegmentHeader;
use sprucelink_policy::Timestamp;

/// Encodes the header of a segment as the body of its head frame.
pub fn encode_header(header: &SegmentHeader) -> pb::Head {
    pb::Head {
        format: header.format,
        build: header.build.clone(),
        module: header.policy_checksum,
        floats: header.float_digest,
        segment: header.number,
        born_us: header.policy_started_at.as_micros(),
        seed: header.seed,
        lost_before: header.lost_events_before,
        holds: header.rules.clone(),
        whole_answers: header.has_complete_answers,
        note: header.note.clone(),
    }
}

/// Decodes the header of a segment. Fields that the message lacks have protobuf's default values.
pub fn decode_header(head: pb::Head) -> SegmentHeader {
    SegmentHeader {
        format: head.format,
        build: head.build,
        policy_checksum: head.module,
        float_digest: head.floats,
        number: head.segment,
        policy_started_at: Timestamp::from_micros(head.born_us),
        seed: head.seed,
        lost_events_before: head.lost_before,
        rules: head.holds,
        has_complete_answers: head.whole_answers,
        note: head.note,
    }
}

/// Encodes an engine's id and number for a checkpoint.
pub fn encode_engine(id: &str, number: u32) -> pb::Numbered {
    pb::Numbered { id: id.to_owned(), number, freed: false }
}

/// Decodes an engine's id and number from a checkpoint.
pub fn decode_engine(numbered: pb::Numbered) -> EngineNumber {
    EngineNumber { id: numbered.id, number: numbered.number }
}
