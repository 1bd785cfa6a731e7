//! Reads the arguments of the process into a [`Command`].

use super::options::{Command, CutOptions, ExplainQuery, Moment, ReplayOptions, ServeOptions, SettingChange};
use super::subcommands::{Subcommand, SubcommandId, FAMILIES};
use super::{CliError, ValueError};
use crate::run::logging;
use lexopt::{Arg, Parser, ValueExt};
use sprucelink_capture::explain::Question;
use sprucelink_capture::rules::Rule;
use std::ffi::OsString;
use std::path::PathBuf;

/// Highest number of replays that `--times` accepts.
const MAX_REPLAYS: u32 = 10_000;
/// Seconds that `capture cut` keeps before and after the given instant by default.
const DEFAULT_CUT_S: f64 = 2.0;
/// Longest duration that an option may have, in seconds: a day.
const MAX_SECONDS: f64 = 86_400.0;

/// Reads the arguments after the program's name.
///
/// # Errors
/// The first argument that is unknown, missing or invalid.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, CliError> {
    let mut parser = Parser::from_args(args);
    let mut arguments = Arguments::default();
    while let Some(arg) = parser.next()? {
        let name = match arg {
            Arg::Long(name) => name.to_owned(),
            Arg::Short('h') => "help".to_owned(),
            Arg::Short('V') => "version".to_owned(),
            Arg::Value(value) => {
                arguments.positional.push(value.string()?);
                continue;
            }
            other => return Err(other.unexpected().into()),
        };
        arguments.read_option(&name, &mut parser)?;
        arguments.options.push(name);
    }
    arguments.into_command()
}

/// The arguments of the process, with the options of all sub-commands.
#[derive(Default)]
struct Arguments {
    /// Positional arguments: the sub-command's name and its arguments.
    positional: Vec<String>,
    /// Names of the options given, without dashes, in order.
    options: Vec<String>,
    help: bool,
    version: bool,
    json: bool,
    serve_options: ServeOptions,
    replay: ReplayOptions,
    queries: Vec<ExplainQuery>,
    around: Option<Moment>,
    before_s: Option<f64>,
    after_s: Option<f64>,
    out: Option<PathBuf>,
    rules: Vec<Rule>,
    note: String,
}

impl Arguments {
    fn read_option(&mut self, name: &str, parser: &mut Parser) -> Result<(), CliError> {
        match name {
            "help" => self.help = true,
            "version" => self.version = true,
            "json" => self.json = true,
            "config" | "listen" | "operator" | "capture" | "recorder" | "cold-start" | "membership"
            | "failover" | "log-format" | "log-level" => self.read_serve_option(name, parser)?,
            "times" | "from" | "until" | "against" | "set" | "treatment" => {
                self.read_replay_option(name, parser)?;
            }
            "request" | "engine" | "at" => self.read_query(name, parser)?,
            "around" | "before" | "after" | "out" | "holds" | "note" => {
                self.read_cut_option(name, parser)?;
            }
            _ => return Err(CliError::UnknownOption(name.to_owned())),
        }
        Ok(())
    }

    fn read_serve_option(&mut self, name: &str, parser: &mut Parser) -> Result<(), CliError> {
        let value = parser.value()?.string()?;
        let serve = &mut self.serve_options;
        match name {
            "config" => serve.config = Some(value),
            "listen" => serve.listen = Some(value),
            "operator" => serve.operator = Some(value),
            "capture" => serve.capture = Some(value),
            "recorder" => serve.recorder = Some(value),
            "cold-start" => serve.cold_start = Some(value),
            "membership" => serve.membership = Some(value),
            "failover" => serve.failover = Some(value),
            "log-format" => serve.logging.format = value.parse().map_err(invalid(name))?,
            "log-level" => serve.logging.level = logging::parse_level(&value).map_err(invalid(name))?,
            _ => return Err(CliError::UnknownOption(name.to_owned())),
        }
        Ok(())
    }

    fn read_replay_option(&mut self, name: &str, parser: &mut Parser) -> Result<(), CliError> {
        if name == "against" {
            self.replay.against = true;
            return Ok(());
        }
        let value = parser.value()?.string()?;
        let replay = &mut self.replay;
        match name {
            "times" => replay.times = parse_replay_count(&value).map_err(invalid(name))?,
            "from" => replay.from = Some(parse_moment(&value).map_err(invalid(name))?),
            "until" => replay.until = Some(parse_moment(&value).map_err(invalid(name))?),
            "set" => replay.changes.push(parse_setting_change(&value).map_err(invalid(name))?),
            "treatment" => replay.outcome_policy = value.parse().map_err(invalid_for_capture(name))?,
            _ => return Err(CliError::UnknownOption(name.to_owned())),
        }
        Ok(())
    }

