//! The command line: one table of sub-commands, each with its help.

use crate::run::logging::{self, Logging};
use lexopt::{Arg, Parser, ValueExt};
use sprucelink_capture::explain::Question;
use sprucelink_capture::replay::Treatment;
use sprucelink_capture::rules::Rule;
use sprucelink_policy::{TimeDelta, Timestamp};
use std::ffi::OsString;
use std::path::PathBuf;

/// What was asked for.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Serve clients.
    Serve(Files),
    /// Read the configuration and say whether it will do.
    Check(Files),
    /// Feed a capture to the module and compare.
    Replay(Replay),
    /// Ask a capture why.
    Explain {
        /// The capture.
        file: PathBuf,
        /// What is asked.
        question: Asked,
        /// Answer in JSON lines.
        json: bool,
    },
    /// List what a capture holds.
    Show {
        /// The capture.
        file: PathBuf,
        /// Answer in JSON.
        json: bool,
    },
    /// Cut a case out of a capture.
    Cut(CutOut),
    /// Replay cases and check what they hold.
    Verify {
        /// The cases: files, or folders of them.
        files: Vec<PathBuf>,
        /// Answer in JSON lines.
        json: bool,
    },
    /// Tell a statement's shape.
    Shape {
        /// The statement.
        statement: String,
        /// Answer in JSON.
        json: bool,
    },
    /// Shows the view of the fleet that a running manager holds.
    Members {
        /// Where its membership listens.
        address: std::net::SocketAddr,
        /// Answer in JSON.
        json: bool,
    },
    /// Say the version.
    Version,
    /// Say how to call: all, or one sub-command.
    Help(Option<&'static str>),
}

/// The files that a start reads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Files {
    /// The configuration; else `EDGE_CONFIG` names it.
    pub config: Option<String>,
    /// Where to listen instead of where the configuration says.
    pub listen: Option<String>,
    /// The operator's file, which sets the second front up; without it that front is off.
    pub operator: Option<String>,
    /// The folder to record to; without it and `recorder` nothing is recorded.
    pub capture: Option<String>,
    /// The recorder's settings, JSON5.
    pub recorder: Option<String>,
    /// The cold start's settings, JSON5; without them the program starts as it always did.
    pub cold_start: Option<String>,
    /// The membership's settings, JSON5; without them managers do not talk.
    pub membership: Option<String>,
    /// The failover's settings, JSON5; without them the draw goes by load and prices alone.
    pub failover: Option<String>,
    /// How log lines are written.
    pub logging: Logging,
}

/// A moment as the command line names it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum When {
    /// Unix seconds.
    Unix(f64),
    /// Seconds after the capture's first checkpoint.
    After(f64),
}

impl When {
    /// The moment, for a capture that begins at `start`.
    pub fn at(self, start: Timestamp) -> Timestamp {
        match self {
            When::Unix(s) => Timestamp::from_secs_f64(s),
            When::After(s) => start + TimeDelta::from_secs_f64(s),
        }
    }
}

/// What is asked of a capture, with its moment as given.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    /// Of a request or an engine.
    Of(Question),
    /// Of a moment.
    At(When),
}

/// How a capture is replayed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replay {
    /// The capture.
    pub file: PathBuf,
    /// How often.
    pub times: u32,
    /// From the segment that holds this moment.
    pub from: Option<When>,
    /// Up to this moment.
    pub until: Option<When>,
    /// Count all that differs, instead of stopping at the first.
    pub against: bool,
    /// Settings changed before the replay, `path=value`.
    pub set: Vec<(String, String)>,
    /// What becomes of outcomes of decisions that were not taken.
    pub treatment: Treatment,
    /// Answer in JSON.
    pub json: bool,
}

/// What is cut out of a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct CutOut {
    /// The capture.
    pub file: PathBuf,
    /// The moment.
    pub around: When,
    /// Seconds before it.
    pub before: f64,
    /// Seconds after it.
    pub after: f64,
    /// The file to write.
    pub out: PathBuf,
    /// What must hold.
    pub holds: Vec<Rule>,
    /// In words.
    pub note: String,
}

/// One sub-command.
struct Sub {
    name: &'static str,
    usage: &'static str,
    help: &'static str,
}

