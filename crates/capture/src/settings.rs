//! The recorder's settings, in JSON5.

use crate::error::SettingsError;
use crate::ring::Limits;
use serde::Deserialize;
use sprucelink_policy::TimeDelta;
use std::path::PathBuf;

const MB: u64 = 1 << 20;

/// A capture file's settings as they stand in `deploy/capture.json5`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The folder that the ring's files are written to; it is made if it does not exist.
    pub dir: PathBuf,
    /// All files together, in MB: 1 to 1,000,000.
    #[serde(default = "ring_mb")]
    pub ring_mb: u64,
    /// The oldest goes after so many minutes: 1 to 100,000.
    #[serde(default = "ring_minutes")]
    pub ring_minutes: u64,
    /// A segment ends at so many MB before compression: 1 to 1,024. Shorter segments lose less to damage and cost
    /// more checkpoints.
    #[serde(default = "segment_mb")]
    pub segment_mb: u64,
    /// And after so many seconds: 1 to 86,400.
    #[serde(default = "segment_s")]
    pub segment_s: u64,
    /// Kilobytes of records a second, before compression: 1 to 1,000,000. What is more is a gap.
    #[serde(default = "rate_kb_s")]
    pub rate_kb_s: u64,
    /// Kilobytes that wait for the writer at most: 64 to 65,536. What is more is a gap.
    #[serde(default = "queue_kb")]
    pub queue_kb: u64,
    /// Milliseconds after which records in hand go to the writer, full or not: 10 to 10,000. So much is lost
    /// with a crash.
    #[serde(default = "flush_ms")]
    pub flush_ms: u64,
    /// How answers are kept.
    #[serde(default)]
    pub answers: Answers,
}

/// How the module's answers are kept.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Answers {
    /// Whole: a divergence names what was expected.
    #[default]
    Whole,
    /// As a digest: some fewer bytes, and a divergence names only what the replay got.
    Digest,
}

fn ring_mb() -> u64 {
    64
}
fn ring_minutes() -> u64 {
    60
}
fn segment_mb() -> u64 {
    8
}
fn segment_s() -> u64 {
    60
}
/// A busy manager's 500 requests a second tell some 150 KB a second.
fn rate_kb_s() -> u64 {
    2_048
}
fn queue_kb() -> u64 {
    1_024
}
fn flush_ms() -> u64 {
    200
}

impl Settings {
    /// The defaults, in a folder.
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
            answers: Answers::Whole,
        }
    }

    /// Reads and checks a settings file's text; the error names line and field, or field and range.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let set: Settings = json5::from_str(text)?;
        let ranges = [
            ("ring_mb", set.ring_mb, 1, 1_000_000),
            ("ring_minutes", set.ring_minutes, 1, 100_000),
            ("segment_mb", set.segment_mb, 1, 1_024),
            ("segment_s", set.segment_s, 1, 86_400),
            ("rate_kb_s", set.rate_kb_s, 1, 1_000_000),
            ("queue_kb", set.queue_kb, 64, 65_536),
            ("flush_ms", set.flush_ms, 10, 10_000),
        ];
        for (field, value, min, max) in ranges {
            if !(min..=max).contains(&value) {
                return Err(SettingsError::OutOfRange { field, value, min, max });
            }
        }
        if set.dir.as_os_str().is_empty() {
            return Err(SettingsError::NoDirectory);
        }
        if set.segment_mb > set.ring_mb {
            return Err(SettingsError::SegmentExceedsRing {
                segment_mb: set.segment_mb,
                ring_mb: set.ring_mb,
            });
        }
        Ok(set)
    }

    /// The same as the recorder's deciding half takes them.
    pub fn limits(&self) -> Limits {
        Limits {
            ring_bytes: self.ring_mb * MB,
            ring_age: TimeDelta::from_micros(self.ring_minutes as i64 * 60_000_000),
            segment_bytes: self.segment_mb * MB,
            segment_age: TimeDelta::from_micros(self.segment_s as i64 * 1_000_000),
            rate: self.rate_kb_s as f64 * 1024.0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bad_settings_name_the_field() {
        let good = Settings::parse("{ dir: '/var/cap', /* short */ segment_s: 5, answers: 'digest' }")
            .expect("good");
        assert_eq!((good.segment_s, good.answers, good.ring_mb), (5, Answers::Digest, ring_mb()));
        for (text, name) in [
            ("{}", "dir"),
            ("{dir: ''}", "dir"),
            ("{dir: 'x', ring_mb: 0}", "ring_mb"),
            ("{dir: 'x', ring_mb: 4, segment_mb: 5}", "segment_mb"),
            ("{dir: 'x', rate: 4}", "rate"),
            ("{dir: 'x', queue_kb: 63}", "queue_kb"),
            ("{dir: 'x', answers: 'some'}", "some"),
            ("{dir: 'x', flush_ms: -1}", "-1"),
            ("{dir: 'x'", "line 1"),
        ] {
            let why = Settings::parse(text).expect_err(text).to_string();
            assert!(why.contains(name), "{text}: {why}");
        }
    }
}
