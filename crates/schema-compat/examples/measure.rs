//! Measures the cost of checks: `cargo run --release -p sprucelink-schema-compat --example measure`. Each
//! figure is the minimum of several runs, because other load on the machine lengthens some of them.

use sprucelink_schema_compat::check::{check, Directions};
use sprucelink_schema_compat::rules::Direction;
use sprucelink_schema_compat::sample::sample;
use sprucelink_schema_compat::{CommandOutcome, ReaderUsage, Registry, RegistryCommand, Schema, Translation};
use std::time::{Duration, Instant};

/// Number of versions in force at the end: the registry's limit.
const VERSIONS: u32 = 64;
/// Number of fields of a record, over all its messages.
const FIELDS: u32 = 200;
/// Number of subscribers: the registry's limit.
const SUBSCRIBERS: u32 = 4_096;

/// The schema of a record of 200 fields in ten messages. Each version adds a field; the last version also
/// adds an enum value that must be translated for old readers.
fn schema_text(version: u32, last: bool) -> String {
    let mut text =
        "syntax = \"proto3\"; package m; import \"sprucelink/compat.proto\";\nmessage R {\n".to_string();
    for part in 0..10 {
        text += &format!("P{part} p{part} = {};\n", part + 1);
    }
    text += "}\n";
    for part in 0..10 {
        text += &format!("message P{part} {{\n");
        for field in 0..FIELDS / 10 - 1 {
            let kind =
                ["int64", "string", "E", "repeated double", "map<string, int32>"][(field % 5) as usize];
            let options = if field % 5 == 0 { " [(sprucelink.compat.field) = { min: 0 }]" } else { "" };
            text += &format!("{kind} f{field} = {}{options};\n", field + 1);
        }
        for added in 0..version {
            if added % 10 == part {
                text += &format!("int64 a{added} = {};\n", 100 + added);
            }
        }
        text += "}\n";
    }
    text += "enum E { Z = 0; ONE = 1;\n";
    if last {
        text += "TWO = 2 [(sprucelink.compat.value).reads_as = \"ONE\"];\n";
    }
    text + "}\n"
}

fn shortest_of<T>(runs: u32, mut work: impl FnMut() -> T) -> Duration {
    (0..runs)
        .map(|_| {
            let start = Instant::now();
            std::hint::black_box(work());
            start.elapsed()
        })
        .min()
        .unwrap_or_default()
}

/// Resident memory in KB; 0 if the system does not report it.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
}

/// Duration of subscriptions' leases, in milliseconds; the registry's time never advances so far.
const LEASE_MS: u64 = 60_000;
/// Name of the publisher of all schemas.
const PUBLISHER: &str = "p";

fn propose(schema: &Schema) -> RegistryCommand {
    RegistryCommand::Propose {
        publisher: PUBLISHER.into(),
        schema: schema.to_set().to_vec(),
        declarations: vec![],
        replayed: false,
    }
}

fn subscribe(subscriber: u32, version: u32) -> RegistryCommand {
    RegistryCommand::Subscribe {
        subscriber: format!("s{subscriber}"),
        publisher: PUBLISHER.into(),
        version,
        usage: ReaderUsage::all(),
        lease_ms: LEASE_MS,
    }
}

/// A registry at its limits: all versions but the last in force, each in use by some of the subscribers.
fn full_registry(schemas: &[Schema]) -> Registry {
    let mut registry = Registry::new();
    for schema in &schemas[..VERSIONS as usize - 1] {
        registry.apply(0, propose(schema));
    }
    for subscriber in 0..SUBSCRIBERS {
        let version = 1 + subscriber % (VERSIONS - 1);
        let outcome = registry.apply(0, subscribe(subscriber, version));
        if !matches!(outcome, CommandOutcome::Subscribed { .. }) {
            println!("a subscriber was rejected");
        }
    }
    registry
}

fn measure_schemas(first: &Schema, last: &Schema) {
    println!("schema: {} bytes of descriptors", first.to_set().len());
    println!("compile its text: {:?}", shortest_of(20, || Schema::from_text(&schema_text(0, false))));
    println!("read its descriptors: {:?}", shortest_of(20, || Schema::from_set(first.to_set())));
    let before = resident_kb();
    let copies: Vec<Schema> = (0..256).filter_map(|_| Schema::from_set(first.to_set()).ok()).collect();
    println!("memory of a schema: {} KB", resident_kb().saturating_sub(before) / copies.len() as u64);
    println!(
        "check of one pair, both ways: {:?}",
        shortest_of(20, || check(first, last, &ReaderUsage::all(), Directions::BOTH))
    );
}

fn measure_registry(mut registry: Registry, last: &Schema) {
    let proposal = propose(last);
    let mut outcome = None;
    let elapsed = shortest_of(5, || outcome = Some(registry.clone().apply(1, proposal.clone())));
    let translated = match outcome {
        Some(CommandOutcome::Accepted { translated, .. }) => translated.len(),
        other => return println!("the proposal was not accepted: {other:?}"),
    };
    println!(
        "proposal against 63 versions in use by {SUBSCRIBERS} subscribers: {elapsed:?}, {translated} of them translated"
    );
    registry.apply(1, proposal);
    let repeated = subscribe(0, 1);
    println!(
        "subscription against 64 in force: {:?}",
        shortest_of(5, || registry.apply(1, repeated.clone()))
    );
    let renewal = RegistryCommand::Renew { subscriber: "s9".into(), publisher: PUBLISHER.into() };
    println!("renewal: {:?}", shortest_of(1_000, || registry.apply(1, renewal.clone())));
    let snapshot = registry.export();
    println!("snapshot: {} bytes, written in {:?}", snapshot.len(), shortest_of(5, || registry.export()));
    println!("snapshot read: {:?}", shortest_of(3, || Registry::import(&snapshot)));
}

fn main() {
    let versions =
        (0..=VERSIONS).map(|version| Schema::from_text(&schema_text(version, version == VERSIONS)));
    let schemas: Vec<Schema> = versions.filter_map(Result::ok).collect();
    let first = &schemas[0];
    let last = &schemas[VERSIONS as usize];
    measure_schemas(first, last);
    measure_registry(full_registry(&schemas), last);
    let translation = Translation::between(last, first, Direction::NewToOld);
    if let Some(record) = sample(last, "m.R", 1) {
        println!("a record of 200 fields translated: {:?}", shortest_of(200, || translation.run(&record)));
    }
    println!("memory in all: {} KB", resident_kb());
}
