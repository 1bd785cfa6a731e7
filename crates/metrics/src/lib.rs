//! Metrics of the running program: a bounded registry of counters and gauges, accounting of requests, and the platform's
//! text form, one line per metric: `edge.results.CLASS.succeeded=812`.
//!
//! [`Metrics`] is made once, from the names of the request classes. The serving path calls its methods and completes its
//! requests through a guard ([`ActiveRequest`]), so that `outstanding` is always the number started less the number
//! completed. Other subsystems get a [`Counter`] or a [`Gauge`] by name; where there are no metrics, [`Counter::noop`].
//!
//! The library is `metrics`, the facade alone: its handles and atomic storage are all that is needed, cost one uncontended
//! atomic addition per update, take no lock and may go to other threads. The registry of `metrics-util` (sharded hash maps
//! behind locks) leaves names to be sorted and bounded here all the same; `prometheus-client` and `prometheus` render their
//! own text form and hide the values behind it.
//!
//! [`Metrics`], the guards and the rendering belong to one thread (`Rc`, no lock), that of the serving loop. Counters and
//! gauges handed out by name may be updated from any thread; the next rendering shows them.
//!
//! ```
//! # use sprucelink_metrics::Metrics;
//! let metrics = Metrics::try_new(&["lane-rate".into()])?;
//! let request = metrics.start_request(0);
//! metrics.record_forward();
//! request.succeed();
//! assert!(metrics.render().contains("edge.results.lane-rate.succeeded=1\n"));
//! # Ok::<(), sprucelink_metrics::MetricError>(())
//! ```

mod error;
mod registry;
mod request_accounting;

pub use error::MetricError;
pub use metrics::{Counter, Gauge};
pub use registry::{MAX_METRICS, MAX_NAME_BYTES, MAX_RENDERED_BYTES};
pub use request_accounting::{ActiveRequest, RequestAccounting, RequestCounts};

use registry::{AtomicValue, Registry};
use std::cell::RefCell;

/// Largest number of request classes: with more, their lines would leave no room for other metrics.
pub const MAX_CLASSES: usize = 64;

/// The metrics of one process. They start at zero with it and are never reset.
#[derive(Debug)]
pub struct Metrics {
    registry: RefCell<Registry>,
    requests: RequestAccounting,
    forwards: AtomicValue,
    outstanding: AtomicValue,
    discovered: AtomicValue,
    ejected: AtomicValue,
}

impl Metrics {
    /// Metrics for these request classes, in the order by which [`Metrics::start_request`] numbers them.
    ///
    /// # Errors
    /// More than [`MAX_CLASSES`] classes, a name that occurs twice, or one that is not a valid metric name.
    pub fn try_new(classes: &[String]) -> Result<Metrics, MetricError> {
        if classes.len() > MAX_CLASSES {
            return Err(MetricError::TooManyClasses(classes.len()));
        }
        let mut registry = Registry::default();
        let requests = RequestAccounting::new(classes.len());
        for (class, counters) in classes.iter().zip(requests.class_counters()) {
            if class.is_empty() {
                return Err(MetricError::EmptyName);
            }
            registry.reserve(&format!("results.{class}.succeeded"), counters.succeeded)?;
            registry.reserve(&format!("results.{class}.declined"), counters.rejected)?;
            registry.reserve(&format!("results.{class}.aborted"), counters.aborted)?;
        }
        registry.reserve("abandoned", requests.abandoned())?;
        registry.reserve("unclassed", requests.unclassed())?;
        let mut reserve = |name| -> Result<AtomicValue, MetricError> {
            let value = AtomicValue::default();
            registry.reserve(name, value.clone())?;
            Ok(value)
        };
        let forwards = reserve("forwards")?;
        let outstanding = reserve("outstanding")?;
        let discovered = reserve("discovered")?;
        let ejected = reserve("ejected")?;
        let registry = RefCell::new(registry);
        Ok(Metrics { registry, requests, forwards, outstanding, discovered, ejected })
    }

    /// Counts a request of a class as started. The guard counts how it completes; dropped without that, the request counts
    /// as aborted. A number that is no class's counts as outstanding, too, and on completion in `edge.unclassed`.
    pub fn start_request(&self, class: usize) -> ActiveRequest {
        self.requests.start(class)
    }

    /// Counts an attempt that was written completely to an engine.
    pub fn record_forward(&self) {
        self.forwards.add(1);
    }

    /// Sets the number of engines on the endpoint list.
    pub fn set_discovered(&self, engines: usize) {
        self.discovered.set(engines as u64);
    }

    /// Sets the number of listed engines that get no requests, ejected or cordoned.
    pub fn set_ejected(&self, engines: usize) {
        self.ejected.set(engines as u64);
    }

    /// Requests started and not yet completed.
    pub fn outstanding(&self) -> u64 {
        self.requests.outstanding()
    }

    /// How the requests of a class have completed so far; `None` where there is no such class.
    pub fn request_counts(&self, class: usize) -> Option<RequestCounts> {
        self.requests.counts(class)
    }

    /// The counter of this name, rendered as `edge.NAME`; made at the first call. The handle may go to another thread.
    ///
    /// # Errors
    /// An invalid name, one that this crate reserves, a gauge's, or any new one beyond [`MAX_METRICS`]. The caller goes on
    /// with [`Counter::noop`].
    pub fn counter(&self, name: &str) -> Result<Counter, MetricError> {
        self.registry.borrow_mut().counter(name)
    }

    /// The gauge of this name; made at the first call. It is rendered as an unsigned integer: fractions are cut off,
    /// negative values and NaN are shown as 0.
    ///
    /// # Errors
    /// As for [`Metrics::counter`].
    pub fn gauge(&self, name: &str) -> Result<Gauge, MetricError> {
        self.registry.borrow_mut().gauge(name)
    }

    /// All metrics, zeros included, one line each, sorted by name: at most [`MAX_RENDERED_BYTES`] bytes.
    pub fn render(&self) -> String {
        self.outstanding.set(self.requests.outstanding());
        self.registry.borrow().render()
    }
}
