//! The registry: names and values of all metrics, sorted by name for rendering.

use crate::MetricError;
use metrics::atomics::AtomicU64;
use metrics::{Counter, Gauge};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Maximum number of metrics, including the reserved ones: names derived from clients' input must not grow
/// the registry without bound.
pub const MAX_METRICS: usize = 512;
/// Maximum length of a metric's name in bytes, without the prefix.
pub const MAX_NAME_BYTES: usize = 96;
/// Maximum length of a rendering in bytes: each line has the prefix, a name, `=`, at most 20 digits and a
/// line feed.
pub const MAX_RENDERED_BYTES: usize = MAX_METRICS * (PREFIX.len() + MAX_NAME_BYTES + 22);
/// Prefix of each name in a rendering.
const PREFIX: &str = "edge.";
/// Expected length of a line in bytes, from which the capacity of a rendering is computed.
const TYPICAL_LINE_BYTES: usize = 48;

/// Shared value of a reserved metric, which only this crate updates.
#[derive(Clone, Debug, Default)]
pub(crate) struct AtomicValue(Arc<AtomicU64>);

impl AtomicValue {
    pub(crate) fn add(&self, increment: u64) {
        self.0.fetch_add(increment, Ordering::Relaxed);
    }

    pub(crate) fn set(&self, value: u64) {
        self.0.store(value, Ordering::Relaxed);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Value of a metric, by kind.
#[derive(Debug)]
enum Metric {
    /// A reserved metric, which only this crate updates.
    Reserved(AtomicValue),
    /// A counter obtained by name.
    Counter(Arc<AtomicU64>),
    /// A gauge obtained by name: the bits of an `f64`, as the `metrics` library stores it.
    Gauge(Arc<AtomicU64>),
}

/// All metrics by name.
#[derive(Debug, Default)]
pub(crate) struct Registry {
    metrics: BTreeMap<String, Metric>,
}

impl Registry {
    /// Registers a reserved metric.
    pub(crate) fn reserve(&mut self, name: &str, value: AtomicValue) -> Result<(), MetricError> {
        if self.metrics.contains_key(name) {
            return Err(MetricError::ReservedName(name.to_owned()));
        }
        self.insert(name, Metric::Reserved(value))
    }

    /// The counter with this name, registered if necessary.
    pub(crate) fn counter(&mut self, name: &str) -> Result<Counter, MetricError> {
        if !self.metrics.contains_key(name) {
            self.insert(name, Metric::Counter(Arc::default()))?;
        }
        match self.metrics.get(name) {
            Some(Metric::Counter(cell)) => Ok(Counter::from_arc(Arc::clone(cell))),
            Some(Metric::Gauge(_)) => Err(MetricError::KindMismatch(name.to_owned())),
            Some(Metric::Reserved(_)) | None => Err(MetricError::ReservedName(name.to_owned())),
        }
    }

    /// The gauge with this name, registered if necessary.
    pub(crate) fn gauge(&mut self, name: &str) -> Result<Gauge, MetricError> {
        if !self.metrics.contains_key(name) {
            self.insert(name, Metric::Gauge(Arc::default()))?;
        }
        match self.metrics.get(name) {
            Some(Metric::Gauge(cell)) => Ok(Gauge::from_arc(Arc::clone(cell))),
            Some(Metric::Counter(_)) => Err(MetricError::KindMismatch(name.to_owned())),
            Some(Metric::Reserved(_)) | None => Err(MetricError::ReservedName(name.to_owned())),
        }
    }

    fn insert(&mut self, name: &str, metric: Metric) -> Result<(), MetricError> {
        check_name(name)?;
        if self.metrics.len() >= MAX_METRICS {
            return Err(MetricError::RegistryFull);
        }
        self.metrics.insert(name.to_owned(), metric);
        Ok(())
    }

    /// Renders one line per metric.
    pub(crate) fn render(&self) -> String {
        let mut text = String::with_capacity(self.metrics.len() * TYPICAL_LINE_BYTES);
        for (name, metric) in &self.metrics {
            let value = match metric {
                Metric::Reserved(value) => value.get(),
                Metric::Counter(cell) => cell.load(Ordering::Acquire),
                // The cast saturates, and turns NaN into 0.
                Metric::Gauge(cell) => f64::from_bits(cell.load(Ordering::Acquire)) as u64,
            };
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{PREFIX}{name}={value}");
        }
        text
    }
}

fn check_name(name: &str) -> Result<(), MetricError> {
    if name.is_empty() {
        return Err(MetricError::EmptyName);
    }
    if name.len() > MAX_NAME_BYTES {
        return Err(MetricError::NameTooLong(name.len()));
    }
    if name.chars().any(|c| c.is_whitespace() || c.is_control() || c == '=') {
        return Err(MetricError::InvalidName(name.to_owned()));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
