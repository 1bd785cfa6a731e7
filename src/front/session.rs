//! One client's session: start-up, simple queries, and what both fronts share in answering them.

use super::client_connection::{ClientConnection, ReadAheadOverrun};
use super::connection_slots::ConnectionSlot;
use super::extended::{self, ExtendedAction, SessionObjects};
use super::{answer, timed_out, too_many_sessions, CountGuard, Front};
use crate::core::buffer_pool::SIZE;
use crate::core::request_table::{RequestHandle, Response};
use crate::proto::pg::{self, Fault, Message};
use crate::proto::{
    fields::{self, Fields},
    tables,
};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Notify;
use tokio::task::coop::consume_budget;
use tokio::time::{sleep_until, Duration, Instant};

/// Room for a message that is not a row: an error, a description.
const CONTROL_MESSAGE_BYTES: usize = 4096;

/// A message that was begun must be whole by then: its sender is owed a word within 3 s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// How a session begins.
pub struct SessionStart {
    /// The protocol's minor version that was asked for.
    pub minor: u16,
    /// The start-up parameters.
    pub parameters: Vec<(String, String)>,
}

/// What CancelRequests say to a session. One that comes while a request is open, or stands unread in the connection,
/// calls that off; one that finds neither says nothing, to the next request neither.
#[derive(Debug)]
pub struct CancelSignal {
    /// The key that a CancelRequest must carry beside the session's number.
    secret: u32,
    is_requested: Cell<bool>,
    wake: Notify,
}

impl CancelSignal {
    fn new(secret: u32) -> Rc<CancelSignal> {
        Rc::new(CancelSignal { secret, is_requested: Cell::new(false), wake: Notify::new() })
    }
    /// A CancelRequest came with this key.
    pub(super) fn request(&self, secret: u32) {
        if self.secret == secret {
            self.is_requested.set(true);
            self.wake.notify_one();
        }
    }
    /// Returns when one has come that was not taken yet.
    async fn requested(&self) {
        while !self.is_requested.get() {
            self.wake.notified().await;
        }
    }
    /// Takes the one that has come, if there is one: it says nothing more.
    pub(super) fn take(&self) -> bool {
        self.is_requested.replace(false)
    }
}

/// The end of a session whose client wrote more behind an open request than may be held. SQLSTATE 54000, a limit of
/// this program, where it is the session's own bound: no repeat of the same helps. 53200, out of memory, where all
/// sessions together hold too much: it may help later.
fn overrun(over: ReadAheadOverrun, bound: usize) -> Fault {
    let (code, which) = match over {
        ReadAheadOverrun::Session => ("54000", format!("more than {bound} bytes")),
        ReadAheadOverrun::Shared => ("53200", "more than there is room for in all sessions".to_owned()),
    };
    let what = format!("{which} came behind an open request: what came behind them was not read");
    Fault::new(code, what).hint("Wait for answers before writing more, and connect again.")
}

/// What a session knows.
pub struct Session<'a> {
    pub(super) front: Rc<Front>,
    pub(super) cancel: Rc<CancelSignal>,
    slot: &'a ConnectionSlot,
    /// Since when a message is here in part only.
    partial: Option<Instant>,
    /// Messages are passed over up to the next Sync.
    pub(super) skipping: bool,
    /// Statements and portals, on the second front.
    pub(super) objects: SessionObjects,
    /// What a message of a batch is answered with, before there is room for it.
    scratch: Vec<u8>,
    /// An answer has just been written.
    answered: bool,
    /// Why it ends although its client is still there.
    final_error: Option<Fault>,
}

/// What a message leaves to do.
enum MessageAction {
    Nothing,
    Query(String),
    Sync,
    Flush,
    Extended(ExtendedAction),
}

/// Whether a session goes on.
enum SessionFlow {
    Continue,
    /// Its end, with or without a last word.
    End(Option<Fault>),
}

/// Takes a session's entry out when it ends.
struct SessionRegistration<'a>(&'a Front, u32);
impl Drop for SessionRegistration<'_> {
    fn drop(&mut self) {
        self.0.sessions.borrow_mut().remove(&self.1);
    }
}

