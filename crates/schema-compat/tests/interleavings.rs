//! Explores all interleavings of three subscribers, three versions, two changes, crashes, leases and a leader
//! with a wrong clock. The assertions are on what subscribers believe, not on what the registry reports.

mod common;

use common::{schema, usage};
use sprucelink_schema_compat::limits::LEASE_MARGIN_MS;
use sprucelink_schema_compat::registry::PreparedCommand;
use sprucelink_schema_compat::{CommandOutcome, Registry, RegistryCommand, Schema};
use std::collections::{HashMap, HashSet};

/// One step of time, in ms: a lease is one, its margin another.
const TICK: u64 = LEASE_MARGIN_MS;

/// Which reader of which version each schema breaks, written down by hand. Readers 0 and 1 use everything,
/// reader 2 only `a`, from version 2 on `c` too. B removes `b`, C changes what `a` means: C breaks everybody
/// before it.
const BREAKS: [(u32, u32, [bool; 3]); 6] = [
    (2, 1, [true, true, false]),
    (3, 1, [true, true, true]),
    (3, 2, [true, true, true]),
    (1, 2, [false, false, false]),
    (1, 3, [true, true, true]),
    (2, 3, [true, true, true]),
];

const BODIES: [&str; 3] = [
    "message R { int32 a = 1; int32 b = 2; }",
    "message R { int32 a = 1; int32 c = 3; reserved 2; }",
    "message R { int32 a = 1 [(f).meaning = 1]; int32 c = 3; reserved 2; }",
];

/// What a subscriber believes: the version that it reads, and the end of its lease.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Mind {
    Out,
    In {
        version: u32,
        until: u64,
    },
    /// Like the one before, but it does not renew: out of sight, it reads on until its lease ends.
    Asleep {
        version: u32,
        until: u64,
    },
}

/// Faults of a registry; the exploration must detect each.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    /// Judges a change at one position and makes it at a later one.
    JudgedBefore,
    /// Trusts a leader's claim that a lease has expired.
    LeaseByWord,
    /// Looks at the newest version only when a subscriber comes.
    NewestOnly,
}

#[derive(Clone)]
struct World {
    registry: Registry,
    minds: [Mind; 3],
    now: u64,
    /// A change that was judged and not yet made, for [`Fault::JudgedBefore`].
    pending: Option<Registry>,
}

fn list() -> String {
    "list".into()
}

struct Explorer {
    fault: Fault,
    schemas: Vec<Schema>,
    proposals: Vec<PreparedCommand>,
    /// By state: the steps left are the same whatever way led to it.
    seen: HashSet<Vec<u8>>,
    transitions: u64,
    outcomes: HashMap<&'static str, u64>,
    violations: u64,
}

impl Explorer {
    fn new(fault: Fault) -> Self {
        let schemas = BODIES.map(schema).to_vec();
        let propose = |schema: &Schema| RegistryCommand::Propose {
            publisher: list(),
            schema: schema.to_set().to_vec(),
            declarations: vec![],
            replayed: false,
        };
        let proposals = schemas.iter().map(|schema| propose(schema).prepare()).collect();
        let (seen, outcomes) = (HashSet::new(), HashMap::new());
        Self { fault, schemas, proposals, seen, transitions: 0, outcomes, violations: 0 }
    }

    fn run(&mut self) {
        let mut registry = Registry::new();
        assert!(matches!(
            registry.apply_prepared(0, self.proposals[0].clone()),
            CommandOutcome::Accepted { version: 1, .. }
        ));
        let mut todo = vec![World { registry, minds: [Mind::Out; 3], now: 0, pending: None }];
        while let Some(world) = todo.pop() {
            if !self.seen.insert(self.key(&world)) {
                continue;
            }
            self.check(&world);
            if self.violations > 0 && self.fault != Fault::None {
                return;
            }
            self.steps(&world, &mut todo);
        }
    }

