//! Tests of the ids of requests that wait in their session.

use super::MAX_RESERVATIONS;
use crate::core::test_support::run_local;
use crate::front::test_support::{request, Client, Fixture, CANCELLED};
use std::time::Duration;
use tokio::time::sleep;

/// Number of ids that are reserved in the core.
fn reserved_ids(fixture: &Fixture) -> usize {
    fixture.core.export_request_ids().iter().filter(|record| record.is_open).count()
}

/// The code and status of an answer to a request whose id another request has.
const ID_IN_USE: &str = "42710 Z";

/// A request with another statement than that of [`request`].
fn request_with_other_statement(id: u64) -> Vec<u8> {
    let text = format!("/* kind=c,req={id:016x},timeout=20000 */ SELECT b FROM sales_17.orders\0");
    [&b"Q"[..], &(4 + text.len() as u32).to_be_bytes(), text.as_bytes()].concat()
}

/// Guards against the id of a request that waits behind another one of its session, and is accepted for another
/// client's request (review, case 12).
#[test]
fn id_of_a_waiting_request_is_refused_until_the_request_is_over() {
    run_local(async {
        let fixture = Fixture::start(false).await;
        let mut usual = Client::connect(&fixture).await;
        let mut other = Client::connect(&fixture).await;
        usual.send(&[request(1), request(2)].concat());
        fixture.wait_for_open_requests(1).await;
        usual.send(&request(3)[..50]);
        sleep(Duration::from_millis(5)).await;
        usual.send(&request(3)[50..]);
        sleep(Duration::from_millis(5)).await;
        for id in [2, 3] {
            for refused in [request_with_other_statement(id), request(id)] {
                other.send(&refused);
                assert_eq!(other.next_answer().await, ID_IN_USE, "{id}");
            }
        }
        fixture.cancel(&usual).await;
        assert_eq!(
            usual.next_answers(3).await,
            [CANCELLED; 3].join(" "),
            "none of the usual client's own requests is refused"
        );
        fixture.wait_for_open_requests(0).await;
        assert_eq!(reserved_ids(&fixture), 0);
        other.send(&request(2));
        fixture.wait_for_open_requests(1).await;
    });
}

/// Guards against a reservation that outlives the session of its request.
#[test]
fn ids_of_waiting_requests_are_released_when_their_client_leaves() {
    run_local(async {
        let fixture = Fixture::start(false).await;
        let mut client = Client::connect(&fixture).await;
        client.send(&(1..=20).map(request).collect::<Vec<_>>().concat());
        fixture.wait_for_open_requests(1).await;
        assert_eq!(reserved_ids(&fixture), 20);
        drop(client);
        fixture.wait_for_open_requests(0).await;
        assert_eq!(reserved_ids(&fixture), 0);
    });
}

/// The ids that a client makes the process hold are bounded, and all of its requests get their turn.
#[test]
fn number_of_reserved_ids_is_bounded() {
    run_local(async {
        let fixture = Fixture::start(false).await;
        let mut client = Client::connect(&fixture).await;
        client.send(&(1..=300).map(request).collect::<Vec<_>>().concat());
        fixture.wait_for_open_requests(1).await;
        sleep(Duration::from_millis(5)).await;
        assert_eq!(reserved_ids(&fixture), 1 + MAX_RESERVATIONS);
        fixture.cancel(&client).await;
        assert_eq!(client.next_answers(300).await, [CANCELLED; 300].join(" "));
        fixture.wait_for_open_requests(0).await;
        assert_eq!(reserved_ids(&fixture), 0);
    });
}
