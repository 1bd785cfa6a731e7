//! The fronts: what clients connect to. Both take their requests from the one core, by the same
//! few functions; they differ in what they speak beyond a simple query.

pub mod answer;
pub mod connection_slots;
pub mod extended;
pub mod session;
pub mod socket;
pub mod wire;

use crate::core::buffer_pool::Buffer;
use crate::core::{now, to_duration, Core, Request, RequestHandle, RequestSpec, MAX_STATEMENT_BYTES};
use crate::proto::fields::Fields;
use crate::proto::pg::{self, Fault, Opening};
use crate::proto::tables;
use connection_slots::{Errand, Lobby, Seat, Seats, Standby, Stay};
use session::Cancel;
use socket::Socket;
use sprucelink_policy::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_rustls::TlsAcceptor;
use tracing::warn;
use wire::{Ahead, Drain, Wire};

/// A client that has not begun its session by then is let go: it is owed a word within 3 s.
const OPENING: Duration = Duration::from_secs(2);
/// For the TLS handshake, which takes some round trips and a signature.
const HANDSHAKE: Duration = Duration::from_secs(10);
/// A newcomer waits so long for a seat of somebody who has asked nothing, before one goes who was served.
const SEAT_WAIT: Micros = Micros(500_000);
/// How long the end of a connection with a last word may take, and with nothing coming.
const PARTING: Drain = Drain { whole: Duration::from_secs(4), quiet: Duration::from_millis(500) };
/// The same where many end at a time: what crosses the close comes within 50 ms.
const PARTING_MANY: Drain = Drain { whole: Duration::from_millis(200), quiet: Duration::from_millis(50) };
/// Buffers that a session of the second front may read ahead of its open request, beyond one; its clients write
/// whole batches before they read. The platform's write one query at a time, so one buffer is all they need.
const AHEAD: usize = 15;
/// The part of all buffers that sessions may read ahead into.
const AHEAD_SHARE: usize = 8;
/// A last word that cannot be written by then is not.
const LAST_WORD: Duration = Duration::from_secs(1);
/// After an accept that failed for want of descriptors.
const BREATH: Duration = Duration::from_millis(20);

/// Accepts that fail are logged so often at most.
const SAY_EVERY: Micros = Micros(5_000_000);

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
    /// Sessions besides that were told to go and have something to end first, at a time.
    pub most_leaving: usize,
    /// Connections besides that have no seat: that are turned away, cancel a request, or are ended with a last word.
    pub most_lobby: usize,
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
    sessions: RefCell<BTreeMap<u32, Rc<Cancel>>>,
    seats: Rc<Seats>,
    lobby: Rc<Lobby>,
    ahead: Rc<Ahead>,
    /// Connections whose descriptors are open.
    accepted: Cell<usize>,
    /// One of them has gone, or has come to the lobby, where it can be displaced.
    moved: Notify,
    /// Connections that are being ended with a last word.
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

/// A connection that was accepted: counted until its descriptor is free.
struct Accepted(Rc<Front>);
impl Accepted {
    fn one(front: &Rc<Front>) -> Accepted {
        front.accepted.set(front.accepted.get() + 1);
        Accepted(Rc::clone(front))
    }
}
impl Drop for Accepted {
    fn drop(&mut self) {
        self.0.accepted.set(self.0.accepted.get() - 1);
        self.0.moved.notify_one();
    }
}

impl Setup {
    /// Descriptors that a front's connections hold at most. The next is accepted only below it.
    pub fn most_connections(&self) -> usize {
        self.most_sessions.saturating_add(self.most_leaving).saturating_add(self.most_lobby)
    }
}

