//! Frames from outside: whatever the bytes, an answer and never a panic; and a member that is given them goes on.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sprucelink_consensus::limits::MAX_FRAME_BYTES;
use sprucelink_consensus::wire::{envelope::Body, Envelope, RaftMessage, RejoinRequest, RejoinResponse};
use sprucelink_consensus::{
    Config, Decoder, Frame, FrameError, MemberId, Node, RecoveredState, Timestamp, Timing,
};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

fn member(node: u32) -> MemberId {
    MemberId::new(node, 1)
}

/// A member that has been vouched for by the others.
fn established() -> Node {
    let founders = vec![member(1), member(2), member(3)];
    let config = Config { member: member(1), founders, contacts: vec![], timing: Timing::default() };
    let mut council = Node::new(config, RecoveredState::default(), 1, Timestamp::ZERO).unwrap();
    assert!(council.trust_disk());
    settle(&mut council);
    council
}

fn settle(council: &mut Node) {
    for _ in 0..100 {
        let Some(ready) = council.ready() else { return };
        if let Some(batch) = ready.persist {
            council.persisted(Timestamp::ZERO, batch.number);
        }
        council.applied(ready.through, None);
    }
    panic!("it never comes to rest");
}

fn frame(from: u32, boot: u64, body: Body) -> Frame {
    let (from, to) = (member(from).raw(), member(1).raw());
    Frame(Envelope { version: 1, from, to, boot, body: Some(body), ..Envelope::default() })
}

fn raft_message() -> impl Strategy<Value = RaftMessage> {
    let figure = || prop_oneof![4 => 0u64..6, 1 => any::<u64>()];
    let entries = proptest::collection::vec(
        (figure(), figure(), 0u32..3, proptest::collection::vec(any::<u8>(), 0..9)),
        0..4,
    );
    let figures = (figure(), figure(), figure(), figure(), figure(), figure());
    (0u32..13, figures, any::<bool>(), entries).prop_map(|(kind, figures, reject, entries)| RaftMessage {
        kind,
        term: figures.0,
        log_term: figures.1,
        index: figures.2,
        commit: figures.3,
        commit_term: figures.4,
        reject,
        reject_hint: figures.5,
        entries: entries
            .into_iter()
            .map(|(index, term, kind, data)| sprucelink_consensus::wire::Entry { index, term, kind, data })
            .collect(),
        ..RaftMessage::default()
    })
}

#[test]
fn the_bounds_are_told() {
    let mut decoder = Decoder::default();
    decoder.push(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes());
    assert_eq!(decoder.next_frame(), Err(FrameError::TooLong(MAX_FRAME_BYTES + 1)));
    decoder.push(&frame(2, 1, Body::RejoinRequest(RejoinRequest::default())).encode());
    assert!(decoder.next_frame().is_err(), "after an error nothing more is read");
    let mut other = frame(2, 1, Body::RejoinRequest(RejoinRequest::default()));
    other.0.version = 2;
    let mut decoder = Decoder::default();
    decoder.push(&other.encode());
    assert_eq!(decoder.next_frame(), Err(FrameError::Version(2)));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn garbage_is_answered(bytes in proptest::collection::vec(any::<u8>(), 0..600), cuts in proptest::collection::vec(1usize..40, 0..20)) {
        let mut decoder = Decoder::default();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            decoder.push(now);
            rest = later;
            while let Ok(Some(_)) = decoder.next_frame() {}
        }
    }

    /// Frames come out as they went in, however they are cut; turned bits give an error or another frame.
    #[test]
    fn frames_pass(nonces in proptest::collection::vec(any::<u64>(), 1..6), cut in 1usize..50, flip in any::<usize>()) {
        let frames: Vec<Frame> = nonces.iter().map(|&nonce| frame(2, 3, Body::RejoinRequest(RejoinRequest { nonce, term: 4 }))).collect();
        let bytes: Vec<u8> = frames.iter().flat_map(Frame::encode).collect();
        let mut decoder = Decoder::default();
        let mut read = Vec::new();
        for part in bytes.chunks(cut) {
            decoder.push(part);
            while let Some(frame) = decoder.next_frame().unwrap() {
                read.push(frame);
            }
        }
        prop_assert_eq!(read, frames);
        let mut turned = bytes;
        let at = flip % turned.len();
        turned[at] ^= 1 << (flip % 8);
        let mut decoder = Decoder::default();
        decoder.push(&turned);
        while let Ok(Some(_)) = decoder.next_frame() {}
    }

    /// Messages that no member would send: dropped, or taken for what they prove; never a panic.
    #[test]
    fn a_member_stands_lies(messages in proptest::collection::vec((2u32..5, raft_message()), 1..40)) {
        let mut council = established();
        for (at, (from, message)) in messages.into_iter().enumerate() {
            let now = Timestamp::from_millis(at as i64 * 20);
            council.step(now, member(from), frame(from, 1, Body::Raft(message)));
            settle(&mut council);
            council.tick(now);
            settle(&mut council);
        }
    }

    /// Answers of any kind to a member in probation.
    #[test]
    fn probation_stands_lies(figures in proptest::collection::vec(any::<(u64, u64, u64, u64, bool, bool)>(), 1..20)) {
        let founders = vec![member(1), member(2), member(3)];
        let config = Config { member: member(1), founders, contacts: vec![], timing: Timing::default() };
        let mut council = Node::new(config, RecoveredState::default(), 1, Timestamp::ZERO).unwrap();
        let nonce = council.ready().unwrap().send_now.iter().find_map(|frame| match &frame.0.body {
            Some(Body::RejoinRequest(hello)) => Some(hello.nonce),
            _ => None,
        });
        for (at, (boot, term, last_term, last_index, established, accepted)) in figures.into_iter().enumerate() {
            let known_boot = if accepted { 1 } else { boot };
            let nonce = nonce.unwrap();
            let welcome = RejoinResponse { nonce, known_boot, term, last_term, last_index, established, accepted, ..RejoinResponse::default() };
            council.step(Timestamp::from_micros(at as i64), member(2 + at as u32 % 2), frame(2 + at as u32 % 2, 1, Body::RejoinResponse(welcome)));
            settle(&mut council);
        }
    }
}
