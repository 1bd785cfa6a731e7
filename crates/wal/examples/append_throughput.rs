//! Compares the write-ahead log with `redb` in the same directory: synced appends per second, and bytes on
//! disk. `append_throughput DIRECTORY [APPENDS]`; both stores do the same work in turn, and only the ratio of
//! their rates is meaningful.

use redb::{Database, Durability, TableDefinition};
use sprucelink_wal::{DirectoryDisk, Entry, Wal, WriteBatch};
use std::path::Path;
use std::time::{Duration, Instant};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const STATE: TableDefinition<u8, &[u8]> = TableDefinition::new("state");
/// Length of the caller's state in each append, bytes.
const STATE_BYTES: usize = 300;
/// Length of the entry in each append, bytes.
const RECORD_BYTES: usize = 200;

type BoxError = Box<dyn std::error::Error>;

fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn directory_bytes(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).into_iter().flatten().flatten();
    files.filter_map(|file| file.metadata().ok()).map(|meta| meta.len()).sum()
}

fn append_to_wal(path: &Path, appends: u64) -> Result<Duration, BoxError> {
    let (mut wal, _) = Wal::open(DirectoryDisk::open(path)?)?;
    let started = Instant::now();
    for sequence in 1..=appends {
        let entry = Entry { index: sequence, term: 1, data: vec![sequence as u8; RECORD_BYTES] };
        wal.write(&WriteBatch {
            sequence,
            state: vec![1; STATE_BYTES],
            snapshot: None,
            entries: vec![entry],
        })?;
    }
    Ok(started.elapsed())
}

fn append_to_redb(path: &Path, appends: u64) -> Result<Duration, BoxError> {
    std::fs::create_dir_all(path)?;
    let database = Database::create(path.join("consensus.redb"))?;
    let started = Instant::now();
    for sequence in 1..=appends {
        let mut transaction = database.begin_write()?;
        transaction.set_durability(Durability::Immediate);
        transaction.open_table(LOG)?.insert(sequence, vec![sequence as u8; RECORD_BYTES].as_slice())?;
        transaction.open_table(STATE)?.insert(0, vec![1; STATE_BYTES].as_slice())?;
        transaction.commit()?;
    }
    Ok(started.elapsed())
}

fn main() -> Result<(), BoxError> {
    let mut args = std::env::args().skip(1);
    let directory = args.next().ok_or("append_throughput DIRECTORY [APPENDS]")?;
    let appends: u64 = args.next().map_or(Ok(2000), |arg| arg.parse())?;
    type AppendAll = fn(&Path, u64) -> Result<Duration, BoxError>;
    let stores: [(&str, AppendAll); 2] = [("wal", append_to_wal), ("redb", append_to_redb)];
    for round in 0..3 {
        for (name, append_all) in stores {
            let path = Path::new(&directory).join(format!("{name}-{round}"));
            let resident_before = resident_kib();
            let elapsed = append_all(&path, appends)?;
            let rate = appends as f64 / elapsed.as_secs_f64();
            println!(
                "{name}: {rate:.0} synced appends per second, {:.0} us each, {} bytes on disk, memory +{} KiB",
                elapsed.as_micros() as f64 / appends as f64,
                directory_bytes(&path),
                resident_kib().saturating_sub(resident_before)
            );
            std::fs::remove_dir_all(&path)?;
        }
    }
    Ok(())
}
