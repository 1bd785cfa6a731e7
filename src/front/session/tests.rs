//! Tests of sessions with CancelRequests and stops that cross their input, on both fronts.

use crate::core::now;
use crate::front::startup::SessionKey;
use crate::front::test_support::{on_both_fronts, request, Client, CANCELLED};
use crate::front::{Front, UnknownCancel};
use sprucelink_time::TimeDelta;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Guards against a CancelRequest that is dropped because the runtime does not know of the request, which was sent
/// before (review, case 10).
#[test]
fn cancel_directly_behind_a_request_cancels_it() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        for id in 1..20 {
            client.send(&request(id));
            fixture.cancel(&client).await;
            assert_eq!(client.next_answer().await, CANCELLED);
        }
        fixture.wait_for_open_requests(0).await;
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest that is dropped because a part of its request has not arrived.
#[test]
fn cancel_between_the_bytes_of_a_request_cancels_it() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        for (id, settling_time) in [(1, Duration::ZERO), (2, Duration::from_millis(5))] {
            let bytes = request(id);
            let (first, rest) = bytes.split_at(40);
            client.send(first);
            sleep(settling_time).await;
            fixture.cancel(&client).await;
            client.send(rest);
            assert_eq!(client.next_answer().await, CANCELLED);
        }
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest that is dropped because it overtakes its request in the network.
#[test]
fn cancel_that_overtakes_its_request_cancels_it() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        let front = Rc::clone(&fixture.front);
        let key = client.key;
        spawn_local(async move { front.request_cancel(key).await });
        sleep(Duration::from_millis(5)).await;
        client.send(&request(1));
        assert_eq!(client.next_answer().await, CANCELLED);
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest that crosses the answer to its request, and cancels the next request of a client
/// that does not wait for the close of the CancelRequest's connection.
#[test]
fn cancel_that_crosses_an_answer_does_not_cancel_the_next_request() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        client.send(b"Q\0\0\0\x05\0");
        assert_eq!(client.next_answer().await, "Z");
        let front = Rc::clone(&fixture.front);
        let key = client.key;
        spawn_local(async move { front.request_cancel(key).await });
        sleep(Duration::from_millis(5)).await;
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest whose connection is closed before it is known what it cancels: its client sends
/// the next request then.
#[test]
fn cancel_before_a_request_does_not_cancel_it() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        fixture.cancel(&client).await;
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against requests that are submitted for a client which has cancelled all that it sent (review, case 7).
#[test]
fn cancel_cancels_the_requests_that_wait_behind_an_open_one() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        client.send(&request(1));
        fixture.wait_for_open_requests(1).await;
        client.send(&[request(2), request(3)].concat());
        fixture.cancel(&client).await;
        assert_eq!(client.next_answers(3).await, [CANCELLED; 3].join(" "));
        fixture.wait_for_open_requests(0).await;
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a CancelRequest that another process forwards late, and that cancels a request which was sent
/// after it.
#[test]
fn forwarded_cancel_cancels_only_what_arrived_in_time() {
    on_both_fronts(|fixture| async move {
        let mut client = Client::connect(&fixture).await;
        let SessionKey { process_id, secret } = client.key;
        let forward = |received_at| {
            assert!(fixture.front.apply_forwarded_cancel(UnknownCancel { process_id, secret, received_at }));
        };
        client.send(&request(1));
        forward(now());
        assert_eq!(client.next_answer().await, CANCELLED);
        let received_at = now() - TimeDelta::from_secs(1);
        client.send(&request(2));
        fixture.wait_for_open_requests(1).await;
        forward(received_at);
        sleep(Duration::from_millis(20)).await;
        assert_eq!(client.answer_so_far(), "");
        fixture.cancel(&client).await;
        assert_eq!(client.next_answer().await, CANCELLED);
        forward(received_at);
        fixture.check_next_request_is_open(&mut client).await;
    });
}

/// Guards against a stop or a drain that closes a session although its next request has arrived.
#[test]
fn request_that_arrived_before_a_stop_is_submitted() {
    let stops: [fn(&Front); 2] = [|front| front.close(), |front| front.drain_sessions(TimeDelta::ZERO)];
    for stop in stops {
        on_both_fronts(|fixture| async move {
            let mut client = Client::connect(&fixture).await;
            client.send(&request(1));
            stop(&fixture.front);
            fixture.wait_for_open_requests(1).await;
        });
    }
}
