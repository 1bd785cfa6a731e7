//! Attempts that were chosen and have not left when things change: they wait for a connection, or behind a peer that
//! takes nothing.

use super::super::result_buffer::ResultSet;
use super::tests::{core, core_with, local, request, Nobody};
use super::*;
use crate::core::engine_connection::{self, EngineConnection};
use crate::proto::events::{ListEvent, Member, Phase};
use crate::proto::resp;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

fn member(id: &str, address: String, phase: Phase, up_since_ms: i64) -> Member {
    Member { id: id.into(), address, zone: String::new(), kind: String::new(), cell: 0, phase, up_since_ms }
}

/// Request 1 is served: one page of one row.
const SERVED: &[u8] =
    b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$9\r\nbatches=1\r\n$6\r\na\tb\tc\n\r\n";

/// Waits for something to hold; the tasks of the core run meanwhile.
async fn until(mut holds: impl FnMut() -> bool) {
    for _ in 0..20_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("it never came");
}

fn link_of(core: &Core, id: u64) -> Option<Rc<EngineConnection>> {
    let inner = core.inner.borrow();
    inner.open.get(&id).and_then(|e| e.out.as_ref()).map(|o| Rc::clone(&o.link))
}

/// The ids of the requests that a peer got whole or in part, up to the end of the connection.
async fn ids(peer: &mut TcpStream) -> Vec<u64> {
    let mut got = Vec::new();
    // An error here is the end of the connection, too.
    while peer.read_buf(&mut got).await.is_ok_and(|n| n > 0) {}
    let mut ids = Vec::new();
    while let Ok(Some((parts, len))) = resp::read_array(&got, usize::MAX) {
        if parts[0] == b"do" {
            let id = std::str::from_utf8(parts[1]).expect("text");
            ids.push(u64::from_str_radix(id, 16).expect("an id"));
        }
        got.drain(..len);
    }
    ids
}

