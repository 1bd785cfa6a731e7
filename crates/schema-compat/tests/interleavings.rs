//! Explores all interleavings of three subscribers, three versions, two changes, crashes, leases and a leader
//! with a wrong clock. The assertions are on what subscribers believe, not on what the registry reports.

mod common;

use common::{schema, usage};
use sprucelink_schema_compat::limits::LEASE_MARGIN_MS;
use sprucelink_schema_compat::registry::PreparedCommand;
use sprucelink_schema_compat::{CommandOutcome, Registry, RegistryCommand, Schema};
use std::collections::{HashMap, HashSet};

/// One step of time: a lease lasts one tick, and its margin one more.
const TICK_MS: u64 = LEASE_MARGIN_MS;

/// The expected breaks, written by hand: the body written, the body read, and whether each of the three
/// readers breaks. Bodies A, B and C have the numbers 1 to 3. Readers 0 and 1 use everything; reader 2 uses
/// only `a` of A, and everything (`a` and `c`) from B on. B removes `b`. C changes the meaning of `a` and
/// breaks all readers of A and B.
const BREAKS: [(u32, u32, [bool; 3]); 6] = [
    (2, 1, [true, true, false]),
    (3, 1, [true, true, true]),
    (3, 2, [true, true, true]),
    (1, 2, [false, false, false]),
    (1, 3, [true, true, true]),
    (2, 3, [true, true, true]),
];

/// Bodies of the three versions, A, B and C.
const BODIES: [&str; 3] = [
    "message R { int32 a = 1; int32 b = 2; }",
    "message R { int32 a = 1; int32 c = 3; reserved 2; }",
    "message R { int32 a = 1 [(f).meaning = 1]; int32 c = 3; reserved 2; }",
];

/// A subscriber's own view of its subscription.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum SubscriberView {
    /// Not subscribed.
    Unsubscribed,
    /// Reads a version and renews its lease.
    Active { version: u32, until: u64 },
    /// Does not renew its lease any more, but continues to read until the lease ends.
    Suspended { version: u32, until: u64 },
}

/// Faults of a registry. The exploration must detect each of them.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    /// Checks a change at one position of the journal and applies it at a later one.
    StaleCheck,
    /// Accepts a leader's claim that a lease has expired without checking the lease.
    UncheckedExpiry,
    /// Checks a new subscriber against the newest version only.
    NewestOnly,
}

#[derive(Clone)]
struct World {
    registry: Registry,
    /// The subscribers' own views, by subscriber index.
    views: [SubscriberView; 3],
    now_ms: u64,
    /// The registry after a change that was checked but not yet applied, for [`Fault::StaleCheck`].
    pending: Option<Registry>,
}

/// Name of the only publisher.
fn publisher_name() -> String {
    "list".into()
}

struct Explorer {
    fault: Fault,
    schemas: Vec<Schema>,
    proposals: Vec<PreparedCommand>,
    /// Keys of the visited states: the possible steps depend only on the state.
    visited: HashSet<Vec<u8>>,
    transitions: u64,
    outcomes: HashMap<&'static str, u64>,
    violations: u64,
}

impl Explorer {
    fn new(fault: Fault) -> Self {
        let schemas = BODIES.map(schema).to_vec();
        let propose = |schema: &Schema| RegistryCommand::Propose {
            publisher: publisher_name(),
            schema: schema.to_set().to_vec(),
            declarations: vec![],
            replayed: false,
        };
        let proposals = schemas.iter().map(|schema| propose(schema).prepare()).collect();
        let (visited, outcomes) = (HashSet::new(), HashMap::new());
        Self { fault, schemas, proposals, visited, transitions: 0, outcomes, violations: 0 }
    }

    fn run(&mut self) {
        let mut registry = Registry::new();
        assert!(matches!(
            registry.apply_prepared(0, self.proposals[0].clone()),
            CommandOutcome::Accepted { version: 1, .. }
        ));
        let mut stack =
            vec![World { registry, views: [SubscriberView::Unsubscribed; 3], now_ms: 0, pending: None }];
        while let Some(world) = stack.pop() {
            if !self.visited.insert(self.key(&world)) {
                continue;
            }
            self.check(&world);
            if self.violations > 0 && self.fault != Fault::None {
                return;
            }
            self.push_successors(&world, &mut stack);
        }
    }

