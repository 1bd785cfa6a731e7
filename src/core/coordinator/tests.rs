//! Tests of the coordinator: each request gets one final response, and each attempt ends once.

use super::*;
use crate::core::attempt::Cancellation;
use crate::core::connection_task::ConnectionOwner;
use crate::core::engine_connection::EngineConnection;
use crate::core::test_support::{core, member, request, run_local, submit};
use crate::core::Core;
use crate::proto::events::{EndpointPhase, ListEvent};
use std::rc::Rc;
use std::time::Duration;

/// If an attempt ended as soon as it was cancelled, the next attempt would be sent at once on another
/// connection, could overtake the cancellation, and would run concurrently with the cancelled attempt.
#[test]
fn cancelled_attempt_stays_in_flight_until_its_cancellation_has_arrived() {
    run_local(async {
        let (core, _engines) = core().await;
        let _handle = submit(&core, request(&core, 1)).expect("accepted");
        let connection = {
            let coordinator = core.coordinator.borrow();
            let attempt = coordinator.requests.pending(1).in_flight.as_ref().expect("an attempt in flight");
            Rc::clone(&attempt.connection)
        };
        tokio::time::sleep(Duration::from_millis(50)).await;
        // Almost no progress long after the latency objective: the policy cancels the attempt.
        let note: [&[u8]; 3] = [b"0000000000000001", b"update", b"how=so_far,num=0.0"];
        core.on_answer(&connection, &note).expect("understood");
        {
            let coordinator = core.coordinator.borrow();
            assert!(coordinator
                .requests
                .pending(1)
                .in_flight
                .as_ref()
                .expect("still in flight")
                .cancellation
                .is_some());
            assert_eq!(
                coordinator.requests.pending(1).attempts,
                1,
                "retried before the cancellation has arrived"
            );
        }
        tokio::task::spawn_local(Rc::clone(&core).run());
        for _ in 0..1000 {
            tokio::time::sleep(Duration::from_millis(5)).await;
            if core.coordinator.borrow().requests.pending(1).attempts == 2 {
                return;
            }
        }
        panic!("the request was not retried");
    });
}

/// A cancellation may wait for its connection for a long time. The next attempt must wait until the
/// cancellation was sent, or two attempts of one request would run concurrently.
#[test]
fn cancellation_that_was_not_sent_has_not_arrived() {
    run_local(async {
        let (core, _engines) = core().await;
        let _handle = submit(&core, request(&core, 1)).expect("accepted");
        let undialed_connection = EngineConnection::new(0, "127.0.0.1:9".parse().expect("an address"));
        let (attempt, stream_end) = {
            let mut coordinator = core.coordinator.borrow_mut();
            let in_flight = coordinator.requests.in_flight_mut(1).expect("in flight");
            undialed_connection.command(core.pool(), &[b"undo"]);
            in_flight.cancellation =
                Some(Cancellation { stream_end: undialed_connection.queued_end(), sent_at: None });
            in_flight.connection = Rc::clone(&undialed_connection);
            (in_flight.number, undialed_connection.queued_end())
        };
        let has_ended = || {
            core.coordinator.borrow_mut().check_cancellation(&core, 1, attempt);
            core.coordinator
                .borrow()
                .requests
                .pending(1)
                .in_flight
                .as_ref()
                .is_none_or(|in_flight| in_flight.number != attempt)
        };
        assert!(!has_ended() && !undialed_connection.has_passed(stream_end));
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(!has_ended(), "the cancellation is still in the queue");
        undialed_connection.close();
        assert!(!has_ended(), "the cancellation was sent only now");
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(has_ended());
    });
}

/// New engine ids may keep appearing indefinitely, and every decision visits all indices: memory and time per
/// request must stay bounded.
#[test]
fn indices_of_gone_engines_are_reused() {
    run_local(async {
        let (core, engines) = core().await;
        core.coordinator.borrow_mut().engines.set_retention(TimeDelta::ZERO);
        let address = engines[0].local_addr().expect("an address").to_string();
        let member = |id: u64, phase: EndpointPhase| member(&format!("e-{id}"), address.clone(), phase, 0);
        for n in 2..500 {
            let members = vec![member(n - 1, EndpointPhase::Gone), member(n, EndpointPhase::Ready)];
            core.on_endpoint_list(
                &ListEvent { number: n, revision: 0, is_complete: false, endpoints: members },
                false,
            );
            tokio::time::sleep(Duration::from_micros(10)).await;
        }
        assert!(core.coordinator.borrow().engines.len() < 10, "{}", core.coordinator.borrow().engines.len());
        // A complete list names only one engine: the others are gone, and the named engine is used.
        let members = vec![member(499, EndpointPhase::Ready)];
        core.on_endpoint_list(
            &ListEvent { number: 500, revision: 0, is_complete: true, endpoints: members },
            false,
        );
        let _handle = submit(&core, request(&core, 1)).expect("accepted");
        let mut coordinator = core.coordinator.borrow_mut();
        let engine = coordinator.policy.engine_index("e-499");
        assert_eq!(
            coordinator.requests.pending(1).in_flight.as_ref().expect("in flight").connection.engine,
            engine
        );
    });
}

/// A second response to a request is dropped, and the client gets the first one.
#[test]
fn request_has_one_final_response() {
    run_local(async {
        let (core, _engines) = core().await;
        let mut handle = submit(&core, request(&core, 1)).expect("accepted");
        assert!(submit(&core, request(&core, 1)).is_none(), "a pending id is not accepted twice");
        {
            let mut coordinator = core.coordinator.borrow_mut();
            drop(coordinator.complete(
                1,
                Response::Rejected {
                    reason: UnservedReason::Overloaded,
                    retry_after: TimeDelta::from_micros(5),
                },
            ));
            drop(coordinator.complete(
                1,
                Response::Failed {
                    reason: UnservedReason::ConnectionLost,
                    retry_after: TimeDelta::from_micros(5),
                },
            ));
        }
        assert!(matches!(handle.wait().await, Response::Rejected { reason: UnservedReason::Overloaded, .. }));
        let mut other = request(&core, 1);
        other.statement.extend_from_slice(b"SELECT 2");
        assert!(
            submit(&core, other).is_none(),
            "an id that was recently used for another statement is not accepted"
        );
    });
}

/// Nothing may be sent to a draining engine. An attempt that waits for its connection never ran, so its
/// request is retried at another engine.
#[test]
fn unsent_attempt_is_sent_elsewhere_when_its_engine_drains() {
    run_local(async {
        let (core, engines) = core().await;
        let _handle = submit(&core, request(&core, 1)).expect("accepted");
        let engine = |core: &Core| {
            core.coordinator
                .borrow()
                .requests
                .pending(1)
                .in_flight
                .as_ref()
                .expect("in flight")
                .connection
                .engine
        };
        let first = engine(&core);
        let address = engines[first].local_addr().expect("an address").to_string();
        let member = member(&format!("s-{}", first + 1), address, EndpointPhase::Draining, 0);
        core.on_endpoint_list(
            &ListEvent { number: 2, revision: 0, is_complete: false, endpoints: vec![member] },
            false,
        );
        assert_eq!(engine(&core), 1 - first);
        assert_eq!(core.coordinator.borrow().requests.pending(1).attempts, 2);
        // An event with the same number arrives again after a reconnect and is skipped.
        let again = ListEvent { number: 2, revision: 0, is_complete: true, endpoints: Vec::new() };
        core.on_endpoint_list(&again, false);
        assert_eq!(engine(&core), 1 - first);
    });
}
