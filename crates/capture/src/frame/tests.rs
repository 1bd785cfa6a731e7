//! Frames: what is written is read, and nothing else is.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// No bytes that were not written as a frame are read as one, at any offset.
    #[test]
    fn random_bytes_are_no_frame(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0_usize..320) {
        let framed = matches!(read_frame(&bytes, at), FrameRead::Frame { .. });
        prop_assert!(!framed);
        prop_assert_eq!(find_frame(&bytes, at), None);
    }

    /// A frame with one changed byte is rejected, and the frame after it is found.
    #[test]
    fn changed_byte_is_detected_and_next_frame_is_found(body in prop::collection::vec(any::<u8>(), 1..200), hit in 0_usize..216, flip in 1_u8..=255) {
        let mut file = Vec::new();
        prop_assert!(append_frame(&mut file, FrameKind::Block, &body) && append_frame(&mut file, FrameKind::Tail, b"end"));
        let second = HEADER_BYTES + body.len();
        let hit = hit % second;
        file[hit] ^= flip;
        let framed = matches!(read_frame(&file, 0), FrameRead::Frame { .. });
        prop_assert!(!framed);
        prop_assert_eq!(find_frame(&file, 1), Some(second));
    }
}

#[test]
fn file_truncated_at_any_byte_is_reported_as_truncated() {
    let mut file = Vec::new();
    assert!(
        append_frame(&mut file, FrameKind::Head, b"head")
            && append_frame(&mut file, FrameKind::Block, &[7; 50])
    );
    let first = HEADER_BYTES + 4;
    for len in first + 1..file.len() {
        assert_eq!(read_frame(&file[..len], first), FrameRead::Truncated, "{len}");
    }
    assert_eq!(read_frame(&file[..first], first), FrameRead::EndOfFile);
    assert_eq!(read_frame(&file, file.len()), FrameRead::EndOfFile);
}
