//! Tests of the liveness of peers and the removal of their files.

use super::*;
use crate::state::{Instance, StateSnapshot};

fn at(seconds: i64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

fn file(pid: u32, written_at: Timestamp, phase: Phase) -> Result<StateFile, StateFileError> {
    Ok(StateFile {
        instance: Instance { name: "n".into(), listen: "l".into() },
        process: Process { generation: u64::from(pid), started_at: Timestamp::ZERO, pid },
        build: String::new(),
        clock: None,
        written_at,
        sequence: 0,
        phase,
        phase_since: Timestamp::ZERO,
        shares_with: Vec::new(),
        snapshot: StateSnapshot::default(),
    })
}

#[test]
fn process_is_alive_while_its_file_changes_and_the_file_is_removable_once_merged() {
    let mut peers = PeerTable::default();
    peers.record_read(at(100), "a", &file(1, at(100), Phase::Serving));
    assert_eq!(peers.live_peers(at(100) + PEER_TIMEOUT).len(), 1);
    let after_timeout = at(100) + PEER_TIMEOUT + TimeDelta::from_micros(1);
    assert!(peers.live_peers(after_timeout).is_empty());
    let after_retention = at(200);
    assert!(peers.removable_files(after_retention).is_empty(), "the file is not merged yet");
    peers.record_own_write();
    assert!(peers.removable_files(at(100) + DEAD_FILE_RETENTION).is_empty());
    assert_eq!(peers.removable_files(after_retention), ["a"]);
    // The process was only stopped, and resumes.
    peers.record_read(after_retention, "a", &file(1, at(200), Phase::Serving));
    assert_eq!(
        (peers.live_peers(after_retention).len(), peers.removable_files(after_retention).len()),
        (1, 0)
    );
    peers.record_read(after_retention, "a", &file(1, at(200), Phase::Terminated));
    assert!(
        peers.live_peers(after_retention).is_empty() && peers.removable_files(after_retention).is_empty()
    );
    peers.record_own_write();
    assert_eq!(
        peers.removable_files(after_retention),
        ["a"],
        "a terminated process's file is removable at once"
    );
    peers.retain_listed(&BTreeSet::new());
    assert!(peers.removable_files(after_retention).is_empty());
    assert_eq!(peers.max_generation(), 0);
}

#[test]
fn process_with_a_file_from_the_future_times_out() {
    let mut peers = PeerTable::default();
    peers.record_read(at(100), "a", &file(1, at(9_000), Phase::Serving));
    assert_eq!(peers.live_peers(at(100)).len(), 1);
    assert!(peers.live_peers(at(102)).is_empty());
}

#[test]
fn damaged_files_are_removable_after_their_retention_and_foreign_ones_never() {
    let mut peers = PeerTable::default();
    let names = ["1", "2", "3", "4", "5", "6"];
    names.iter().for_each(|name| peers.record_read(at(0), name, &Err(StateFileError::Damaged("truncated"))));
    peers.record_read(at(0), "7", &Err(StateFileError::NewerFormat { format: 9 }));
    peers.record_temporary_file(at(0), "8");
    peers.record_temporary_file(at(50), "8");
    assert!(peers.removable_files(at(0) + DAMAGED_FILE_RETENTION).is_empty());
    let after_retention = at(0) + DAMAGED_FILE_RETENTION + TimeDelta::from_micros(1);
    assert_eq!(
        peers.removable_files(after_retention),
        names[..MAX_REMOVALS_PER_WRITE],
        "removals per write are limited"
    );
    peers.retain_listed(&["7", "8"].map(str::to_owned).into());
    assert_eq!(peers.removable_files(after_retention), ["8"]);
}

#[test]
fn live_process_whose_file_cannot_be_read_once_stays_alive() {
    let mut peers = PeerTable::default();
    peers.record_read(at(0), "a", &file(1, at(0), Phase::Serving));
    peers.record_read(at(1), "a", &Err(StateFileError::Damaged("truncated")));
    assert_eq!(peers.live_peers(at(1)).len(), 1);
    assert!(peers.live_peers(at(2)).is_empty());
}