/// Serves a session to its end: its last word, if there is one. Where its seat is wanted it ends as
/// soon as nothing is open.
pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
    front: Rc<Front>,
    wire: &mut ClientConnection<S>,
    start: SessionStart,
    slot: &ConnectionSlot,
) -> io::Result<Option<Fault>> {
    let (number, secret) = (front.core.draw() as u32 >> 1, front.core.draw() as u32);
    let cancel = CancelSignal::new(secret);
    front.sessions.borrow_mut().insert(number, Rc::clone(&cancel));
    let _listed = SessionRegistration(&front, number);
    let parameters = if front.config.extended { &start.parameters[..] } else { &[] };
    let statement_timeout = match extended::start_timeout(parameters) {
        Ok(timeout) => timeout,
        Err(fault) => return Ok(Some(fault)),
    };
    slot.set_executing(false);
    let out = wire.output();
    let unknown: Vec<&str> =
        start.parameters.iter().map(|p| p.0.as_str()).filter(|n| n.starts_with("_pq_.")).collect();
    if start.minor > 0 || !unknown.is_empty() {
        pg::negotiate_version(out, &unknown);
    }
    pg::authentication_ok(out);
    let told = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("standard_conforming_strings", "on"),
        ("integer_datetimes", "on"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
    ];
    told.iter().for_each(|(name, value)| pg::parameter_status(out, name, value));
    pg::backend_key(out, number, secret);
    pg::ready(out);
    wire.flush().await?;
    let objects = SessionObjects::new(statement_timeout);
    let mut session = Session {
        front: Rc::clone(&front),
        cancel,
        slot,
        partial: None,
        skipping: false,
        objects,
        scratch: Vec::new(),
        answered: false,
        final_error: None,
    };
    loop {
        // Guards the others against a client that writes many short messages at once: none of them need wait.
        consume_budget().await;
        match session.handle_message(wire).await? {
            SessionFlow::Continue => {}
            SessionFlow::End(fault) => return Ok(fault),
        }
    }
}

