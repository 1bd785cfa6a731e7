//! A sliding window that counts by slots of time, so that its memory is bounded whatever the rate of events.

use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// One slot of a window: what happened within one slot width of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot<T> {
    /// When the slot begins: a multiple of the slot width.
    pub start: Timestamp,
    /// What was counted in it.
    pub value: T,
}

/// A sliding window over slots of equal width, oldest first. Slots in which nothing happened are not stored.
///
/// The begin of the window usually falls inside a slot. A caller that must not count too little reads
/// [`overlapping`](SlotWindow::overlapping), which has that slot whole; one that must not count too much reads
/// [`within`](SlotWindow::within), which leaves it out.
#[derive(Clone, Debug, Default)]
pub struct SlotWindow<T> {
    span: TimeDelta,
    width: TimeDelta,
    slots: VecDeque<Slot<T>>,
}

impl<T: Default> SlotWindow<T> {
    /// An empty window of length `span`, in slots of `min_width` or, where that would make more than `max_slots` of
    /// them, as wide as it takes. The slots at both ends may be cut, so that up to two more are stored.
    ///
    /// `min_width` and `max_slots` count as at least 1.
    pub fn new(span: TimeDelta, min_width: TimeDelta, max_slots: u32) -> SlotWindow<T> {
        let even_width = span.as_micros() / i64::from(max_slots.max(1));
        let width = TimeDelta::from_micros(even_width.max(min_width.as_micros()).max(1));
        SlotWindow { span, width, slots: VecDeque::new() }
    }

    /// The width of a slot.
    pub fn slot_width(&self) -> TimeDelta {
        self.width
    }

    /// The start of the slot that `time` lies in.
    pub fn slot_start(&self, time: Timestamp) -> Timestamp {
        let offset = time.as_micros().rem_euclid(self.width.as_micros());
        time - TimeDelta::from_micros(offset)
    }

    /// The value of the slot that `now` lies in, which is begun if need be; slots that have left the window are dropped.
    ///
    /// If `now` lies before the newest slot, because the clock was set back, the value of the newest slot is given. See
    /// [`shift_back`](SlotWindow::shift_back).
    pub fn slot_mut(&mut self, now: Timestamp) -> &mut T {
        self.drop_expired(now);
        let start = self.slot_start(now);
        if self.slots.back().is_none_or(|newest| newest.start < start) {
            self.slots.push_back(Slot { start, value: T::default() });
        }
        let newest = self.slots.len() - 1;
        &mut self.slots[newest].value
    }

    /// The slots that overlap the window that ends at `now`, oldest first.
    pub fn overlapping(&self, now: Timestamp) -> impl Iterator<Item = &Slot<T>> {
        let window_start = now - self.span;
        self.slots.iter().filter(move |slot| slot.start + self.width > window_start)
    }

    /// The slots that begin after the window that ends at `now` begins, oldest first.
    pub fn within(&self, now: Timestamp) -> impl Iterator<Item = &Slot<T>> {
        let window_start = now - self.span;
        self.slots.iter().filter(move |slot| slot.start > window_start)
    }

    /// The newest slot that is stored, whether or not it still lies in the window.
    pub fn newest(&self) -> Option<&Slot<T>> {
        self.slots.back()
    }

    /// Moves all slots back in time by a multiple of the slot width, for a clock that was set back: else they would
    /// stay in the future, and in the window, for as long as the clock was set back by.
    pub fn shift_back(&mut self, by: TimeDelta) {
        for slot in &mut self.slots {
            slot.start = slot.start - by;
        }
    }

    /// The number of slots stored.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no slot is stored.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    fn drop_expired(&mut self, now: Timestamp) {
        let window_start = now - self.span;
        while self.slots.front().is_some_and(|slot| slot.start + self.width <= window_start) {
            self.slots.pop_front();
        }
    }
}

impl SlotWindow<u32> {
    /// Counts one event at `now`; a slot's count saturates.
    pub fn increment(&mut self, now: Timestamp) {
        let count = self.slot_mut(now);
        *count = count.saturating_add(1);
    }

    /// Events of the window that ends at `now`, with all of those in the slot that its begin cuts.
    pub fn count_overlapping(&self, now: Timestamp) -> u64 {
        self.overlapping(now).map(|slot| u64::from(slot.value)).sum()
    }

    /// Events of the window that ends at `now`, without those in the slot that its begin cuts.
    pub fn count_within(&self, now: Timestamp) -> u64 {
        self.within(now).map(|slot| u64::from(slot.value)).sum()
    }
}
