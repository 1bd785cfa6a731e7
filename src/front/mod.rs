//! The fronts: what clients connect to. Both take their requests from the one core, by the same
//! few functions; they differ in what they speak beyond a simple query.

pub mod answer;
pub mod extended;
pub mod seats;
pub mod session;
pub mod wire;

use crate::core::facade::Asked;
use crate::core::now;
use crate::core::pool::Buf;
use crate::core::requests::{Core, Request, Ticket, MOST_STATEMENT};
use crate::proto::fields::Fields;
use crate::proto::pg::{self, Fault, Opening};
use crate::proto::tables;
use seats::{Seat, Seats};
use sprucelink_policy::interface::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tracing::warn;
use wire::Wire;

/// A client that has not begun its session by then is let go: it is owed a word within 3 s.
const OPENING: Duration = Duration::from_secs(2);
/// For the TLS handshake, which takes some round trips and a signature.
const HANDSHAKE: Duration = Duration::from_secs(10);
/// Connections that are being ended with a last word at a time; more are closed at once.
const MOST_PARTING: usize = 24;
/// A last word that cannot be written by then is not.
const LAST_WORD: Duration = Duration::from_secs(1);
/// After an accept that failed for want of descriptors.
const BREATH: Duration = Duration::from_millis(20);

/// What a front knows of a class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its requests carry an idempotency key.
    pub keyed: bool,
    /// How long its clients wait when they do not say.
    pub deadline: Micros,
}

/// What a front is set up with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Classes, by number.
    pub classes: Vec<Class>,
    /// Tenants' names, by number.
    pub tenants: Vec<String>,
    /// Sessions at a time.
    pub most_sessions: usize,
    /// The second front: extended queries, settings of a session, its own request ids.
    pub extended: bool,
    /// Sessions must use TLS.
    pub require_tls: bool,
    /// Class of a statement that names none.
    pub default_class: Option<String>,
    /// Tenant of a statement that names none.
    pub default_tenant: Option<String>,
}

/// One front.
pub struct Front {
    /// The core it takes its requests from.
    pub core: Rc<Core>,
    /// What it is set up with.
    pub setup: Setup,
    sessions: RefCell<BTreeMap<u32, (u32, Rc<Notify>)>>,
    seats: Rc<Seats>,
    parting: Cell<usize>,
    busy: Cell<usize>,
    closing: Cell<bool>,
    /// Connections are left in the listener's queue, for another process to take.
    resting: Cell<bool>,
    /// Sessions end with their next answer.
    leaving: Cell<bool>,
    close: Notify,
    tls: RefCell<Option<TlsAcceptor>>,
}

