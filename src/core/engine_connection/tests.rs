//! Tests of connections: which attempts are accepted, sent, withdrawn and interrupted.

use super::*;
use crate::core::buffer_pool::{BUFFER_BYTES, SMALL_BUFFER_BYTES};
use crate::core::connection_task::run;
use crate::core::test_support::{core, run_local, PermissiveOwner};
use crate::proto::resp;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

fn limits() -> ConnectionLimits {
    ConnectionLimits {
        max_streams: 32,
        dial_timeout: TimeDelta::from_secs(5),
        idle_timeout: TimeDelta::from_secs(15),
        note_interval: TimeDelta::ZERO,
        max_per_engine: 4,
        max_total: 8,
    }
}

/// A late answer to an earlier attempt must not be taken for an answer to the next attempt.
#[test]
fn connection_rejects_a_request_whose_earlier_attempt_ended_unserved_on_it() {
    run_local(async {
        let (core, _engines) = core().await;
        let connection = EngineConnection::new(0, "127.0.0.1:9".parse().expect("an address"));
        assert!(connection.send(core.pool(), 5, 0, &[b"do"]));
        connection.release(5, true);
        assert!(!connection.accepts(5, &limits()) && connection.accepts(6, &limits()));
    });
}

/// The connection to a machine that has failed stays open and accepts bytes, but no progress notes arrive.
#[test]
fn connection_with_missing_progress_notes_accepts_no_attempts() {
    run_local(async {
        let (core, _engines) = core().await;
        let connection = EngineConnection::new(0, "127.0.0.1:9".parse().expect("an address"));
        assert!(connection.send(core.pool(), 5, 0, &[b"do"]));
        let limits_with_notes = ConnectionLimits { note_interval: TimeDelta::from_millis(1), ..limits() };
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(!connection.accepts(6, &limits_with_notes), "three notes are missing");
        assert!(connection.accepts(6, &limits()), "engines that send no progress notes miss none");
        connection.release(5, false);
        assert!(connection.accepts(6, &limits_with_notes), "no attempt is in flight, so no note is missing");
    });
}

/// The pool limits memory: an empty pool has no buffer for an attempt, and a released buffer is reused.
#[test]
fn attempt_needs_a_free_buffer_and_a_cancellation_does_not() {
    let pool = BufferPool::new(SMALL_BUFFER_BYTES);
    let only_buffer = pool.get(1).expect("the only buffer");
    assert!(pool.get(1).is_none());
    let connection = EngineConnection::new(0, "127.0.0.1:9".parse().expect("an address"));
    assert!(!connection.send(&pool, 1, 0, &[b"do"]) && connection.attempt_count() == 0);
    // Without its cancellation, an attempt would run concurrently with the request's next attempt.
    connection.command(&pool, &[b"undo"]);
    assert!(connection.queued_end() > 0 && !connection.has_passed(connection.queued_end()));
    drop(only_buffer);
    assert!(connection.send(&pool, 1, 0, &[b"do"]));
    let interrupted = InterruptedAttempt { id: 1, attempt: 0, is_unsent: true };
    assert_eq!(connection.close(), [interrupted], "the attempt was not sent, so it never ran");
}

/// The ids of the requests that a peer receives, up to the id `last`. Checks that each request has a
/// statement of `statement_bytes` bytes.
async fn received_ids(peer: &mut TcpStream, last: u64, statement_bytes: usize) -> Vec<u64> {
    let mut received = Vec::new();
    let mut ids = Vec::new();
    while ids.last() != Some(&last) {
        let count = peer.read_buf(&mut received).await.expect("read");
        assert!(count > 0, "the connection ended");
        while let Ok(Some(resp::Array { parts, length })) = resp::read_array(&received, BUFFER_BYTES) {
            assert!(parts.len() == 4 && parts[3].len() == statement_bytes);
            let id = std::str::from_utf8(parts[1]).expect("text");
            ids.push(u64::from_str_radix(id, 16).expect("an id"));
            received.drain(..length);
        }
    }
    ids
}

