//! The names and values of all figures, in the order in which they are rendered.

use metrics::atomics::AtomicU64;
use metrics::{Counter, Gauge};
use std::collections::BTreeMap;
use std::fmt::{self, Write as _};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Figures at most, the program's own among them: a name made of something that a client says must not grow the registry.
pub const MOST_FIGURES: usize = 512;
/// Bytes of a figure's name at most, without the prefix.
pub const MOST_NAME: usize = 96;
/// Bytes that a rendering takes at most: each line has the prefix, a name, `=`, 20 digits and a line feed.
pub const MOST_TEXT: usize = MOST_FIGURES * (PREFIX.len() + MOST_NAME + 22);
/// Before each name.
const PREFIX: &str = "edge.";

/// Why a figure could not be had.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// The name is empty.
    Empty,
    /// The name is over [`MOST_NAME`] bytes long.
    Long(usize),
    /// White space, a control character or `=` in the name: it would break its line.
    Shape(String),
    /// The name is that of a figure that only this crate counts.
    Own(String),
    /// The name is a counter's, and a gauge was asked for, or the other way round.
    Kind(String),
    /// [`MOST_FIGURES`] are there already.
    Full,
    /// So many classes, over [`crate::MOST_CLASSES`].
    Classes(usize),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Empty => write!(f, "a figure's name is empty"),
            Unfit::Long(bytes) => write!(f, "a figure's name has {bytes} bytes, more than {MOST_NAME}"),
            Unfit::Shape(name) => {
                write!(f, "figure {name:?}: white space, control characters and = do not fit")
            }
            Unfit::Own(name) => write!(f, "figure {name:?} is taken"),
            Unfit::Kind(name) => write!(f, "figure {name:?} is of the other kind"),
            Unfit::Full => write!(f, "there are {MOST_FIGURES} figures already"),
            Unfit::Classes(n) => write!(f, "{n} classes, more than {}", crate::MOST_CLASSES),
        }
    }
}

impl std::error::Error for Unfit {}

/// One of the program's own figures: an integer, changed by the serving path.
#[derive(Clone, Debug, Default)]
pub(crate) struct Value(Arc<AtomicU64>);

impl Value {
    /// Adds to it.
    pub(crate) fn add(&self, n: u64) {
        self.0.fetch_add(n, Ordering::Relaxed);
    }
    /// Sets it.
    pub(crate) fn set(&self, n: u64) {
        self.0.store(n, Ordering::Relaxed);
    }
    /// What it is.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
enum Figure {
    Own(Value),
    Counter(Arc<AtomicU64>),
    /// The bits of an `f64`, as the library keeps gauges.
    Gauge(Arc<AtomicU64>),
}

/// All figures by name.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    figures: BTreeMap<String, Figure>,
}

impl Registry {
    /// Adds one of the program's own figures.
    pub(crate) fn own(&mut self, name: &str, value: Value) -> Result<(), Unfit> {
        if self.figures.contains_key(name) {
            return Err(Unfit::Own(name.to_owned()));
        }
        self.insert(name, Figure::Own(value))
    }

    /// The counter of this name, made if need be.
    pub(crate) fn counter(&mut self, name: &str) -> Result<Counter, Unfit> {
        if !self.figures.contains_key(name) {
            self.insert(name, Figure::Counter(Arc::default()))?;
        }
        match self.figures.get(name) {
            Some(Figure::Counter(cell)) => Ok(Counter::from_arc(Arc::clone(cell))),
            Some(Figure::Gauge(_)) => Err(Unfit::Kind(name.to_owned())),
            Some(Figure::Own(_)) | None => Err(Unfit::Own(name.to_owned())),
        }
    }

    /// The gauge of this name, made if need be.
    pub(crate) fn gauge(&mut self, name: &str) -> Result<Gauge, Unfit> {
        if !self.figures.contains_key(name) {
            self.insert(name, Figure::Gauge(Arc::default()))?;
        }
        match self.figures.get(name) {
            Some(Figure::Gauge(cell)) => Ok(Gauge::from_arc(Arc::clone(cell))),
            Some(Figure::Counter(_)) => Err(Unfit::Kind(name.to_owned())),
            Some(Figure::Own(_)) | None => Err(Unfit::Own(name.to_owned())),
        }
    }

    fn insert(&mut self, name: &str, figure: Figure) -> Result<(), Unfit> {
        if name.is_empty() {
            return Err(Unfit::Empty);
        }
        if name.len() > MOST_NAME {
            return Err(Unfit::Long(name.len()));
        }
        if name.chars().any(|c| c.is_whitespace() || c.is_control() || c == '=') {
            return Err(Unfit::Shape(name.to_owned()));
        }
        if self.figures.len() >= MOST_FIGURES {
            return Err(Unfit::Full);
        }
        self.figures.insert(name.to_owned(), figure);
        Ok(())
    }

    /// A line for each.
    pub(crate) fn render(&self) -> String {
        let mut text = String::with_capacity(self.figures.len() * 48);
        for (name, figure) in &self.figures {
            let value = match figure {
                Figure::Own(value) => value.get(),
                Figure::Counter(cell) => cell.load(Ordering::Acquire),
                // The cast saturates, and takes what is no number for 0.
                Figure::Gauge(cell) => f64::from_bits(cell.load(Ordering::Acquire)) as u64,
            };
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{PREFIX}{name}={value}");
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_gives_the_same_figure_again_from_any_thread() {
        let mut registry = Registry::default();
        let (here, there) = (registry.counter("a.b").unwrap(), registry.counter("a.b").unwrap());
        std::thread::spawn(move || there.increment(4)).join().unwrap();
        here.increment(1);
        registry.gauge("g").unwrap().set(2.9);
        registry.gauge("low").unwrap().set(-3.0);
        registry.gauge("none").unwrap().set(f64::NAN);
        assert_eq!(registry.render(), "edge.a.b=5\nedge.g=2\nedge.low=0\nedge.none=0\n");
    }

    #[test]
    fn names_are_checked_and_kinds_kept() {
        let mut registry = Registry::default();
        registry.own("mine", Value::default()).unwrap();
        assert_eq!(registry.counter("mine").unwrap_err(), Unfit::Own("mine".into()));
        assert!(registry.gauge("g").is_ok());
        assert_eq!(registry.counter("g").unwrap_err(), Unfit::Kind("g".into()));
        for bad in ["a b", "a\nb", "a=b", "a\u{7f}", "a\u{2028}b"] {
            assert_eq!(registry.counter(bad).unwrap_err(), Unfit::Shape(bad.into()));
        }
        assert_eq!(registry.counter("").unwrap_err(), Unfit::Empty);
        assert_eq!(registry.counter(&"x".repeat(MOST_NAME + 1)).unwrap_err(), Unfit::Long(MOST_NAME + 1));
        assert_eq!(registry.render(), "edge.g=0\nedge.mine=0\n");
    }

    #[test]
    fn a_full_registry_keeps_what_it_has_and_stays_within_its_text() {
        let mut registry = Registry::default();
        for n in 0..MOST_FIGURES {
            let name = format!("{n:0width$}", width = MOST_NAME);
            registry.counter(&name).unwrap().increment(u64::MAX);
        }
        assert_eq!(registry.counter("one.more").unwrap_err(), Unfit::Full);
        assert_eq!(registry.gauge("one.more").unwrap_err(), Unfit::Full);
        assert!(registry.counter(&format!("{:0width$}", 3, width = MOST_NAME)).is_ok());
        let text = registry.render();
        assert_eq!((text.len(), text.lines().count()), (MOST_TEXT, MOST_FIGURES));
    }
}
