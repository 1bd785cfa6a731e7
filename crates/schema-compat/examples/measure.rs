//! What a judgement costs: `cargo run --release -p sprucelink-schema-compat --example measure`. Each figure is the least of
//! several runs; the machine's other load shows in the rest.

use sprucelink_schema_compat::check::{check, Directions};
use sprucelink_schema_compat::rules::Direction;
use sprucelink_schema_compat::sample::sample;
use sprucelink_schema_compat::{CommandOutcome, ReaderUsage, Registry, RegistryCommand, Schema, Translation};
use std::time::{Duration, Instant};

const VERSIONS: u32 = 64;
const FIELDS: u32 = 200;
/// The registry's bound.
const SUBSCRIBERS: u32 = 4096;

/// A record of 200 fields in ten messages; each version adds a field, the last an enum's value that old readers need
/// translated.
fn text(version: u32, last: bool) -> String {
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
            let said = if field % 5 == 0 { " [(sprucelink.compat.field) = { min: 0 }]" } else { "" };
            text += &format!("{kind} f{field} = {}{said};\n", field + 1);
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

/// Resident memory in KB, where the system tells it.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
}

fn main() {
    let schemas: Vec<Schema> = (0..=VERSIONS)
        .filter_map(|version| Schema::from_text(&text(version, version == VERSIONS)).ok())
        .collect();
    let (first, last) = (&schemas[0], &schemas[VERSIONS as usize]);
    println!("schema: {} bytes of descriptors", first.to_set().len());
    println!("compile its text: {:?}", shortest_of(20, || Schema::from_text(&text(0, false))));
    println!("read its descriptors: {:?}", shortest_of(20, || Schema::from_set(first.to_set())));
    let before = resident();
    let kept: Vec<_> = (0..256).filter_map(|_| Schema::from_set(first.to_set()).ok()).collect();
    println!("memory of a schema: {} KB", resident().saturating_sub(before) / kept.len() as u64);
    println!(
        "check of one pair, both ways: {:?}",
        shortest_of(20, || check(first, last, &ReaderUsage::all(), Directions::BOTH))
    );

    let mut registry = Registry::new();
    let propose = |schema: &Schema| RegistryCommand::Propose {
        publisher: "p".into(),
        schema: schema.to_set().to_vec(),
        translations: vec![],
        replayed: false,
    };
    for version in 0..VERSIONS - 1 {
        registry.apply(0, propose(&schemas[version as usize]));
    }
    for subscriber in 0..SUBSCRIBERS {
        let (name, version) = (format!("s{subscriber}"), 1 + subscriber % (VERSIONS - 1));
        let usage = ReaderUsage::all();
        let command = RegistryCommand::Subscribe {
            subscriber: name,
            publisher: "p".into(),
            version,
            usage,
            lease_ms: 60_000,
        };
        if !matches!(registry.apply(0, command), CommandOutcome::Subscribed { .. }) {
            println!("a subscriber was refused");
        }
    }
    let proposal = propose(last);
    let mut outcome = None;
    let took = shortest_of(5, || outcome = Some(registry.clone().apply(1, proposal.clone())));
    let translated = match outcome {
        Some(CommandOutcome::Accepted { translated, .. }) => translated.len(),
        other => return println!("the proposal was not accepted: {other:?}"),
    };
    println!(
        "proposal against 63 versions in use by {SUBSCRIBERS} subscribers: {took:?}, {translated} of them translated"
    );
    registry.apply(1, proposal);
    let again = RegistryCommand::Subscribe {
        subscriber: "s0".into(),
        publisher: "p".into(),
        version: 1,
        usage: ReaderUsage::all(),
        lease_ms: 60_000,
    };
    println!("subscription against 64 in force: {:?}", shortest_of(5, || registry.apply(1, again.clone())));
    let renew = RegistryCommand::Renew { subscriber: "s9".into(), publisher: "p".into() };
    println!("renewal: {:?}", shortest_of(1000, || registry.apply(1, renew.clone())));
    let bytes = registry.export();
    println!("snapshot: {} bytes, written in {:?}", bytes.len(), shortest_of(5, || registry.export()));
    println!("snapshot read: {:?}", shortest_of(3, || Registry::import(&bytes)));
    let translation = Translation::between(last, first, Direction::Down);
    if let Some(record) = sample(last, "m.R", 1) {
        println!("a record of 200 fields translated: {:?}", shortest_of(200, || translation.run(&record)));
    }
    println!("memory in all: {} KB", resident());
}
