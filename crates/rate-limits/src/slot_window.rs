//! A sliding window that counts events by time slot, so that its memory is bounded at any rate of events.

use sprucelink_time::{TimeDelta, Timestamp};
use std::collections::VecDeque;

/// One time slot of a window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot<T> {
    /// Start of the slot, a multiple of the slot width.
    pub start: Timestamp,
    /// Value accumulated within one slot width from `start`.
    pub value: T,
}

/// A sliding window over slots of equal width, oldest first. Slots without events are not stored.
///
/// The start of the window usually lies inside a slot. A caller that must not count too few events reads
/// [`overlapping`](SlotWindow::overlapping), which includes this slot completely; a caller that must not
/// count too many events reads [`within`](SlotWindow::within), which excludes this slot.
#[derive(Clone, Debug, Default)]
pub struct SlotWindow<T> {
    span: TimeDelta,
    width: TimeDelta,
    slots: VecDeque<Slot<T>>,
}

impl<T: Default> SlotWindow<T> {
    /// Creates an empty window of length `span`. Slots have the width `min_width`, or `span / max_slots` if
    /// the window would otherwise have more than `max_slots` slots. The window may cover the slots at its
    /// ends only in part, so that up to two more slots are stored.
    ///
    /// A `max_slots` of 0 counts as 1, and a slot is at least one microsecond wide.
    pub fn new(span: TimeDelta, min_width: TimeDelta, max_slots: u32) -> SlotWindow<T> {
        let even_width = span.as_micros() / i64::from(max_slots.max(1));
        let width = TimeDelta::from_micros(even_width.max(min_width.as_micros()).max(1));
        SlotWindow { span, width, slots: VecDeque::new() }
    }

    /// The width of a slot.
    pub fn slot_width(&self) -> TimeDelta {
        self.width
    }

    /// The start of the slot that contains `time`.
    pub fn slot_start(&self, time: Timestamp) -> Timestamp {
        let offset = time.as_micros().rem_euclid(self.width.as_micros());
        time - TimeDelta::from_micros(offset)
    }

    /// The value of the slot that contains `now`, which is created if necessary. Slots that have left the
    /// window are dropped.
    ///
    /// If `now` lies before the newest slot, because the clock was set back, returns the value of the newest
    /// slot. See [`shift_back`](SlotWindow::shift_back).
    pub fn slot_mut(&mut self, now: Timestamp) -> &mut T {
        self.drop_expired(now);
        let start = self.slot_start(now);
        if self.slots.back().is_none_or(|newest| newest.start < start) {
            self.slots.push_back(Slot { start, value: T::default() });
        }
        let newest = self.slots.len() - 1;
        &mut self.slots[newest].value
    }

    /// The slots that overlap the window ending at `now`, oldest first.
    pub fn overlapping(&self, now: Timestamp) -> impl Iterator<Item = &Slot<T>> {
        let window_start = now - self.span;
        self.slots.iter().filter(move |slot| slot.start + self.width > window_start)
    }

    /// The slots that start after the start of the window ending at `now`, oldest first.
    pub fn within(&self, now: Timestamp) -> impl Iterator<Item = &Slot<T>> {
        let window_start = now - self.span;
        self.slots.iter().filter(move |slot| slot.start > window_start)
    }

    /// The newest stored slot, which may have left the window.
    pub fn newest(&self) -> Option<&Slot<T>> {
        self.slots.back()
    }

    /// Moves all slots back in time by `by`, a multiple of the slot width, after the clock was set back.
    /// Without this call, the slots would lie in the future and stay in the window too long, by the time by
    /// which the clock was set back.
    pub fn shift_back(&mut self, by: TimeDelta) {
        for slot in &mut self.slots {
            slot.start = slot.start - by;
        }
    }

    /// The number of stored slots, including slots that have left the window since the last event.
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
    /// Counts one event at `now`. The count of a slot saturates.
    pub fn increment(&mut self, now: Timestamp) {
        let count = self.slot_mut(now);
        *count = count.saturating_add(1);
    }

    /// The number of events in the window ending at `now`, including all events of the slot that contains its
    /// start.
    pub fn count_overlapping(&self, now: Timestamp) -> u64 {
        self.overlapping(now).map(|slot| u64::from(slot.value)).sum()
    }

    /// The number of events in the window ending at `now`, excluding all events of the slot that contains its
    /// start.
    pub fn count_within(&self, now: Timestamp) -> u64 {
        self.within(now).map(|slot| u64::from(slot.value)).sum()
    }
}