impl Session<'_> {
    /// Handles one message.
    async fn handle_message<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut ClientConnection<S>,
    ) -> io::Result<SessionFlow> {
        let mut out = std::mem::take(&mut self.scratch);
        let (todo, len) = match pg::read_message(wire.input(), SIZE) {
            Ok(Some((Message::Terminate, _))) => return Ok(SessionFlow::End(None)),
            Ok(Some((Message::Query(_), len))) if self.skipping => (Ok(MessageAction::Nothing), len),
            Ok(Some((Message::Query(text), len))) => (Ok(MessageAction::Query(text.to_owned())), len),
            Ok(Some((Message::Sync, len))) => (Ok(MessageAction::Sync), len),
            Ok(Some((Message::Flush, len))) => (Ok(MessageAction::Flush), len),
            Ok(Some((_, len))) if self.skipping => (Ok(MessageAction::Nothing), len),
            Ok(Some((message, len))) if self.front.config.extended => {
                (self.extended(&mut out, message).map(MessageAction::Extended), len)
            }
            Ok(Some((_, len))) => (Err(Fault::new("0A000", "only simple queries are spoken here")), len),
            Ok(None) => {
                self.scratch = out;
                if wire.promote_read_ahead() {
                    return Ok(SessionFlow::Continue);
                }
                return match wire.overrun() {
                    Some(over) => Ok(SessionFlow::End(Some(overrun(over, wire.max_buffered())))),
                    None => self.wait_for_input(wire).await,
                };
            }
            Err((_, Some(len))) if self.skipping => (Ok(MessageAction::Nothing), len),
            Err((e, Some(len))) => (Err(e.into()), len),
            Err((e, None)) => return Ok(SessionFlow::End(Some(e.into()))),
        };
        self.partial = None;
        self.slot.set_executing(true);
        let simple = wire.input()[0] == b'Q';
        wire.consume(len);
        if !out.is_empty() {
            wire.reserve_output(out.len()).await?;
            wire.output().append(&mut out);
        }
        self.scratch = out;
        // Until the answer is written: a stop waits for it.
        let front = Rc::clone(&self.front);
        let _busy = CountGuard::new(&front.open_requests);
        let done = match todo {
            Ok(MessageAction::Nothing | MessageAction::Extended(ExtendedAction::Done)) => Ok(true),
            Ok(MessageAction::Sync) => {
                self.skipping = false;
                self.ready(wire).await?;
                Ok(true)
            }
            Ok(MessageAction::Flush) => {
                wire.flush().await?;
                Ok(true)
            }
            Ok(MessageAction::Query(text)) => self.answer_simple(wire, &text).await?,
            Ok(MessageAction::Extended(ExtendedAction::Execute(name, rows))) => {
                self.execute(wire, &name, rows).await?
            }
            Err(fault) => Err(fault),
        };
        match done {
            Ok(false) => return Ok(SessionFlow::End(self.final_error.take())),
            Ok(true) => {}
            Err(fault) => {
                wire.reserve_output(CONTROL_MESSAGE_BYTES).await?;
                pg::error(wire.output(), &fault);
                // An error in a batch: what follows is passed over up to the next Sync.
                self.skipping |= !simple;
            }
        }
        if simple && !self.skipping {
            self.ready(wire).await?;
            self.answered = true;
        }
        Ok(SessionFlow::Continue)
    }

    /// Writes all up to ReadyForQuery. A CancelRequest that came before its client had that is for what it ends.
    async fn ready<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut ClientConnection<S>,
    ) -> io::Result<()> {
        pg::ready(wire.output());
        wire.flush().await?;
        self.cancel.take();
        Ok(())
    }

    /// Waits for more input.
    async fn wait_for_input<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut ClientConnection<S>,
    ) -> io::Result<SessionFlow> {
        wire.flush().await?;
        if wire.input().is_empty() {
            self.slot.set_executing(false);
            self.partial = None;
            // Its client may send the next request to another connection: nothing is open on this one.
            if self.slot.is_evicted()
                || std::mem::take(&mut self.answered) && self.front.end_after_answer.get()
            {
                return Ok(SessionFlow::End(None));
            }
        } else {
            self.slot.set_receiving();
            self.partial.get_or_insert_with(Instant::now);
        }
        let whole_by = self.partial.map(|since| since + MESSAGE_TIMEOUT);
        let closed = self.front.state_changed.notified();
        let closing = self.front.is_closing.get() && wire.input().is_empty();
        tokio::select! {
            // What has come is read before anything else is looked at: it was taken, and is owed an answer, also
            // where this program had no turn for so long that it is to stop, or the seat is wanted, by now.
            biased;
            n = wire.fill() => Ok(if n? > 0 { SessionFlow::Continue } else { SessionFlow::End(None) }),
            () = std::future::ready(()), if closing => {
                let fault = Fault::new("57P01", "the server is stopping").hint("Connect again.");
                Ok(SessionFlow::End(self.front.config.extended.then_some(fault)))
            }
            () = closed => Ok(SessionFlow::Continue),
            // Guards the seats: half a message would keep one for seconds after its end was told.
            () = self.slot.evicted(), if whole_by.is_some() => Ok(SessionFlow::End(Some(too_many_sessions()))),
            () = self.slot.evicted() => Ok(SessionFlow::Continue),
            () = self.cancel.requested() => {
                // Its request may stand unread, for it was written before: what is here is read first, and it stays.
                // Where there is nothing it is for none, whatever is written after it.
                consume_budget().await;
                let before = wire.input().len();
                if !wire.probe_end().await? && wire.input().len() == before {
                    self.cancel.take();
                }
                Ok(SessionFlow::Continue)
            }
            // Guards the seats against messages that never end.
            () = sleep_until(whole_by.unwrap_or_else(Instant::now)), if whole_by.is_some() => {
                Ok(SessionFlow::End(Some(timed_out("length", MESSAGE_TIMEOUT))))
            }
        }
    }

    /// Answers a simple query, all but ReadyForQuery; false where the client has gone.
    async fn answer_simple<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut ClientConnection<S>,
        text: &str,
    ) -> io::Result<Result<bool, Fault>> {
        let (f, statement) = match self.read_simple(wire, text) {
            Ok(Some(read)) => read,
            Ok(None) => return Ok(Ok(true)),
            Err(fault) => return Ok(Err(fault)),
        };
        let arrived = wire.arrived();
        if wire.read_available().await? {
            return Ok(Ok(self.end_for_departed_client(wire)));
        }
        let (own, cancelled) = (self.objects.statement_timeout, self.cancel.take());
        let request = match self.front.submit(&f, statement, arrived, own, cancelled) {
            Ok(request) => request,
            Err(fault) => return Ok(Err(fault)),
        };
        self.slot.record_request();
        Ok(match self.wait_for_response(wire, request).await? {
            None => Ok(false),
            Some(Err(fault)) => Err(fault),
            Some(Ok(result)) => {
                wire.reserve_output(CONTROL_MESSAGE_BYTES).await?;
                pg::row_description(wire.output(), answer::COLUMNS, &[]);
                let (n, _) = answer::rows(wire, &result, (0, 0), 0).await?;
                wire.reserve_output(CONTROL_MESSAGE_BYTES).await?;
                pg::command_complete(wire.output(), &format!("SELECT {n}"));
                Ok(true)
            }
        })
    }

    /// Reads the request of a simple query: its fields and its statement; `None` where it needed no engine and is
    /// answered.
    fn read_simple<'t, S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut ClientConnection<S>,
        text: &'t str,
    ) -> Result<Option<(Fields, &'t str)>, Fault> {
        let (f, statement) = fields::split(text).map_err(Fault::from)?;
        if self.front.config.extended && self.simple_here(wire.output(), statement)?.is_some() {
            return Ok(None);
        }
        // Guards the platform's sign of life: only an empty text is one. A comment with nothing behind it
        // is a request that was cut.
        if text.trim_matches(|c: char| c.is_whitespace() || c == ';').is_empty() {
            pg::bare(wire.output(), pg::EMPTY_QUERY);
            return Ok(None);
        }
        if tables::is_empty(statement) {
            return Err(Fault::new("08P01", "field query holds no statement behind its comment"));
        }
        // Guards the engines, and the answer: one request is one statement.
        tables::single(statement).map_err(|e| Fault::new("0A000", e.0))?;
        Ok(Some((f, statement)))
    }

    /// Guards the rule on clients that have gone: what they left behind is not taken, and nothing of a flood either,
    /// whose sender is told so. False, for the session ends.
    pub(super) fn end_for_departed_client<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &ClientConnection<S>,
    ) -> bool {
        self.final_error =
            wire.overrun().filter(|_| wire.is_flooding()).map(|over| overrun(over, wire.max_buffered()));
        false
    }

    /// Waits for a request's final answer, its client's cancel or its client's end (`None`). It reads on all the
    /// while, for the end may stand behind anything; a client that floods is ended with a last word.
    pub(super) async fn wait_for_response<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut ClientConnection<S>,
        mut request: RequestHandle,
    ) -> io::Result<Option<Result<crate::core::result_buffer::ResultSet, Fault>>> {
        let cancel = Rc::clone(&self.cancel);
        let extended = self.front.config.extended;
        loop {
            tokio::select! {
                biased;
                f = request.wait() => return Ok(Some(match f {
                    Response::Served(result) => Ok(result),
                    Response::Refused(cause, wait) => Err(answer::refused(cause, wait, extended)),
                    Response::Failed(cause, wait) => Err(answer::failed(cause, wait)),
                })),
                () = cancel.requested() => {
                    cancel.take();
                    request.cancel();
                    return Ok(Some(Err(answer::cancelled())));
                }
                n = wire.read_ahead() => {
                    if n? == 0 {
                        return Ok(None);
                    }
                    if wire.is_flooding() {
                        // Its client is there and hears it as its answer.
                        request.cancel();
                        self.end_for_departed_client(wire);
                        return Ok(None);
                    }
                }
            }
        }
    }
}
