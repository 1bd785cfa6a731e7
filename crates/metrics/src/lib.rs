//! The figures of the running program: one bounded registry of counters and gauges, a ledger of requests, and the
//! platform's text form, one line a figure: `edge.results.CLASS.succeeded=812`.
//!
//! [`Metrics`] is made once, from the names of the classes. The serving path calls its methods and ends its requests by
//! a guard ([`Taken`]), so that `outstanding` is always what was taken less what has ended. Other subsystems are handed
//! a [`Counter`] or a [`Gauge`] by name; without figures they are handed [`Counter::noop`].
//!
//! Which library: `metrics`, the facade alone. Its handles and its atomic storage are all that is needed, they cost one
//! uncontended atomic addition an update, take no lock and may go to other threads. Weighed against it: the registry of
//! `metrics-util` (sharded hash maps behind locks, eight more crates, and names would still have to be sorted and bounded
//! here); `prometheus-client` and `prometheus` (both render their own text form, hide the values behind it, and count
//! gauges and labels that the platform's form does not know).
//!
//! [`Metrics`] itself, the guards and the rendering belong to one thread (`Rc`, no lock): the serving loop's. Counters and
//! gauges handed out by name may be updated from any thread; the next rendering shows them.
//!
//! ```
//! # use sprucelink_metrics::Figures;
//! let figures = Figures::new(&["lane-rate".into()])?;
//! let taken = figures.take(0);
//! figures.forwarded();
//! taken.succeeded();
//! assert!(figures.render().contains("edge.results.lane-rate.succeeded=1\n"));
//! # Ok::<(), sprucelink_metrics::Unfit>(())
//! ```

mod ledger;
mod registry;

pub use ledger::{Ends, Ledger, Taken};
pub use metrics::{Counter, Gauge};
pub use registry::{Unfit, MOST_FIGURES, MOST_NAME, MOST_TEXT};

use registry::{Registry, Value};
use std::cell::RefCell;

/// Classes at most; a start with more is refused, as their lines would leave no room for other figures.
pub const MOST_CLASSES: usize = 64;

/// The figures of one process. They start at zero with it; nothing sets them back.
#[derive(Debug)]
pub struct Metrics {
    registry: RefCell<Registry>,
    ledger: Ledger,
    forwards: Value,
    outstanding: Value,
    discovered: Value,
    ejected: Value,
}

impl Metrics {
    /// Figures for these classes, in the order by which [`Metrics::take`] knows them. An error names what is wrong:
    /// more than [`MOST_CLASSES`], a name twice, or one that would break a line (see [`Unfit`]).
    pub fn new(classes: &[String]) -> Result<Metrics, Unfit> {
        if classes.len() > MOST_CLASSES {
            return Err(Unfit::Classes(classes.len()));
        }
        let mut registry = Registry::default();
        let ledger = Ledger::new(classes.len());
        for (class, ends) in classes.iter().zip(ledger.counted()) {
            if class.is_empty() {
                return Err(Unfit::Empty);
            }
            registry.own(&format!("results.{class}.succeeded"), ends.succeeded)?;
            registry.own(&format!("results.{class}.declined"), ends.declined)?;
            registry.own(&format!("results.{class}.aborted"), ends.aborted)?;
        }
        registry.own("abandoned", ledger.abandoned())?;
        registry.own("unclassed", ledger.unclassed())?;
        let mut level = |name| {
            let value = Value::default();
            registry.own(name, value.clone()).map(|()| value)
        };
        let (forwards, outstanding) = (level("forwards")?, level("outstanding")?);
        let (discovered, ejected) = (level("discovered")?, level("ejected")?);
        Ok(Metrics { registry: RefCell::new(registry), ledger, forwards, outstanding, discovered, ejected })
    }

    /// A request of this class was taken. The guard counts how it ends; dropped without a word it counts as aborted. A
    /// number that is no class's is counted as outstanding, too, and its end as `edge.unclassed`.
    pub fn take(&self, class: usize) -> Taken {
        self.ledger.take(class)
    }