    /// The part of the state that determines later steps: time as the ticks left of each lease, and the two
    /// readers that use everything in either order.
    fn key(&self, world: &World) -> Vec<u8> {
        // After the end of a lease and its margin, the time since then makes no difference.
        let ticks_left = |until: u64| (until + TICK_MS).saturating_sub(world.now_ms) / TICK_MS;
        let registry = |registry: &Registry| {
            let versions: Vec<_> =
                registry.versions().map(|one| (one.version, self.body(one.digest), one.in_force)).collect();
            let held: Vec<_> = (0..3)
                .map(|subscriber_index| {
                    registry.subscribers().find(|one| one.subscriber == format!("s{subscriber_index}"))
                })
                .map(|one| one.map(|one| (one.version, ticks_left(one.until_ms))))
                .collect();
            (versions, held)
        };
        let (versions, held) = registry(&world.registry);
        let view = |subscriber_index: usize| match world.views[subscriber_index] {
            SubscriberView::Active { version, until } => (1, version, ticks_left(until)),
            SubscriberView::Suspended { version, until } => (2, version, ticks_left(until)),
            SubscriberView::Unsubscribed => (0, 0, 0),
        };
        let pending = world.pending.as_ref().map(registry);
        let mut interchangeable: Vec<_> = (0..2)
            .map(|index| (held[index], view(index), pending.as_ref().map(|one| one.1[index])))
            .collect();
        interchangeable.sort();
        format!("{versions:?}{interchangeable:?}{:?}{:?}{pending:?}", held[2], view(2)).into_bytes()
    }

