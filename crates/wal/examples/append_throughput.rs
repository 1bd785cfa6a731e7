//! The ledger against `redb` on the same folder: appends a second with a sync each, and bytes on disk.
//! `figures FOLDER [APPENDS]`; both do the same work in turn, and the ratio is what counts.

use redb::{Database, Durability, TableDefinition};
use sprucelink_wal::folder::Folder;
use sprucelink_wal::{Entry, Ledger, Write};
use std::path::Path;
use std::time::{Duration, Instant};

const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const STATE: TableDefinition<u8, &[u8]> = TableDefinition::new("state");
const STATE_BYTES: usize = 300;
const RECORD_BYTES: usize = 200;

type Failed = Box<dyn std::error::Error>;

fn resident_kib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn folder_bytes(path: &Path) -> u64 {
    let files = std::fs::read_dir(path).into_iter().flatten().flatten();
    files.filter_map(|file| file.metadata().ok()).map(|meta| meta.len()).sum()
}

fn ledger(path: &Path, appends: u64) -> Result<Duration, Failed> {
    let (mut ledger, _) = Ledger::open(Folder::open(path)?)?;
    let begun = Instant::now();
    for seq in 1..=appends {
        let entry = Entry { index: seq, term: 1, data: vec![seq as u8; RECORD_BYTES] };
        ledger.write(&Write { seq, state: vec![1; STATE_BYTES], base: None, entries: vec![entry] })?;
    }
    Ok(begun.elapsed())
}

fn redb(path: &Path, appends: u64) -> Result<Duration, Failed> {
    std::fs::create_dir_all(path)?;
    let database = Database::create(path.join("council.redb"))?;
    let begun = Instant::now();
    for seq in 1..=appends {
        let mut write = database.begin_write()?;
        write.set_durability(Durability::Immediate);
        write.open_table(LOG)?.insert(seq, vec![seq as u8; RECORD_BYTES].as_slice())?;
        write.open_table(STATE)?.insert(0, vec![1; STATE_BYTES].as_slice())?;
        write.commit()?;
    }
    Ok(begun.elapsed())
}

fn main() -> Result<(), Failed> {
    let mut args = std::env::args().skip(1);
    let folder = args.next().ok_or("figures FOLDER [APPENDS]")?;
    let appends: u64 = args.next().map_or(Ok(2000), |arg| arg.parse())?;
    type Store = fn(&Path, u64) -> Result<Duration, Failed>;
    let stores: [(&str, Store); 2] = [("ledger", ledger), ("redb", redb)];
    for round in 0..3 {
        for (name, store) in stores {
            let path = Path::new(&folder).join(format!("{name}-{round}"));
            let before = resident_kib();
            let took = store(&path, appends)?;
            let rate = appends as f64 / took.as_secs_f64();
            println!(
                "{name}: {rate:.0} synced appends a second, {:.0} us each, {} bytes on disk, memory +{} KiB",
                took.as_micros() as f64 / appends as f64,
                folder_bytes(&path),
                resident_kib().saturating_sub(before)
            );
            std::fs::remove_dir_all(&path)?;
        }
    }
    Ok(())
}
