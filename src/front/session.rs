//! One client's session: start-up, simple queries, and what both fronts share in answering them.

use super::connection_slots::Seat;
use super::extended::{self, Names};
use super::wire::{Overrun, Wire};
use super::{answer, late, too_many, Counted, Front};
use crate::core::buffer_pool::BUFFER_BYTES;
use crate::core::{RequestHandle, Response};
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
const ERROR_ROOM: usize = 4096;

/// A message that was begun must be whole by then: its sender is owed a word within 3 s.
const WHOLE: Duration = Duration::from_secs(2);

/// How a session begins.
pub struct Start {
    /// The protocol's minor version that was asked for.
    pub minor: u16,
    /// The start-up parameters.
    pub parameters: Vec<(String, String)>,
}

/// What CancelRequests say to a session. One that comes while a request is open, or stands unread in the connection,
/// calls that off; one that finds neither says nothing, to the next request neither.
#[derive(Debug)]
pub struct Cancel {
    /// The key that a CancelRequest must carry beside the session's number.
    secret: u32,
    asked: Cell<bool>,
    wake: Notify,
}

impl Cancel {
    fn new(secret: u32) -> Rc<Cancel> {
        Rc::new(Cancel { secret, asked: Cell::new(false), wake: Notify::new() })
    }
    /// A CancelRequest came with this key.
    pub(super) fn ask(&self, secret: u32) {
        if self.secret == secret {
            self.asked.set(true);
            self.wake.notify_one();
        }
    }
    /// Returns when one has come that was not taken yet.
    async fn asked(&self) {
        while !self.asked.get() {
            self.wake.notified().await;
        }
    }
    /// Takes the one that has come, if there is one: it says nothing more.
    pub(super) fn take(&self) -> bool {
        self.asked.replace(false)
    }
}

/// The end of a session whose client wrote more behind an open request than may be held. SQLSTATE 54000, a limit of
/// this program, where it is the session's own bound: no repeat of the same helps. 53200, out of memory, where all
/// sessions together hold too much: it may help later.
fn overrun(over: Overrun, bound: usize) -> Fault {
    let (code, which) = match over {
        Overrun::Own => ("54000", format!("more than {bound} bytes")),
        Overrun::All => ("53200", "more than there is room for in all sessions".to_owned()),
    };
    let what = format!("{which} came behind an open request: what came behind them was not read");
    Fault::new(code, what).hint("Wait for answers before writing more, and connect again.")
}

/// What a session knows.
pub struct Session<'a> {
    pub(super) front: Rc<Front>,
    pub(super) cancel: Rc<Cancel>,
    seat: &'a Seat,
    /// Since when a message is here in part only.
    partial: Option<Instant>,
    /// Messages are passed over up to the next Sync.
    pub(super) skipping: bool,
    /// Statements and portals, on the second front.
    pub(super) names: Names,
    /// What a message of a batch is answered with, before there is room for it.
    scratch: Vec<u8>,
    /// An answer has just been written.
    answered: bool,
    /// Why it ends although its client is still there.
    last_word: Option<Fault>,
}

/// What a message leaves to do.
enum Todo {
    Nothing,
    Query(String),
    Sync,
    Flush,
    Extended(extended::Todo),
}

/// Whether a session goes on.
enum Step {
    On,
    /// Its end, with or without a last word.
    End(Option<Fault>),
}

/// Takes a session's entry out when it ends.
struct Listed<'a>(&'a Front, u32);
impl Drop for Listed<'_> {
    fn drop(&mut self) {
        self.0.sessions.borrow_mut().remove(&self.1);
    }
}

/// Serves a session to its end: its last word, if there is one. Where its seat is wanted it ends as
/// soon as nothing is open.
pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
    front: Rc<Front>,
    wire: &mut Wire<S>,
    start: Start,
    seat: &Seat,
) -> io::Result<Option<Fault>> {
    let (number, secret) = (front.core.generate_id() as u32 >> 1, front.core.generate_id() as u32);
    let cancel = Cancel::new(secret);
    front.sessions.borrow_mut().insert(number, Rc::clone(&cancel));
    let _listed = Listed(&front, number);
    let parameters = if front.setup.extended { &start.parameters[..] } else { &[] };
    let statement_timeout = match extended::start_timeout(parameters) {
        Ok(timeout) => timeout,
        Err(fault) => return Ok(Some(fault)),
    };
    seat.busy(false);
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
    let names = Names::new(statement_timeout);
    let mut session = Session {
        front: Rc::clone(&front),
        cancel,
        seat,
        partial: None,
        skipping: false,
        names,
        scratch: Vec::new(),
        answered: false,
        last_word: None,
    };
    loop {
        // Guards the others against a client that writes many short messages at once: none of them need wait.
        consume_budget().await;
        match session.step(wire).await? {
            Step::On => {}
            Step::End(fault) => return Ok(fault),
        }
    }
}

