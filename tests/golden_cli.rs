//! Golden files of the command line: subcommands, options, exit codes, environment variables, and the error
//! texts for invalid configurations. Help texts and the wording of other messages may change.
mod support;

use support::{golden, scratch_dir};

/// Every subcommand with its required arguments. `{...}` are placeholders for paths, see
/// [`CommandLines::fill`].
const COMMANDS: [(&str, &[&str]); 11] = [
    // A missing configuration ends `serve` after the command line is parsed and before it serves.
    ("serve", &["--config", "{none}"]),
    ("check", &["--config", "{config}"]),
    ("replay", &["{capture}"]),
    ("explain", &["{capture}", "--request", "00000000000001ba"]),
    ("capture show", &["{capture}"]),
    ("capture cut", &["{capture}", "--around", "+1", "--out", "{dir}/cut.slc"]),
    ("capture verify", &["{capture}"]),
    ("shapes explain", &["SELECT 1"]),
    ("fleet members", &["127.0.0.1:9"]),
    ("version", &[]),
    ("help", &[]),
];

/// Every option, with a valid value if it takes one, and an unknown option.
const OPTIONS: [(&str, Option<&str>); 25] = [
    ("--config", Some("{config}")),
    ("--listen", Some("127.0.0.1:0")),
    ("--operator", Some("{operator}")),
    ("--capture", Some("{dir}/ring")),
    ("--recorder", Some("{deploy}/capture.json5")),
    ("--cold-start", Some("{deploy}/cold-start.json5")),
    ("--membership", Some("{deploy}/membership.json5")),
    ("--failover", Some("{deploy}/failover.json5")),
    ("--log-format", Some("json")),
    ("--log-level", Some("debug")),
    ("--times", Some("2")),
    ("--from", Some("+1")),
    ("--until", Some("+2")),
    ("--against", None),
    ("--set", Some("gateways=1")),
    ("--treatment", Some("matched")),
    ("--json", None),
    ("--around", Some("+1")),
    ("--before", Some("0.5")),
    ("--after", Some("0.5")),
    ("--out", Some("{dir}/cut.slc")),
    ("--holds", Some("drain")),
    ("--note", Some("a note")),
    ("--help", None),
    ("--nonsense", None),
];

/// Invalid option values: the subcommand, the option and the value.
const INVALID_VALUES: [(&str, &str, &str); 17] = [
    ("replay", "--times", "0"),
    ("replay", "--times", "10001"),
    ("replay", "--from", "noon"),
    ("replay", "--until", "-1"),
    ("replay", "--set", "gateways"),
    ("replay", "--set", "no.such.setting=1"),
    ("replay", "--treatment", "maybe"),
    ("explain", "--request", "xyz"),
    ("explain", "--at", "x"),
    ("explain", "--engine", "s-1"),
    ("capture cut", "--around", "x"),
    ("capture cut", "--before", "86401"),
    ("capture cut", "--after", "-1"),
    ("capture cut", "--holds", "nonsense"),
    ("capture cut", "--holds", "{rule: 'sends', engine: 1, wrong: 2}"),
    ("check", "--log-level", "debug"),
    ("serve", "--log-format", "xml"),
];

/// Command lines that are invalid or incomplete.
const INVALID_COMMAND_LINES: [&[&str]; 19] = [
    &[],
    &["sevre"],
    &["capture"],
    &["capture nothing"],
    &["shapes"],
    &["fleet"],
    &["serve", "more"],
    &["check", "more"],
    &["replay"],
    &["replay", "{capture}", "{capture}"],
    &["explain", "{capture}"],
    &["explain", "--at", "+1"],
    &["capture", "cut", "{capture}", "--around", "+1"],
    &["capture", "cut", "{capture}", "--out", "{dir}/x"],
    &["capture", "verify"],
    &["shapes", "explain"],
    &["fleet", "members"],
    &["fleet", "members", "nowhere"],
    &["help", "sevre"],
];

/// Runs command lines with their placeholders replaced by paths of a temporary folder and the repository.
struct CommandLines {
    dir: std::path::PathBuf,
}