    /// Counts the subscribers with a running lease that a schema in force breaks.
    fn check(&mut self, world: &World) {
        for schema_version in world.registry.versions().filter(|one| one.in_force) {
            // A version's number depends on the order of acceptance, so only its digest tells which of the
            // bodies A, B and C it has.
            let body = self.body(schema_version.digest);
            for (reader, view) in world.views.iter().enumerate() {
                let (SubscriberView::Active { version, until }
                | SubscriberView::Suspended { version, until }) = *view
                else {
                    continue;
                };
                let reads =
                    world.registry.schema("list", version).map_or(0, |schema| self.body(schema.digest()));
                let breaks = BREAKS.iter().find(|(writes, of, _)| (*writes, *of) == (body, reads));
                if world.now_ms <= until && breaks.is_some_and(|(.., who)| who[reader]) {
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
        let outcome = next.registry.apply_prepared(world.now_ms, command);
        let name = match &outcome {
            CommandOutcome::Rejected(_) => "rejected",
            CommandOutcome::Accepted { .. } => "accepted",
            CommandOutcome::Subscribed { .. } => "subscribed",
            CommandOutcome::Renewed { .. } => "renewed",
            CommandOutcome::Done => "done",
        };
        *self.outcomes.entry(name).or_default() += 1;
        (next, outcome)
    }

    fn push_successors(&mut self, world: &World, stack: &mut Vec<World>) {
        let before = stack.len();
        let mut later = World { now_ms: world.now_ms + TICK_MS, ..world.clone() };
        for view in &mut later.views {
            // A suspended subscriber whose lease has ended must subscribe again.
            if matches!(view, SubscriberView::Suspended { until, .. } if *until < later.now_ms) {
                *view = SubscriberView::Unsubscribed;
            }
        }
        stack.push(later);
        if let Some(pending) = &world.pending {
            // Applies the change without checking it again: the subscriptions made since the check are added
            // to the registry that has the change.
            let mut registry = Registry::import(&pending.export()).unwrap();
            for (subscriber_index, view) in world.views.iter().enumerate() {
                if let SubscriberView::Active { version, .. } = view {
                    registry.apply(world.now_ms, self.subscription(subscriber_index, *version));
                }
            }
            stack.push(World { registry, pending: None, ..world.clone() });
        }
        for version in [2, 3] {
            let (next, outcome) = self.apply_prepared(world, self.proposals[version - 1].clone());
            if !matches!(outcome, CommandOutcome::Accepted { .. }) {
                continue;
            }
            if self.fault == Fault::StaleCheck {
                stack.push(World { pending: Some(next.registry), ..world.clone() });
            } else {
                stack.push(next);
            }
        }
        for schema_version in world.registry.versions().filter(|one| one.in_force) {
            stack.push(
                self.apply(
                    world,
                    RegistryCommand::Withdraw {
                        publisher: publisher_name(),
                        version: schema_version.version,
                    },
                )
                .0,
            );
        }
        for subscriber_index in 0..3 {
            self.push_subscriber_steps(world, subscriber_index, stack);
        }
        self.transitions += (stack.len() - before) as u64;
    }

    fn subscription(&self, subscriber_index: usize, version: u32) -> RegistryCommand {
        let used = if subscriber_index < 2 || version > 1 { "all" } else { "t.R/a" };
        RegistryCommand::Subscribe {
            subscriber: format!("s{subscriber_index}"),
            publisher: publisher_name(),
            version,
            usage: usage(used),
            lease_ms: TICK_MS,
        }
    }

    #[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
    fn push_subscriber_steps(&mut self, world: &World, subscriber_index: usize, stack: &mut Vec<World>) {
        let (subscriber, publisher) = (format!("s{subscriber_index}"), publisher_name());
        match world.views[subscriber_index] {
            SubscriberView::Unsubscribed => {
                for schema_version in world.registry.versions().collect::<Vec<_>>() {
                    let (mut next, mut outcome) =
                        self.apply(world, self.subscription(subscriber_index, schema_version.version));
                    if self.fault == Fault::NewestOnly && matches!(outcome, CommandOutcome::Rejected(_)) {
                        // Repeats the check with only the newest version in force.
                        let newest = world.registry.versions().map(|one| one.version).max().unwrap();
                        let mut newest_only = world.clone();
                        for other in 1..newest {
                            newest_only.registry.apply(
                                world.now_ms,
                                RegistryCommand::Withdraw { publisher: publisher_name(), version: other },
                            );
                        }
                        outcome = newest_only
                            .registry
                            .apply(world.now_ms, self.subscription(subscriber_index, schema_version.version));
                        next = world.clone();
                    }
                    if let CommandOutcome::Subscribed { until_ms, .. } = outcome {
                        next.views[subscriber_index] =
                            SubscriberView::Active { version: schema_version.version, until: until_ms };
                        stack.push(next);
                    }
                }
            }
            SubscriberView::Active { version, until } => {
                let mut suspended = world.clone();
                suspended.views[subscriber_index] = SubscriberView::Suspended { version, until };
                stack.push(suspended);
                let renew =
                    RegistryCommand::Renew { subscriber: subscriber.clone(), publisher: publisher.clone() };
                let (mut next, outcome) = self.apply(world, renew);
                next.views[subscriber_index] = match outcome {
                    CommandOutcome::Renewed { until_ms } => {
                        SubscriberView::Active { version, until: until_ms }
                    }
                    _ => SubscriberView::Unsubscribed,
                };
                stack.push(next);
                let unsubscribe = RegistryCommand::Unsubscribe {
                    subscriber: subscriber.clone(),
                    publisher: publisher.clone(),
                };
                let (mut next, _) = self.apply(world, unsubscribe);
                next.views[subscriber_index] = SubscriberView::Unsubscribed;
                stack.push(next);
            }
            SubscriberView::Suspended { .. } => {}
        }
        // A leader may propose the expiry at any time, since its clock may be wrong.
        if world.registry.subscribed("list", &subscriber).is_some() {
            let command = if self.fault == Fault::UncheckedExpiry {
                RegistryCommand::Unsubscribe { subscriber, publisher }
            } else {
                RegistryCommand::ExpireLease { subscriber, publisher }
            };
            stack.push(self.apply(world, command).0);
        }
    }
}

#[test]
fn no_interleaving_breaks_a_subscriber_with_a_valid_lease() {
    let mut explorer = Explorer::new(Fault::None);
    explorer.run();
    println!(
        "{} states, {} transitions, outcomes {:?}",
        explorer.visited.len(),
        explorer.transitions,
        explorer.outcomes
    );
    assert_eq!(explorer.violations, 0);
    // Guards against a vacuous exploration: every outcome occurred.
    for outcome in ["rejected", "accepted", "subscribed", "renewed", "done"] {
        assert!(explorer.outcomes.get(outcome).is_some_and(|&count| count > 100), "{outcome}");
    }
}

#[test]
fn each_faulty_registry_is_detected() {
    for fault in [Fault::StaleCheck, Fault::UncheckedExpiry, Fault::NewestOnly] {
        let mut explorer = Explorer::new(fault);
        explorer.run();
        assert!(explorer.violations > 0, "{fault:?} passed {} states", explorer.visited.len());
    }
}
