//! A stand-in for a manager in the harness's own tests: it sends a journal to subscribers, exits for another
//! version as planned, and passes failpoints. The journal is a single file that the process `n0` writes and
//! all others read, so there is no consensus protocol. The plan can name a rule that the process violates.

use serde::Deserialize;
use serde_json::{json, Value};
use sprucelink_failpoints::faulty_disk::FaultyDisk;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which the journal is read for new records.
const READ_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which records are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Plan {
    name: String,
    folder: PathBuf,
    version: String,
    clock_offset_ms: i64,
    /// Milliseconds after its start at which a process exits to be restarted as the version `next`, by name
    /// of the process; only processes of version `v1` do so.
    #[serde(default)]
    out_ms: BTreeMap<String, u64>,
    /// The version that processes request; empty: they exit without naming one.
    #[serde(default)]
    next: String,
    /// Number of the record that is a halt of the next version; 0: none.
    #[serde(default)]
    halt_at: usize,
    /// The injected violation: `skip`, `repeat`, `strip`, `reword`, `early` or `lose`; empty: none.
    #[serde(default, rename = "plant")]
    violation: String,
    /// The process that commits the violation; empty: all of them.
    #[serde(default, rename = "plant_at")]
    violating_process: String,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().collect();
    let option = args.iter().position(|a| a == "--plan").ok_or("--plan is missing")?;
    let mut plan: Plan =
        json5::from_str(&std::fs::read_to_string(args.get(option + 1).ok_or("--plan: expected a file")?)?)?;
    if !plan.violating_process.is_empty() && plan.violating_process != plan.name {
        plan.violation.clear();
    }
    let faults = sprucelink_failpoints::load_and_arm(&plan.folder)?;
    println!("version {}, clock off by {} ms", plan.version, plan.clock_offset_ms);
    write_store(&plan.folder, faults.disk);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("fanout on {}", listener.local_addr()?);
    println!("accepting connections front=platform address={}", listener.local_addr()?);
    let journal = plan.folder.parent().ok_or("the folder has no parent")?.join("journal.jsonl");
    let plan = Arc::new(plan);
    if plan.name == "n0" {
        let plan = Arc::clone(&plan);
        let journal = journal.clone();
        std::thread::spawn(move || write_records(&plan, &journal));
    }
    if let Some(ms) = plan.out_ms.get(&plan.name).copied().filter(|_| plan.version == "v1") {
        let plan = Arc::clone(&plan);
        std::thread::spawn(move || exit_for_next_version(&plan, ms));
    }
    for stream in listener.incoming() {
        let plan = Arc::clone(&plan);
        let journal = journal.clone();
        std::thread::spawn(move || stream.map(|s| serve(s, &plan, &journal)));
    }
    Ok(())
}

/// Appends 24 bytes to the process's store, in three writes through a simulated faulty disk.
fn write_store(folder: &Path, fault: sprucelink_failpoints::fault_file::DiskFaults) {
    let path = folder.join("store");
    let len = std::fs::metadata(&path).map_or(0, |m| m.len());
    println!("store held {len} bytes");
    let Ok(mut file) = std::fs::OpenOptions::new().create(true).append(true).open(&path) else { return };
    let mut disk = FaultyDisk::new(fault);
    for k in 0..3 {
        let writes = match disk.write(len + 8 * k, b"12345678") {
            Ok(writes) => writes,
            Err(error) => {
                println!("store: {}", error.to_io_error());
                error.partial
            }
        };
        writes.iter().for_each(|w| _ = file.write_all(&w.bytes));
    }
}

fn exit_for_next_version(plan: &Plan, ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
    sprucelink_failpoints::hit("standin.permit");
    println!("passed the failpoint standin.permit");
    if !plan.next.is_empty() {
        let _ = std::fs::write(plan.folder.join("next-version"), &plan.next);
    }
    std::process::exit(75);
}

fn count_lines(journal: &Path) -> usize {
    std::fs::read_to_string(journal).map_or(0, |t| t.lines().count())
}

/// Appends a record and returns its number, which is the number of its line.
fn append(journal: &Path, name: &str, mut value: Value) -> usize {
    let n = count_lines(journal) + 1;
    value["n"] = json!(n);
    let file = std::fs::OpenOptions::new().create(true).append(true).open(journal);
    let _ = file.and_then(|mut f| f.write_all(format!("{name} {value}\n").as_bytes()));
    n
}

