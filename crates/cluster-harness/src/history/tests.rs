//! Tests of writing a history, of its maximum size and of a disabled recorder.

use super::*;

fn ready(i: usize) -> Event {
    Event::Ready { process: format!("n{i}") }
}

#[test]
fn a_history_is_written_in_order_and_a_full_one_is_an_error() {
    let dir = std::env::temp_dir().join(format!("sprucelink-history-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let recorder = Recorder::start(&dir, Instant::now(), 10_000, false).expect("a file");
    (0..50).for_each(|i| recorder.record(ready(i)));
    recorder.record_engine(|| Event::Disconnected { engine: "s".into(), connection: 1 });
    recorder.end().expect("complete");
    recorder.record(ready(99));
    let entries = read(&dir.join(NAME)).expect("read");
    assert_eq!(entries.len(), 50);
    assert_eq!(entries[49].event, ready(49));
    let recorder = Recorder::start(&dir, Instant::now(), 100, false).expect("a file");
    (0..5).for_each(|i| recorder.record(ready(i)));
    assert!(recorder.end().unwrap_err().to_string().contains("full"));
    std::fs::remove_dir_all(&dir).expect("removed");
    let disabled = Recorder::default();
    disabled.record(ready(1));
    disabled.end().expect("nothing was recorded");
}
