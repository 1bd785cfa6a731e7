//! No schema in force breaks a subscriber in lease: no subscriber reads a record that its version cannot read, and no
//! schema comes into force that leaves out the version of a subscriber connected, or gone for less than the lease; nor
//! does one join unread while such a schema is in force.

use crate::event::{Event, Line};
use crate::terms::Terms;
use crate::Found;
use std::collections::BTreeMap;

/// The rule's name.
pub const NAME: &str = "schema-lease";

/// A subscriber's version, and when its connection ended; none while it is there.
struct Lease<'a> {
    version: &'a str,
    left: Option<u64>,
}

/// Judges a history.
pub fn judge(history: &[Line], terms: &Terms) -> Found {
    let mut found = Found::default();
    let mut leases: BTreeMap<&str, Lease<'_>> = BTreeMap::new();
    for Line { at_us, event } in history {
        match event {
            Event::Join { subscriber, version, .. } => {
                leases.insert(subscriber, Lease { version, left: None });
            }
            Event::Left { subscriber, .. } => {
                if let Some(lease) = leases.get_mut(subscriber.as_str()) {
                    // A try that does not come up prolongs no lease.
                    lease.left.get_or_insert(*at_us);
                }
            }
            Event::Record { subscriber, manager, cursor, unreadable, .. } => {
                found.seen += 1;
                if let Some(why) = unreadable {
                    let version = leases.get(subscriber.as_str()).map_or("?", |l| l.version);
                    let what = format!(
                        "{subscriber} of version {version} could not read {cursor} from {manager}: {why}"
                    );
                    found.add(NAME, *at_us, what);
                }
            }
            Event::Schema { publisher, reads } => {
                let held = |l: &Lease<'_>| l.left.is_none_or(|t| *at_us < t + terms.lease_ms * 1_000);
                let unread = |l: &Lease<'_>| !reads.iter().any(|v| v == l.version);
                for (subscriber, l) in leases.iter().filter(|(_, l)| held(l) && unread(l)) {
                    let version = l.version;
                    let what = format!(
                        "a schema of {publisher} leaves out {subscriber} of version {version}, in lease"
                    );
                    found.add(NAME, *at_us, what);
                }
            }
            _ => {}
        }
    }
    found
}
