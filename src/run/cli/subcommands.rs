//! The table of sub-commands: name, options, number of arguments and help text of each.

/// Identifier of a sub-command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubcommandId {
    /// `serve`: serves clients.
    Serve,
    /// `check`: checks the files that `serve` would read.
    Check,
    /// `replay`: replays a capture and compares the actions.
    Replay,
    /// `explain`: prints what a capture holds about a request, an engine or an instant.
    Explain,
    /// `capture show`: lists the segments of a capture.
    CaptureShow,
    /// `capture cut`: cuts a test case out of a capture.
    CaptureCut,
    /// `capture verify`: replays test cases and checks their rules.
    CaptureVerify,
    /// `shapes explain`: prints the fingerprint of a statement.
    ShapesExplain,
    /// `fleet members`: prints the members in the view of a running manager.
    FleetMembers,
    /// `version`: prints the version.
    Version,
    /// `help`: prints a help text.
    Help,
}

/// One sub-command.
pub struct Subcommand {
    /// Name on the command line: one word, or the name of a family and a second word.
    pub name: &'static str,
    /// Identifier by which the parser builds the command.
    pub id: SubcommandId,
    /// Names of the options, without dashes.
    pub options: &'static [&'static str],
    /// Maximum number of arguments after the name.
    pub max_arguments: usize,
    /// Arguments and options as the usage line shows them.
    pub usage: &'static str,
    /// Description and options, printed below the usage line.
    pub help: &'static str,
}

impl Subcommand {
    /// The sub-command with this name; `None` if there is none.
    pub fn by_name(name: &str) -> Option<&'static Subcommand> {
        SUBCOMMANDS.iter().find(|subcommand| subcommand.name == name)
    }

    /// Whether the sub-command has an option; `option` is the name without dashes.
    pub fn has_option(&self, option: &str) -> bool {
        self.options.contains(&option)
    }
}

/// First words of the sub-commands whose names have two words.
pub const FAMILIES: [&str; 3] = ["capture", "shapes", "fleet"];

/// Names of the options of `serve`, without dashes.
const SERVE_OPTIONS: &[&str] = &[
    "config",
    "listen",
    "operator",
    "capture",
    "recorder",
    "cold-start",
    "membership",
    "failover",
    "log-format",
    "log-level",
];

/// Options of `check`: those of `serve` that name a file or an address.
const CHECK_OPTIONS: &[&str] =
    &["config", "listen", "operator", "capture", "recorder", "cold-start", "membership", "failover"];

