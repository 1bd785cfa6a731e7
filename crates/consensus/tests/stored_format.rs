//! Frames, stored batches and snapshots of the released version are decoded, and encoded to the same bytes.
//! The files in `data` were written before the crate's types were renamed; every field in them is set.

use prost::Message;
use sprucelink_consensus::wire::{self, AckState, Boot, ObservedAck};
use sprucelink_consensus::{
    store, Batch, Decoder, Dedup, Frame, MemberId, Membership, ProposalDedup, ProposalId, RecoveredState,
    Snapshot,
};
use sprucelink_wal::{Disk, FaultDisk, Wal};
use std::collections::BTreeMap;

const FRAMES: &[u8] = include_bytes!("data/frames.bin");
const PROPOSAL_DEDUP: &[u8] = include_bytes!("data/proposal_dedup.bin");
const SEGMENT: &str = "gen-0000000000000001";
const SEGMENT_BYTES: &[u8] = include_bytes!("data/gen-0000000000000001");

fn member(node: u32, incarnation: u32) -> MemberId {
    MemberId::new(node, incarnation)
}

fn state(boot: u64) -> wire::PersistentState {
    let ack = AckState { writes: 31, term: 4, vote: member(2, 1).raw(), last_term: 3, last_index: 19 };
    wire::PersistentState {
        term: 5,
        vote: member(3, 2).raw(),
        commit: 12,
        boot,
        quarantined: false,
        boots: vec![Boot { member: member(2, 1).raw(), boot: 7, nonce: 77 }],
        observed_acks: vec![ObservedAck { member: member(2, 1).raw(), ack: Some(ack) }],
    }
}

fn snapshot() -> Snapshot {
    let membership = Membership {
        voters: vec![member(1, 1), member(2, 1), member(3, 2)],
        learners: vec![member(4, 1)],
        incarnations: BTreeMap::from([(1, 1), (2, 1), (3, 2), (4, 1)]),
    };
    Snapshot { index: 10, term: 3, membership, data: b"applied state".to_vec() }
}

/// A proposal, a membership change, and an empty entry.
fn entries() -> [wire::Entry; 3] {
    let proposal = wire::Proposal { origin: 9, sequence: 3, data: b"record".to_vec() };
    let change = wire::ConfChange { kind: 1, member: member(4, 1).raw() };
    [
        wire::Entry { index: 11, term: 4, kind: 0, data: proposal.encode_to_vec() },
        wire::Entry { index: 12, term: 4, kind: 1, data: change.encode_to_vec() },
        wire::Entry { index: 13, term: 5, kind: 0, data: vec![] },
    ]
}

#[test]
fn frames_of_the_released_version_are_decoded_and_encoded_to_the_same_bytes() {
    let mut decoder = Decoder::default();
    decoder.push(FRAMES);
    let mut encoded = Vec::new();
    let mut frame_count = 0;
    while let Some(frame) = decoder.next_frame().unwrap() {
        assert_eq!((frame.from(), frame.to()), (member(2, 1), member(1, 1)));
        assert!(frame.0.body.is_some() && frame.0.acknowledged.is_some() && frame.0.digest.is_some());
        encoded.extend(Frame::encode(&frame));
        frame_count += 1;
    }
    assert_eq!(frame_count, 5, "one frame with each kind of body");
    assert_eq!(encoded, FRAMES);
}

#[test]
fn store_of_the_released_version_is_recovered() {
    let mut disk = FaultDisk::new(1);
    disk.create(SEGMENT).unwrap();
    disk.append(SEGMENT, SEGMENT_BYTES).unwrap();
    let (_, recovered) = Wal::open(disk).unwrap();
    let expected = RecoveredState {
        last_batch: 2,
        state: state(2),
        snapshot: Some(snapshot()),
        entries: entries().to_vec(),
    };
    assert_eq!(store::recover(recovered), Ok(expected));
}

#[test]
fn batches_are_stored_as_the_bytes_of_the_released_version() {
    let [proposal, change, empty] = entries();
    let with_snapshot =
        Batch { number: 1, state: state(1), snapshot: Some(snapshot()), entries: vec![proposal, change] };
    let without_snapshot = Batch { number: 2, state: state(2), snapshot: None, entries: vec![empty] };
    let (mut wal, _) = Wal::open(FaultDisk::new(1)).unwrap();
    for batch in [with_snapshot, without_snapshot] {
        wal.write(&store::to_wal(&batch)).unwrap();
    }
    assert_eq!(wal.into_disk().read(SEGMENT).unwrap(), SEGMENT_BYTES);
}

#[test]
fn proposal_dedup_of_the_released_version_is_decoded_and_encoded_to_the_same_bytes() {
    let mut dedup = ProposalDedup::decode(PROPOSAL_DEDUP).unwrap();
    assert_eq!(dedup.encode(), PROPOSAL_DEDUP);
    let id = |sequence| ProposalId { origin: 9, sequence };
    assert_eq!(dedup.record(id(700)), Dedup::Duplicate);
    assert_eq!(dedup.record(id(5)), Dedup::TooOld);
    assert_eq!(dedup.record(id(699)), Dedup::New);
}
