//! No active schema breaks a subscriber with a lease: no subscriber reads a record that its version cannot
//! decode, and no schema becomes active that excludes the version of a subscriber that is connected, or was
//! connected within the lease time.

use crate::config::CheckConfig;
use crate::event::{Event, HistoryEntry};
use crate::InvariantReport;
use std::collections::BTreeMap;

/// Name of the invariant in reports.
pub const NAME: &str = "schema-lease";

/// A subscriber's lease.
struct Lease<'a> {
    version: &'a str,
    /// Time at which the subscriber's connection was closed, in microseconds of the run; `None` while it is
    /// connected.
    disconnected_us: Option<u64>,
}

impl Lease<'_> {
    /// Whether the lease is valid at `at_us`.
    fn is_valid(&self, at_us: u64, config: &CheckConfig) -> bool {
        self.disconnected_us.is_none_or(|disconnected_us| at_us < disconnected_us + config.lease_ms * 1_000)
    }
}

/// Checks a history for violations of the invariant.
pub fn check(history: &[HistoryEntry], config: &CheckConfig) -> InvariantReport {
    let mut report = InvariantReport::default();
    let mut leases: BTreeMap<&str, Lease<'_>> = BTreeMap::new();
    for HistoryEntry { at_us, event } in history {
        match event {
            Event::SubscriberConnected { subscriber, version, .. } => {
                leases.insert(subscriber, Lease { version, disconnected_us: None });
            }
            Event::SubscriberDisconnected { subscriber, .. } => {
                if let Some(lease) = leases.get_mut(subscriber.as_str()) {
                    // A failed attempt to reconnect does not prolong the lease.
                    lease.disconnected_us.get_or_insert(*at_us);
                }
            }
            Event::Record { subscriber, manager, cursor, unreadable, .. } => {
                report.examined += 1;
                if let Some(reason) = unreadable {
                    let version = leases.get(subscriber.as_str()).map_or("?", |lease| lease.version);
                    let description = format!(
                        "{subscriber} of version {version} could not read {cursor} from {manager}: {reason}"
                    );
                    report.add(NAME, *at_us, description);
                }
            }
            Event::SchemaActivated { publisher, reads } => {
                let is_excluded = |lease: &Lease<'_>| !reads.iter().any(|version| version == lease.version);
                for (subscriber, lease) in &leases {
                    if lease.is_valid(*at_us, config) && is_excluded(lease) {
                        let description = format!(
                            "a schema of {publisher} excludes {subscriber} of version {}, which has a lease",
                            lease.version
                        );
                        report.add(NAME, *at_us, description);
                    }
                }
            }
            _ => {}
        }
    }
    report
}
