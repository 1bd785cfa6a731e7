//! The fronts: what clients connect to. Both take their requests from the one core, by the same
//! few functions; they differ in what they speak beyond a simple query.

pub mod answer;
pub mod client_connection;
pub mod connection_slots;
pub mod extended;
pub mod session;
pub mod socket;

use crate::core::buffer_pool::Buffer;
use crate::core::facade::RequestSpec;
use crate::core::request_table::{Core, Request, RequestHandle, MOST_STATEMENT};
use crate::core::{now, span};
use crate::proto::fields::Fields;
use crate::proto::pg::{self, Fault, Opening};
use crate::proto::tables;
use client_connection::{ClientConnection, LingerTimeouts, ReadAheadBudget};
use connection_slots::{
    ConnectionGuard, ConnectionSlot, ConnectionSlots, SessionlessConnection, SessionlessConnections,
    SessionlessPhase,
};
use session::CancelSignal;
use socket::Socket;
use sprucelink_time::{TimeDelta, Timestamp};
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

/// A client that has not begun its session by then is let go: it is owed a word within 3 s.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);
/// For the TLS handshake, which takes some round trips and a signature.
const TLS_HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);
/// A newcomer waits so long for a seat of somebody who has asked nothing, before one goes who was served.
const SLOT_WAIT: TimeDelta = TimeDelta::from_millis(500);
/// How long the end of a connection with a last word may take, and with nothing coming.
const LINGER: LingerTimeouts =
    LingerTimeouts { total: Duration::from_secs(4), idle: Duration::from_millis(500) };
/// The same where many end at a time: what crosses the close comes within 50 ms.
const SHORT_LINGER: LingerTimeouts =
    LingerTimeouts { total: Duration::from_millis(200), idle: Duration::from_millis(50) };
/// Buffers that a session of the second front may read ahead of its open request, beyond one; its clients write
/// whole batches before they read. The platform's write one query at a time, so one buffer is all they need.
const MAX_READ_AHEAD_BUFFERS: usize = 15;
/// The part of all buffers that sessions may read ahead into.
const READ_AHEAD_POOL_DIVISOR: usize = 8;
/// A last word that cannot be written by then is not.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// After an accept that failed for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts that fail are logged so often at most.
const ACCEPT_LOG_INTERVAL: TimeDelta = TimeDelta::from_millis(5_000);

/// What a front knows of a class.
#[derive(Clone, Debug)]
pub struct ClassConfig {
    /// Its name.
    pub name: String,
    /// Its requests carry an idempotency key.
    pub has_idempotency_key: bool,
    /// How long its clients wait when they do not say.
    pub default_timeout: TimeDelta,
}

/// What a front is set up with.
#[derive(Clone, Debug)]
pub struct FrontConfig {
    /// Classes, by number.
    pub classes: Vec<ClassConfig>,
    /// Tenants' names, by number.
    pub tenants: Vec<String>,
    /// Sessions at a time.
    pub max_sessions: usize,
    /// Sessions besides that were told to go and have something to end first, at a time.
    pub max_evicted: usize,
    /// Connections besides that have no seat: that are turned away, cancel a request, or are ended with a last word.
    pub max_sessionless: usize,
    /// The second front: extended queries, settings of a session, its own request ids.
    pub extended: bool,
    /// Sessions must use TLS.
    pub require_tls: bool,
    /// ClassConfig of a statement that names none.
    pub default_class: Option<String>,
    /// Tenant of a statement that names none.
    pub default_tenant: Option<String>,
}

/// One front.
pub struct Front {
    /// The core it takes its requests from.
    pub core: Rc<Core>,
    /// What it is set up with.
    pub config: FrontConfig,
    sessions: RefCell<BTreeMap<u32, Rc<CancelSignal>>>,
    slots: Rc<ConnectionSlots>,
    sessionless: Rc<SessionlessConnections>,
    read_ahead: Rc<ReadAheadBudget>,
    /// Connections whose descriptors are open.
    open_connections: Cell<usize>,
    /// One of them has gone, or has come to the lobby, where it can be displaced.
    descriptor_released: Notify,
    /// Connections that are being ended with a last word.
    closing_connections: Cell<usize>,
    open_requests: Cell<usize>,
    is_closing: Cell<bool>,
    /// Connections are left in the listener's queue, for another process to take.
    is_paused: Cell<bool>,
    /// Sessions end with their next answer.
    end_after_answer: Cell<bool>,
    state_changed: Notify,
    tls: RefCell<Option<TlsAcceptor>>,
}

