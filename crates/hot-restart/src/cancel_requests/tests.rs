//! Tests that each CancelRequest is passed on once, and that what is kept is bounded.

use super::*;

fn at(millis: i64) -> Timestamp {
    Timestamp::from_micros(millis * 1000)
}

fn writer(pid: u32) -> Process {
    Process { generation: 1, started_at: at(0), pid }
}

#[test]
fn each_request_is_taken_once_however_often_its_file_is_read() {
    let (mut outbox, mut inbox) = (CancelOutbox::default(), CancelInbox::default());
    outbox.push(7, 70, at(0));
    let first = outbox.export(at(1));
    assert_eq!(inbox.take_new(at(2), writer(1), &first), first);
    assert_eq!(inbox.take_new(at(3), writer(1), &first), []);
    outbox.push(8, 80, at(4));
    let second = outbox.export(at(5));
    assert_eq!(second.len(), 2);
    assert_eq!(inbox.take_new(at(6), writer(1), &second), second[1..]);
    assert_eq!(inbox.take_new(at(6), writer(2), &second), second, "another writer counts on its own");
    assert_eq!(
        inbox.take_new(at(2_008), writer(1), &second),
        [],
        "all are outdated, and the writer is forgotten"
    );
    assert_eq!(inbox.applied.len(), 1);
}

/// Guards against a process that was stopped for some time and then cancels a session's later request.
#[test]
fn outdated_requests_are_neither_written_nor_taken() {
    let mut outbox = CancelOutbox::default();
    outbox.push(7, 70, at(0));
    let requests = outbox.export(at(2_000));
    assert_eq!(requests.len(), 1);
    assert_eq!(CancelInbox::default().take_new(at(2_001), writer(1), &requests), []);
    assert_eq!(outbox.export(at(2_001)), []);
}

#[test]
fn flood_of_requests_drops_the_oldest() {
    let mut outbox = CancelOutbox::default();
    (0..1_000).for_each(|process_id| outbox.push(process_id, 1, at(0)));
    let requests = outbox.export(at(0));
    assert_eq!(requests.len(), MAX_CANCEL_REQUESTS);
    assert_eq!(requests.last().map(|request| request.process_id), Some(999));
}
