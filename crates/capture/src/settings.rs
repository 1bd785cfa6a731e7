//! The recorder's settings, in JSON5 (`deploy/capture.json5`; docs/operators/capture.md explains each
//! setting).

use crate::error::SettingsError;
use crate::ring::RingLimits;
use serde::Deserialize;
use sprucelink_policy::TimeDelta;
use std::path::PathBuf;

/// Bytes per megabyte in the settings.
const BYTES_PER_MB: u64 = 1 << 20;
/// Bytes per kilobyte in the settings.
const BYTES_PER_KB: f64 = 1024.0;
const SECONDS_PER_MINUTE: i64 = 60;

/// The settings of the recorder.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Folder of the ring's files, which is created if it does not exist.
    pub dir: PathBuf,
    /// Maximum size of all files together, in MB: 1 to 1,000,000.
    #[serde(default = "ring_mb")]
    pub ring_mb: u64,
    /// Age of its last write at which a file is removed, in minutes: 1 to 100,000.
    #[serde(default = "ring_minutes")]
    pub ring_minutes: u64,
    /// Size at which a segment ends, in MB before compression: 1 to 1,024. Shorter segments lose less to
    /// damage and cost more checkpoints.
    #[serde(default = "segment_mb")]
    pub segment_mb: u64,
    /// Age at which a segment ends, in seconds: 1 to 86,400.
    #[serde(default = "segment_s")]
    pub segment_s: u64,
    /// Maximum rate of records, in KB per second before compression: 1 to 1,000,000. Records beyond it are
    /// dropped, which ends the segment.
    #[serde(default = "rate_kb_s")]
    pub rate_kb_s: u64,
    /// Maximum size of the queue to the writer thread, in KB: 64 to 65,536. Records beyond it are dropped,
    /// which ends the segment.
    #[serde(default = "queue_kb")]
    pub queue_kb: u64,
    /// Age at which a batch of records is queued for the writer thread even if it is not full, in
    /// milliseconds: 10 to 10,000. A crash loses the records of about this time.
    #[serde(default = "flush_ms")]
    pub flush_ms: u64,
    /// Form in which the policy's answers are recorded.
    #[serde(default)]
    pub answers: AnswerFormat,
}

/// Form in which the policy's answers are recorded.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum AnswerFormat {
    /// All actions: a divergence in a replay shows the recorded actions, too.
    #[default]
    #[serde(rename = "whole")]
    Complete,
    /// A digest: it takes fewer bytes, but a divergence shows only the replayed actions.
    Digest,
}

/// Default maximum size of all files together, in MB.
fn ring_mb() -> u64 {
    64
}

/// Default age at which a file is removed, in minutes.
fn ring_minutes() -> u64 {
    60
}

/// Default size at which a segment ends, in MB.
fn segment_mb() -> u64 {
    8
}

/// Default age at which a segment ends, in seconds.
fn segment_s() -> u64 {
    60
}

/// Default limit of the write rate, in KB per second: 500 requests per second take about 150 KB per second.
fn rate_kb_s() -> u64 {
    2_048
}

/// Default limit of the writer's queue, in KB.
fn queue_kb() -> u64 {
    1_024
}

/// Default age at which a batch is queued for the writer, in milliseconds.
fn flush_ms() -> u64 {
    200
}

impl Settings {
    /// The default settings with this folder.
    pub fn in_dir(dir: impl Into<PathBuf>) -> Settings {
        Settings {
            dir: dir.into(),
            ring_mb: ring_mb(),
            ring_minutes: ring_minutes(),
            segment_mb: segment_mb(),
            segment_s: segment_s(),
            rate_kb_s: rate_kb_s(),
            queue_kb: queue_kb(),
            flush_ms: flush_ms(),
            answers: AnswerFormat::Complete,
        }
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// The text is not valid JSON5 (the error names the line), or a field is unknown, has the wrong type or
    /// is out of its range (the error names the field).
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = json5::from_str(text)?;
        let bounds = [
            ("ring_mb", settings.ring_mb, 1, 1_000_000),
            ("ring_minutes", settings.ring_minutes, 1, 100_000),
            ("segment_mb", settings.segment_mb, 1, 1_024),
            ("segment_s", settings.segment_s, 1, 86_400),
            ("rate_kb_s", settings.rate_kb_s, 1, 1_000_000),
            ("queue_kb", settings.queue_kb, 64, 65_536),
            ("flush_ms", settings.flush_ms, 10, 10_000),
        ];
        for (field, value, min, max) in bounds {
            if !(min..=max).contains(&value) {
                return Err(SettingsError::OutOfRange { field, value, min, max });
            }
        }
        if settings.dir.as_os_str().is_empty() {
            return Err(SettingsError::NoDirectory);
        }
        if settings.segment_mb > settings.ring_mb {
            return Err(SettingsError::SegmentExceedsRing {
                segment_mb: settings.segment_mb,
                ring_mb: settings.ring_mb,
            });
        }
        Ok(settings)
    }

    /// The limits of the ring, converted to the units that [`RingLimits`] uses.
    pub fn limits(&self) -> RingLimits {
        RingLimits {
            ring_bytes: self.ring_mb * BYTES_PER_MB,
            ring_age: TimeDelta::from_secs(self.ring_minutes as i64 * SECONDS_PER_MINUTE),
            segment_bytes: self.segment_mb * BYTES_PER_MB,
            segment_age: TimeDelta::from_secs(self.segment_s as i64),
            bytes_per_second: self.rate_kb_s as f64 * BYTES_PER_KB,
        }
    }
}

#[cfg(test)]
mod tests;
