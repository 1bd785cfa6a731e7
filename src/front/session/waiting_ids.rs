//! Reserves the ids of requests that wait behind the open request of their session.
//!
//! A request has been taken once its last byte has arrived. From then on no other request may have its id, although
//! its turn in its session comes later.
//!
//! Input: the unconsumed messages of a session of the platform's front. Output: a reservation for each message that is
//! a request, to be taken when the message is handled. State: the reservations by the position of their message in
//! the client's stream, and the position up to which messages were looked at.

use crate::core::IdReservation;
use std::collections::VecDeque;

/// Maximum number of waiting requests of a session whose ids are reserved; those of later ones follow as these are
/// handled.
const MAX_RESERVATIONS: usize = 64;

/// The reserved ids of the requests that wait in a session.
#[derive(Default)]
pub(super) struct WaitingIds {
    reservations: VecDeque<WaitingId>,
    /// Position in the stream up to which messages were looked at.
    scanned_end: u64,
}

/// The reserved id of a request that waits.
struct WaitingId {
    /// Position of the first byte of the request's message in the stream.
    message_start: u64,
    reservation: IdReservation,
}

impl WaitingIds {
    /// Position of the first message to look at next, if the messages before `consumed` have been handled; `None`
    /// while there are as many reservations as a session may have.
    pub(super) fn next_message(&mut self, consumed: u64) -> Option<u64> {
        self.scanned_end = self.scanned_end.max(consumed);
        (self.reservations.len() < MAX_RESERVATIONS).then_some(self.scanned_end)
    }

    /// Records that the next message, of `length` bytes, was looked at. `reservation`: that of its id, if it is a
    /// request whose id could be reserved.
    pub(super) fn record_message(&mut self, length: usize, reservation: Option<IdReservation>) {
        let message_start = self.scanned_end;
        self.scanned_end += length as u64;
        if let Some(reservation) = reservation {
            self.reservations.push_back(WaitingId { message_start, reservation });
        }
    }

    /// Takes the reservation of the message that begins at `message_start`; those of earlier messages are released.
    pub(super) fn take(&mut self, message_start: u64) -> Option<IdReservation> {
        while let Some(first) = self.reservations.pop_front() {
            if first.message_start == message_start {
                return Some(first.reservation);
            }
            if first.message_start > message_start {
                self.reservations.push_front(first);
                return None;
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