    /// What the future depends on: time as what is left of leases, the two readers that use all in either
    /// order.
    fn key(&self, world: &World) -> Vec<u8> {
        // Beyond a lease and its margin, longer is no other.
        let left = |until: u64| (until + TICK).saturating_sub(world.now) / TICK;
        let registry = |registry: &Registry| {
            let versions: Vec<_> =
                registry.versions().map(|one| (one.version, self.body(one.digest), one.in_force)).collect();
            let held: Vec<_> = (0..3)
                .map(|n| registry.subscribers().find(|one| one.subscriber == format!("s{n}")))
                .map(|one| one.map(|one| (one.version, left(one.until_ms))))
                .collect();
            (versions, held)
        };
        let (versions, held) = registry(&world.registry);
        let mind = |n: usize| match world.minds[n] {
            Mind::In { version, until } => (1, version, left(until)),
            Mind::Asleep { version, until } => (2, version, left(until)),
            Mind::Out => (0, 0, 0),
        };
        let pending = world.pending.as_ref().map(registry);
        let mut like: Vec<_> =
            (0..2).map(|n| (held[n], mind(n), pending.as_ref().map(|one| one.1[n]))).collect();
        like.sort();
        format!("{versions:?}{like:?}{:?}{:?}{pending:?}", held[2], mind(2)).into_bytes()
    }

    /// The schemas that publishers write, against the subscribers that read.
    fn check(&mut self, world: &World) {
        for schema_version in world.registry.versions().filter(|one| one.in_force) {
            // Versions are numbered as they are accepted: which body it is, its digest says.
            let body = self.body(schema_version.digest);
            for (reader, mind) in world.minds.iter().enumerate() {
                let (Mind::In { version, until } | Mind::Asleep { version, until }) = *mind else { continue };
                let reads =
                    world.registry.schema("list", version).map_or(0, |schema| self.body(schema.digest()));
                let breaks = BREAKS.iter().find(|(writes, of, _)| (*writes, *of) == (body, reads));
                if world.now <= until && breaks.is_some_and(|(.., who)| who[reader]) {
                    self.violations += 1;
                }
            }
        }
    }

    fn body(&self, digest: sprucelink_schema_compat::Digest) -> u32 {
        1 + self.schemas.iter().position(|schema| schema.digest() == digest).unwrap() as u32
    }

    fn apply(&mut self, world: &World, command: RegistryCommand) -> (World, CommandOutcome) {
        self.apply_prepared(world, command.prepare())
    }

    fn apply_prepared(&mut self, world: &World, command: PreparedCommand) -> (World, CommandOutcome) {
        let mut next = world.clone();
        let outcome = next.registry.apply_prepared(world.now, command);
        let name = match &outcome {
            CommandOutcome::Rejected(_) => "refused",
            CommandOutcome::Accepted { .. } => "accepted",
            CommandOutcome::Subscribed { .. } => "subscribed",
            CommandOutcome::Renewed { .. } => "renewed",
            CommandOutcome::Done => "done",
        };
        *self.outcomes.entry(name).or_default() += 1;
        (next, outcome)
    }

    fn steps(&mut self, world: &World, todo: &mut Vec<World>) {
        let before = todo.len();
        let mut later = World { now: world.now + TICK, ..world.clone() };
        for mind in &mut later.minds {
            // It wakes to a lease that is over, and begins anew.
            if matches!(mind, Mind::Asleep { until, .. } if *until < later.now) {
                *mind = Mind::Out;
            }
        }
        todo.push(later);
        if let Some(pending) = &world.pending {
            // What was judged is made, upon whoever came since.
            let mut registry = Registry::import(&pending.export()).unwrap();
            for (n, mind) in world.minds.iter().enumerate() {
                if let Mind::In { version, .. } = mind {
                    registry.apply(world.now, self.subscription(n, *version));
                }
            }
            todo.push(World { registry, pending: None, ..world.clone() });
        }
        for version in [2, 3] {
            let (next, outcome) = self.apply_prepared(world, self.proposals[version - 1].clone());
            if !matches!(outcome, CommandOutcome::Accepted { .. }) {
                continue;
            }
            if self.fault == Fault::JudgedBefore {
                todo.push(World { pending: Some(next.registry), ..world.clone() });
            } else {
                todo.push(next);
            }
        }
        for schema_version in world.registry.versions().filter(|one| one.in_force) {
            todo.push(
                self.apply(
                    world,
                    RegistryCommand::Withdraw { publisher: list(), version: schema_version.version },
                )
                .0,
            );
        }
        for n in 0..3 {
            self.subscriber(world, n, todo);
        }
        self.transitions += (todo.len() - before) as u64;
    }

