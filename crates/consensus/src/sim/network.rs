//! The network: every message takes its own time, so they overtake each other; some are lost, some come twice, and links
//! may be cut, each way by itself.

use super::Plan;
use crate::frame::{Decoder, Frame};
use crate::{MemberId, TimeDelta, Timestamp};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Shortest time that a message takes.
const MIN_DELAY: TimeDelta = TimeDelta::from_micros(100);
/// Least longest time that a message takes.
const MIN_LONGEST_DELAY: TimeDelta = TimeDelta::from_micros(200);

/// The links and their troubles.
#[derive(Debug, Default)]
pub struct Network {
    /// Links that carry nothing, from and to.
    pub cut: BTreeSet<(u32, u32)>,
    /// Members all of whose messages take this much longer.
    pub slow: BTreeSet<u32>,
    loss_per_mille: u32,
    duplicate_per_mille: u32,
    max_delay: TimeDelta,
    /// Messages handed over so far.
    pub sent: u64,
    /// Bytes handed over so far, as frames; counted for one message in sixteen, times sixteen.
    pub bytes: u64,
}

impl Network {
    pub(crate) fn new(plan: &Plan) -> Self {
        Network {
            loss_per_mille: plan.loss_per_mille,
            duplicate_per_mille: plan.duplicate_per_mille,
            max_delay: plan.max_delay.max(MIN_LONGEST_DELAY),
            ..Network::default()
        }
    }

    /// When copies of a message arrive, if any do.
    pub(crate) fn arrivals(
        &mut self,
        rng: &mut ChaCha8Rng,
        from: MemberId,
        to: MemberId,
        now: Timestamp,
    ) -> Vec<Timestamp> {
        self.sent += 1;
        if self.cut.contains(&(from.node, to.node)) || rng.gen_range(0..1000) < self.loss_per_mille {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.gen_range(0..1000) < self.duplicate_per_mille);
        let slow = if self.slow.contains(&from.node) || self.slow.contains(&to.node) { 10 } else { 1 };
        let mut delay = || {
            let micros = rng.gen_range(MIN_DELAY.as_micros()..=self.max_delay.as_micros());
            TimeDelta::from_micros(micros * slow)
        };
        (0..copies).map(|_| now + delay()).collect()
    }

    /// One message in sixteen goes through bytes, in two pieces.
    pub(crate) fn pass(&mut self, rng: &mut ChaCha8Rng, frame: Frame) -> Frame {
        if !self.sent.is_multiple_of(16) {
            return frame;
        }
        let bytes = frame.encode();
        self.bytes += 16 * bytes.len() as u64;
        let mut decoder = Decoder::default();
        let middle = rng.gen_range(0..bytes.len());
        decoder.push(&bytes[..middle]);
        assert_eq!(decoder.next_frame(), Ok(None), "a part of a frame read as a whole");
        decoder.push(&bytes[middle..]);
        let read = decoder.next_frame();
        assert_eq!(read.as_ref(), Ok(&Some(frame)), "a frame read otherwise than written");
        read.ok().flatten().unwrap_or_else(|| unreachable!("compared above"))
    }

    /// Cuts nothing any more, and loses nothing.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.slow.clear();
        (self.loss_per_mille, self.duplicate_per_mille) = (0, 0);
    }
}