impl CommandLines {
    fn new() -> CommandLines {
        let dir = scratch_dir();
        let config = std::fs::read_to_string(golden::path("settings/platform.json")).expect("a document");
        std::fs::write(dir.join("config.json"), config).expect("written");
        std::fs::write(dir.join("operator.json"), r#"{"listen":"127.0.0.1:0"}"#).expect("written");
        CommandLines { dir }
    }

    /// Replaces the placeholders in a text.
    fn fill(&self, text: &str) -> String {
        let (root, dir) = (env!("CARGO_MANIFEST_DIR"), self.dir.to_str().expect("text"));
        text.replace("{config}", &format!("{dir}/config.json"))
            .replace("{operator}", &format!("{dir}/operator.json"))
            .replace("{none}", &format!("{dir}/none.json"))
            .replace("{deploy}", &format!("{root}/deploy"))
            .replace("{capture}", &format!("{root}/captures/drain-edge.slc"))
            .replace("{dir}", dir)
    }

    fn run(&self, args: &[&str], vars: &[(&str, &str)]) -> (i32, String, String) {
        let args: Vec<String> = args.iter().map(|arg| self.fill(arg)).collect();
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        let (status, out, stderr) = golden::run(&args, vars);
        assert!(!stderr.contains("panicked"), "{args:?}: {stderr}");
        (status, out, stderr)
    }

    /// The first line of the standard error output, without the path of the temporary folder.
    fn reason(&self, stderr: &str) -> String {
        let first = stderr.lines().next().unwrap_or_default();
        first.replace(&format!("{}/", self.dir.to_str().expect("text")), "")
    }
}

impl Drop for CommandLines {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.dir));
    }
}

/// Exit status of every option with every subcommand, and whether an error names the option.
#[test]
fn each_subcommand_accepts_or_rejects_each_option_as_before() {
    let command_lines = CommandLines::new();
    let check_options = |(command, required): &(&str, &[&str])| {
        let mut lines = String::new();
        let words: Vec<&str> = command.split(' ').chain(required.iter().copied()).collect();
        lines.push_str(&format!("{command}: {}\n", command_lines.run(&words, &[]).0));
        for (option, value) in OPTIONS {
            // The option precedes the required arguments: the last value of a repeated option counts, so that
            // `serve` still gets the missing configuration and does not serve.
            let mut args: Vec<&str> = command.split(' ').chain([option]).chain(value).collect();
            args.extend(*required);
            let (status, _, stderr) = command_lines.run(&args, &[]);
            // Only the first line is searched: the usage that follows an error names every option.
            let named = stderr.lines().next().unwrap_or_default().contains(&format!("{option}'"));
            lines.push_str(&format!("{command} {option}: {status}{}\n", if named { " refused" } else { "" }));
        }
        lines
    };
    let check_options = &check_options;
    let lines: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> =
            COMMANDS.iter().map(|command| scope.spawn(move || check_options(command))).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    golden::assert_matches("cli-options.txt", &lines.concat());
}

/// Exit status of invalid command lines, and whether the error names the option at fault.
#[test]
fn invalid_command_lines_are_rejected_as_before() {
    let command_lines = CommandLines::new();
    let mut lines = String::new();
    for (command, option, value) in INVALID_VALUES {
        let required = COMMANDS.iter().find(|c| c.0 == command).expect("a command").1;
        let first = required.iter().take(usize::from(required[0].starts_with('{')));
        let mut args: Vec<&str> = command.split(' ').chain(first.copied()).collect();
        args.extend([option, value]);
        let (status, _, stderr) = command_lines.run(&args, &[]);
        let named = stderr.lines().next().unwrap_or_default().contains(option);
        lines.push_str(&format!(
            "{command} {option} {value}: {status}{}\n",
            if named { " by name" } else { "" }
        ));
    }
    for line in INVALID_COMMAND_LINES {
        lines.push_str(&format!("{line:?}: {}\n", command_lines.run(line, &[]).0));
    }
    for (command, required) in &COMMANDS[2..7] {
        let args: Vec<&str> = command.split(' ').chain(required.iter().copied()).collect();
        let args: Vec<&str> = args.iter().map(|a| if *a == "{capture}" { "{none}" } else { a }).collect();
        let (status, _, stderr) = command_lines.run(&args, &[]);
        let named = stderr.contains("none.json");
        lines.push_str(&format!(
            "{command} of a missing file: {status}{}\n",
            if named { " by name" } else { "" }
        ));
    }
    golden::assert_matches("cli-bad.txt", &lines);
}