/// Withdrawn commands are skipped, whether they wait for the connection or for a slow peer; all other
/// commands arrive completely and in order. A command that was sent in part cannot be withdrawn.
#[test]
fn withdrawn_commands_are_skipped_and_all_others_arrive() {
    run_local(async {
        let (_core, listeners) = core().await;
        let connection = EngineConnection::new(0, listeners[0].local_addr().expect("an address"));
        let body = vec![b'x'; 60_000];
        let pool = BufferPool::new(4_000 * BUFFER_BYTES);
        let send = |id: u64| {
            let name = format!("{id:016x}");
            assert!(connection.send(&pool, id, 0, &[b"do", name.as_bytes(), b"-", &body]));
        };
        (0..4).for_each(send);
        assert_eq!(connection.withdraw(0), Withdrawal::Complete);
        assert_eq!(connection.withdraw(2), Withdrawal::Complete);
        let owner = Rc::new(PermissiveOwner { pool: pool.clone(), limits: limits() });
        tokio::task::spawn_local(run(owner, Rc::clone(&connection)));
        let (mut peer, _) = listeners[0].accept().await.expect("a connection");
        // Sends more than the kernel buffers of both sides hold, while the peer reads nothing.
        (4..1_000).for_each(send);
        let mut written = 0;
        while connection.is_unsent(1) || written != connection.written_end() {
            written = connection.written_end();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let unsent: Vec<u64> = (4..1_000).filter(|id| connection.is_unsent(*id)).collect();
        assert!(unsent.len() > 2, "all commands were sent");
        let withdraw = |id: &u64| connection.withdraw(*id);
        let first_withdrawal = withdraw(&unsent[0]);
        assert!(matches!(first_withdrawal, Withdrawal::Partial | Withdrawal::Complete));
        let withdrawn: Vec<u64> = unsent[1..].iter().copied().filter(|id| id % 2 == 0).collect();
        assert!(withdrawn.iter().map(withdraw).all(|result| result == Withdrawal::Complete));
        assert_eq!(connection.withdraw(3), Withdrawal::TooLate);
        let ids = received_ids(&mut peer, 999, body.len()).await;
        let is_expected = |id: &u64| {
            ![0, 2].contains(id)
                && !withdrawn.contains(id)
                && (*id != unsent[0] || first_withdrawal == Withdrawal::Partial)
        };
        assert_eq!(ids, (0..1_000).filter(is_expected).collect::<Vec<_>>());
    });
}

/// A connection may break in the middle of a command. An engine runs only complete commands, so the attempt
/// never ran.
#[test]
fn attempt_that_was_sent_in_part_never_ran() {
    run_local(async {
        let (_core, listeners) = core().await;
        let pool = BufferPool::new(4_000 * BUFFER_BYTES);
        let connection = EngineConnection::new(0, listeners[0].local_addr().expect("an address"));
        let body = vec![b'x'; 60_000];
        let send = |id: u64| {
            let name = format!("{id:016x}");
            assert!(connection.send(&pool, id, 0, &[b"do", name.as_bytes(), b"-", &body]));
        };
        (0..1_000).for_each(send);
        let owner = Rc::new(PermissiveOwner { pool: pool.clone(), limits: limits() });
        tokio::task::spawn_local(run(owner, Rc::clone(&connection)));
        let (_peer, _) = listeners[0].accept().await.expect("a connection");
        let mut written = u64::MAX;
        while written != connection.written_end() {
            written = connection.written_end();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let unsent = connection.unsent_ids();
        assert!(!unsent.is_empty(), "all commands were sent");
        let interrupted = connection.close();
        for attempt in interrupted {
            assert_eq!(attempt.is_unsent, unsent.contains(&attempt.id), "request {}", attempt.id);
        }
    });
}

/// A cancelled dial must release its file descriptor at once, not at its timeout.
#[test]
fn dial_ends_at_once_when_its_connection_is_closed() {
    run_local(async {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let listener = socket.listen(0).expect("listening");
        let address = listener.local_addr().expect("an address");
        // Connects until a further connection is not accepted, because the listen queue is full.
        let mut filler = Vec::new();
        while let Ok(Ok(stream)) =
            tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(address)).await
        {
            filler.push(stream);
            assert!(filler.len() < 16);
        }
        let owner = Rc::new(PermissiveOwner {
            pool: BufferPool::new(4 * BUFFER_BYTES),
            limits: ConnectionLimits { dial_timeout: TimeDelta::from_secs(600), ..limits() },
        });
        let connection = EngineConnection::new(0, address);
        let dial = tokio::task::spawn_local(run(owner, Rc::clone(&connection)));
        tokio::task::yield_now().await;
        assert!(!dial.is_finished());
        connection.close();
        tokio::time::timeout(Duration::from_secs(60), dial)
            .await
            .expect("the dial ends in time")
            .expect("no panic");
    });
}
