//! What the command line asks for, as types.

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
    /// Print what a capture holds of a request, an engine or a moment.
    Explain {
        /// The capture: a file or a folder.
        capture: PathBuf,
        /// What is asked.
        query: ExplainQuery,
        /// Print JSON lines.
        json: bool,
    },
    /// List the segments of a capture.
    CaptureShow {
        /// The capture: a file or a folder.
        capture: PathBuf,
        /// Print JSON.
        json: bool,
    },
    /// Cut a test case out of a capture.
    CaptureCut(CutOptions),
    /// Replay test cases and check their rules.
    CaptureVerify {
        /// The cases: files, or folders of them.
        cases: Vec<PathBuf>,
        /// Print JSON lines.
        json: bool,
    },
    /// Print a statement's fingerprint.
    ShapesExplain {
        /// The statement.
        statement: String,
        /// Print JSON.
        json: bool,
    },
    /// Print the members that a running manager knows.
    FleetMembers {
        /// Where its membership listens.
        address: SocketAddr,
        /// Print JSON lines.
        json: bool,
    },
    /// Print the version.
    Version,
    /// Print how to call the program, or one sub-command of it.
    Help(Option<&'static str>),
}

/// The files that a start reads, and what the command line sets beside them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServeOptions {
    /// The configuration file; otherwise `EDGE_CONFIG` names it.
    pub config: Option<String>,
    /// Address to listen on in place of the configuration's.
    pub listen: Option<String>,
    /// The second front's settings file; without it that front is off.
    pub operator: Option<String>,
    /// Folder to record to; without it and `recorder` nothing is recorded.
    pub capture: Option<String>,
    /// The recorder's settings file (JSON5).
    pub recorder: Option<String>,
    /// The settings file of start-up pacing (JSON5); without it start-up is not paced.
    pub cold_start: Option<String>,
    /// The membership's settings file (JSON5); without it managers do not gossip.
    pub membership: Option<String>,
    /// The failover's settings file (JSON5); without it there is no failover between zones.
    pub failover: Option<String>,
    /// How log lines are written.
    pub logging: Logging,
}

/// An instant as the command line names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Moment {
    /// Unix seconds.
    Unix(f64),
    /// Seconds after the capture's first checkpoint.
    AfterStart(f64),
}

impl Moment {
    /// The instant, for a capture whose first checkpoint is at `start`.
    pub fn resolve(self, start: Timestamp) -> Timestamp {
        match self {
            Moment::Unix(seconds) => Timestamp::from_secs_f64(seconds),
            Moment::AfterStart(seconds) => start + TimeDelta::from_secs_f64(seconds),
        }
    }
}

/// What `explain` asks of a capture.
#[derive(Clone, Debug, PartialEq)]
pub enum ExplainQuery {
    /// A request or an engine.
    Subject(Question),
    /// A moment.
    Moment(Moment),
}

/// A setting that is changed before a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingChange {
    /// Path of the setting: field names and list indices, joined by dots.
    pub path: String,
    /// The new value: JSON, or a plain text.
    pub value: String,
}

/// How a capture is replayed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayOptions {
    /// The capture: a file or a folder.
    pub capture: PathBuf,
    /// Number of replays, 1 or more.
    pub times: u32,
    /// Start with the segment that holds this moment.
    pub from: Option<Moment>,
    /// Stop at this moment.
    pub until: Option<Moment>,
    /// Count all differences in place of stopping at the first.
    pub against: bool,
    /// Settings to change before the replay.
    pub changes: Vec<SettingChange>,
    /// What becomes of outcomes of decisions that this build did not take.
    pub outcome_policy: OutcomePolicy,
    /// Print JSON.
    pub json: bool,
}

/// What is cut out of a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct CutOptions {
    /// The capture: a file or a folder.
    pub capture: PathBuf,
    /// The moment that matters.
    pub around: Moment,
    /// Seconds before it.
    pub before_s: f64,
    /// Seconds after it.
    pub after_s: f64,
    /// The file to write.
    pub out: PathBuf,
    /// Rules that the case must hold.
    pub rules: Vec<Rule>,
    /// A free text.
    pub note: String,
}
