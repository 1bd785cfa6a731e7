//! One client's session: start-up, simple queries, and what both fronts share in answering them.

use super::wire::Wire;
use super::{answer, Counted, Front};
use crate::core::table::{Final, Ticket};
use crate::proto::pg::{self, Fault, Message};
use crate::proto::{fields, tables};
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::Notify;

/// How a session begins.
pub struct Start {
    /// The protocol's minor version that was asked for.
    pub minor: u16,
    /// The start-up parameters.
    pub parameters: Vec<(String, String)>,
}

/// What a session knows.
pub struct Session {
    pub(super) front: Rc<Front>,
    pub(super) cancel: Rc<Notify>,
    /// Messages are passed over up to the next Sync.
    pub(super) skipping: bool,
}

/// Takes a session's entry out when it ends.
struct Listed<'a>(&'a Front, u32);
impl Drop for Listed<'_> {
    fn drop(&mut self) {
        self.0.sessions.borrow_mut().remove(&self.1);
    }
}

/// Serves a session to its end.
pub async fn serve<S: AsyncRead + AsyncWrite + Unpin>(
    front: Rc<Front>,
    wire: &mut Wire<S>,
    start: Start,
) -> io::Result<()> {
    let (number, secret) = (front.core.draw() as u32 >> 1, front.core.draw() as u32);
    let cancel = Rc::new(Notify::new());
    front.sessions.borrow_mut().insert(number, (secret, Rc::clone(&cancel)));
    let _listed = Listed(&front, number);
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
    let mut session = Session { front: Rc::clone(&front), cancel, skipping: false };
    while session.step(wire).await? {}
    Ok(())
}

impl Session {
    /// Handles one message; false at the end of the session.
    async fn step<S: AsyncRead + AsyncWrite + Unpin>(&mut self, wire: &mut Wire<S>) -> io::Result<bool> {
        let limit = crate::core::pool::SIZE;
        let (outcome, len) = match pg::read_message(wire.input(), limit) {
            Ok(Some((Message::Terminate, _))) => return Ok(false),
            Ok(Some((Message::Query(text), len))) => (Ok(text.to_owned()), len),
            Ok(Some((Message::Sync, len))) => {
                wire.consume(len);
                self.skipping = false;
                pg::ready(wire.output());
                wire.flush().await?;
                return Ok(true);
            }
            Ok(Some((_, len))) => (Err(Fault::new("0A000", "only simple queries are spoken here")), len),
            Ok(None) => {
                wire.flush().await?;
                return self.more(wire).await;
            }
            Err((e, Some(len))) => (Err(e.into()), len),
            Err((e, None)) => {
                pg::error(wire.output(), &Fault::from(e).fatal());
                wire.flush().await?;
                return Ok(false);
            }
        };
        let simple = wire.input()[0] == b'Q';
        wire.consume(len);
        if self.skipping {
            return Ok(true);
        }
        // Until the answer is written: a stop waits for it.
        let front = Rc::clone(&self.front);
        let _busy = Counted::one(&front.busy);
        match outcome {
            Ok(todo) => {
                if !self.answer_simple(wire, todo).await? {
                    return Ok(false);
                }
            }
            Err(fault) => {
                pg::error(wire.output(), &fault);
                self.skipping = !simple;
            }
        }
        if simple {
            pg::ready(wire.output());
            wire.flush().await?;
        }
        Ok(true)
    }

    /// Waits for more input; false where the session ends.
    async fn more<S: AsyncRead + AsyncWrite + Unpin>(&mut self, wire: &mut Wire<S>) -> io::Result<bool> {
        let closed = self.front.close.notified();
        if self.front.closing.get() && wire.input().is_empty() {
            return Ok(false);
        }
        tokio::select! {
            n = wire.fill() => Ok(n? > 0),
            () = closed => Ok(true),
        }
    }

    /// Answers a simple query, all but ReadyForQuery; false where the client has gone.
    async fn answer_simple<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut Wire<S>,
        text: String,
    ) -> io::Result<bool> {
        let front = Rc::clone(&self.front);
        let ticket = match fields::split(&text).map_err(Fault::from) {
            Ok((f, statement)) if !tables::is_empty(statement) => {
                front.take(&f, statement, wire.arrived(), None)
            }
            Ok(_) => {
                pg::bare(wire.output(), pg::EMPTY_QUERY);
                return Ok(true);
            }
            Err(fault) => Err(fault),
        };
        match ticket {
            Ok(ticket) => match self.wait(wire, ticket).await? {
                Some(Ok(result)) => {
                    pg::row_description(wire.output(), answer::COLUMNS, &[]);
                    let (n, _) = answer::rows(wire, &result, (0, 0), 0).await?;
                    wire.room(64).await?;
                    pg::command_complete(wire.output(), &format!("SELECT {n}"));
                }
                Some(Err(fault)) => pg::error(wire.output(), &fault),
                None => return Ok(false),
            },
            Err(fault) => pg::error(wire.output(), &fault),
        }
        Ok(true)
    }

    /// Waits for a request's final answer, its client's cancel or its client's end (`None`).
    pub(super) async fn wait<S: AsyncRead + AsyncWrite + Unpin>(
        &mut self,
        wire: &mut Wire<S>,
        mut ticket: Ticket,
    ) -> io::Result<Option<Result<crate::core::table::ResultSet, Fault>>> {
        let cancel = Rc::clone(&self.cancel);
        let extended = self.front.setup.extended;
        loop {
            tokio::select! {
                biased;
                f = ticket.wait() => return Ok(Some(match f {
                    Final::Served(result) => Ok(result),
                    Final::Refused(cause, wait) => Err(answer::refused(cause, wait, extended)),
                    Final::Failed(cause, wait) => Err(answer::failed(cause, wait)),
                })),
                () = cancel.notified() => return Ok(Some(Err(answer::cancelled()))),
                n = wire.fill() => {
                    if n? == 0 {
                        return Ok(None);
                    }
                }
            }
        }
    }
}
