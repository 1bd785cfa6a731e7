//! Metrics of the program: a bounded registry of counters and gauges, accounting of requests, and the
//! platform's text format, one line per metric: `edge.results.CLASS.succeeded=812`.
//!
//! [`Metrics`] is created once, from the names of the request classes. The serving path calls its methods and
//! completes requests through a guard ([`ActiveRequest`]), so that `outstanding` is always the number of
//! requests started minus the number completed. Other subsystems get a [`Counter`] or a [`Gauge`] by name;
//! without metrics they use [`Counter::noop`].
//!
//! The only metrics library used is the `metrics` facade: its handles and atomic storage are sufficient, cost
//! one uncontended atomic addition per update, take no lock and may be sent to other threads. With the
//! registry of `metrics-util` (sharded hash maps behind locks), this crate would still have to sort and bound
//! the names; `prometheus-client` and `prometheus` render their own text format and do not expose the values.
//!
//! [`Metrics`], the guards and the rendering belong to one thread, that of the event loop (`Rc`, no lock).
//! Counters and gauges obtained by name may be updated from any thread; the next rendering shows the update.
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

/// Maximum number of request classes: the lines of more classes would leave no room for other metrics.
pub const MAX_CLASSES: usize = 64;

/// The metrics of a process. They are zero when the process starts and are never reset.
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
    /// Creates the metrics for these request classes, whose order gives the indices for
    /// [`Metrics::start_request`].
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

    /// Counts a request of a class as started. The guard counts how the request completes; a request whose
    /// guard is dropped without completion counts as aborted. A request with an invalid class index also
    /// counts as outstanding, and on completion in `edge.unclassed`.
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

    /// Sets the number of listed engines that get no requests because they are ejected or cordoned.
    pub fn set_ejected(&self, engines: usize) {
        self.ejected.set(engines as u64);
    }

    /// Number of requests started and not yet completed.
    pub fn outstanding(&self) -> u64 {
        self.requests.outstanding()
    }

    /// Number of completed requests of a class, by outcome; `None` for an invalid class index.
    pub fn request_counts(&self, class: usize) -> Option<RequestCounts> {
        self.requests.counts(class)
    }

    /// The counter with this name, rendered as `edge.NAME`; registered at the first call. The handle may be
    /// sent to another thread.
    ///
    /// # Errors
    /// An invalid or reserved name, the name of a gauge, or a new name when there are [`MAX_METRICS`]
    /// already. The caller can use [`Counter::noop`] instead.
    pub fn counter(&self, name: &str) -> Result<Counter, MetricError> {
        self.registry.borrow_mut().counter(name)
    }

    /// The gauge with this name; registered at the first call. It is rendered as an unsigned integer:
    /// fractions are truncated, negative values and NaN are shown as 0.
    ///
    /// # Errors
    /// An invalid or reserved name, the name of a counter, or a new name when there are [`MAX_METRICS`]
    /// already.
    pub fn gauge(&self, name: &str) -> Result<Gauge, MetricError> {
        self.registry.borrow_mut().gauge(name)
    }

    /// Renders all metrics, including zeros, one line per metric, sorted by name: at most
    /// [`MAX_RENDERED_BYTES`] bytes.
    pub fn render(&self) -> String {
        self.outstanding.set(self.requests.outstanding());
        self.registry.borrow().render()
    }
}
