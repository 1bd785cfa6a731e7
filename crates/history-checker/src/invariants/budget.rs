//! Never more out than any budget: at the instant a planned outage begins, those out by then, planned and unplanned
//! together and itself among them, are within every budget that it counts in. An unplanned outage counts from the
//! notice the terms give the fleet; by itself it breaks nothing, for nobody decided it.

use crate::event::Line;
use crate::outages::{outages, parties, Outage};
use crate::terms::{Budget, Terms};
use crate::Found;
use std::collections::BTreeSet;

/// The rule's name.
pub const NAME: &str = "outage-budget";

/// Judges a history.
pub fn judge(history: &[Line], terms: &Terms) -> Found {
    let (all, parties, notice) = (outages(history, terms), parties(history), terms.notice_ms * 1_000);
    let counts_in = |o: &Outage, b: &Budget| {
        let home = parties.get(&o.party).map(|(_, p)| p);
        let fits = |want: &Option<String>, has: Option<&String>| want.as_ref().is_none_or(|w| has == Some(w));
        o.of == b.of && fits(&b.zone, home.map(|p| &p.zone)) && fits(&b.pool, home.map(|p| &p.pool))
    };
    let mut found = Found::default();
    for o in all.iter().filter(|o| o.planned) {
        found.seen += 1;
        for b in terms.budgets.iter().filter(|b| counts_in(o, b)) {
            // All that began by then lie before it in the order, or at its very instant.
            let out: BTreeSet<&str> = all
                .iter()
                .take_while(|x| x.from <= o.from)
                .filter(|x| x.to > o.from && counts_in(x, b))
                .filter(|x| x.planned || x.from + notice <= o.from)
                .map(|x| x.party.as_str())
                .chain([o.party.as_str()])
                .collect();
            if out.len() > b.most {
                let scope = [b.zone.as_deref(), b.pool.as_deref()].into_iter().flatten().collect::<Vec<_>>();
                let scope = if scope.is_empty() { "the fleet".to_owned() } else { scope.join(", ") };
                let what = format!(
                    "{} went out while {} of {scope} ({:?}) were out with it, at most {}: {out:?}",
                    o.party,
                    out.len() - 1,
                    b.of,
                    b.most
                );
                found.add(NAME, o.from, what);
            }
        }
    }
    found
}