    fn subscription(&self, n: usize, version: u32) -> RegistryCommand {
        let used = if n < 2 || version > 1 { "all" } else { "t.R/a" };
        RegistryCommand::Subscribe {
            subscriber: format!("s{n}"),
            publisher: list(),
            version,
            usage: usage(used),
            lease_ms: TICK,
        }
    }

    #[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
    fn subscriber(&mut self, world: &World, n: usize, todo: &mut Vec<World>) {
        let (subscriber, publisher) = (format!("s{n}"), list());
        match world.minds[n] {
            Mind::Out => {
                for schema_version in world.registry.versions().collect::<Vec<_>>() {
                    let (mut next, mut outcome) =
                        self.apply(world, self.subscription(n, schema_version.version));
                    if self.fault == Fault::NewestOnly && matches!(outcome, CommandOutcome::Rejected(_)) {
                        // As it would be with nothing but the newest version and its own in force.
                        let newest = world.registry.versions().map(|one| one.version).max().unwrap();
                        let mut alone = world.clone();
                        for other in 1..newest {
                            alone.registry.apply(
                                world.now,
                                RegistryCommand::Withdraw { publisher: list(), version: other },
                            );
                        }
                        outcome =
                            alone.registry.apply(world.now, self.subscription(n, schema_version.version));
                        next = world.clone();
                    }
                    if let CommandOutcome::Subscribed { until_ms, .. } = outcome {
                        next.minds[n] = Mind::In { version: schema_version.version, until: until_ms };
                        todo.push(next);
                    }
                }
            }
            Mind::In { version, until } => {
                let mut asleep = world.clone();
                asleep.minds[n] = Mind::Asleep { version, until };
                todo.push(asleep);
                let renew =
                    RegistryCommand::Renew { subscriber: subscriber.clone(), publisher: publisher.clone() };
                let (mut next, outcome) = self.apply(world, renew);
                next.minds[n] = match outcome {
                    CommandOutcome::Renewed { until_ms } => Mind::In { version, until: until_ms },
                    _ => Mind::Out,
                };
                todo.push(next);
                let leave = RegistryCommand::Unsubscribe {
                    subscriber: subscriber.clone(),
                    publisher: publisher.clone(),
                };
                let (mut next, _) = self.apply(world, leave);
                next.minds[n] = Mind::Out;
                todo.push(next);
            }
            Mind::Asleep { .. } => {}
        }
        // A leader may propose the end at any time, whatever its clock.
        if world.registry.subscribed("list", &subscriber).is_some() {
            let command = if self.fault == Fault::LeaseByWord {
                RegistryCommand::Unsubscribe { subscriber, publisher }
            } else {
                RegistryCommand::ExpireLease { subscriber, publisher }
            };
            todo.push(self.apply(world, command).0);
        }
    }
}

#[test]
fn no_interleaving_breaks_a_subscriber_with_a_valid_lease() {
    let mut explorer = Explorer::new(Fault::None);
    explorer.run();
    println!(
        "{} states, {} transitions, outcomes {:?}",
        explorer.seen.len(),
        explorer.transitions,
        explorer.outcomes
    );
    assert_eq!(explorer.violations, 0);
    // Guards against a vacuous exploration: every outcome occurred.
    for outcome in ["refused", "accepted", "subscribed", "renewed", "done"] {
        assert!(explorer.outcomes.get(outcome).is_some_and(|&count| count > 100), "{outcome}");
    }
}

#[test]
fn each_faulty_registry_is_detected() {
    for fault in [Fault::JudgedBefore, Fault::LeaseByWord, Fault::NewestOnly] {
        let mut explorer = Explorer::new(fault);
        explorer.run();
        assert!(explorer.violations > 0, "{fault:?} passed {} states", explorer.seen.len());
    }
}