/// Counts something for as long as it lives.
struct CountGuard<'a>(&'a Cell<usize>);
impl<'a> CountGuard<'a> {
    fn new(cell: &'a Cell<usize>) -> CountGuard<'a> {
        cell.set(cell.get() + 1);
        CountGuard(cell)
    }
}
impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection that was accepted: counted until its descriptor is free.
struct OpenConnection(Rc<Front>);
impl OpenConnection {
    fn new(front: &Rc<Front>) -> OpenConnection {
        front.open_connections.set(front.open_connections.get() + 1);
        OpenConnection(Rc::clone(front))
    }
}
impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.set(self.0.open_connections.get() - 1);
        self.0.descriptor_released.notify_one();
    }
}

impl FrontConfig {
    /// Descriptors that a front's connections hold at most. The next is accepted only below it.
    pub fn max_connections(&self) -> usize {
        self.max_sessions.saturating_add(self.max_evicted).saturating_add(self.max_sessionless)
    }
}

impl Front {
    /// A front on a core.
    pub fn new(core: Rc<Core>, config: FrontConfig) -> Rc<Front> {
        let max_buffers = if config.extended { MAX_READ_AHEAD_BUFFERS } else { 0 };
        Rc::new(Front {
            read_ahead: ReadAheadBudget::new(max_buffers, core.pool().most() / READ_AHEAD_POOL_DIVISOR),
            core,
            slots: ConnectionSlots::new(config.max_sessions, config.max_evicted, !config.extended),
            sessionless: SessionlessConnections::new(config.max_sessionless),
            config,
            sessions: RefCell::default(),
            open_connections: Cell::new(0),
            descriptor_released: Notify::new(),
            closing_connections: Cell::new(0),
            open_requests: Cell::new(0),
            is_closing: Cell::new(false),
            is_paused: Cell::new(false),
            end_after_answer: Cell::new(false),
            state_changed: Notify::new(),
            tls: RefCell::new(None),
        })
    }

    /// Takes connections until the front is closed, and then those that are there already.
    pub async fn accept_connections(self: Rc<Self>, listener: TcpListener) {
        let mut last_logged = None;
        loop {
            let closed = self.state_changed.notified();
            // Guards the descriptors: with all of them out, somebody in the lobby goes before the next is accepted.
            let is_paused = self.is_paused.get();
            let has_room = is_paused || self.open_connections.get() < self.config.max_connections();
            if !has_room {
                self.sessionless.evict_one();
            }
            tokio::select! {
                biased;
                taken = listener.accept(), if has_room && !is_paused => match taken {
                    Ok((stream, _)) => {
                        let accepted = OpenConnection::new(&self);
                        drop(tokio::task::spawn_local(Rc::clone(&self).handle_connection(stream, accepted)));
                        if self.open_connections.get() >= self.config.max_sessions {
                            // Who has to go for it has its turn before the next is accepted.
                            tokio::task::yield_now().await;
                        }
                    }
                    // It had gone before it was accepted: the next may do.
                    Err(e) if is_aborted_by_client(&e) => {}
                    Err(e) => {
                        if last_logged.is_none_or(|at| now() - at > ACCEPT_LOG_INTERVAL) {
                            last_logged = Some(now());
                            warn!("accept failed: {e}");
                        }
                        if self.is_closing.get() {
                            return;
                        }
                        // Those that were just accepted have a turn first.
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                        // Fewer descriptors than were told: what clients hold of them is all that can be given back.
                        self.sessionless.evict_one();
                        if !self.slots.evict_one(false) && self.slots.time_until_evictable().is_none() {
                            self.slots.evict_one(true);
                        }
                    }
                },
                () = self.descriptor_released.notified(), if !has_room => {}
                () = std::future::ready(()), if has_room && self.is_closing.get() => return,
                () = closed => {}
            }
        }
    }

    /// Takes connections, or leaves them in the listener's queue.
    pub fn set_accepting(&self, on: bool) {
        if self.is_paused.replace(!on) == on {
            self.state_changed.notify_waiters();
        }
    }

    /// Lets go of sessions that have had nothing open for so long, and of the others with their next answer: the end
    /// comes with it, before their clients can ask again.
    pub fn drain_sessions(&self, idle: TimeDelta) {
        self.end_after_answer.set(true);
        self.slots.evict_idle(idle);
    }