const SUBS: [Sub; 11] = [
    Sub {
        name: "serve",
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
    Sub {
        name: "check",
        usage: "[--config FILE] [--listen ADDRESS] [--operator FILE] [--capture DIR] [--recorder FILE]\n\
                [--cold-start FILE] [--membership FILE] [--failover FILE]",
        help: "\
Reads the files that `serve` would and says whether they will do. Options as for `serve`.
",
    },
    Sub {
        name: "replay",
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
    Sub {
        name: "explain",
        usage: "CAPTURE --request ID | --engine ID | --at T [--json]",
        help: "\
Tells the story of a request (16 hex digits), of an engine (its id on the feed, or #NUMBER), or of a moment.

  --json              one JSON object a line
",
    },
    Sub {
        name: "capture show",
        usage: "CAPTURE [--json]",
        help: "\
Lists segments, their span, events by kind, gaps and damage.
",
    },
    Sub {
        name: "capture cut",
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
    Sub {
        name: "capture verify",
        usage: "CASE... [--json]",
        help: "\
Replays cases, files or folders of them, and checks what they hold. Exit status: 0 all hold, 1 one is broken, 2 unusable.
",
    },
    Sub {
        name: "shapes explain",
        usage: "SQL [--json]",
        help: "\
Tells a statement's fingerprint, its normal form and what is known of it, as the program reads it.
",
    },
    Sub {
        name: "fleet members",
        usage: "ADDRESS [--json]",
        help: "\
Shows the view of the fleet that a running manager holds: ADDRESS is where its membership listens (UDP), as its log
says. Exit status: 0 shown, 1 no answer, 2 a bad command line.

  --json              one JSON object a line
",
    },
    Sub { name: "version", usage: "", help: "Says the version.\n" },
    Sub { name: "help", usage: "[COMMAND]", help: "Says how to call the program, or one sub-command.\n" },
];

/// First words of sub-commands of two words.
const FAMILIES: [&str; 3] = ["capture", "shapes", "fleet"];

/// How to call the program, or one sub-command of it.
pub fn usage(of: Option<&str>) -> String {
    let line = |s: &Sub| {
        format!("sprucelink {} {}", s.name, s.usage.replace('\n', "\n         ")).trim_end().to_owned()
    };
    if let Some(sub) = of.and_then(|name| SUBS.iter().find(|s| s.name == name)) {
        return format!("usage: {}\n\n{}", line(sub), sub.help);
    }
    let all: Vec<String> = SUBS.iter().map(|s| format!("  {}\n", line(s).replace('\n', "\n  "))).collect();
    format!(
        "sprucelink: a workload manager in front of query engines\n\nusage:\n{}\n\
         `sprucelink help COMMAND` tells more of each.\n\n\
         exit status: 0 done or stopped, 1 the start failed or a comparison did, 2 a bad command line or file\n",
        all.concat()
    )
}

fn moment(text: &str) -> Result<When, String> {
    let (after, digits) = text.strip_prefix('+').map_or((false, text), |d| (true, d));
    let seconds = digits.parse::<f64>().ok().filter(|s| s.is_finite() && *s >= 0.0);
    let seconds = seconds.ok_or_else(|| format!("{text:?} is neither Unix seconds nor +SECONDS"))?;
    Ok(if after { When::After(seconds) } else { When::Unix(seconds) })
}

fn seconds(text: &str) -> Result<f64, String> {
    let s = text.parse::<f64>().ok().filter(|s| (0.0..=86_400.0).contains(s));
    s.ok_or_else(|| format!("{text:?} is no number of seconds up to a day"))
}

/// All options that any sub-command knows, as given.
#[derive(Default)]
struct Given {
    files: Files,
    words: Vec<String>,
    seen: Vec<String>,
    replay: Replay,
    asked: Vec<Asked>,
    json: bool,
    around: Option<When>,
    before: Option<f64>,
    after: Option<f64>,
    out: Option<PathBuf>,
    holds: Vec<Rule>,
    note: String,
    help: bool,
    version: bool,
}

/// Understands the arguments behind the program's name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, String> {
    let mut parser = Parser::from_args(args);
    let mut g = Given::default();
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        let name = match arg {
            Arg::Long(name) => name.to_owned(),
            Arg::Short('h') => "help".to_owned(),
            Arg::Short('V') => "version".to_owned(),
            Arg::Value(v) => {
                g.words.push(v.string().map_err(|e| e.to_string())?);
                continue;
            }
            other => return Err(other.unexpected().to_string()),
        };
        option(&name, &mut parser, &mut g)?;
        g.seen.push(name);
    }
    command(g)
}

fn option(name: &str, parser: &mut Parser, g: &mut Given) -> Result<(), String> {
    let mut value = || parser.value().and_then(|v| v.string()).map_err(|e| e.to_string());
    let fault = |e: String| format!("--{name}: {e}");
    match name {
        "config" => g.files.config = Some(value()?),
        "listen" => g.files.listen = Some(value()?),
        "operator" => g.files.operator = Some(value()?),
        "capture" => g.files.capture = Some(value()?),
        "recorder" => g.files.recorder = Some(value()?),
        "cold-start" => g.files.cold_start = Some(value()?),
        "membership" => g.files.membership = Some(value()?),
        "failover" => g.files.failover = Some(value()?),
        "log-format" => g.files.logging.format = value()?.parse()?,
        "log-level" => g.files.logging.level = logging::level(&value()?)?,
        "times" => {
            let n = value()?.parse().ok().filter(|n| (1..=10_000).contains(n));
            g.replay.times = n.ok_or("--times: is no number from 1 to 10000")?;
        }
        "from" => g.replay.from = Some(moment(&value()?).map_err(fault)?),
        "until" => g.replay.until = Some(moment(&value()?).map_err(fault)?),
        "against" => g.replay.against = true,
        "set" => {
            let text = value()?;
            let pair = text.split_once('=').ok_or_else(|| format!("--set: {text:?} is no PATH=VALUE"))?;
            g.replay.set.push((pair.0.to_owned(), pair.1.to_owned()));
        }
        "treatment" => g.replay.treatment = value()?.parse().map_err(fault)?,
        "request" => {
            let text = value()?;
            let id = u64::from_str_radix(&text, 16)
                .map_err(|_| format!("--request: {text:?} is not 16 hex digits"))?;
            g.asked.push(Asked::Of(Question::Request(id)));
        }
        "engine" => g.asked.push(Asked::Of(Question::Engine(value()?))),
        "at" => g.asked.push(Asked::At(moment(&value()?).map_err(fault)?)),
        "json" => g.json = true,
        "around" => g.around = Some(moment(&value()?).map_err(fault)?),
        "before" => g.before = Some(seconds(&value()?).map_err(fault)?),
        "after" => g.after = Some(seconds(&value()?).map_err(fault)?),
        "out" => g.out = Some(value()?.into()),
        "holds" => g.holds.push(Rule::parse(&value()?).map_err(fault)?),
        "note" => g.note = value()?,
        "help" => g.help = true,
        "version" => g.version = true,
        _ => return Err(format!("invalid option '--{name}'")),
    }
    Ok(())
}

/// The sub-command that the words name, and the words behind its name.
fn named(words: &[String]) -> Result<(&'static str, &[String]), String> {
    let Some(first) = words.first() else { return Err("a command is missing".into()) };
    let two = words.get(1).map(|second| format!("{first} {second}"));
    let hit = SUBS.iter().find(|s| Some(s.name) == two.as_deref());
    if let Some(sub) = hit {
        return Ok((sub.name, &words[2..]));
    }
    let sub = SUBS.iter().find(|s| s.name == first);
    let sub = sub.ok_or_else(|| {
        format!(
            "no such command: {}",
            two.filter(|_| FAMILIES.contains(&first.as_str())).unwrap_or_else(|| first.clone())
        )
    })?;
    Ok((sub.name, &words[1..]))
}

fn command(mut g: Given) -> Result<Command, String> {
    if g.version && g.words.is_empty() {
        return Ok(Command::Version);
    }
    if g.help && g.words.is_empty() {
        return Ok(Command::Help(None));
    }
    let words = std::mem::take(&mut g.words);
    let (name, rest) = named(&words)?;
    if g.help {
        return Ok(Command::Help(Some(name)));
    }
    let sub = SUBS.iter().find(|s| s.name == name).map_or("", |s| s.usage);
    // An option that the sub-command's usage does not name is not taken for another's.
    if let Some(other) = g.seen.iter().find(|o| !sub.contains(&format!("--{o}"))) {
        return Err(format!("{name}: invalid option '--{other}'"));
    }
    let most = match name {
        "replay" | "explain" | "capture show" | "capture cut" | "shapes explain" | "fleet members" => 1,
        "help" => 2,
        "capture verify" => usize::MAX,
        _ => 0,
    };
    if let Some(extra) = rest.get(most) {
        return Err(format!("{name}: unexpected argument {extra:?}"));
    }
    let file = || rest.first().map(PathBuf::from).ok_or_else(|| format!("{name}: a capture is missing"));
    Ok(match name {
        "serve" => Command::Serve(g.files),
        "check" => Command::Check(g.files),
        "replay" => {
            let (times, against) = (g.replay.times.max(1), g.replay.against || !g.replay.set.is_empty());
            Command::Replay(Replay { file: file()?, times, against, json: g.json, ..g.replay })
        }
        "explain" => {
            let [question] = <[Asked; 1]>::try_from(g.asked)
                .map_err(|_| "explain: give one of --request, --engine and --at".to_owned())?;
            Command::Explain { file: file()?, question, json: g.json }
        }
        "capture show" => Command::Show { file: file()?, json: g.json },
        "capture cut" => Command::Cut(CutOut {
            file: file()?,
            around: g.around.ok_or("capture cut: --around is missing")?,
            before: g.before.unwrap_or(2.0),
            after: g.after.unwrap_or(2.0),
            out: g.out.ok_or("capture cut: --out is missing")?,
            holds: g.holds,
            note: g.note,
        }),
        "capture verify" => {
            file()?;
            Command::Verify { files: rest.iter().map(PathBuf::from).collect(), json: g.json }
        }
        "shapes explain" => {
            let statement = rest.first().cloned().ok_or("shapes explain: a statement is missing")?;
            Command::Shape { statement, json: g.json }
        }
        "fleet members" => {
            let address = rest.first().ok_or("fleet members: an address is missing")?;
            let address =
                address.parse().map_err(|_| format!("fleet members: {address:?} is no address and port"))?;
            Command::Members { address, json: g.json }
        }
        "version" => Command::Version,
        _ => {
            let of = rest.join(" ");
            let sub = SUBS.iter().find(|s| s.name == of).map(|s| s.name);
            if sub.is_none() && !of.is_empty() && !FAMILIES.contains(&of.as_str()) {
                return Err(format!("no such command: {of}"));
            }
            Command::Help(sub)
        }
    })
}
