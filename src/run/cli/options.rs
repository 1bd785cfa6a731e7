//! Types for the sub-commands and their options.

use crate::run::logging::Logging;
use sprucelink_capture::explain::Question;
use sprucelink_capture::replay::OutcomePolicy;
use sprucelink_capture::rules::Rule;
use sprucelink_policy::{TimeDelta, Timestamp};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A sub-command with its options.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Serve clients.
    Serve(ServeOptions),
    /// Read the files that `serve` would and print whether they are valid.
    Check(ServeOptions),
    /// Feed a capture to the policy and compare its actions.
    Replay(ReplayOptions),
    /// Print what a capture holds about a request, an engine or an instant.
    Explain {
        /// The capture: a file or a folder.
        capture: PathBuf,
        /// The request, engine or instant to explain.
        query: ExplainQuery,
        /// Whether to print JSON lines.
        json: bool,
    },
    /// List the segments of a capture.
    CaptureShow {
        /// The capture: a file or a folder.
        capture: PathBuf,
        /// Whether to print JSON.
        json: bool,
    },
    /// Cut a test case out of a capture.
    CaptureCut(CutOptions),
    /// Replay test cases and check their rules.
    CaptureVerify {
        /// The cases: files, or folders of files.
        cases: Vec<PathBuf>,
        /// Whether to print JSON lines.
        json: bool,
    },
    /// Print a statement's fingerprint.
    ShapesExplain {
        /// The SQL statement whose fingerprint is printed.
        statement: String,
        /// Whether to print JSON.
        json: bool,
    },
    /// Print the members in the view of a running manager.
    FleetMembers {
        /// UDP address on which the manager's membership listens, as the manager logs it.
        address: SocketAddr,
        /// Whether to print JSON lines.
        json: bool,
    },
    /// Print the version.
    Version,
    /// Print the help text of the program, or of one sub-command.
    Help(Option<&'static str>),
}

/// The files to read at startup, and the settings on the command line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServeOptions {
    /// The configuration file; otherwise `EDGE_CONFIG` names it.
    pub config: Option<String>,
    /// Address on which clients connect, instead of the address in the configuration.
    pub listen: Option<String>,
    /// The second front's settings file; without it the second front is off.
    pub operator: Option<String>,
    /// Folder to which a capture is recorded. If both this and `recorder` are absent, nothing is recorded.
    pub capture: Option<String>,
    /// The recorder's settings file (JSON5).
    pub recorder: Option<String>,
    /// The settings file of startup pacing (JSON5); without it startup is not paced.
    pub cold_start: Option<String>,
    /// The membership's settings file (JSON5); without it managers do not gossip.
    pub membership: Option<String>,
    /// The failover's settings file (JSON5); without it there is no failover between zones.
    pub failover: Option<String>,
    /// Format and level of log lines.
    pub logging: Logging,
}

/// An instant, as given on the command line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Moment {
    /// Unix seconds.
    Unix(f64),
    /// Seconds after the capture's first checkpoint.
    AfterStart(f64),
}

impl Moment {
    /// Converts the instant to a timestamp, for a capture whose first checkpoint is at `start`.
    pub fn resolve(self, start: Timestamp) -> Timestamp {
        match self {
            Moment::Unix(seconds) => Timestamp::from_secs_f64(seconds),
            Moment::AfterStart(seconds) => start + TimeDelta::from_secs_f64(seconds),
        }
    }
}

/// The subject of `explain`.
#[derive(Clone, Debug, PartialEq)]
pub enum ExplainQuery {
    /// A request or an engine.
    Subject(Question),
    /// An instant, which may be relative to the start of the capture.
    Moment(Moment),
}

/// A setting that is changed before a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingChange {
    /// Path of the setting: field names and list indices, joined by dots.
    pub path: String,
    /// The new value: JSON, or a string without quotes.
    pub value: String,
}

/// Options of `replay`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayOptions {
    /// The capture: a file or a folder.
    pub capture: PathBuf,
    /// Number of times that the capture is replayed, 1 or more.
    pub times: u32,
    /// Instant whose segment is the first one to replay; `None` for the first segment.
    pub from: Option<Moment>,
    /// Instant at which the replay stops; `None` for the end of the capture.
    pub until: Option<Moment>,
    /// Whether the replay continues after the first difference and counts all differences.
    pub against: bool,
    /// Settings to change before the replay, in this order.
    pub changes: Vec<SettingChange>,
    /// Treatment of recorded outcomes that belong to decisions which this build did not take.
    pub outcome_policy: OutcomePolicy,
    /// Print JSON.
    pub json: bool,
}

/// Options of `capture cut`.
#[derive(Clone, Debug, PartialEq)]
pub struct CutOptions {
    /// The capture: a file or a folder.
    pub capture: PathBuf,
    /// The instant around which the case is cut.
    pub around: Moment,
    /// Seconds kept before `around`.
    pub before_s: f64,
    /// Seconds kept after `around`.
    pub after_s: f64,
    /// Path of the file to which the case is written.
    pub out: PathBuf,
    /// Rules that a replay of the case must satisfy.
    pub rules: Vec<Rule>,
    /// Free-form description of the case; may be empty.
    pub note: String,
}
