//! Tests of attempts that were chosen and not sent when things change: they wait for a connection, or behind a peer that
//! reads nothing.

use super::*;
use crate::core::result_buffer::ResultSet;
use crate::core::test_support::{core, core_with, local, member, request};
use crate::core::Core;
use crate::proto::events::{EndpointPhase, ListEvent};
use crate::proto::resp;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

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

fn connection_of(core: &Core, id: u64) -> Option<Rc<EngineConnection>> {
    let coordinator = core.coordinator.borrow();
    coordinator.requests.in_flight(id).map(|attempt| Rc::clone(&attempt.connection))
}

/// The ids of the requests that a peer got whole or in part, up to the end of the connection.
async fn ids(peer: &mut TcpStream) -> Vec<u64> {
    let mut got = Vec::new();
    // An error here is the end of the connection, too.
    while peer.read_buf(&mut got).await.is_ok_and(|n| n > 0) {}
    let mut ids = Vec::new();
    while let Ok(Some(resp::Array { parts, length: len })) = resp::read_array(&got, usize::MAX) {
        if parts[0] == b"do" {
            let id = std::str::from_utf8(parts[1]).expect("text");
            ids.push(u64::from_str_radix(id, 16).expect("an id"));
        }
        got.drain(..len);
    }
    ids
}