/// The help of each subcommand names its options, and the overview names all subcommands.
#[test]
fn help_names_every_subcommand_and_option() {
    let command_lines = CommandLines::new();
    let mut lines = String::new();
    let (_, overview, _) = command_lines.run(&["help"], &[]);
    for (command, _) in COMMANDS {
        let named = overview.contains(&format!("sprucelink {command}"));
        let words: Vec<&str> = ["help"].into_iter().chain(command.split(' ')).collect();
        let (status, text, _) = command_lines.run(&words, &[]);
        let mut options: Vec<&str> =
            OPTIONS.iter().map(|o| o.0).chain(["--request", "--engine", "--at"]).collect();
        options.retain(|option| {
            let mut words = text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '-'));
            words.any(|word| word == *option)
        });
        lines.push_str(&format!("{command}: {status} {named} {options:?}\n"));
    }
    let (status, version, _) = command_lines.run(&["version"], &[]);
    lines.push_str(&format!("{status} {version}"));
    assert_eq!(command_lines.run(&["--version"], &[]), (status, version.clone(), String::new()));
    assert_eq!(command_lines.run(&["-V"], &[]), (status, version, String::new()));
    assert_eq!(command_lines.run(&["--help"], &[]), (0, overview.clone(), String::new()));
    assert_eq!(command_lines.run(&["-h"], &[]), (0, overview, String::new()));
    golden::assert_matches("cli-help.txt", &lines);
}

