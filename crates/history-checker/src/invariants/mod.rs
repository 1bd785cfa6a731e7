//! The rules, one module each. A rule looks at a whole history and says where it is broken.

pub mod acknowledged;
pub mod agreement;
pub mod budget;
pub mod halt;
pub mod order;
pub mod schema;
pub mod uncommitted;

use crate::event::Line;
use crate::terms::Terms;
use crate::Found;

/// A rule's judge.
pub type Judge = fn(&[Line], &Terms) -> Found;

/// All rules, by their stable names.
pub const ALL: [(&str, Judge); 7] = [
    (agreement::NAME, agreement::judge),
    (budget::NAME, budget::judge),
    (halt::NAME, halt::judge),
    (schema::NAME, schema::judge),
    (order::NAME, order::judge),
    (uncommitted::NAME, uncommitted::judge),
    (acknowledged::NAME, acknowledged::judge),
];

/// The rules' names.
pub const NAMES: [&str; 7] = [
    agreement::NAME,
    budget::NAME,
    halt::NAME,
    schema::NAME,
    order::NAME,
    uncommitted::NAME,
    acknowledged::NAME,
];

/// The version and filter that each subscriber told when it joined last.
#[derive(Default)]
pub(crate) struct Speaks<'a>(std::collections::BTreeMap<&'a str, (&'a str, &'a str)>);

impl<'a> Speaks<'a> {
    /// Takes a line in.
    pub(crate) fn see(&mut self, line: &'a Line) {
        if let crate::event::Event::Join { subscriber, version, filter, .. } = &line.event {
            self.0.insert(subscriber, (version, filter));
        }
    }

    /// A subscriber's version.
    pub(crate) fn version(&self, subscriber: &str) -> &'a str {
        self.0.get(subscriber).map_or("", |s| s.0)
    }

    /// A subscriber's filter.
    pub(crate) fn filter(&self, subscriber: &str) -> &'a str {
        self.0.get(subscriber).map_or("", |s| s.1)
    }
}