/// All sub-commands, in the order in which the help lists them.
pub const SUBCOMMANDS: [Subcommand; 11] = [
    Subcommand {
        name: "serve",
        id: SubcommandId::Serve,
        options: SERVE_OPTIONS,
        max_arguments: 0,
        usage: "[--config FILE] [--listen ADDRESS] [--operator FILE] [--capture DIR] [--recorder FILE]\n\
                [--cold-start FILE] [--membership FILE] [--failover FILE]\n\
                [--log-format text|json] [--log-level LEVEL]",
        help: "\
Serves clients until SIGTERM or SIGINT.

  --config FILE       the configuration; without it, the file that EDGE_CONFIG names
  --listen ADDRESS    where clients connect, instead of the configuration's own
  --operator FILE     sets up the second front (PostgreSQL with extended queries); without it that is off
  --capture DIR       records what the deciding part is told and answers, in a ring of files in DIR
  --recorder FILE     the recorder's limits (JSON5, such as deploy/capture.json5); --capture goes before its dir
  --cold-start FILE   how a start spares the list service and the engines (JSON5, such as deploy/cold-start.json5)
  --membership FILE   a view of the fleet that managers keep among themselves (JSON5, such as deploy/membership.json5)
  --failover FILE     failover between zones and regions (JSON5, such as deploy/failover.json5)
  --log-format FORMAT text lines (the default) or json, one object a line
  --log-level LEVEL   error, warn, info (the default), debug or trace
",
    },
    Subcommand {
        name: "check",
        id: SubcommandId::Check,
        options: CHECK_OPTIONS,
        max_arguments: 0,
        usage: "[--config FILE] [--listen ADDRESS] [--operator FILE] [--capture DIR] [--recorder FILE]\n\
                [--cold-start FILE] [--membership FILE] [--failover FILE]",
        help: "\
Reads the files that `serve` would and says whether they will do. Options as for `serve`.
",
    },
    Subcommand {
        name: "replay",
        id: SubcommandId::Replay,
        options: &["times", "from", "until", "against", "set", "treatment", "json"],
        max_arguments: 1,
        usage: "CAPTURE [--times N] [--from T] [--until T] [--against] [--set PATH=VALUE]... [--treatment HOW] [--json]",
        help: "\
Feeds a capture, a file or a folder of them, to this build's module and compares each action bit for bit. Each
segment replays from its own checkpoint.

  --times N           so often, each the same (1)
  --from T, --until T Unix seconds, or +SECONDS after the capture's first checkpoint; from the segment that holds T
  --against           goes on behind the first divergence and counts all that differs, by kind of action
  --set PATH=VALUE    changes a setting of the module first, such as attempt_budget.share=0.2; implies --against
  --treatment HOW     for outcomes of decisions that this module did not take: recorded (as they were, the default)
                      or matched (only where the same attempt went to the same engine)
  --json              the result as one JSON object

exit status: 0 the same, 1 diverged, 2 unusable file or command line
",
    },
    Subcommand {
        name: "explain",
        id: SubcommandId::Explain,
        options: &["request", "engine", "at", "json"],
        max_arguments: 1,
        usage: "CAPTURE --request ID | --engine ID | --at T [--json]",
        help: "\
Tells the story of a request (16 hex digits), of an engine (its id on the feed, or #NUMBER), or of a moment.

  --json              one JSON object a line
",
    },
    Subcommand {
        name: "capture show",
        id: SubcommandId::CaptureShow,
        options: &["json"],
        max_arguments: 1,
        usage: "CAPTURE [--json]",
        help: "\
Lists segments, their span, events by kind, gaps and damage.
",
    },
    Subcommand {
        name: "capture cut",
        id: SubcommandId::CaptureCut,
        options: &["around", "out", "before", "after", "holds", "note"],
        max_arguments: 1,
        usage: "CAPTURE --around T --out FILE [--before S] [--after S] [--holds RULE]... [--note TEXT]",
        help: "\
Cuts a small case out of a capture: the module's state S seconds before T, and what came up to S seconds after.

  --around T          Unix seconds, or +SECONDS after the capture's first checkpoint
  --before S          seconds before it (2)
  --after S           seconds after it (2)
  --holds RULE        what must hold: drain, one_out, ration, answered (all four if none is named), or JSON such as
                      {rule: 'sends', engine: 1, from_ms: 500, at_most: 0}
  --note TEXT         what the case shows
",
    },
    Subcommand {
        name: "capture verify",
        id: SubcommandId::CaptureVerify,
        options: &["json"],
        max_arguments: usize::MAX,
        usage: "CASE... [--json]",
        help: "\
Replays cases, files or folders of them, and checks what they hold. Exit status: 0 all hold, 1 one is broken, 2 unusable.
",
    },
    Subcommand {
        name: "shapes explain",
        id: SubcommandId::ShapesExplain,
        options: &["json"],
        max_arguments: 1,
        usage: "SQL [--json]",
        help: "\
Tells a statement's fingerprint, its normal form and what is known of it, as the program reads it.
",
    },
    Subcommand {
        name: "fleet members",
        id: SubcommandId::FleetMembers,
        options: &["json"],
        max_arguments: 1,
        usage: "ADDRESS [--json]",
        help: "\
Shows the view of the fleet that a running manager holds: ADDRESS is where its membership listens (UDP), as its log
says. Exit status: 0 shown, 1 no answer, 2 a bad command line.

  --json              one JSON object a line
",
    },
    Subcommand { name: "version",
        id: SubcommandId::Version,
        options: &[],
        max_arguments: 0, usage: "", help: "Says the version.\n" },
    Subcommand { name: "help",
        id: SubcommandId::Help,
        options: &[],
        max_arguments: 2, usage: "[COMMAND]", help: "Says how to call the program, or one sub-command.\n" },
];
