//! Tests of `history`.

use super::*;

fn up(i: usize) -> Event {
    Event::Ready { process: format!("n{i}") }
}

#[test]
fn a_history_is_written_in_order_and_one_that_is_full_says_so() {
    let dir = std::env::temp_dir().join(format!("sprucelink-history-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let r = Recorder::start(&dir, Instant::now(), 10_000, false).expect("a file");
    (0..50).for_each(|i| r.note(up(i)));
    r.note_engine(|| Event::Disconnected { engine: "s".into(), connection: 1 });
    r.end().expect("whole");
    r.note(up(99));
    let lines = read(&dir.join(NAME)).expect("read");
    assert_eq!(lines.len(), 50);
    assert_eq!(lines[49].event, up(49));
    let r = Recorder::start(&dir, Instant::now(), 100, false).expect("a file");
    (0..5).for_each(|i| r.note(up(i)));
    assert!(r.end().unwrap_err().to_string().contains("full"));
    std::fs::remove_dir_all(&dir).expect("removed");
    let none = Recorder::default();
    none.note(up(1));
    none.end().expect("nothing was recorded");
}