/// Complete error texts for invalid configurations: operators and their scripts read these lines.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn invalid_configurations_exit_with_2_and_a_reason() {
    let command_lines = CommandLines::new();
    let head = r#""listen":"127.0.0.1:0","seed":"0a""#;
    let configurations = [
        "".to_owned(),
        "[]".to_owned(),
        "{".to_owned(),
        "[".repeat(100_000),
        format!("{{{head}}}"),
        r#"{"seed":"0a","settings":{}}"#.to_owned(),
        r#"{"listen":"127.0.0.1:0","settings":{}}"#.to_owned(),
        r#"{"listen":"x","seed":"0a","settings":{}}"#.to_owned(),
        r#"{"listen":"127.0.0.1:0","seed":"xyz","settings":{}}"#.to_owned(),
        format!(r#"{{{head},"settings":{{"overShareWorth":"x"}}}}"#),
        format!(r#"{{{head},"settings":{{"profiles":[{{"name":"a"}},{{"name":"b","aim":[]}}]}}}}"#),
        format!(r#"{{{head},"settings":{{"limits":{{"maxAttempts":"six"}}}}}}"#),
        format!(r#"{{{head},"limits":{{"sockets":0}},"settings":{{}}}}"#),
        format!(r#"{{{head},"limits":{{"sockets":29}},"settings":{{}}}}"#),
        format!(r#"{{{head},"limits":{{"memory_mb":0}},"settings":{{}}}}"#),
        format!(r#"{{{head},"operator":"here","settings":{{}}}}"#),
        format!("{{{head},\n\"known\":{{\"n\":2,\"events\":[{{\"n\":1}},\n{{\"members\":{{}}}}]}},\"settings\":{{}}}}"),
    ];
    let mut lines = String::new();
    for (number, text) in configurations.iter().enumerate() {
        std::fs::write(command_lines.dir.join("bad.json"), text).expect("written");
        for command in ["check", "serve"] {
            let (status, _, stderr) = command_lines.run(&[command, "--config", "{dir}/bad.json"], &[]);
            lines.push_str(&format!(
                "configuration {number}, {command}: {status} {}\n",
                command_lines.reason(&stderr)
            ));
        }
    }
    let head = r#""listen":"127.0.0.1:0""#;
    let fronts = [
        "x".to_owned(),
        "[]".to_owned(),
        "{}".to_owned(),
        r#"{"listen":"here"}"#.to_owned(),
        format!(r#"{{{head},"lisen":1}}"#),
        format!(r#"{{{head},"max_sessions":0}}"#),
        format!(r#"{{{head},"max_sessions":257}}"#),
        format!(r#"{{{head},"default_class":"nobody"}}"#),
        format!(r#"{{{head},"default_tenant":"nobody"}}"#),
        format!(r#"{{{head},"tls":"maybe"}}"#),
        format!(r#"{{{head},"tls":"required"}}"#),
        format!(r#"{{{head},"acme":{{"directory":"http://x"}}}}"#),
        format!(r#"{{{head},"acme":{{"directory":"https://x","names":[]}}}}"#),
        format!(r#"{{{head},"acme":{{"directory":"https://x","names":["a"],"store":"/nonexistent"}}}}"#),
        format!(r#"{{{head},"acme":{{"directory":"https://x","names":["a"],"challenge_listen":"x"}}}}"#),
        format!(r#"{{{head},"acme":{{"directory":"https://x","names":["a"],"retry":1}}}}"#),
    ];
    for (number, text) in fronts.iter().enumerate() {
        std::fs::write(command_lines.dir.join("bad.json"), text).expect("written");
        let args = ["check", "--config", "{config}", "--operator", "{dir}/bad.json"];
        let (status, _, stderr) = command_lines.run(&args, &[]);
        lines.push_str(&format!("second front {number}: {status} {}\n", command_lines.reason(&stderr)));
    }
    for option in ["--config", "--operator", "--recorder", "--cold-start", "--membership", "--failover"] {
        let args = ["check", "--config", "{config}", option, "{none}"];
        let (status, _, stderr) = command_lines.run(&args, &[]);
        lines.push_str(&format!("{option} of a missing file: {status} {}\n", command_lines.reason(&stderr)));
    }
    let few = format!(r#"{{{head},"seed":1,"limits":{{"sockets":40}},"settings":{{}}}}"#);
    std::fs::write(command_lines.dir.join("bad.json"), few).expect("written");
    let args = ["check", "--config", "{dir}/bad.json", "--operator", "{operator}"];
    let (status, _, stderr) = command_lines.run(&args, &[]);
    lines.push_str(&format!(
        "too few descriptors for the second front: {status} {}\n",
        command_lines.reason(&stderr)
    ));
    golden::assert_matches("cli-reasons.txt", &lines);
}

#[test]
fn environment_variables_are_read_as_before() {
    let command_lines = CommandLines::new();
    let config = command_lines.fill("{config}");
    let mut lines = String::new();
    for (name, value) in [
        ("EDGE_CONFIG", config.as_str()),
        ("EDGE_CONFIG", ""),
        ("EDGE_CONFIG", "/nonexistent/edge.json"),
        ("EDGE_OPERATOR", "127.0.0.1:0"),
        ("EDGE_OPERATOR", ""),
        ("EDGE_OPERATOR", "here"),
        ("EDGE_FD", "2"),
        ("EDGE_FD", ""),
        ("EDGE_FD", "five"),
    ] {
        let vars = [("EDGE_CONFIG", config.as_str()), (name, value)];
        let (status, _, stderr) = command_lines.run(&["check"], &vars);
        let value = value.replace(&config, "CONFIG");
        lines.push_str(&format!("{name}={value}: {status} {}\n", command_lines.reason(&stderr)));
    }
    let (status, _, stderr) = command_lines.run(&["check"], &[]);
    lines.push_str(&format!("none: {status} {}\n", command_lines.reason(&stderr)));
    golden::assert_matches("cli-environment.txt", &lines);
}