/// Counts something for as long as it lives.
struct Counted<'a>(&'a Cell<usize>);
impl<'a> Counted<'a> {
    fn one(cell: &'a Cell<usize>) -> Counted<'a> {
        cell.set(cell.get() + 1);
        Counted(cell)
    }
}
impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Front {
    /// A front on a core.
    pub fn new(core: Rc<Core>, setup: Setup) -> Rc<Front> {
        Rc::new(Front {
            core,
            seats: Seats::new(setup.most_sessions, !setup.extended),
            setup,
            sessions: RefCell::default(),
            parting: Cell::new(0),
            busy: Cell::new(0),
            closing: Cell::new(false),
            resting: Cell::new(false),
            leaving: Cell::new(false),
            close: Notify::new(),
            tls: RefCell::new(None),
        })
    }

    /// Takes connections until the front is closed, and then those that are there already.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            let closed = self.close.notified();
            tokio::select! {
                biased;
                taken = listener.accept(), if !self.resting.get() => match taken {
                    Ok((stream, _)) => {
                        drop(tokio::task::spawn_local(Rc::clone(&self).connection(stream)));
                    }
                    Err(e) => {
                        warn!("accept failed: {e}");
                        if self.closing.get() {
                            return;
                        }
                        tokio::time::sleep(BREATH).await;
                    }
                },
                () = std::future::ready(()), if self.closing.get() => return,
                () = closed => {}
            }
        }
    }

    /// Takes connections, or leaves them in the listener's queue.
    pub fn accept(&self, on: bool) {
        if self.resting.replace(!on) == on {
            self.close.notify_waiters();
        }
    }

    /// Lets go of sessions that have had nothing open for so long, and of the others with their next answer: the end
    /// comes with it, before their clients can ask again.
    pub fn let_go(&self, idle: Micros) {
        self.leaving.set(true);
        self.seats.let_go(idle);
    }

    /// Connections that are open.
    pub fn connections(&self) -> usize {
        self.seats.taken()
    }

    /// Takes no more connections, and lets go of sessions that have nothing open, now and from now on.
    pub fn close(&self) {
        self.closing.set(true);
        self.close.notify_waiters();
    }

    /// New sessions use this certificate from now on.
    pub fn certify(&self, acceptor: TlsAcceptor) {
        self.tls.replace(Some(acceptor));
    }

    /// Connections whose last word is written and whose end the other side has yet to see: closed over what it still
    /// sends they would be reset, and the last word go with it.
    pub fn parting(&self) -> usize {
        self.parting.get()
    }

    /// Requests whose answer is not written yet.
    pub fn busy(&self) -> usize {
        self.busy.get()
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let mut wire = Wire::new(stream, self.core.pool().clone());
        let Some(seat) = self.seats.take() else {
            let fault = Fault::new("53300", "too many sessions").hint("Come back in 1000 ms.");
            return self
                .part(wire, Some(Fault { detail: Some("retry_after_ms=1000".into()), ..fault }))
                .await;
        };
        match self.open(&mut wire, &seat, false).await {
            Next::Session(start) => self.session(wire, start, seat).await,
            Next::Secure(acceptor) => {
                let Ok(Ok(stream)) = timeout(HANDSHAKE, acceptor.accept(wire.stream)).await else { return };
                let mut wire = Wire::new(stream, self.core.pool().clone());
                match self.open(&mut wire, &seat, true).await {
                    Next::Session(start) => self.session(wire, start, seat).await,
                    Next::Part(fault) => self.part(wire, fault).await,
                    Next::Secure(_) => {}
                }
            }
            Next::Part(fault) => self.part(wire, fault).await,
        }
    }

    async fn session<S: AsyncRead + AsyncWrite + Unpin>(
        self: &Rc<Self>,
        mut wire: Wire<S>,
        start: session::Start,
        seat: Seat,
    ) {
        // An error here is one of the connection: nobody is left to tell.
        if let Ok(fault) = session::serve(Rc::clone(self), &mut wire, start, &seat).await {
            drop(seat);
            self.part(wire, fault).await;
        }
    }

    /// Ends a connection, with a last word if there is one.
    async fn part<S: AsyncRead + AsyncWrite + Unpin>(&self, mut wire: Wire<S>, fault: Option<Fault>) {
        if let Some(fault) = fault {
            pg::error(wire.output(), &fault.fatal());
        }
        let _parting = Counted::one(&self.parting);
        let flushed = timeout(LAST_WORD, wire.flush()).await;
        // Where the front is closed no descriptor is needed for newcomers any more.
        if matches!(flushed, Ok(Ok(()))) && (self.parting.get() <= MOST_PARTING || self.closing.get()) {
            wire.part().await;
        }
    }

    /// The packets before a session, for as long as they may take and the seat is theirs.
    async fn open<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut Wire<S>,
        seat: &Seat,
        secure: bool,
    ) -> Next {
        tokio::select! {
            biased;
            next = timeout(OPENING, self.opening(wire, secure)) => match next {
                Ok(Ok(next)) => next,
                Ok(Err(_)) => Next::Part(None),
                Err(_) => Next::Part(Some(late("start-up packet", OPENING))),
            },
            () = seat.leave() => Next::Part(None),
        }
    }

    /// The packets before a session.
    async fn opening<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut Wire<S>,
        secure: bool,
    ) -> std::io::Result<Next> {
        loop {
            let opening = match pg::read_opening(wire.input()) {
                Ok(Some((opening, len))) => {
                    wire.consume(len);
                    opening
                }
                Ok(None) => {
                    if wire.fill().await? == 0 {
                        return Ok(Next::Part(None));
                    }
                    continue;
                }
                Err(e) => return Ok(Next::Part(Some(e.into()))),
            };
            let acceptor = self.tls.borrow().clone();
            match opening {
                Opening::Ssl if !secure && acceptor.is_some() => {
                    // Guards against bytes smuggled in before encryption and read as if after it.
                    if !wire.input().is_empty() {
                        let fault = Fault::new("08P01", "field SSLRequest: data came behind it");
                        return Ok(Next::Part(Some(fault)));
                    }
                    wire.output().push(b'S');
                    wire.flush().await?;
                    return Ok(acceptor.map_or(Next::Part(None), Next::Secure));
                }
                Opening::Ssl | Opening::Gssenc => {
                    wire.output().push(b'N');
                    wire.flush().await?;
                }
                Opening::Cancel { session, secret } => {
                    let sessions = self.sessions.borrow();
                    if let Some((_, cancel)) = sessions.get(&session).filter(|s| s.0 == secret) {
                        cancel.notify_waiters();
                    }
                    return Ok(Next::Part(None));
                }
                Opening::Startup { .. } if self.setup.require_tls && !secure => {
                    let fault = match acceptor {
                        Some(_) => Fault::new("28000", "sessions must use TLS").hint("Set sslmode=require."),
                        None => {
                            Fault::new("57P03", "there is no certificate yet").hint("Come back in 5000 ms.")
                        }
                    };
                    return Ok(Next::Part(Some(fault)));
                }
                Opening::Startup { minor, parameters } => {
                    return Ok(Next::Session(session::Start { minor, parameters }))
                }
            }
        }
    }

    /// Makes a request of a statement and its fields and takes it into the core.
    pub fn take(
        &self,
        f: &Fields,
        statement: &str,
        arrived: Micros,
        own_timeout: Option<u64>,
    ) -> Result<Ticket, Fault> {
        let setup = &self.setup;
        let kind = f.kind.as_deref().or(setup.default_class.as_deref());
        let kind = kind.ok_or_else(|| missing("kind", "the statement's comment must name a class"))?;
        let class = setup.classes.iter().position(|c| c.name == kind);
        let class = class.ok_or_else(|| missing("kind", "names no class that is configured"))?;
        let owner = f.owner.as_deref().or(setup.default_tenant.as_deref());
        let tenant = match owner {
            None => 0,
            Some(name) => setup
                .tenants
                .iter()
                .position(|t| t == name)
                .ok_or_else(|| missing("owner", "names no tenant that is configured"))?,
        };
        let id = match f.req {
            Some(id) if !setup.extended => id,
            None if !setup.extended => return Err(missing("req", "is missing")),
            _ => self.core.draw(),
        };
        let of_class = &setup.classes[class];
        let once = match &f.opkey {
            Some(key) if of_class.keyed => Some(key.clone()),
            // Guards against a load that runs twice: a client's retry could not be told from a new request.
            None if of_class.keyed && !setup.extended => {
                return Err(missing("opkey", "is missing: the class carries a key"));
            }
            None if of_class.keyed => Some(format!("{:016x}{:016x}", self.core.draw(), self.core.draw())),
            _ => None,
        };
        let timeout = f.timeout_ms.or(own_timeout).map_or(of_class.deadline, |ms| Micros(ms as i64 * 1000));
        let asked = Asked {
            id,
            class,
            tenant,
            tables: tables::group(statement),
            left: arrived + timeout - now(),
            cost_ms: f.ms,
            memory_mb: f.heap_mb,
        };
        let statement = self.keep(statement).inspect_err(|_| self.core.figures().take(class).declined())?;
        let request = Request { asked, class: of_class.name.clone(), once, statement };
        let ticket = self.core.take(request);
        ticket
            .ok_or_else(|| Fault::new("42710", format!("field req: {id:016x} was given to a request before")))
    }

    fn keep(&self, statement: &str) -> Result<Buf, Fault> {
        if statement.len() > MOST_STATEMENT {
            return Err(Fault::new("54000", format!("a statement holds at most {MOST_STATEMENT} bytes")));
        }
        let mut buf = self.core.pool().get().ok_or_else(answer::no_buffer)?;
        buf.extend_from_slice(statement.as_bytes());
        Ok(buf)
    }
}

/// What follows the opening packets.
enum Next {
    Session(session::Start),
    Secure(TlsAcceptor),
    /// The end, with or without a last word.
    Part(Option<Fault>),
}

/// What was begun and did not come whole in time.
fn late(what: &str, within: Duration) -> Fault {
    Fault::new("08P01", format!("field {what} did not come whole within {} ms", within.as_millis()))
}

fn missing(field: &str, why: &str) -> Fault {
    let example = "/* kind=CLASS,timeout=MILLISECONDS */ SELECT ...";
    Fault::new("08P01", format!("field {field} {why}")).hint(format!("Write {example}"))
}
