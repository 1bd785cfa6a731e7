//! Tests of the table of sub-commands, and of parsing arguments.

use super::subcommands::SUBCOMMANDS;
use super::*;
use crate::run::error::with_causes;

fn parse_words(words: &[&str]) -> Result<Command, String> {
    parse(words.iter().map(Into::into)).map_err(|error| with_causes(&error))
}

#[test]
fn usage_lines_name_exactly_the_options_of_the_table() {
    for subcommand in &SUBCOMMANDS {
        let mut named: Vec<&str> = subcommand
            .usage
            .split(|c: char| c.is_whitespace() || "[]|.".contains(c))
            .filter_map(|word| word.strip_prefix("--"))
            .collect();
        let mut listed = subcommand.options.to_vec();
        named.sort_unstable();
        listed.sort_unstable();
        assert_eq!(named, listed, "{}", subcommand.name);
    }
}

#[test]
fn every_subcommand_has_help_under_its_name() {
    for subcommand in &SUBCOMMANDS {
        let words: Vec<&str> = ["help"].into_iter().chain(subcommand.name.split(' ')).collect();
        assert_eq!(parse_words(&words), Ok(Command::Help(Some(subcommand.name))));
        assert!(usage(Some(subcommand.name)).contains(subcommand.help), "{}", subcommand.name);
        assert!(usage(None).contains(&format!("sprucelink {}", subcommand.name)), "{}", subcommand.name);
    }
}

#[test]
fn invalid_arguments_are_rejected_with_their_names() {
    for (words, message) in [
        (&[][..], "a command is missing"),
        (&["serv"], "no such command: serv"),
        (&["capture", "none"], "no such command: capture none"),
        (&["help", "none"], "no such command: none"),
        (&["serve", "x"], "serve: unexpected argument \"x\""),
        (&["serve", "--none"], "invalid option '--none'"),
        (&["serve", "--json"], "serve: invalid option '--json'"),
        (&["check", "--log-level", "info"], "check: invalid option '--log-level'"),
        (
            &["serve", "--log-level", "loud"],
            "--log-level: \"loud\" is none of error, warn, info, debug, trace",
        ),
        (&["serve", "--log-format", "xml"], "--log-format: \"xml\" is neither text nor json"),
        (&["replay"], "replay: a capture is missing"),
        (&["replay", "a", "--times", "0"], "--times: expected a number from 1 to 10000"),
        (&["replay", "a", "--from", "-1"], "--from: \"-1\" is neither Unix seconds nor +SECONDS"),
        (&["replay", "a", "--set", "x"], "--set: invalid setting change \"x\": expected PATH=VALUE"),
        (&["explain", "a"], "explain: give one of --request, --engine and --at"),
        (&["explain", "a", "--request", "g"], "--request: \"g\" is not 16 hex digits"),
        (&["capture", "cut", "a"], "capture cut: --around is missing"),
        (&["capture", "cut", "a", "--around", "1"], "capture cut: --out is missing"),
        (
            &["capture", "cut", "a", "--before", "90000"],
            "--before: \"90000\" is not a number of seconds up to a day",
        ),
        (&["shapes", "explain"], "shapes explain: a statement is missing"),
        (&["fleet", "members", "x"], "fleet members: invalid address \"x\": expected IP:PORT"),
    ] {
        assert_eq!(parse_words(words), Err(message.to_owned()), "{words:?}");
    }
}