fn write_records(plan: &Plan, journal: &Path) {
    loop {
        let n = count_lines(journal) + 1;
        match n == plan.halt_at {
            true => append(journal, "halt", json!({ "id": "h1", "to": plan.next })),
            false => append(journal, ["note", "permit"][n % 2], json!({})),
        };
        // Acknowledged operations are stored in a folder of their own until their records are written.
        for op in std::fs::read_dir(journal.with_extension("ops")).into_iter().flatten().flatten() {
            append(journal, "operation", json!({ "op": op.file_name().to_string_lossy() }));
            let _ = std::fs::remove_file(op.path());
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
}

fn serve(mut stream: TcpStream, plan: &Plan, journal: &Path) -> std::io::Result<()> {
    let mut head = String::new();
    let mut reader = BufReader::new(stream.try_clone()?);
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 || head.len() > 16_384 {
            return Ok(());
        }
    }
    let first = head.lines().next().unwrap_or("");
    if let Some(op) = first.strip_prefix("POST /v1/op/").and_then(|r| r.split(' ').next()) {
        let folder = journal.with_extension("ops");
        if plan.violation != "lose" {
            std::fs::create_dir_all(&folder)?;
            std::fs::write(folder.join(op), "")?;
        }
        return stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
    }
    let last_event_id = head
        .lines()
        .find_map(|l| l.to_ascii_lowercase().strip_prefix("last-event-id: 1:").map(str::to_owned));
    let sent: usize = last_event_id.and_then(|v| v.trim().parse().ok()).unwrap_or(0);
    stream.write_all(
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nretry: 100\n\n",
    )?;
    send_records(stream, plan, journal, sent, first.contains("kind=permit"))
}

/// Follows the journal as it grows and sends its records after number `sent`, with the plan's violations;
/// sends only permits if `only_permits` is set.
fn send_records(
    mut stream: TcpStream,
    plan: &Plan,
    journal: &Path,
    mut sent: usize,
    only_permits: bool,
) -> std::io::Result<()> {
    let mut file = None;
    let mut line_number = 0;
    let mut unparsed = String::new();
    let mut next_comment = Instant::now();
    loop {
        if file.is_none() {
            file = std::fs::File::open(journal).ok();
        }
        if let Some(f) = &mut file {
            f.read_to_string(&mut unparsed)?;
        }
        while let Some((line, rest)) = unparsed.split_once('\n') {
            let line = line.to_owned();
            let rest = rest.to_owned();
            unparsed = rest;
            line_number += 1;
            let (name, data) = line.split_once(' ').unwrap_or(("", "{}"));
            if line_number <= sent || only_permits && name != "permit" {
                continue;
            }
            for event in events_of_record(plan, name, data, line_number, sent) {
                stream.write_all(event.as_bytes())?;
            }
            sent = line_number;
        }
        if next_comment.elapsed() > Duration::from_millis(500) {
            next_comment = Instant::now();
            stream.write_all(b": here\n\n")?;
        }
        std::thread::sleep(READ_INTERVAL);
    }
}

/// The events sent for a record; every tenth record is sent with the plan's violation.
fn events_of_record(plan: &Plan, name: &str, data: &str, n: usize, sent: usize) -> Vec<String> {
    let mut value: Value = serde_json::from_str(data).unwrap_or_default();
    value["prev"] = json!(format!("1:{sent}"));
    let violates = n % 10 == 5;
    match plan.violation.as_str() {
        "skip" if violates => return Vec::new(),
        "reword" if violates => value["n"] = json!(0),
        "strip" if violates => _ = value.as_object_mut().and_then(|v| v.remove("n")),
        _ => {}
    }
    let event = |n: usize, v: &Value| format!("id: 1:{n}\nevent: {name}\ndata: {v}\n\n");
    let mut events = vec![event(n, &value)];
    if violates && plan.violation == "repeat" {
        events.push(event(n, &value));
    }
    if violates && plan.violation == "early" {
        events.push(event(n + 1, &json!({ "prev": format!("1:{n}"), "n": "never" })));
    }
    events
}
