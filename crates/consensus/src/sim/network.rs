//! The simulated network. Every message has its own delay, so messages are reordered; some are lost, some are
//! delivered twice, and links may be cut in each direction separately.

use super::faults::Link;
use super::plan::Plan;
use crate::frame::{Decoder, Frame};
use crate::ids::MemberId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::BTreeSet;

/// Shortest delay of a message.
const MIN_DELAY: TimeDelta = TimeDelta::from_micros(100);
/// Lower bound of the configured longest delay of a message.
const MIN_MAX_DELAY: TimeDelta = TimeDelta::from_micros(200);
/// Factor on the delay of messages to and from slow nodes.
const SLOW_FACTOR: i64 = 10;
/// Number of messages of which one is encoded and decoded.
const ENCODED_ONE_IN: u64 = 16;

/// The links and their faults.
#[derive(Debug, Default)]
pub struct Network {
    /// Links that lose all messages.
    pub cut_links: BTreeSet<Link>,
    /// Nodes whose messages, sent and received, are slow.
    pub slow_nodes: BTreeSet<u32>,
    loss_per_mille: u32,
    duplicate_per_mille: u32,
    max_delay: TimeDelta,
    /// Number of messages sent, including lost ones.
    pub sent: u64,
    /// Number of bytes sent, estimated from one message in sixteen.
    pub bytes: u64,
}

impl Network {
    pub(super) fn new(plan: &Plan) -> Self {
        Network {
            loss_per_mille: plan.loss_per_mille,
            duplicate_per_mille: plan.duplicate_per_mille,
            max_delay: plan.max_delay.max(MIN_MAX_DELAY),
            ..Network::default()
        }
    }

    /// Arrival times of the copies of a message; empty when the message is lost.
    pub(super) fn arrivals(
        &mut self,
        rng: &mut ChaCha8Rng,
        from: MemberId,
        to: MemberId,
        now: Timestamp,
    ) -> Vec<Timestamp> {
        self.sent += 1;
        let is_cut = self.cut_links.contains(&Link::new(from.node, to.node));
        if is_cut || rng.gen_range(0..1000) < self.loss_per_mille {
            return Vec::new();
        }
        let copies = 1 + usize::from(rng.gen_range(0..1000) < self.duplicate_per_mille);
        let is_slow = self.slow_nodes.contains(&from.node) || self.slow_nodes.contains(&to.node);
        let factor = if is_slow { SLOW_FACTOR } else { 1 };
        let mut delay = || {
            let micros = rng.gen_range(MIN_DELAY.as_micros()..=self.max_delay.as_micros());
            TimeDelta::from_micros(micros * factor)
        };
        (0..copies).map(|_| now + delay()).collect()
    }

    /// Returns the message as its receiver gets it. One message in sixteen is encoded, and decoded in two
    /// parts, to test the codec.
    pub(super) fn transmit(&mut self, rng: &mut ChaCha8Rng, frame: Frame) -> Frame {
        if !self.sent.is_multiple_of(ENCODED_ONE_IN) {
            return frame;
        }
        let bytes = frame.encode();
        self.bytes += ENCODED_ONE_IN * bytes.len() as u64;
        let mut decoder = Decoder::default();
        let split = rng.gen_range(0..bytes.len());
        decoder.push(&bytes[..split]);
        assert_eq!(decoder.next_frame(), Ok(None), "a part of a frame was decoded as a complete frame");
        decoder.push(&bytes[split..]);
        let decoded = decoder.next_frame();
        assert_eq!(decoded.as_ref(), Ok(&Some(frame)), "a decoded frame differs from the encoded one");
        decoded.ok().flatten().unwrap_or_else(|| unreachable!("compared above"))
    }

    /// Restores all links and their speed, and stops losing and duplicating messages.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.slow_nodes.clear();
        self.loss_per_mille = 0;
        self.duplicate_per_mille = 0;
    }
}