/// Nothing may be sent to an engine that drains. What waits behind a peer that reads nothing would be sent as soon as it reads
/// again, minutes later. It never ran, so it is sent elsewhere.
#[test]
fn attempts_behind_a_slow_peer_are_withdrawn_when_their_engine_drains() {
    local(async {
        let listen = || {
            let socket = TcpSocket::new_v4().expect("a socket");
            // Connections inherit it: little fits into the peer's side.
            socket.set_recv_buffer_size(4_096).expect("set");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
            socket.listen(16).expect("listening")
        };
        let (core, listeners) = core_with(vec![listen()], 4_000, 4_000.0);
        let mut handles = Vec::new();
        // Until some of it stays in this process for good.
        let mut connection = None;
        for id in 1..=2_000 {
            let mut asked = request(&core, id);
            asked.statement.resize(50_000, b'x');
            handles.push(core.submit(asked).expect("accepted"));
            connection = connection.or_else(|| connection_of(&core, id));
            tokio::task::yield_now().await;
            let waiting = connection.as_ref().map_or(0, |l| l.unsent_ids().len());
            if waiting > 20 {
                break;
            }
        }
        let connection = connection.expect("a connection");
        let (mut peer, _) = listeners[0].accept().await.expect("the connection");
        let mut before = 0;
        while before != connection.written() {
            before = connection.written();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let waiting = connection.unsent_ids();
        assert!(waiting.len() > 10, "{} wait", waiting.len());
        let address = listeners[0].local_addr().expect("an address").to_string();
        let drain = vec![member("s-1", address, EndpointPhase::Draining, 0)];
        core.on_endpoint_list(&ListEvent { n: 2, revision: 0, complete: false, members: drain }, false);
        // The one that was sent in part goes on; no other does.
        let begun = connection.unsent_ids();
        assert!(begun.len() <= 1, "{begun:?} of {waiting:?}");
        let reader = tokio::task::spawn_local(async move { ids(&mut peer).await });
        until(|| connection.unsent_ids().is_empty()).await;
        connection.retire();
        let held: Vec<u64> = waiting.into_iter().filter(|id| !begun.contains(id)).collect();
        assert!(held.iter().all(|id| connection_of(&core, *id).is_none()), "none of them is out any more");
        drop(handles);
        let commands = core.coordinator.borrow_mut().close_connection(&connection, true);
        core.coordinator.borrow_mut().execute(&core, commands);
        let got = reader.await.expect("read");
        assert!(held.iter().all(|id| !got.contains(id)), "{got:?}");
    });
}

/// What waits for a connection to an engine that has started anew, or whose address another engine has now, would reach a
/// process for which it was not chosen.
#[test]
fn unsent_attempt_is_withdrawn_when_its_engine_moves() {
    local(async {
        let (core, listeners) = core().await;
        let _handle = core.submit(request(&core, 1)).expect("accepted");
        let first = connection_of(&core, 1).expect("out");
        assert!(first.is_dialing() && first.unsent_ids() == [1]);
        let address = listeners[first.engine].local_addr().expect("an address").to_string();
        let started = (crate::core::unix().as_millis()).max(1);
        let anew = vec![member(&format!("s-{}", first.engine + 1), address, EndpointPhase::Ready, started)];
        core.on_endpoint_list(&ListEvent { n: 2, revision: 0, complete: false, members: anew }, false);
        let next = connection_of(&core, 1).expect("out again");
        assert!(!Rc::ptr_eq(&first, &next), "it does not wait on the old connection");
        assert!(first.unsent_ids().is_empty() && first.attempt_count() == 0);
        let coordinator = core.coordinator.borrow();
        assert!(coordinator.requests.pending(1).may_have_run_since.is_none(), "it never ran");
    });
}

/// An engine that a complete list leaves out is gone like one that is listed as gone.
#[test]
fn unsent_attempt_is_withdrawn_when_a_complete_list_omits_its_engine() {
    local(async {
        let (core, listeners) = core().await;
        let _handle = core.submit(request(&core, 1)).expect("accepted");
        let first = connection_of(&core, 1).expect("out");
        let other = 1 - first.engine;
        let address = listeners[other].local_addr().expect("an address").to_string();
        let rest = vec![member(&format!("s-{}", other + 1), address, EndpointPhase::Ready, 0)];
        core.on_endpoint_list(&ListEvent { n: 2, revision: 0, complete: true, members: rest }, false);
        assert_eq!(connection_of(&core, 1).expect("out again").engine, other);
        assert_eq!(first.attempt_count(), 0);
    });
}

/// Whatever has changed since an attempt was chosen, it is checked as its first byte is about to be sent, and never after
/// that.
#[test]
fn attempt_is_checked_just_before_its_first_byte() {
    local(async {
        let (core, listeners) = core().await;
        tokio::task::spawn_local(Rc::clone(&core).run());
        let mut handle = core.submit(request(&core, 1)).expect("accepted");
        let connection = connection_of(&core, 1).expect("out");
        // Nothing withdraws it: the send guard alone stands between it and the engine.
        core.coordinator.borrow_mut().engines.get_or_insert(connection.engine).is_ready = false;
        let (mut peer, _) = listeners[connection.engine].accept().await.expect("the connection");
        until(|| connection_of(&core, 1).is_some_and(|l| l.engine != connection.engine)).await;
        assert!(core.coordinator.borrow().requests.pending(1).may_have_run_since.is_none(), "it never ran");
        connection.close();
        assert_eq!(ids(&mut peer).await, Vec::<u64>::new());
        // To the other engine it is sent, and is answered.
        let (mut peer, _) = listeners[1 - connection.engine].accept().await.expect("the other connection");
        let mut got = Vec::new();
        while peer.read_buf(&mut got).await.is_ok_and(|n| n > 0) {
            if let Ok(Some(resp::Array { parts, .. })) = resp::read_array(&got, usize::MAX) {
                assert_eq!((parts[0], parts[1]), (&b"do"[..], &b"0000000000000001"[..]));
                break;
            }
        }
        peer.write_all(SERVED).await.expect("written");
        assert!(matches!(handle.wait().await, Response::Served(ResultSet { .. })));
    });
}

/// An attempt that was withdrawn before its first byte did not run, and counts as such in the policy's retries.
#[test]
fn attempt_that_is_cancelled_before_it_is_sent_never_ran() {
    local(async {
        let (core, _listeners) = core().await;
        let _handle = core.submit(request(&core, 1)).expect("accepted");
        let mut coordinator = core.coordinator.borrow_mut();
        assert!(coordinator.cancel_attempt(core.pool(), 1, 0));
        coordinator.check_cancellation(&core, 1, 0);
        assert_eq!(coordinator.requests.pending(1).last_outcome, Some(AttemptOutcome::NeverRan));
        assert!(coordinator.requests.pending(1).may_have_run_since.is_none());
    });
}

/// All attempts on a connection wait behind an answer that grows by a byte now and then and never ends.
#[test]
fn answer_that_does_not_complete_ends_its_connection() {
    local(async {
        let (core, listeners) = core().await;
        let _handle = core.submit(request(&core, 1)).expect("accepted");
        let connection = connection_of(&core, 1).expect("out");
        let (mut peer, _) = listeners[connection.engine].accept().await.expect("the connection");
        let begun = std::time::Instant::now();
        peer.write_all(b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$9\r\nbatches=1\r\n$5000\r\n")
            .await
            .expect("written");
        let mut left = 5_000;
        while core.coordinator.borrow().requests.get(1).is_some()
            && connection_of(&core, 1).is_some_and(|l| Rc::ptr_eq(&l, &connection))
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

/// An engine may close an idle connection in the instant of its use: the end has arrived, this program has had no turn to
/// learn of it, and what is written now would count as an attempt that may have run.
#[test]
fn attempt_that_meets_the_close_of_an_idle_connection_never_ran_and_is_sent_elsewhere() {
    local(async {
        let (core, listeners) = core().await;
        tokio::task::spawn_local(Rc::clone(&core).run());
        let mut first = core.submit(request(&core, 1)).expect("accepted");
        let connection = connection_of(&core, 1).expect("out");
        let (mut peer, _) = listeners[connection.engine].accept().await.expect("the connection");
        // All of it is read: closed over unread bytes, its end would be a reset, which the next write meets.
        let mut got = Vec::new();
        while resp::read_array(&got, usize::MAX).expect("a command").is_none() {
            assert!(peer.read_buf(&mut got).await.expect("read") > 0);
        }
        peer.write_all(SERVED).await.expect("written");
        assert!(matches!(first.wait().await, Response::Served(_)));
        // Requests until one is on that connection: the policy draws engines at random.
        let mut handles = Vec::new();
        let mut closing = Some(peer);
        for id in 2..200 {
            // On loopback the end is at this side when this returns; nothing of this program has run since.
            drop(closing.take());
            handles.push(core.submit(request(&core, id)).expect("accepted"));
            if connection_of(&core, id).is_some_and(|l| Rc::ptr_eq(&l, &connection)) {
                until(|| connection_of(&core, id).is_none_or(|l| !Rc::ptr_eq(&l, &connection))).await;
                let coordinator = core.coordinator.borrow();
                assert!(
                    coordinator.requests.pending(id).may_have_run_since.is_none(),
                    "it counts as one that may have run"
                );
                assert!(
                    coordinator.requests.pending(id).attempts > 1
                        || coordinator.requests.pending(id).in_flight.is_none()
                );
                return;
            }
        }
        panic!("no request came to that connection");
    });
}
