//! No permit takes effect after a halt: no planned outage begins later than the terms' bound after the halt was first
//! seen committed and before it is over. The way back is no new permit of the halted release: with a halt that names a
//! version, a manager that ends to come back as another version goes free.

use crate::event::{Event, Line};
use crate::outages::{outages, NEVER};
use crate::terms::Terms;
use crate::Found;

/// The rule's name.
pub const NAME: &str = "permit-after-halt";

struct Halt<'a> {
    id: &'a str,
    from: u64,
    to: u64,
    version: &'a Option<String>,
}

/// Judges a history.
pub fn judge(history: &[Line], terms: &Terms) -> Found {
    let mut halts: Vec<Halt<'_>> = Vec::new();
    for Line { at_us, event } in history {
        match event {
            Event::Halt { id, version } if !halts.iter().any(|h| h.id == id && h.to == NEVER) => {
                halts.push(Halt { id, from: *at_us, to: NEVER, version });
            }
            Event::HaltOver { id } => {
                halts.iter_mut().filter(|h| h.id == id && h.to == NEVER).for_each(|h| h.to = *at_us);
            }
            _ => {}
        }
    }
    let mut found = Found { seen: halts.len() as u64, ..Found::default() };
    for o in outages(history, terms).iter().filter(|o| o.planned) {
        for h in &halts {
            let back = h.version.is_some() && o.next.is_some() && o.next != *h.version;
            if o.from > h.from.saturating_add(terms.halt_ms * 1_000) && o.from < h.to && !back {
                let what = format!(
                    "{} went out ({}) {} ms after halt {} was seen, at most {}",
                    o.party,
                    o.next.as_deref().unwrap_or("no version named"),
                    (o.from - h.from) / 1_000,
                    h.id,
                    terms.halt_ms
                );
                found.add(NAME, o.from, what);
            }
        }
    }
    found
}