    /// Connections that are open.
    pub fn occupied_slots(&self) -> usize {
        self.slots.occupied()
    }

    /// Takes no more connections, and lets go of sessions that have nothing open, now and from now on.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.state_changed.notify_waiters();
    }

    /// New sessions use this certificate from now on.
    pub fn set_certificate(&self, acceptor: TlsAcceptor) {
        self.tls.replace(Some(acceptor));
    }

    /// Connections whose last word is written and whose end the other side has yet to see: closed over what it still
    /// sends they would be reset, and the last word go with it.
    pub fn closing_connections(&self) -> usize {
        self.closing_connections.get()
    }

    /// Requests whose answer is not written yet.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    async fn handle_connection(self: Rc<Self>, stream: TcpStream, _accepted: OpenConnection) {
        // An error here is the end of the connection: nobody is left to tell.
        let Ok(socket) = Socket::new(stream) else { return };
        let mut wire = self.wire(socket);
        // Guards cancels: they need no slot, and come when all are taken. What a newcomer wants is read first.
        let guard = self
            .slots
            .acquire(false)
            .map_or_else(|| self.enter_sessionless(SessionlessPhase::Handshaking), ConnectionGuard::Slot);
        match self.start(&mut wire, &guard, false).await {
            StartupOutcome::Session(start) => self.run_session(wire, start, guard).await,
            StartupOutcome::StartTls(acceptor) => {
                let secured = tokio::select! {
                    biased;
                    secured = timeout(TLS_HANDSHAKE_TIMEOUT, acceptor.accept(wire.stream)) => secured,
                    () = guard.evicted() => return,
                };
                let Ok(Ok(stream)) = secured else { return };
                let mut wire = self.wire(stream);
                match self.start(&mut wire, &guard, true).await {
                    StartupOutcome::Session(start) => self.run_session(wire, start, guard).await,
                    StartupOutcome::Close(fault) => self.close_connection(wire, fault, guard).await,
                    StartupOutcome::StartTls(_) => {}
                }
            }
            StartupOutcome::Close(fault) => self.close_connection(wire, fault, guard).await,
        }
    }

    /// A sessionless in the sessionless.
    fn enter_sessionless(&self, phase: SessionlessPhase) -> ConnectionGuard {
        self.descriptor_released.notify_one();
        ConnectionGuard::Sessionless(self.sessionless.enter(phase))
    }

    /// A seat for who wants a session; `None` where there is none. A session that was served goes for it only when none
    /// is there that has asked nothing, or it has waited for long enough.
    async fn acquire_slot(&self, sessionless: &SessionlessConnection) -> Option<ConnectionSlot> {
        let until = now() + SLOT_WAIT;
        loop {
            let freed = self.slots.released();
            if let Some(slot) = self.slots.acquire(false) {
                return Some(slot);
            }
            if sessionless.is_evicted() {
                return None;
            }
            let (grace, left) = (self.slots.time_until_evictable(), until - now());
            if left <= TimeDelta::ZERO || grace.is_none() && !self.slots.is_at_hard_limit() {
                return self.slots.acquire(true);
            }
            tokio::select! {
                () = tokio::time::sleep(span(grace.map_or(left, |grace| grace.min(left)))) => {}
                () = freed => {}
                () = sessionless.evicted() => {}
            }
        }
    }

    async fn run_session<S: AsyncRead + AsyncWrite + Unpin>(
        self: &Rc<Self>,
        mut wire: ClientConnection<S>,
        start: session::SessionStart,
        guard: ConnectionGuard,
    ) {
        let slot = match guard {
            ConnectionGuard::Slot(slot) => slot,
            ConnectionGuard::Sessionless(sessionless) => match self.acquire_slot(&sessionless).await {
                Some(slot) => slot,
                None => {
                    return self
                        .close_connection(
                            wire,
                            Some(too_many_sessions()),
                            ConnectionGuard::Sessionless(sessionless),
                        )
                        .await
                }
            },
        };
        // An error here is one of the connection: nobody is left to tell.
        if let Ok(fault) = session::serve(Rc::clone(self), &mut wire, start, &slot).await {
            self.close_connection(wire, fault, ConnectionGuard::Slot(slot)).await;
        }
    }

    fn wire<S: AsyncRead + AsyncWrite + Unpin>(&self, stream: S) -> ClientConnection<S> {
        ClientConnection::new(stream, self.core.pool().clone(), Rc::clone(&self.read_ahead))
    }

    /// A CancelRequest came.
    fn cancel(&self, session: u32, secret: u32) {
        if let Some(cancel) = self.sessions.borrow().get(&session) {
            cancel.request(secret);
        }
    }

    /// Ends a connection, with a last word if there is one. A seat is free at once where the lobby has room: what is left
    /// to do goes on there, until it is displaced. Else it keeps its slot, and has less time.
    async fn close_connection<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        mut wire: ClientConnection<S>,
        fault: Option<Fault>,
        guard: ConnectionGuard,
    ) {
        if let Some(fault) = fault {
            pg::error(wire.output(), &fault.fatal());
        }
        let _parting = CountGuard::new(&self.closing_connections);
        let (sessionless, within) = match guard {
            // No newcomer needs its descriptor any more.
            guard if self.is_closing.get() => (guard, LINGER),
            ConnectionGuard::Sessionless(sessionless) => {
                sessionless.set_closing();
                (ConnectionGuard::Sessionless(sessionless), LINGER)
            }
            ConnectionGuard::Slot(slot) if self.sessionless.has_room() => {
                drop(slot);
                (self.enter_sessionless(SessionlessPhase::Closing), LINGER)
            }
            slot => (slot, SHORT_LINGER),
        };
        let end = async {
            if matches!(timeout(FINAL_WRITE_TIMEOUT, wire.flush()).await, Ok(Ok(()))) {
                wire.close(within).await;
            }
        };
        match sessionless {
            ConnectionGuard::Sessionless(sessionless) => tokio::select! {
                // The last word is tried once in any case, and most fit into the socket's buffer.
                biased;
                () = end => {}
                () = sessionless.evicted() => {}
            },
            ConnectionGuard::Slot(_slot) => end.await,
        }
    }

    /// The packets before a session, for as long as they may take and the sessionless is theirs.
    async fn start<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut ClientConnection<S>,
        guard: &ConnectionGuard,
        secure: bool,
    ) -> StartupOutcome {
        let rejection = || guard.is_sessionless().then(too_many_sessions);
        tokio::select! {
            biased;
            next = timeout(STARTUP_TIMEOUT, self.read_startup(wire, secure)) => match next {
                Ok(Ok(next)) => next,
                Ok(Err(_)) => StartupOutcome::Close(None),
                Err(_) => StartupOutcome::Close(rejection().or_else(|| Some(timed_out("start-up packet", STARTUP_TIMEOUT)))),
            },
            () = guard.evicted() => StartupOutcome::Close(rejection()),
        }
    }

    /// The packets before a session.
    async fn read_startup<S: AsyncRead + AsyncWrite + Unpin>(
        &self,
        wire: &mut ClientConnection<S>,
        secure: bool,
    ) -> io::Result<StartupOutcome> {
        loop {
            let opening = match pg::read_opening(wire.input()) {
                Ok(Some((opening, len))) => {
                    wire.consume(len);
                    opening
                }
                Ok(None) => {
                    if wire.fill().await? == 0 {
                        return Ok(StartupOutcome::Close(None));
                    }
                    continue;
                }
                Err(e) => return Ok(StartupOutcome::Close(Some(e.into()))),
            };
            let acceptor = self.tls.borrow().clone();
            match opening {
                Opening::Ssl if !secure && acceptor.is_some() => {
                    // Guards against bytes smuggled in before encryption and read as if after it.
                    if !wire.input().is_empty() {
                        let fault = Fault::new("08P01", "field SSLRequest: data came behind it");
                        return Ok(StartupOutcome::Close(Some(fault)));
                    }
                    wire.output().push(b'S');
                    wire.flush().await?;
                    if !wire.input().is_empty() {
                        return Ok(StartupOutcome::Close(None));
                    }
                    return Ok(acceptor.map_or(StartupOutcome::Close(None), StartupOutcome::StartTls));
                }
                Opening::Ssl | Opening::Gssenc => {
                    wire.output().push(b'N');
                    wire.flush().await?;
                }
                Opening::Cancel { session, secret } => {
                    self.cancel(session, secret);
                    return Ok(StartupOutcome::Close(None));
                }
                Opening::Startup { .. } if self.config.require_tls && !secure => {
                    let fault = match acceptor {
                        Some(_) => Fault::new("28000", "sessions must use TLS").hint("Set sslmode=require."),
                        None => {
                            Fault::new("57P03", "there is no certificate yet").hint("Come back in 5000 ms.")
                        }
                    };
                    return Ok(StartupOutcome::Close(Some(fault)));
                }
                Opening::Startup { minor, parameters } => {
                    return Ok(StartupOutcome::Session(session::SessionStart { minor, parameters }))
                }
            }
        }
    }

    /// Makes a request of a statement and its fields and takes it into the core; not one that its client has
    /// `cancelled` before it was.
    pub fn submit(
        &self,
        f: &Fields,
        statement: &str,
        arrived: Timestamp,
        own_timeout: Option<u64>,
        cancelled: bool,
    ) -> Result<RequestHandle, Fault> {
        let config = &self.config;
        let kind = f.kind.as_deref().or(config.default_class.as_deref());
        let kind = kind.ok_or_else(|| field_error("kind", "the statement's comment must name a class"))?;
        let class = config.classes.iter().position(|c| c.name == kind);
        let class = class.ok_or_else(|| field_error("kind", "names no class that is configured"))?;
        let owner = f.owner.as_deref().or(config.default_tenant.as_deref());
        let tenant = match owner {
            None => 0,
            Some(name) => config
                .tenants
                .iter()
                .position(|t| t == name)
                .ok_or_else(|| field_error("owner", "names no tenant that is configured"))?,
        };
        let id = match f.req {
            Some(id) if !config.extended => id,
            None if !config.extended => return Err(field_error("req", "is missing")),
            _ => self.core.draw(),
        };
        let of_class = &config.classes[class];
        let once = match &f.opkey {
            Some(key) if of_class.has_idempotency_key => Some(key.clone()),
            // Guards against a load that runs twice: a client's retry could not be told from a new request.
            None if of_class.has_idempotency_key && !config.extended => {
                return Err(field_error("opkey", "is missing: the class carries a key"));
            }
            None if of_class.has_idempotency_key => {
                Some(format!("{:016x}{:016x}", self.core.draw(), self.core.draw()))
            }
            _ => None,
        };
        let timeout = f
            .timeout_ms
            .or(own_timeout)
            .map_or(of_class.default_timeout, |ms| TimeDelta::from_micros(ms as i64 * 1000));
        let asked = RequestSpec {
            id,
            class,
            tenant,
            tables: tables::group(statement),
            left: arrived + timeout - now(),
            cost_ms: f.ms,
            memory_mb: f.heap_mb,
        };
        if cancelled {
            self.core.figures().take(class).aborted();
            return Err(answer::cancelled());
        }
        let statement =
            self.copy_statement(statement).inspect_err(|_| self.core.figures().take(class).declined())?;
        let request = Request { asked, class: of_class.name.clone(), once, statement };
        let ticket = self.core.take(request);
        ticket
            .ok_or_else(|| Fault::new("42710", format!("field req: {id:016x} was given to a request before")))
    }

    fn copy_statement(&self, statement: &str) -> Result<Buffer, Fault> {
        if statement.len() > MOST_STATEMENT {
            return Err(Fault::new("54000", format!("a statement holds at most {MOST_STATEMENT} bytes")));
        }
        let mut buf = self.core.pool().get().ok_or_else(answer::no_buffer)?;
        buf.extend_from_slice(statement.as_bytes());
        Ok(buf)
    }
}

/// What follows the opening packets.
enum StartupOutcome {
    Session(session::SessionStart),
    StartTls(TlsAcceptor),
    /// The end, with or without a last word.
    Close(Option<Fault>),
}

/// Whether a failed accept is the client's own doing: it had gone before it was accepted.
fn is_aborted_by_client(e: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(e.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}

/// There is no slot, and nobody can go for it.
fn too_many_sessions() -> Fault {
    let fault = Fault::new("53300", "too many sessions").hint("Come back in 1000 ms.");
    Fault { detail: Some("retry_after_ms=1000".into()), ..fault }
}

/// What was begun and did not come whole in time.
fn timed_out(what: &str, within: Duration) -> Fault {
    Fault::new("08P01", format!("field {what} did not come whole within {} ms", within.as_millis()))
}

fn field_error(field: &str, why: &str) -> Fault {
    let example = "/* kind=CLASS,timeout=MILLISECONDS */ SELECT ...";
    Fault::new("08P01", format!("field {field} {why}")).hint(format!("Write {example}"))
}