impl Session<'_> {
    /// Handles one message.
    async fn step<S: AsyncRead + AsyncWrite + Unpin>(&mut self, wire: &mut Wire<S>) -> io::Result<Step> {
        let mut out = std::mem::take(&mut self.scratch);
        let (todo, len) = match pg::read_message(wire.input(), BUFFER_BYTES) {
            Ok(Some((Message::Terminate, _))) => return Ok(Step::End(None)),
            Ok(Some((Message::Query(_), len))) if self.skipping => (Ok(Todo::Nothing), len),
            Ok(Some((Message::Query(text), len))) => (Ok(Todo::Query(text.to_owned())), len),
            Ok(Some((Message::Sync, len))) => (Ok(Todo::Sync), len),
            Ok(Some((Message::Flush, len))) => (Ok(Todo::Flush), len),
            Ok(Some((_, len))) if self.skipping => (Ok(Todo::Nothing), len),
            Ok(Some((message, len))) if self.front.setup.extended => {
                (self.extended(&mut out, message).map(Todo::Extended), len)
            }
            Ok(Some((_, len))) => (Err(Fault::new("0A000", "only simple queries are spoken here")), len),
            Ok(None) => {
                self.scratch = out;
                if wire.gather() {
                    return Ok(Step::On);
                }
                return match wire.overrun() {
                    Some(over) => Ok(Step::End(Some(overrun(over, wire.bound())))),
                    None => self.more(wire).await,
                };
            }
            Err((_, Some(len))) if self.skipping => (Ok(Todo::Nothing), len),
            Err((e, Some(len))) => (Err(e.into()), len),
            Err((e, None)) => return Ok(Step::End(Some(e.into()))),
        };
        self.partial = None;
        self.seat.busy(true);
        let simple = wire.input()[0] == b'Q';
        wire.consume(len);
        if !out.is_empty() {
            wire.make_room(out.len()).await?;
            wire.output().append(&mut out);
        }
        self.scratch = out;
        // Until the answer is written: a stop waits for it.
        let front = Rc::clone(&self.front);
        let _busy = Counted::one(&front.busy);
        let done = match todo {
            Ok(Todo::Nothing | Todo::Extended(extended::Todo::Done)) => Ok(true),
            Ok(Todo::Sync) => {
                self.skipping = false;
                self.ready(wire).await?;
                Ok(true)
            }
            Ok(Todo::Flush) => {
                wire.flush().await?;
                Ok(true)
            }
            Ok(Todo::Query(text)) => self.answer_simple(wire, &text).await?,
            Ok(Todo::Extended(extended::Todo::Execute(name, rows))) => {
                self.execute(wire, &name, rows).await?
            }
            Err(fault) => Err(fault),
        };
        match done {
            Ok(false) => return Ok(Step::End(self.last_word.take())),
            Ok(true) => {}
            Err(fault) => {
                wire.make_room(ERROR_ROOM).await?;
                pg::error(wire.output(), &fault);
                // An error in a batch: what follows is passed over up to the next Sync.
                self.skipping |= !simple;
            }
        }
        if simple && !self.skipping {
            self.ready(wire).await?;
            self.answered = true;
        }
        Ok(Step::On)
    }

    /// Writes all up to ReadyForQuery. A CancelRequest that came before its client had that is for what it ends.
    async fn ready<S: AsyncRead + AsyncWrite + Unpin>(&self, wire: &mut Wire<S>) -> io::Result<()> {
        pg::ready(wire.output());
        wire.flush().await?;
        self.cancel.take();
        Ok(())
    }

    /// Waits for more input.
    async fn more<S: AsyncRead + AsyncWrite + Unpin>(&mut self, wire: &mut Wire<S>) -> io::Result<Step> {
        wire.flush().await?;
        if wire.input().is_empty() {
            self.seat.busy(false);
            self.partial = None;
            // Its client may send the next request to another connection: nothing is open on this one.
            if self.seat.told() || std::mem::take(&mut self.answered) && self.front.leaving.get() {
                return Ok(Step::End(None));
            }
        } else {
            self.seat.begun();
            self.partial.get_or_insert_with(Instant::now);
        }
        let whole_by = self.partial.map(|since| since + WHOLE);
        let closed = self.front.close.notified();
        let closing = self.front.closing.get() && wire.input().is_empty();
        tokio::select! {
            // What has come is read before anything else is looked at: it was taken, and is owed an answer, also
            // where this program had no turn for so long that it is to stop, or the seat is wanted, by now.
            biased;
            n = wire.fill() => Ok(if n? > 0 { Step::On } else { Step::End(None) }),
            () = std::future::ready(()), if closing => {
                let fault = Fault::new("57P01", "the server is stopping").hint("Connect again.");
                Ok(Step::End(self.front.setup.extended.then_some(fault)))
            }
            () = closed => Ok(Step::On),
            // Guards the seats: half a message would keep one for seconds after its end was told.
            () = self.seat.leave(), if whole_by.is_some() => Ok(Step::End(Some(too_many()))),
            () = self.seat.leave() => Ok(Step::On),
            () = self.cancel.asked() => {
                // Its request may stand unread, for it was written before: what is here is read first, and it stays.
                // Where there is nothing it is for none, whatever is written after it.
                consume_budget().await;
                let before = wire.input().len();
                if !wire.look().await? && wire.input().len() == before {
                    self.cancel.take();
                }
                Ok(Step::On)
            }
            // Guards the seats against messages that never end.
            () = sleep_until(whole_by.unwrap_or_else(Instant::now)), if whole_by.is_some() => {
                Ok(Step::End(Some(late("length", WHOLE))))
            }
        }
    }

    /// Answers a simple query, all but ReadyForQuery; false where the client has gone.
    async fn answer_simple<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut Wire<S>,
        text: &str,
    ) -> io::Result<Result<bool, Fault>> {
        let (f, statement) = match self.read_simple(wire, text) {
            Ok(Some(read)) => read,
            Ok(None) => return Ok(Ok(true)),
            Err(fault) => return Ok(Err(fault)),
        };
        let arrived = wire.arrived();
        if wire.catch_up().await? {
            return Ok(Ok(self.left(wire)));
        }
        let (own, cancelled) = (self.names.statement_timeout, self.cancel.take());
        let ticket = match self.front.take(&f, statement, arrived, own, cancelled) {
            Ok(ticket) => ticket,
            Err(fault) => return Ok(Err(fault)),
        };
        self.seat.asked();
        Ok(match self.wait(wire, ticket).await? {
            None => Ok(false),
            Some(Err(fault)) => Err(fault),
            Some(Ok(result)) => {
                wire.make_room(ERROR_ROOM).await?;
                pg::row_description(wire.output(), answer::COLUMNS, &[]);
                let (n, _) = answer::rows(wire, &result, (0, 0), 0).await?;
                wire.make_room(ERROR_ROOM).await?;
                pg::command_complete(wire.output(), &format!("SELECT {n}"));
                Ok(true)
            }
        })
    }

    /// Reads the request of a simple query: its fields and its statement; `None` where it needed no engine and is
    /// answered.
    fn read_simple<'t, S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut Wire<S>,
        text: &'t str,
    ) -> Result<Option<(Fields, &'t str)>, Fault> {
        let (f, statement) = fields::split(text).map_err(Fault::from)?;
        if self.front.setup.extended && self.simple_here(wire.output(), statement)?.is_some() {
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
    pub(super) fn left<S: AsyncRead + AsyncWrite + Unpin>(&mut self, wire: &Wire<S>) -> bool {
        self.last_word = wire.overrun().filter(|_| wire.floods()).map(|over| overrun(over, wire.bound()));
        false
    }

    /// Waits for a request's final answer, its client's cancel or its client's end (`None`). It reads on all the
    /// while, for the end may stand behind anything; a client that floods is ended with a last word.
    pub(super) async fn wait<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut Wire<S>,
        mut ticket: RequestHandle,
    ) -> io::Result<Option<Result<crate::core::result_buffer::ResultSet, Fault>>> {
        let cancel = Rc::clone(&self.cancel);
        let extended = self.front.setup.extended;
        loop {
            tokio::select! {
                biased;
                f = ticket.wait() => return Ok(Some(match f {
                    Response::Served(result) => Ok(result),
                    Response::Rejected { reason, retry_after } => {
                        Err(answer::refused(reason, retry_after, extended))
                    },
                    Response::Failed { reason, retry_after } => Err(answer::failed(reason, retry_after)),
                })),
                () = cancel.asked() => {
                    cancel.take();
                    ticket.cancel();
                    return Ok(Some(Err(answer::cancelled())));
                }
                n = wire.read_on() => {
                    if n? == 0 {
                        return Ok(None);
                    }
                    if wire.floods() {
                        // Its client is there and hears it as its answer.
                        ticket.cancel();
                        self.left(wire);
                        return Ok(None);
                    }
                }
            }
        }
    }
}
