use super::{KeyOrder, RequestQueue};
use crate::events::Arrival;
use crate::ids::{ClassId, RequestId};
use crate::request::Request;
use sprucelink_time::{TimeDelta, Timestamp};

const FIRST: RequestId = RequestId(1);
const SECOND: RequestId = RequestId(2);

fn at_millis(millis: i64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn request(id: u64, level: usize) -> Request {
    let arrival = Arrival {
        id: RequestId(id),
        class: ClassId(0),
        tenant: 0,
        tables: 0,
        time_left: TimeDelta::from_secs(5),
        cost: None,
        memory_mb: None,
        key: None,
    };
    Request { level, ..Request::new(&arrival, id, Timestamp::ZERO, 1.0) }
}

#[test]
fn queue_is_ordered_by_level_then_by_arrival() {
    let mut queue = RequestQueue::default();
    for (id, level) in [(1, 0), (2, 3), (3, 1), (4, 3)] {
        queue.insert(RequestId(id), &request(id, level));
    }
    let ids: Vec<u64> = queue.first(3).into_iter().map(|(_, id)| id.0).collect();
    assert_eq!(ids, [2, 4, 3]);
}

#[test]
fn requests_with_the_same_key_are_next_one_at_a_time() {
    let mut order = KeyOrder::default();
    order.join("a", FIRST);
    order.join("a", SECOND);
    assert!(order.is_next(at_millis(0), FIRST, Some("a")));
    assert!(!order.is_next(at_millis(0), SECOND, Some("a")));
    assert!(order.is_next(at_millis(0), SECOND, None), "requests without a key are not ordered");
    order.leave("a", FIRST);
    assert!(order.is_next(at_millis(0), SECOND, Some("a")));
}

#[test]
fn no_request_is_next_until_the_block_of_its_key_ends() {
    let mut order = KeyOrder::default();
    order.join("a", FIRST);
    order.block("a", at_millis(300));
    assert!(!order.is_next(at_millis(299), FIRST, Some("a")));
    assert!(order.is_next(at_millis(300), FIRST, Some("a")));
}

#[test]
fn idle_key_is_removed_only_after_its_block_ends() {
    let mut order = KeyOrder::default();
    order.join("a", FIRST);
    order.block("a", at_millis(300));
    order.leave("a", FIRST);
    order.forget_idle_keys(at_millis(299));
    order.join("a", SECOND);
    assert!(!order.is_next(at_millis(299), SECOND, Some("a")), "the block still applies");
    order.leave("a", SECOND);
    order.forget_idle_keys(at_millis(300));
    assert!(order.keys.is_empty());
}
