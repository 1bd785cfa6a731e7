//! Tests of connections: what is accepted, sent, withdrawn and interrupted.

use super::*;
use crate::core::buffer_pool::BUFFER_BYTES;
use crate::core::connection_task::run;
use crate::core::test_support::{core, local, PermissiveOwner};
use crate::proto::resp;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

fn limits() -> ConnectionLimits {
    ConnectionLimits {
        max_streams: 32,
        dial_timeout: TimeDelta::from_micros(5_000_000),
        idle_timeout: TimeDelta::from_micros(15_000_000),
        note_interval: TimeDelta::ZERO,
        max_per_engine: 4,
        max_total: 8,
    }
}

/// A late answer to an old attempt must not be taken for one to the new.
#[test]
fn connection_accepts_no_request_again_that_ended_unserved_on_it() {
    local(async {
        let (core, _engines) = core().await;
        let connection = EngineConnection::new(0, "127.0.0.1:9".parse().expect("an address"));
        assert!(connection.send(core.pool(), 5, 0, &[b"do"]));
        connection.release(5, true);
        assert!(!connection.accepts(5, &limits()) && connection.accepts(6, &limits()));
    });
}

/// The connections of machines that vanished stay open and take all that is written.
#[test]
fn connection_with_missing_notes_accepts_nothing_new() {
    local(async {
        let (core, _engines) = core().await;
        let connection = EngineConnection::new(0, "127.0.0.1:9".parse().expect("an address"));
        assert!(connection.send(core.pool(), 5, 0, &[b"do"]));
        let noting = ConnectionLimits { note_interval: TimeDelta::from_micros(1_000), ..limits() };
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(!connection.accepts(6, &noting), "three notes are missing");
        assert!(connection.accepts(6, &limits()), "where there are no notes none is missed");
        connection.release(5, false);
        assert!(connection.accepts(6, &noting), "no attempt is in flight, so no note is missing");
    });
}

/// The memory limit: an empty pool refuses, and buffers that come back are reused.
#[test]
fn send_without_a_buffer_is_refused_and_a_cancellation_is_not() {
    let pool = BufferPool::new(1);
    let held = pool.get().expect("the only one");
    assert!(pool.get().is_none());
    let connection = EngineConnection::new(0, "127.0.0.1:9".parse().expect("an address"));
    assert!(!connection.send(&pool, 1, 0, &[b"do"]) && connection.attempt_count() == 0);
    // A cancellation is queued all the same: its attempt would run on beside the next one.
    connection.command(&pool, &[b"undo"]);
    assert!(connection.queued() > 0 && !connection.has_passed(connection.queued()));
    drop(held);
    assert!(connection.send(&pool, 1, 0, &[b"do"]));
    let interrupted = InterruptedAttempt { id: 1, attempt: 0, is_unsent: true };
    assert_eq!(connection.close(), [interrupted], "never written: it never ran");
}

/// Withdrawn commands are skipped, whether they wait for the connection or for a slow peer; all others arrive complete and
/// in order. One that was sent in part cannot be withdrawn.
#[test]
fn withdrawn_commands_are_skipped_and_all_others_arrive() {
    local(async {
        let (_core, listeners) = core().await;
        let connection = EngineConnection::new(0, listeners[0].local_addr().expect("an address"));
        let body = vec![b'x'; 60_000];
        let pool = BufferPool::new(4_000);
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
        // More than the peer's and this side's kernel buffers hold: it reads nothing yet.
        (4..1_000).for_each(send);
        let mut before = 0;
        while connection.is_unsent(1) || before != connection.written() {
            before = connection.written();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let cut: Vec<u64> = (4..1_000).filter(|id| connection.is_unsent(*id)).collect();
        assert!(cut.len() > 2, "the peer holds all of it");
        let of = |id: &u64| connection.withdraw(*id);
        let first = of(&cut[0]);
        assert!(matches!(first, Withdrawal::Partial | Withdrawal::Complete));
        let gone: Vec<u64> = cut[1..].iter().copied().filter(|id| id % 2 == 0).collect();
        assert!(gone.iter().map(of).all(|w| w == Withdrawal::Complete));
        assert_eq!(connection.withdraw(3), Withdrawal::TooLate);
        let (mut got, mut ids) = (Vec::new(), Vec::new());
        while ids.last() != Some(&999) {
            let n = peer.read_buf(&mut got).await.expect("read");
            assert!(n > 0, "the connection ended");
            while let Ok(Some(resp::Array { parts, length: len })) = resp::read_array(&got, BUFFER_BYTES) {
                assert!(parts.len() == 4 && parts[3].len() == body.len());
                ids.push(
                    u64::from_str_radix(std::str::from_utf8(parts[1]).expect("text"), 16).expect("an id"),
                );
                got.drain(..len);
            }
        }
        let kept = |id: &u64| {
            ![0, 2].contains(id) && !gone.contains(id) && (*id != cut[0] || first == Withdrawal::Partial)
        };
        assert_eq!(ids, (0..1_000).filter(kept).collect::<Vec<_>>());
    });
}

/// A connection may break in the middle of a command; an engine runs complete commands only.
#[test]
fn attempt_that_was_sent_in_part_never_ran() {
    local(async {
        let (_core, listeners) = core().await;
        let pool = BufferPool::new(4_000);
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
        let mut before = u64::MAX;
        while before != connection.written() {
            before = connection.written();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let waiting = connection.unsent_ids();
        assert!(!waiting.is_empty(), "the peer holds all of it");
        let ended = connection.close();
        for attempt in ended {
            assert_eq!(attempt.is_unsent, waiting.contains(&attempt.id), "request {}", attempt.id);
        }
    });
}

/// A dial that is given up must not hold its file descriptor until the dial times out.
#[test]
fn dial_that_is_given_up_ends_at_once() {
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
        let owner = Rc::new(PermissiveOwner {
            pool: BufferPool::new(4),
            limits: ConnectionLimits { dial_timeout: TimeDelta::from_micros(600_000_000), ..limits() },
        });
        let connection = EngineConnection::new(0, address);
        let dial = tokio::task::spawn_local(run(owner, Rc::clone(&connection)));
        tokio::task::yield_now().await;
        assert!(!dial.is_finished());
        connection.close();
        tokio::time::timeout(Duration::from_secs(60), dial).await.expect("it ends").expect("in order");
    });
}
