//! Tests of attempts that are still unsent when the state changes, because they wait for a connection or
//! behind a peer that reads nothing.

use super::*;
use crate::core::engine_connection::EngineConnection;
use crate::core::result_buffer::ResultSet;
use crate::core::test_support::{core, core_with, member, request, run_local, submit};
use crate::core::{Core, RequestHandle};
use crate::proto::events::{EndpointPhase, ListEvent};
use crate::proto::resp;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// The engine's answer that request 1 is served, with a result of one page of one row.
const SERVED: &[u8] =
    b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$9\r\nbatches=1\r\n$6\r\na\tb\tc\n\r\n";

/// Waits until a condition is met, while the tasks of the core run; panics after 20 s.
async fn wait_until(mut is_met: impl FnMut() -> bool) {
    for _ in 0..20_000 {
        if is_met() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("the condition was not met within 20 s");
}

/// The connection that carries the attempt in flight of a request.
fn connection_of(core: &Core, id: u64) -> Option<Rc<EngineConnection>> {
    let coordinator = core.coordinator.borrow();
    coordinator.requests.in_flight(id).map(|attempt| Rc::clone(&attempt.connection))
}

/// The ids of the requests that a peer received completely, up to the end of the connection.
async fn received_ids(peer: &mut TcpStream) -> Vec<u64> {
    let mut received = Vec::new();
    // A read error counts as the end of the connection.
    while peer.read_buf(&mut received).await.is_ok_and(|n| n > 0) {}
    let mut ids = Vec::new();
    while let Ok(Some(resp::Array { parts, length: len })) = resp::read_array(&received, usize::MAX) {
        if parts[0] == b"do" {
            let id = std::str::from_utf8(parts[1]).expect("text");
            ids.push(u64::from_str_radix(id, 16).expect("an id"));
        }
        received.drain(..len);
    }
    ids
}

/// Submits large requests until more than 20 attempts stay unsent; returns the requests and the connection
/// that carries their attempts.
async fn submit_until_unsent(core: &Rc<Core>) -> (Vec<RequestHandle>, Rc<EngineConnection>) {
    let mut handles = Vec::new();
    let mut connection = None;
    for id in 1..=2_000 {
        let mut large_request = request(core, id);
        large_request.statement.resize(50_000, b'x');
        handles.push(submit(core, large_request).expect("accepted"));
        connection = connection.or_else(|| connection_of(core, id));
        tokio::task::yield_now().await;
        let unsent = connection.as_ref().map_or(0, |connection| connection.unsent_ids().len());
        if unsent > 20 {
            break;
        }
    }
    (handles, connection.expect("a connection"))
}

/// Nothing may be sent to a draining engine. Attempts that are queued behind a peer that reads nothing would
/// be sent once the peer reads again, perhaps minutes later. They never ran, so their requests are retried.
#[test]
fn attempts_behind_a_slow_peer_are_withdrawn_when_their_engine_drains() {
    run_local(async {
        let listen = || {
            let socket = TcpSocket::new_v4().expect("a socket");
            // Connections inherit this size, so that the peer's side buffers little.
            socket.set_recv_buffer_size(4_096).expect("set");
            socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
            socket.listen(16).expect("listening")
        };
        let (core, listeners) = core_with(vec![listen()], 4_000, 4_000.0);
        let (handles, connection) = submit_until_unsent(&core).await;
        let (mut peer, _) = listeners[0].accept().await.expect("the connection");
        let mut written = 0;
        while written != connection.written_end() {
            written = connection.written_end();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let unsent = connection.unsent_ids();
        assert!(unsent.len() > 10, "{} attempts are unsent", unsent.len());
        let address = listeners[0].local_addr().expect("an address").to_string();
        let drain = vec![member("s-1", address, EndpointPhase::Draining, 0)];
        core.on_endpoint_list(
            &ListEvent { number: 2, revision: 0, is_complete: false, endpoints: drain },
            false,
        );
        // Only the attempt that was sent in part stays on the connection.
        let partly_sent = connection.unsent_ids();
        assert!(partly_sent.len() <= 1, "{partly_sent:?} of {unsent:?}");
        let reader = tokio::task::spawn_local(async move { received_ids(&mut peer).await });
        wait_until(|| connection.unsent_ids().is_empty()).await;
        connection.retire();
        let withdrawn: Vec<u64> = unsent.into_iter().filter(|id| !partly_sent.contains(id)).collect();
        assert!(
            withdrawn.iter().all(|id| connection_of(&core, *id).is_none()),
            "no withdrawn attempt is in flight"
        );
        drop(handles);
        let commands = core.coordinator.borrow_mut().close_connection(&connection, true);
        core.coordinator.borrow_mut().execute(&core, commands);
        let received = reader.await.expect("read");
        assert!(withdrawn.iter().all(|id| !received.contains(id)), "{received:?}");
    });
}

/// An attempt may wait for a connection to an engine that has restarted or moved. It would then reach a
/// process that was not selected for it.
#[test]
fn unsent_attempt_is_withdrawn_when_its_engine_moves() {
    run_local(async {
        let (core, listeners) = core().await;
        let _handle = submit(&core, request(&core, 1)).expect("accepted");
        let first = connection_of(&core, 1).expect("in flight");
        assert!(first.is_dialing() && first.unsent_ids() == [1]);
        let address = listeners[first.engine].local_addr().expect("an address").to_string();
        let started = (crate::core::unix().as_millis()).max(1);
        let restarted =
            vec![member(&format!("s-{}", first.engine + 1), address, EndpointPhase::Ready, started)];
        core.on_endpoint_list(
            &ListEvent { number: 2, revision: 0, is_complete: false, endpoints: restarted },
            false,
        );
        let next = connection_of(&core, 1).expect("in flight again");
        assert!(!Rc::ptr_eq(&first, &next), "the attempt still waits on the old connection");
        assert!(first.unsent_ids().is_empty() && first.attempt_count() == 0);
        let coordinator = core.coordinator.borrow();
        assert!(coordinator.requests.pending(1).may_have_run_since.is_none(), "it never ran");
    });
}

/// An engine that a complete list omits is handled like one that is listed as gone.
#[test]
fn unsent_attempt_is_withdrawn_when_a_complete_list_omits_its_engine() {
    run_local(async {
        let (core, listeners) = core().await;
        let _handle = submit(&core, request(&core, 1)).expect("accepted");
        let first = connection_of(&core, 1).expect("in flight");
        let other = 1 - first.engine;
        let address = listeners[other].local_addr().expect("an address").to_string();
        let rest = vec![member(&format!("s-{}", other + 1), address, EndpointPhase::Ready, 0)];
        core.on_endpoint_list(
            &ListEvent { number: 2, revision: 0, is_complete: true, endpoints: rest },
            false,
        );
        assert_eq!(connection_of(&core, 1).expect("in flight again").engine, other);
        assert_eq!(first.attempt_count(), 0);
    });
}

/// The state may change after the policy has selected an engine, so an attempt is checked just before its
/// first byte. After its first byte it is not checked again.
#[test]
fn attempt_is_checked_just_before_its_first_byte() {
    run_local(async {
        let (core, listeners) = core().await;
        tokio::task::spawn_local(Rc::clone(&core).run());
        let mut handle = submit(&core, request(&core, 1)).expect("accepted");
        let connection = connection_of(&core, 1).expect("in flight");
        // No list event withdraws the attempt: only the send guard prevents it from being sent.
        core.coordinator.borrow_mut().engines.get_or_insert(connection.engine).is_ready = false;
        let (mut peer, _) = listeners[connection.engine].accept().await.expect("the connection");
        wait_until(|| connection_of(&core, 1).is_some_and(|other| other.engine != connection.engine)).await;
        assert!(core.coordinator.borrow().requests.pending(1).may_have_run_since.is_none(), "it never ran");
        connection.close();
        assert_eq!(received_ids(&mut peer).await, Vec::<u64>::new());
        // The next attempt is sent to the other engine, which answers it.
        let (mut peer, _) = listeners[1 - connection.engine].accept().await.expect("the other connection");
        let mut received = Vec::new();
        while peer.read_buf(&mut received).await.is_ok_and(|n| n > 0) {
            if let Ok(Some(resp::Array { parts, .. })) = resp::read_array(&received, usize::MAX) {
                assert_eq!((parts[0], parts[1]), (&b"do"[..], &b"0000000000000001"[..]));
                break;
            }
        }
        peer.write_all(SERVED).await.expect("written");
        assert!(matches!(handle.wait().await, Response::Served(ResultSet { .. })));
    });
}

/// An attempt that was withdrawn before its first byte did not run, so the policy may retry its request in
/// any class.
#[test]
fn attempt_that_is_cancelled_before_it_is_sent_never_ran() {
    run_local(async {
        let (core, _listeners) = core().await;
        let _handle = submit(&core, request(&core, 1)).expect("accepted");
        let mut coordinator = core.coordinator.borrow_mut();
        assert!(coordinator.cancel_attempt(core.pool(), 1, 0));
        coordinator.check_cancellation(&core, 1, 0);
        assert_eq!(coordinator.requests.pending(1).last_outcome, Some(AttemptOutcome::NeverRan));
        assert!(coordinator.requests.pending(1).may_have_run_since.is_none());
    });
}

/// All attempts on a connection would wait behind an answer that grows slowly and never ends.
#[test]
fn answer_that_does_not_complete_ends_its_connection() {
    run_local(async {
        let (core, listeners) = core().await;
        let _handle = submit(&core, request(&core, 1)).expect("accepted");
        let connection = connection_of(&core, 1).expect("in flight");
        let (mut peer, _) = listeners[connection.engine].accept().await.expect("the connection");
        let started_at = std::time::Instant::now();
        peer.write_all(b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$9\r\nbatches=1\r\n$5000\r\n")
            .await
            .expect("written");
        let mut bytes_left = 5_000;
        while core.coordinator.borrow().requests.get(1).is_some()
            && connection_of(&core, 1).is_some_and(|other| Rc::ptr_eq(&other, &connection))
        {
            if peer.write_all(b"x").await.is_err() {
                break;
            }
            bytes_left -= 1;
            assert!(bytes_left > 0, "{:?}", started_at.elapsed());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        // The connection ended much earlier than the rest of the answer would have arrived.
        assert!(bytes_left > 1_000, "{:?}", started_at.elapsed());
    });
}

/// An engine may close an idle connection just before an attempt uses it. When the close has arrived but this
/// process has not polled the socket yet, an attempt that is written would count as one that may have run.
#[test]
fn attempt_on_an_idle_connection_closed_by_its_engine_never_ran_and_is_retried() {
    run_local(async {
        let (core, listeners) = core().await;
        tokio::task::spawn_local(Rc::clone(&core).run());
        let mut first = submit(&core, request(&core, 1)).expect("accepted");
        let connection = connection_of(&core, 1).expect("in flight");
        let (mut peer, _) = listeners[connection.engine].accept().await.expect("the connection");
        // Reads the whole command: a close with unread bytes would be a reset, which the next write reports.
        let mut received = Vec::new();
        while resp::read_array(&received, usize::MAX).expect("a command").is_none() {
            assert!(peer.read_buf(&mut received).await.expect("read") > 0);
        }
        peer.write_all(SERVED).await.expect("written");
        assert!(matches!(first.wait().await, Response::Served(_)));
        // Submits requests until the first connection carries one, because the policy selects engines at
        // random.
        let mut handles = Vec::new();
        let mut closing = Some(peer);
        for id in 2..200 {
            // On loopback the close has arrived when `drop` returns. No task of this process runs between
            // `drop` and `submit`.
            drop(closing.take());
            handles.push(submit(&core, request(&core, id)).expect("accepted"));
            if connection_of(&core, id).is_some_and(|other| Rc::ptr_eq(&other, &connection)) {
                wait_until(|| connection_of(&core, id).is_none_or(|other| !Rc::ptr_eq(&other, &connection)))
                    .await;
                let coordinator = core.coordinator.borrow();
                assert!(
                    coordinator.requests.pending(id).may_have_run_since.is_none(),
                    "the attempt counts as one that may have run"
                );
                assert!(
                    coordinator.requests.pending(id).attempts > 1
                        || coordinator.requests.pending(id).in_flight.is_none()
                );
                return;
            }
        }
        panic!("no request was sent on that connection");
    });
}