    fn read_query(&mut self, name: &str, parser: &mut Parser) -> Result<(), CliError> {
        let value = parser.value()?.string()?;
        let query = match name {
            "request" => {
                let id = parse_request_id(&value).map_err(invalid(name))?;
                ExplainQuery::Subject(Question::Request(id))
            }
            "engine" => ExplainQuery::Subject(Question::Engine(value)),
            _ => ExplainQuery::Moment(parse_moment(&value).map_err(invalid(name))?),
        };
        self.queries.push(query);
        Ok(())
    }

    fn read_cut_option(&mut self, name: &str, parser: &mut Parser) -> Result<(), CliError> {
        let value = parser.value()?.string()?;
        match name {
            "around" => self.around = Some(parse_moment(&value).map_err(invalid(name))?),
            "before" => self.before_s = Some(parse_seconds(&value).map_err(invalid(name))?),
            "after" => self.after_s = Some(parse_seconds(&value).map_err(invalid(name))?),
            "out" => self.out = Some(value.into()),
            "holds" => self.rules.push(Rule::parse(&value).map_err(invalid_for_capture(name))?),
            _ => self.note = value,
        }
        Ok(())
    }

    /// Builds the command, after checking that the sub-command takes all the options and arguments given.
    fn into_command(self) -> Result<Command, CliError> {
        if self.version && self.positional.is_empty() {
            return Ok(Command::Version);
        }
        if self.help && self.positional.is_empty() {
            return Ok(Command::Help(None));
        }
        let (subcommand, arguments) = find_subcommand(&self.positional)?;
        if self.help {
            return Ok(Command::Help(Some(subcommand.name)));
        }
        if let Some(option) = self.options.iter().find(|option| !subcommand.has_option(option)) {
            return Err(CliError::OptionOfOtherCommand { command: subcommand.name, option: option.clone() });
        }
        if let Some(argument) = arguments.get(subcommand.max_arguments) {
            return Err(CliError::UnexpectedArgument {
                command: subcommand.name,
                argument: argument.clone(),
            });
        }
        let arguments = arguments.to_vec();
        self.build(subcommand, &arguments)
    }

    fn build(self, subcommand: &Subcommand, arguments: &[String]) -> Result<Command, CliError> {
        let command = subcommand.name;
        Ok(match subcommand.id {
            SubcommandId::Serve => Command::Serve(self.serve_options),
            SubcommandId::Check => Command::Check(self.serve_options),
            SubcommandId::Replay => Command::Replay(ReplayOptions {
                capture: capture_path(command, arguments)?,
                times: self.replay.times.max(1),
                against: self.replay.against || !self.replay.changes.is_empty(),
                json: self.json,
                ..self.replay
            }),
            SubcommandId::Explain => self.build_explain(arguments)?,
            SubcommandId::CaptureShow => {
                Command::CaptureShow { capture: capture_path(command, arguments)?, json: self.json }
            }
            SubcommandId::CaptureCut => self.build_capture_cut(command, arguments)?,
            SubcommandId::CaptureVerify => {
                capture_path(command, arguments)?;
                Command::CaptureVerify {
                    cases: arguments.iter().map(PathBuf::from).collect(),
                    json: self.json,
                }
            }
            SubcommandId::ShapesExplain => {
                let statement = argument(command, arguments, "a statement")?.to_owned();
                Command::ShapesExplain { statement, json: self.json }
            }
            SubcommandId::FleetMembers => {
                let argument = argument(command, arguments, "an address")?;
                let address = argument
                    .parse()
                    .map_err(|_| CliError::InvalidAddress { command, argument: argument.to_owned() })?;
                Command::FleetMembers { address, json: self.json }
            }
            SubcommandId::Version => Command::Version,
            SubcommandId::Help => build_help(arguments)?,
        })
    }

    fn build_explain(self, arguments: &[String]) -> Result<Command, CliError> {
        let [query] = <[ExplainQuery; 1]>::try_from(self.queries).map_err(|_| CliError::AmbiguousQuery)?;
        let capture = capture_path("explain", arguments)?;
        Ok(Command::Explain { capture, query, json: self.json })
    }