    /// An attempt was written whole to an engine.
    pub fn forwarded(&self) {
        self.forwards.add(1);
    }

    /// So many engines are on the list.
    pub fn discovered(&self, engines: usize) {
        self.discovered.set(engines as u64);
    }

    /// So many engines on the list are avoided, by hand or by choice.
    pub fn ejected(&self, engines: usize) {
        self.ejected.set(engines as u64);
    }

    /// Requests taken and not yet ended.
    pub fn outstanding(&self) -> u64 {
        self.ledger.outstanding()
    }

    /// How the requests of a class have ended so far; `None` where there is no such class.
    pub fn results(&self, class: usize) -> Option<Ends> {
        self.ledger.ends(class)
    }

    /// The counter of this name, rendered as `edge.NAME`, made at the first call. The handle may go to another thread.
    /// Refused are a name that would break a line, one of this crate's own figures, a gauge's, and any new one beyond
    /// [`MOST_FIGURES`]: the caller goes on with [`Counter::noop`].
    pub fn counter(&self, name: &str) -> Result<Counter, Unfit> {
        self.registry.borrow_mut().counter(name)
    }

    /// The gauge of this name, as [`Metrics::counter`]. It is rendered as an unsigned integer: fractions are cut off,
    /// what is negative or not a number is shown as 0.
    pub fn gauge(&self, name: &str) -> Result<Gauge, Unfit> {
        self.registry.borrow_mut().gauge(name)
    }

    /// All figures, zeros too, a line each, by name: at most [`MOST_TEXT`] bytes.
    pub fn render(&self) -> String {
        self.outstanding.set(self.ledger.outstanding());
        self.registry.borrow().render()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(|n| (*n).to_owned()).collect()
    }

    #[test]
    fn every_figure_is_there_from_the_start_and_in_the_platforms_form() {
        let figures = Metrics::new(&names(&["lane-rate", "tariff-load"])).unwrap();
        let zeros = "edge.abandoned=0\nedge.discovered=0\nedge.ejected=0\nedge.forwards=0\nedge.outstanding=0\n\
                     edge.results.lane-rate.aborted=0\nedge.results.lane-rate.declined=0\n\
                     edge.results.lane-rate.succeeded=0\nedge.results.tariff-load.aborted=0\n\
                     edge.results.tariff-load.declined=0\nedge.results.tariff-load.succeeded=0\nedge.unclassed=0\n";
        assert_eq!(figures.render(), zeros);
        let kept = figures.take(1);
        figures.take(0).succeeded();
        figures.take(0).declined();
        figures.take(7).succeeded();
        figures.take(1).abandoned();
        drop(figures.take(1));
        figures.forwarded();
        figures.discovered(8);
        figures.ejected(2);
        let text = figures.render();
        for line in [
            "edge.abandoned=1",
            "edge.discovered=8",
            "edge.ejected=2",
            "edge.forwards=1",
            "edge.outstanding=1",
            "edge.results.lane-rate.declined=1",
            "edge.results.lane-rate.succeeded=1",
            "edge.results.tariff-load.aborted=1",
            "edge.unclassed=1",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} missing in\n{text}");
        }
        assert_eq!(text.lines().count(), 12);
        kept.succeeded();
        assert_eq!((figures.outstanding(), figures.results(1).unwrap().succeeded), (0, 1));
    }

    #[test]
    fn classes_that_would_break_the_form_are_refused_at_the_start() {
        let many: Vec<String> = (0..=MOST_CLASSES).map(|n| format!("c{n}")).collect();
        assert_eq!(Metrics::new(&many).unwrap_err(), Unfit::Classes(MOST_CLASSES + 1));
        assert!(Metrics::new(&many[1..]).is_ok());
        assert!(matches!(Metrics::new(&names(&["a", "a"])), Err(Unfit::Own(_))));
        assert!(matches!(Metrics::new(&names(&["a=1\nb"])), Err(Unfit::Shape(_))));
        assert_eq!(Metrics::new(&names(&[""])).unwrap_err(), Unfit::Empty);
    }
}