impl Front {
    /// A front on a core.
    pub fn new(core: Rc<Core>, setup: Setup) -> Rc<Front> {
        let ahead = if setup.extended { AHEAD } else { 0 };
        Rc::new(Front {
            ahead: Ahead::new(ahead, core.pool().max_buffers() / AHEAD_SHARE),
            core,
            seats: Seats::new(setup.most_sessions, setup.most_leaving, !setup.extended),
            lobby: Lobby::new(setup.most_lobby),
            setup,
            sessions: RefCell::default(),
            accepted: Cell::new(0),
            moved: Notify::new(),
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
        let mut said = None;
        loop {
            let closed = self.close.notified();
            // Guards the descriptors: with all of them out, somebody in the lobby goes before the next is accepted.
            let resting = self.resting.get();
            let room = resting || self.accepted.get() < self.setup.most_connections();
            if !room {
                self.lobby.displace();
            }
            tokio::select! {
                biased;
                taken = listener.accept(), if room && !resting => match taken {
                    Ok((stream, _)) => {
                        let accepted = Accepted::one(&self);
                        drop(tokio::task::spawn_local(Rc::clone(&self).connection(stream, accepted)));
                        if self.accepted.get() >= self.setup.most_sessions {
                            // Who has to go for it has its turn before the next is accepted.
                            tokio::task::yield_now().await;
                        }
                    }
                    // It had gone before it was accepted: the next may do.
                    Err(e) if of_the_client(&e) => {}
                    Err(e) => {
                        if said.is_none_or(|at| now() - at > SAY_EVERY) {
                            said = Some(now());
                            warn!("accept failed: {e}");
                        }
                        if self.closing.get() {
                            return;
                        }
                        // Those that were just accepted have a turn first.
                        tokio::time::sleep(BREATH).await;
                        // Fewer descriptors than were told: what clients hold of them is all that can be given back.
                        self.lobby.displace();
                        if !self.seats.make_room(false) && self.seats.grace().is_none() {
                            self.seats.make_room(true);
                        }
                    }
                },
                () = self.moved.notified(), if !room => {}
                () = std::future::ready(()), if room && self.closing.get() => return,
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

    async fn connection(self: Rc<Self>, stream: TcpStream, _accepted: Accepted) {
        // An error here is the end of the connection: nobody is left to tell.
        let Ok(socket) = Socket::new(stream) else { return };
        let mut wire = self.wire(socket);
        // Guards cancels: they need no seat, and come when all are taken. What a newcomer wants is read first.
        let stay = self.seats.take(false).map_or_else(|| self.enter(Errand::Coming), Stay::Seat);
        match self.open(&mut wire, &stay, false).await {
            Next::Session(start) => self.session(wire, start, stay).await,
            Next::Secure(acceptor) => {
                let secured = tokio::select! {
                    biased;
                    secured = timeout(HANDSHAKE, acceptor.accept(wire.stream)) => secured,
                    () = stay.leave() => return,
                };
                let Ok(Ok(stream)) = secured else { return };
                let mut wire = self.wire(stream);
                match self.open(&mut wire, &stay, true).await {
                    Next::Session(start) => self.session(wire, start, stay).await,
                    Next::Part(fault) => self.part(wire, fault, stay).await,
                    Next::Secure(_) => {}
                }
            }
            Next::Part(fault) => self.part(wire, fault, stay).await,
        }
    }

    /// A place in the lobby.
    fn enter(&self, errand: Errand) -> Stay {
        self.moved.notify_one();
        Stay::Lobby(self.lobby.enter(errand))
    }

    /// A seat for who wants a session; `None` where there is none. A session that was served goes for it only when none
    /// is there that has asked nothing, or it has waited for long enough.
    async fn seat_of(&self, place: &Standby) -> Option<Seat> {
        let until = now() + SEAT_WAIT;
        loop {
            let freed = self.seats.freed();
            if let Some(seat) = self.seats.take(false) {
                return Some(seat);
            }
            if place.told() {
                return None;
            }
            let (grace, left) = (self.seats.grace(), until - now());
            if left <= Micros(0) || grace.is_none() && !self.seats.is_crowded() {
                return self.seats.take(true);
            }
            tokio::select! {
                () = tokio::time::sleep(to_duration(grace.map_or(left, |grace| grace.min(left)))) => {}
                () = freed => {}
                () = place.leave() => {}
            }
        }
    }

    async fn session<S: AsyncRead + AsyncWrite + Unpin>(
        self: &Rc<Self>,
        mut wire: Wire<S>,
        start: session::Start,
        stay: Stay,
    ) {
        let seat = match stay {
            Stay::Seat(seat) => seat,
            Stay::Lobby(place) => match self.seat_of(&place).await {
                Some(seat) => seat,
                None => return self.part(wire, Some(too_many()), Stay::Lobby(place)).await,
            },
        };
        // An error here is one of the connection: nobody is left to tell.
        if let Ok(fault) = session::serve(Rc::clone(self), &mut wire, start, &seat).await {
            self.part(wire, fault, Stay::Seat(seat)).await;
        }
    }

    fn wire<S: AsyncRead + AsyncWrite + Unpin>(&self, stream: S) -> Wire<S> {
        Wire::new(stream, self.core.pool().clone(), Rc::clone(&self.ahead))
    }

    /// A CancelRequest came.
    fn cancel(&self, session: u32, secret: u32) {
        if let Some(cancel) = self.sessions.borrow().get(&session) {
            cancel.ask(secret);
        }
    }

    /// Ends a connection, with a last word if there is one. A seat is free at once where the lobby has room: what is left
    /// to do goes on there, until it is displaced. Else it keeps its seat, and has less time.
    async fn part<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        mut wire: Wire<S>,
        fault: Option<Fault>,
        stay: Stay,
    ) {
        if let Some(fault) = fault {
            pg::error(wire.output(), &fault.fatal());
        }
        let _parting = Counted::one(&self.parting);
        let (place, within) = match stay {
            // No newcomer needs its descriptor any more.
            stay if self.closing.get() => (stay, PARTING),
            Stay::Lobby(place) => {
                place.parts();
                (Stay::Lobby(place), PARTING)
            }
            Stay::Seat(seat) if self.lobby.has_room() => {
                drop(seat);
                (self.enter(Errand::Parting), PARTING)
            }
            seat => (seat, PARTING_MANY),
        };
        let end = async {
            if matches!(timeout(LAST_WORD, wire.flush()).await, Ok(Ok(()))) {
                wire.part(within).await;
            }
        };
        match place {
            Stay::Lobby(place) => tokio::select! {
                // The last word is tried once in any case, and most fit into the socket's buffer.
                biased;
                () = end => {}
                () = place.leave() => {}
            },
            Stay::Seat(_seat) => end.await,
        }
    }

    /// The packets before a session, for as long as they may take and the place is theirs.
    async fn open<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut Wire<S>,
        stay: &Stay,
        secure: bool,
    ) -> Next {
        let turned_away = || stay.in_lobby().then(too_many);
        tokio::select! {
            biased;
            next = timeout(OPENING, self.opening(wire, secure)) => match next {
                Ok(Ok(next)) => next,
                Ok(Err(_)) => Next::Part(None),
                Err(_) => Next::Part(turned_away().or_else(|| Some(late("start-up packet", OPENING)))),
            },
            () = stay.leave() => Next::Part(turned_away()),
        }
    }

    /// The packets before a session.
    async fn opening<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut Wire<S>,
        secure: bool,
    ) -> io::Result<Next> {
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
                    if !wire.input().is_empty() {
                        return Ok(Next::Part(None));
                    }
                    return Ok(acceptor.map_or(Next::Part(None), Next::Secure));
                }
                Opening::Ssl | Opening::Gssenc => {
                    wire.output().push(b'N');
                    wire.flush().await?;
                }
                Opening::Cancel { session, secret } => {
                    self.cancel(session, secret);
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

    /// Makes a request of a statement and its fields and takes it into the core; not one that its client has
    /// `cancelled` before it was.
    pub fn take(
        &self,
        f: &Fields,
        statement: &str,
        arrived: Micros,
        own_timeout: Option<u64>,
        cancelled: bool,
    ) -> Result<RequestHandle, Fault> {
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
            _ => self.core.generate_id(),
        };
        let of_class = &setup.classes[class];
        let once = match &f.opkey {
            Some(key) if of_class.keyed => Some(key.clone()),
            // Guards against a load that runs twice: a client's retry could not be told from a new request.
            None if of_class.keyed && !setup.extended => {
                return Err(missing("opkey", "is missing: the class carries a key"));
            }
            None if of_class.keyed => {
                Some(format!("{:016x}{:016x}", self.core.generate_id(), self.core.generate_id()))
            }
            _ => None,
        };
        let timeout = f.timeout_ms.or(own_timeout).map_or(of_class.deadline, |ms| Micros(ms as i64 * 1000));
        let spec = RequestSpec {
            id,
            class,
            tenant,
            tables: tables::group(statement),
            time_left: arrived + timeout - now(),
            cost_ms: f.ms,
            memory_mb: f.heap_mb,
        };
        if cancelled {
            self.core.metrics().take(class).aborted();
            return Err(answer::cancelled());
        }
        let statement = self.keep(statement).inspect_err(|_| self.core.metrics().take(class).declined())?;
        let request = Request { spec, class_name: of_class.name.clone(), idempotency_key: once, statement };
        let ticket = self.core.submit(request);
        ticket
            .ok_or_else(|| Fault::new("42710", format!("field req: {id:016x} was given to a request before")))
    }

    fn keep(&self, statement: &str) -> Result<Buffer, Fault> {
        if statement.len() > MAX_STATEMENT_BYTES {
            return Err(Fault::new(
                "54000",
                format!("a statement holds at most {MAX_STATEMENT_BYTES} bytes"),
            ));
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

/// Whether a failed accept is the client's own doing: it had gone before it was accepted.
fn of_the_client(e: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(e.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}

/// There is no seat, and nobody can go for it.
fn too_many() -> Fault {
    let fault = Fault::new("53300", "too many sessions").hint("Come back in 1000 ms.");
    Fault { detail: Some("retry_after_ms=1000".into()), ..fault }
}

/// What was begun and did not come whole in time.
fn late(what: &str, within: Duration) -> Fault {
    Fault::new("08P01", format!("field {what} did not come whole within {} ms", within.as_millis()))
}

fn missing(field: &str, why: &str) -> Fault {
    let example = "/* kind=CLASS,timeout=MILLISECONDS */ SELECT ...";
    Fault::new("08P01", format!("field {field} {why}")).hint(format!("Write {example}"))
}