    fn build_capture_cut(self, command: &'static str, arguments: &[String]) -> Result<Command, CliError> {
        Ok(Command::CaptureCut(CutOptions {
            capture: capture_path(command, arguments)?,
            around: self.around.ok_or(CliError::Missing { command, what: "--around" })?,
            before_s: self.before_s.unwrap_or(DEFAULT_CUT_S),
            after_s: self.after_s.unwrap_or(DEFAULT_CUT_S),
            out: self.out.ok_or(CliError::Missing { command, what: "--out" })?,
            rules: self.rules,
            note: self.note,
        }))
    }
}

/// The sub-command that the positional arguments name, and the arguments after its name.
fn find_subcommand(positional: &[String]) -> Result<(&'static Subcommand, &[String]), CliError> {
    let first = positional.first().ok_or(CliError::MissingCommand)?;
    let first_two = positional.get(1).map(|second| format!("{first} {second}"));
    if let Some(subcommand) = first_two.as_deref().and_then(Subcommand::by_name) {
        return Ok((subcommand, &positional[2..]));
    }
    if let Some(subcommand) = Subcommand::by_name(first) {
        return Ok((subcommand, &positional[1..]));
    }
    let is_family = FAMILIES.contains(&first.as_str());
    let unknown = first_two.filter(|_| is_family).unwrap_or_else(|| first.clone());
    Err(CliError::UnknownCommand(unknown))
}

/// Builds the command `help` for the program, a family of sub-commands, or one sub-command.
fn build_help(arguments: &[String]) -> Result<Command, CliError> {
    let name = arguments.join(" ");
    let subcommand = Subcommand::by_name(&name);
    if subcommand.is_none() && !name.is_empty() && !FAMILIES.contains(&name.as_str()) {
        return Err(CliError::UnknownCommand(name));
    }
    Ok(Command::Help(subcommand.map(|subcommand| subcommand.name)))
}

/// The first argument after the sub-command's name; `what` names it in the error.
fn argument<'a>(
    command: &'static str,
    arguments: &'a [String],
    what: &'static str,
) -> Result<&'a str, CliError> {
    arguments.first().map(String::as_str).ok_or(CliError::Missing { command, what })
}

fn capture_path(command: &'static str, arguments: &[String]) -> Result<PathBuf, CliError> {
    argument(command, arguments, "a capture").map(PathBuf::from)
}

/// Converts the error of an invalid value, adding the option's name.
fn invalid<E: Into<ValueError>>(option: &str) -> impl FnOnce(E) -> CliError + '_ {
    |error| CliError::Value { option: option.to_owned(), source: error.into() }
}

/// Converts the error of an invalid value that the capture library parses, adding the option's name.
fn invalid_for_capture<E: Into<crate::run::error::BoxError>>(
    option: &str,
) -> impl FnOnce(E) -> CliError + '_ {
    |error| CliError::Value { option: option.to_owned(), source: ValueError::Capture(error.into()) }
}

fn parse_replay_count(text: &str) -> Result<u32, ValueError> {
    let count = text.parse().ok().filter(|count| (1..=MAX_REPLAYS).contains(count));
    count.ok_or(ValueError::ReplayCount { max: MAX_REPLAYS })
}

fn parse_moment(text: &str) -> Result<Moment, ValueError> {
    let after_start = text.strip_prefix('+');
    let digits = after_start.unwrap_or(text);
    let seconds = digits.parse::<f64>().ok().filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    let seconds = seconds.ok_or_else(|| ValueError::Moment(text.to_owned()))?;
    Ok(if after_start.is_some() { Moment::AfterStart(seconds) } else { Moment::Unix(seconds) })
}

fn parse_seconds(text: &str) -> Result<f64, ValueError> {
    let seconds = text.parse::<f64>().ok().filter(|seconds| (0.0..=MAX_SECONDS).contains(seconds));
    seconds.ok_or_else(|| ValueError::Seconds(text.to_owned()))
}

fn parse_setting_change(text: &str) -> Result<SettingChange, ValueError> {
    let (path, value) = text.split_once('=').ok_or_else(|| ValueError::SettingChange(text.to_owned()))?;
    Ok(SettingChange { path: path.to_owned(), value: value.to_owned() })
}

fn parse_request_id(text: &str) -> Result<u64, ValueError> {
    u64::from_str_radix(text, 16).map_err(|_| ValueError::RequestId(text.to_owned()))
}