/// Guards the rule on drains where a peer takes nothing: what stands behind it in this process when the drain is told
/// would leave as soon as it reads again, minutes later. It never left, so it goes elsewhere.
#[test]
fn what_waits_behind_a_slow_peer_is_taken_back_when_its_engine_drains() {
    local(async {
        let listen = || {
            let socket = TcpSocket::new_v4().expect("a socket");
            // Connections inherit it: little fits into the peer's side.
            socket.set_recv_buffer_size(4_096).expect("set");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
            socket.listen(16).expect("listening")
        };
        let (core, listeners) = core_with(vec![listen()], 4_000, 4_000.0);
        let mut tickets = Vec::new();
        // Until some of it stays in this process for good.
        let mut link = None;
        for id in 1..=2_000 {
            let mut asked = request(&core, id);
            asked.statement.resize(50_000, b'x');
            tickets.push(core.take(asked).expect("taken"));
            link = link.or_else(|| link_of(&core, id));
            tokio::task::yield_now().await;
            let waiting = link.as_ref().map_or(0, |l| l.waiting().len());
            if waiting > 20 {
                break;
            }
        }
        let link = link.expect("a link");
        let (mut peer, _) = listeners[0].accept().await.expect("the link");
        let mut before = 0;
        while before != link.written() {
            before = link.written();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let waiting = link.waiting();
        assert!(waiting.len() > 10, "{} wait", waiting.len());
        let address = listeners[0].local_addr().expect("an address").to_string();
        let drain = vec![member("s-1", address, Phase::Draining, 0)];
        core.on_list(&ListEvent { n: 2, revision: 0, complete: false, members: drain }, false);
        // The one that has begun to leave goes on; no other does.
        let begun = link.waiting();
        assert!(begun.len() <= 1, "{begun:?} of {waiting:?}");
        let reader = tokio::task::spawn_local(async move { ids(&mut peer).await });
        until(|| link.waiting().is_empty()).await;
        link.retire();
        let held: Vec<u64> = waiting.into_iter().filter(|id| !begun.contains(id)).collect();
        assert!(held.iter().all(|id| link_of(&core, *id).is_none()), "none of them is out any more");
        drop(tickets);
        let orders = core.inner.borrow_mut().close_link(&link, true);
        core.inner.borrow_mut().work(&core, orders);
        let got = reader.await.expect("read");
        assert!(held.iter().all(|id| !got.contains(id)), "{got:?}");
    });
}

/// Guards engines that have started anew, or have come to an address that another had: what was meant for the process
/// before waits for a connection, and would reach one that this manager knows nothing of.
#[test]
fn what_waits_for_a_connection_to_an_engine_that_moved_is_taken_back() {
    local(async {
        let (core, listeners) = core().await;
        let _ticket = core.take(request(&core, 1)).expect("taken");
        let first = link_of(&core, 1).expect("out");
        assert!(first.dialing() && first.waiting() == [1]);
        let address = listeners[first.engine].local_addr().expect("an address").to_string();
        let started = (crate::core::unix().as_millis()).max(1);
        let anew = vec![member(&format!("s-{}", first.engine + 1), address, Phase::Ready, started)];
        core.on_list(&ListEvent { n: 2, revision: 0, complete: false, members: anew }, false);
        let next = link_of(&core, 1).expect("out again");
        assert!(!Rc::ptr_eq(&first, &next), "it does not wait on the old link");
        assert!(first.waiting().is_empty() && first.riders() == 0);
        let inner = core.inner.borrow();
        assert!(inner.open[&1].may_have_run.is_none(), "it never ran");
    });
}

/// Guards whole lists that leave an engine out: it has gone like one that is named so.
#[test]
fn what_waits_for_an_engine_that_a_whole_list_leaves_out_is_taken_back() {
    local(async {
        let (core, listeners) = core().await;
        let _ticket = core.take(request(&core, 1)).expect("taken");
        let first = link_of(&core, 1).expect("out");
        let other = 1 - first.engine;
        let address = listeners[other].local_addr().expect("an address").to_string();
        let rest = vec![member(&format!("s-{}", other + 1), address, Phase::Ready, 0)];
        core.on_list(&ListEvent { n: 2, revision: 0, complete: true, members: rest }, false);
        assert_eq!(link_of(&core, 1).expect("out again").engine, other);
        assert_eq!(first.riders(), 0);
    });
}

/// Guards every rule on what is sent: whatever has changed since an attempt was chosen, and whoever forgot to say so,
/// it is looked at as the first byte is about to leave, and never once the first byte has left.
#[test]
fn an_attempt_is_looked_at_just_before_its_first_byte() {
    local(async {
        let (core, listeners) = core().await;
        tokio::task::spawn_local(Rc::clone(&core).run());
        let mut ticket = core.take(request(&core, 1)).expect("taken");
        let link = link_of(&core, 1).expect("out");
        // Nobody takes it back: the gate alone stands between it and the engine.
        core.inner.borrow_mut().engines[link.engine].ready = false;
        let (mut peer, _) = listeners[link.engine].accept().await.expect("the link");
        until(|| link_of(&core, 1).is_some_and(|l| l.engine != link.engine)).await;
        assert!(core.inner.borrow().open[&1].may_have_run.is_none(), "it never ran");
        link.close();
        assert_eq!(ids(&mut peer).await, Vec::<u64>::new());
        // On the other engine it leaves, and is answered.
        let (mut peer, _) = listeners[1 - link.engine].accept().await.expect("the other link");
        let mut got = Vec::new();
        while peer.read_buf(&mut got).await.is_ok_and(|n| n > 0) {
            if let Ok(Some((parts, _))) = resp::read_array(&got, usize::MAX) {
                assert_eq!((parts[0], parts[1]), (&b"do"[..], &b"0000000000000001"[..]));
                break;
            }
        }
        peer.write_all(SERVED).await.expect("written");
        assert!(matches!(ticket.wait().await, Response::Served(ResultSet { .. })));
    });
}

/// Guards the module's further tries where this process took an attempt back before its first byte: it did not run,
/// and counts as such.
#[test]
fn an_attempt_that_is_called_off_before_it_leaves_never_ran() {
    local(async {
        let (core, _listeners) = core().await;
        let _ticket = core.take(request(&core, 1)).expect("taken");
        let mut inner = core.inner.borrow_mut();
        assert!(inner.undo(&core, 1, 0));
        inner.land(&core, 1, 0);
        assert_eq!(inner.open[&1].last, Some(AttemptOutcome::NotRun));
        assert!(inner.open[&1].may_have_run.is_none());
    });
}

/// Guards a class that may run once against a connection that breaks in the middle of a command: an engine runs whole
/// commands only.
#[test]
fn a_command_that_left_in_part_never_ran() {
    local(async {
        let (core, listeners) = core().await;
        let pool = BufferPool::new(4_000);
        let link = EngineConnection::new(0, listeners[0].local_addr().expect("an address"));
        let body = vec![b'x'; 60_000];
        let send = |id: u64| {
            let name = format!("{id:016x}");
            assert!(link.send(&pool, id, 0, &[b"do", name.as_bytes(), b"-", &body]));
        };
        (0..1_000).for_each(send);
        let nobody = Rc::new(Nobody(pool.clone(), *core.terms()));
        tokio::task::spawn_local(engine_connection::run(nobody, Rc::clone(&link)));
        let (_peer, _) = listeners[0].accept().await.expect("a link");
        let mut before = u64::MAX;
        while before != link.written() {
            before = link.written();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let waiting = link.waiting();
        assert!(!waiting.is_empty(), "the peer holds all of it");
        let ended = link.close();
        for (id, _, never_ran) in ended {
            assert_eq!(never_ran, waiting.contains(&id), "request {id}");
        }
    });
}

/// Guards all that is out on a link against an answer that grows by a byte now and then and never ends.
#[test]
fn an_answer_that_does_not_become_whole_ends_its_link() {
    local(async {
        let (core, listeners) = core().await;
        let _ticket = core.take(request(&core, 1)).expect("taken");
        let link = link_of(&core, 1).expect("out");
        let (mut peer, _) = listeners[link.engine].accept().await.expect("the link");
        let begun = std::time::Instant::now();
        peer.write_all(b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$9\r\nbatches=1\r\n$5000\r\n")
            .await
            .expect("written");
        let mut left = 5_000;
        while core.inner.borrow().open.contains_key(&1)
            && link_of(&core, 1).is_some_and(|l| Rc::ptr_eq(&l, &link))
        {
            if peer.write_all(b"x").await.is_err() {
                break;
            }
            left -= 1;
            assert!(left > 0, "{:?}", begun.elapsed());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        // Far under what its bytes would have taken.
        assert!(left > 1_000, "{:?}", begun.elapsed());
    });
}

/// Guards a class that may run once against an engine that closes an idle connection in the instant of its use: its end
/// is here, this program has had no turn to hear of it, and what is written now would count as one that may have run.
#[test]
fn what_meets_the_close_of_an_idle_link_goes_elsewhere_as_one_that_never_ran() {
    local(async {
        let (core, listeners) = core().await;
        tokio::task::spawn_local(Rc::clone(&core).run());
        let mut first = core.take(request(&core, 1)).expect("taken");
        let link = link_of(&core, 1).expect("out");
        let (mut peer, _) = listeners[link.engine].accept().await.expect("the link");
        // All of it is read: closed over unread bytes, its end would be a reset, which the next write meets.
        let mut got = Vec::new();
        while resp::read_array(&got, usize::MAX).expect("a command").is_none() {
            assert!(peer.read_buf(&mut got).await.expect("read") > 0);
        }
        peer.write_all(SERVED).await.expect("written");
        assert!(matches!(first.wait().await, Response::Served(_)));
        // Requests until one is on that link: the module draws engines by chance.
        let mut tickets = Vec::new();
        let mut closing = Some(peer);
        for id in 2..200 {
            // On loopback the end is at this side when this returns; nothing of this program has run since.
            drop(closing.take());
            tickets.push(core.take(request(&core, id)).expect("taken"));
            if link_of(&core, id).is_some_and(|l| Rc::ptr_eq(&l, &link)) {
                until(|| link_of(&core, id).is_none_or(|l| !Rc::ptr_eq(&l, &link))).await;
                let inner = core.inner.borrow();
                assert!(inner.open[&id].may_have_run.is_none(), "it counts as one that may have run");
                assert!(inner.open[&id].sends > 1 || inner.open[&id].out.is_none());
                return;
            }
        }
        panic!("no request came to that link");
    });
}

/// Guards the descriptors: a dial that was given up held its own until the dial's time-out.
#[test]
fn a_dial_that_is_given_up_ends_at_once() {
    local(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(0).expect("listening");
        let address = listener.local_addr().expect("an address");
        // Until one more does not come up: the queue is full then.
        let mut filler = Vec::new();
        while let Ok(Ok(one)) =
            tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(address)).await
        {
            filler.push(one);
            assert!(filler.len() < 16);
        }
        let (core, _engines) = core().await;
        let nobody = Rc::new(Nobody(
            BufferPool::new(4),
            ConnectionLimits { dial: TimeDelta::from_micros(600_000_000), ..*core.terms() },
        ));
        let link = EngineConnection::new(0, address);
        let dial = tokio::task::spawn_local(engine_connection::run(nobody, Rc::clone(&link)));
        tokio::task::yield_now().await;
        assert!(!dial.is_finished());
        link.close();
        tokio::time::timeout(Duration::from_secs(60), dial).await.expect("it ends").expect("in order");
    });
}
