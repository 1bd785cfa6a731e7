//! Frames: what is written is read, and nothing else is.

use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// Whatever is read, at whatever place, is a frame that was written, or none.
    #[test]
    fn garbage_is_no_frame_and_panics_nowhere(bytes in prop::collection::vec(any::<u8>(), 0..300), at in 0_usize..320) {
        let framed = matches!(read(&bytes, at), Found::Frame { .. });
        prop_assert!(!framed);
        prop_assert_eq!(next(&bytes, at), None);
    }

    /// One changed byte is never taken for what was written, and what stands behind it is found.
    #[test]
    fn a_changed_byte_is_seen(body in prop::collection::vec(any::<u8>(), 1..200), hit in 0_usize..216, flip in 1_u8..=255) {
        let mut file = Vec::new();
        prop_assert!(write(&mut file, Kind::Block, &body) && write(&mut file, Kind::Tail, b"end"));
        let second = HEADER + body.len();
        let hit = hit % second;
        file[hit] ^= flip;
        let framed = matches!(read(&file, 0), Found::Frame { .. });
        prop_assert!(!framed);
        prop_assert_eq!(next(&file, 1), Some(second));
    }
}

#[test]
fn a_file_cut_at_any_byte_is_cut_and_not_damaged() {
    let mut file = Vec::new();
    assert!(write(&mut file, Kind::Head, b"head") && write(&mut file, Kind::Block, &[7; 50]));
    let first = HEADER + 4;
    for len in first + 1..file.len() {
        assert_eq!(read(&file[..len], first), Found::Cut, "{len}");
    }
    assert_eq!(read(&file[..first], first), Found::End);
    assert_eq!(read(&file, file.len()), Found::End);
}
