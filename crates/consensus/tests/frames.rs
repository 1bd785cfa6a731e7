//! Untrusted frames: decoding arbitrary bytes returns a frame or an error and never panics, and a node that
//! receives arbitrary messages never panics.

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

/// A node that has rejoined and takes part.
fn established_node() -> Node {
    let founders = vec![member(1), member(2), member(3)];
    let config = Config { member: member(1), founders, contacts: vec![], timing: Timing::default() };
    let mut node = Node::new(config, RecoveredState::default(), 1, Timestamp::ZERO).unwrap();
    assert!(node.trust_disk());
    drain(&mut node);
    node
}

fn drain(node: &mut Node) {
    for _ in 0..100 {
        let Some(ready) = node.ready() else { return };
        if let Some(batch) = ready.persist {
            node.persisted(Timestamp::ZERO, batch.number);
        }
        node.applied(ready.apply_through, None);
    }
    panic!("the node still has pending work after 100 calls");
}

fn frame(from: u32, boot: u64, body: Body) -> Frame {
    Frame(Envelope {
        version: 1,
        from: member(from).raw(),
        to: member(1).raw(),
        boot,
        body: Some(body),
        ..Envelope::default()
    })
}

fn raft_message() -> impl Strategy<Value = RaftMessage> {
    let number = || prop_oneof![4 => 0u64..6, 1 => any::<u64>()];
    let entries = proptest::collection::vec(
        (number(), number(), 0u32..3, proptest::collection::vec(any::<u8>(), 0..9)),
        0..4,
    );
    let numbers = (number(), number(), number(), number(), number(), number());
    (0u32..13, numbers, any::<bool>(), entries).prop_map(|(kind, numbers, reject, entries)| RaftMessage {
        kind,
        term: numbers.0,
        log_term: numbers.1,
        index: numbers.2,
        commit: numbers.3,
        commit_term: numbers.4,
        reject,
        reject_hint: numbers.5,
        entries: entries
            .into_iter()
            .map(|(index, term, kind, data)| sprucelink_consensus::wire::Entry { index, term, kind, data })
            .collect(),
        ..RaftMessage::default()
    })
}

#[test]
fn frame_over_its_bound_or_of_another_version_is_rejected() {
    let mut decoder = Decoder::default();
    decoder.push(&(MAX_FRAME_BYTES as u32 + 1).to_le_bytes());
    assert_eq!(decoder.next_frame(), Err(FrameError::TooLong(MAX_FRAME_BYTES + 1)));
    decoder.push(&frame(2, 1, Body::RejoinRequest(RejoinRequest::default())).encode());
    assert!(decoder.next_frame().is_err(), "after an error nothing more is decoded");
    let mut other_version = frame(2, 1, Body::RejoinRequest(RejoinRequest::default()));
    other_version.0.version = 2;
    let mut decoder = Decoder::default();
    decoder.push(&other_version.encode());
    assert_eq!(decoder.next_frame(), Err(FrameError::UnsupportedVersion(2)));
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn decoder_does_not_panic_on_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..600), cuts in proptest::collection::vec(1usize..40, 0..20)) {
        let mut decoder = Decoder::default();
        let mut rest = bytes.as_slice();
        for cut in cuts {
            let (part, remaining) = rest.split_at(cut.min(rest.len()));
            decoder.push(part);
            rest = remaining;
            while let Ok(Some(_)) = decoder.next_frame() {}
        }
    }

    /// The frames are decoded regardless of how the bytes are split. A flipped bit gives an error or another
    /// frame.
    #[test]
    fn frames_are_decoded_as_encoded(nonces in proptest::collection::vec(any::<u64>(), 1..6), part_length in 1usize..50, flip in any::<usize>()) {
        let frames: Vec<Frame> = nonces.iter().map(|&nonce| frame(2, 3, Body::RejoinRequest(RejoinRequest { nonce, term: 4 }))).collect();
        let bytes: Vec<u8> = frames.iter().flat_map(Frame::encode).collect();
        let mut decoder = Decoder::default();
        let mut decoded = Vec::new();
        for part in bytes.chunks(part_length) {
            decoder.push(part);
            while let Some(frame) = decoder.next_frame().unwrap() {
                decoded.push(frame);
            }
        }
        prop_assert_eq!(decoded, frames);
        let mut flipped = bytes;
        let position = flip % flipped.len();
        flipped[position] ^= 1 << (flip % 8);
        let mut decoder = Decoder::default();
        decoder.push(&flipped);
        while let Ok(Some(_)) = decoder.next_frame() {}
    }

    /// Messages that no member would send are dropped, or treated as evidence of lost or diverged entries.
    #[test]
    fn established_node_does_not_panic_on_arbitrary_messages(messages in proptest::collection::vec((2u32..5, raft_message()), 1..40)) {
        let mut node = established_node();
        for (index, (from, message)) in messages.into_iter().enumerate() {
            let now = Timestamp::from_millis(index as i64 * 20);
            node.step(now, member(from), frame(from, 1, Body::Raft(message)));
            drain(&mut node);
            node.tick(now);
            drain(&mut node);
        }
    }

    /// A rejoining member ignores or handles any response to its request.
    #[test]
    fn rejoining_node_does_not_panic_on_arbitrary_responses(responses in proptest::collection::vec(any::<(u64, u64, u64, u64, bool, bool)>(), 1..20)) {
        let founders = vec![member(1), member(2), member(3)];
        let config = Config { member: member(1), founders, contacts: vec![], timing: Timing::default() };
        let mut node = Node::new(config, RecoveredState::default(), 1, Timestamp::ZERO).unwrap();
        let request = node.ready().unwrap().messages.iter().find_map(|frame| match &frame.0.body {
            Some(Body::RejoinRequest(request)) => Some(*request),
            _ => None,
        });
        let nonce = request.unwrap().nonce;
        for (index, (boot, term, last_term, last_index, established, accepted)) in responses.into_iter().enumerate() {
            let from = 2 + index as u32 % 2;
            let known_boot = if accepted { 1 } else { boot };
            let response = RejoinResponse { nonce, known_boot, term, last_term, last_index, established, accepted, ..RejoinResponse::default() };
            node.step(Timestamp::from_micros(index as i64), member(from), frame(from, 1, Body::RejoinResponse(response)));
            drain(&mut node);
        }
    }
}
