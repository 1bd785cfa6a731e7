//! Which of a client's messages its CancelRequests cancel.
//!
//! A CancelRequest arrives on a connection of its own. It cancels the messages of which a byte arrived before it: the
//! one that is being answered, those that wait behind it, and one that is incomplete. What has arrived is asked of
//! the system: the runtime may not know yet of bytes that the client wrote before its CancelRequest.

use super::{ClientConnection, ClientStream};
use crate::front::cancel_signal::{CancelScope, CancelSignal};
use std::io;
use std::rc::Rc;

impl<S: ClientStream> ClientConnection<S> {
    /// Sets the signal by which the session's CancelRequests arrive.
    pub fn set_cancel_signal(&mut self, signal: Rc<CancelSignal>) {
        self.cancel_signal = Some(signal);
    }

    /// Completes when there is a CancelRequest to take; never before the signal is set.
    pub(super) async fn cancel_requested(signal: Option<Rc<CancelSignal>>) {
        match signal {
            Some(signal) => signal.requested().await,
            None => std::future::pending().await,
        }
    }

    /// Takes the CancelRequest, if there is one, after reading all bytes that have arrived. The messages that it
    /// cancels are known from then on.
    ///
    /// # Errors
    /// An error of the stream, which has then ended.
    pub async fn take_cancel(&mut self) -> io::Result<()> {
        let Some(signal) = self.cancel_signal.clone() else { return Ok(()) };
        if !signal.is_requested() {
            return Ok(());
        }
        self.stream.read_arrived();
        self.read_available().await?;
        let end = match signal.take() {
            Some(CancelScope::Arrived) => self.arrivals.received(),
            Some(CancelScope::ArrivedBy(time)) => self.arrivals.received_by(time),
            None => return Ok(()),
        };
        self.cancelled_end = self.cancelled_end.max(end);
        Ok(())
    }

    /// Whether the message that was consumed last is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.arrivals.message_start() < self.cancelled_end
    }

    /// Whether a message, or a part of one, that was not consumed is cancelled.
    pub fn has_cancelled_input(&self) -> bool {
        self.arrivals.consumed() < self.cancelled_end
    }
}
