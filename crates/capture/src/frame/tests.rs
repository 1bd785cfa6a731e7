//! Tests that damaged and truncated frames are detected, and that the next intact frame is found.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Random bytes are not read as a frame at any offset.
    #[test]
    fn random_bytes_are_not_read_as_a_frame(bytes in prop::collection::vec(any::<u8>(), 0..300), offset in 0_usize..320) {
        let is_frame = matches!(read_frame(&bytes, offset), FrameRead::Frame { .. });
        prop_assert!(!is_frame);
        prop_assert_eq!(find_frame(&bytes, offset), None);
    }

    /// A frame with one changed byte is rejected, and the frame after it is found.
    #[test]
    fn changed_byte_is_detected_and_next_frame_is_found(body in prop::collection::vec(any::<u8>(), 1..200), offset in 0_usize..216, flipped_bits in 1_u8..=255) {
        let mut file = Vec::new();
        prop_assert!(append_frame(&mut file, FrameKind::Block, &body) && append_frame(&mut file, FrameKind::Tail, b"end"));
        let second_frame = HEADER_BYTES + body.len();
        file[offset % second_frame] ^= flipped_bits;
        let is_frame = matches!(read_frame(&file, 0), FrameRead::Frame { .. });
        prop_assert!(!is_frame);
        prop_assert_eq!(find_frame(&file, 1), Some(second_frame));
    }
}

#[test]
fn file_truncated_at_any_byte_is_reported_as_truncated() {
    let mut file = Vec::new();
    assert!(
        append_frame(&mut file, FrameKind::Head, b"head")
            && append_frame(&mut file, FrameKind::Block, &[7; 50])
    );
    let second_frame = HEADER_BYTES + 4;
    for len in second_frame + 1..file.len() {
        assert_eq!(read_frame(&file[..len], second_frame), FrameRead::Truncated, "{len}");
    }
    assert_eq!(read_frame(&file[..second_frame], second_frame), FrameRead::EndOfFile);
    assert_eq!(read_frame(&file, file.len()), FrameRead::EndOfFile);
}
