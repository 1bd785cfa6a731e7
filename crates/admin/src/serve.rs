//! The listener: accepts callers as admission says, and survives what the kernel refuses.

use crate::admission::{Admission, CallerId};
use crate::caller::{Desk, Leave, Seat};
use crate::limits::Limits;
use crate::operations::{Bite, Operations};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{yield_now, JoinSet};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::warn;

/// First rest after the kernel had no descriptor for a newcomer; doubled each time in a row.
const FIRST_REST: Duration = Duration::from_millis(5);
/// Longest such rest: an operator is owed an answer within 1 s, and the newcomer waits meanwhile.
const MOST_REST: Duration = Duration::from_millis(160);

/// Answers callers on this listener until it is dropped, which closes the listener and all connections at once. Answers
/// are produced in one turn of the loop, so that a stop loses only what callers have not yet read from their side.
///
/// # Panics
///
/// Outside a `tokio` runtime with its clock and I/O on, or outside a `LocalSet`: its tasks stay on this thread.
pub async fn serve<O: Operations + 'static>(listener: TcpListener, operations: Rc<O>, limits: Limits) {
    let admission = RefCell::new(Admission::new(limits));
    let desk = Rc::new(Desk { operations, admission, born: Instant::now() });
    let mut hall = Hall { desk, leaves: BTreeMap::new(), tasks: JoinSet::new() };
    let mut rest = FIRST_REST;
    loop {
        let at = hall.desk.admission.borrow().accept_at(hall.desk.now());
        sleep_until(hall.desk.born + at).await;
        match listener.accept().await {
            Ok((stream, _)) => {
                rest = FIRST_REST;
                hall.seat(stream).await;
            }
            Err(e) if of_the_caller(&e) => {}
            Err(e) => {
                if rest == FIRST_REST {
                    warn!("operators: no caller can be accepted: {e}");
                }
                hall.desk.operations.bitten(Bite::Starved);
                let displaced = hall.desk.admission.borrow_mut().displace();
                hall.clear(displaced).await;
                sleep(rest).await;
                rest = (rest * 2).min(MOST_REST);
            }
        }
        // Guards against callers that come in a row: those seated get their turn before the next is accepted, or a good
        // call could be displaced unread.
        yield_now().await;
    }
}

/// The callers and their tasks.
struct Hall<O> {
    desk: Rc<Desk<O>>,
    /// How each caller that may still be there is told to go; as many as there are seats.
    leaves: BTreeMap<CallerId, Rc<Leave>>,
    tasks: JoinSet<()>,
}

impl<O: Operations + 'static> Hall<O> {
    /// Gives a newcomer its seat, if need be another's.
    async fn seat(&mut self, stream: TcpStream) {
        let admitted = self.desk.admission.borrow_mut().admit(self.desk.now());
        self.clear(admitted.displaced).await;
        let leave = Rc::new(Leave::default());
        self.leaves.insert(admitted.id, Rc::clone(&leave));
        let seat = Seat { desk: Rc::clone(&self.desk), id: admitted.id, leave };
        self.tasks.spawn_local(async move { seat.attend(stream).await });
        // A task that failed has left its seat all the same.
        while self.tasks.try_join_next().is_some() {}
        let admission = self.desk.admission.borrow();
        self.leaves.retain(|id, _| admission.due(*id).is_some());
    }

    /// Tells a caller to go and waits until it has: its descriptor must be free before the next is held. It waits for
    /// nothing but its turn on the loop.
    async fn clear(&mut self, displaced: Option<CallerId>) {
        if let Some(leave) = displaced.and_then(|id| self.leaves.remove(&id)) {
            leave.told.notify_one();
            leave.gone.notified().await;
        }
    }
}

/// Whether a failed accept is the caller's own doing (it had gone before it was accepted): the next may do.
fn of_the_caller(e: &Error) -> bool {
    matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::ConnectionReset | ErrorKind::Interrupted)
}
