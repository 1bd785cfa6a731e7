//! Golden: sub-commands, options, exit codes, environment variables, and the reasons that are given for a
//! configuration that will not do. Help texts and the wording of other messages are free.
mod support;

use support::{golden, scratch_dir};

/// Every sub-command with the arguments that it needs. `{...}` are paths, see [`Place`].
const COMMANDS: [(&str, &[&str]); 11] = [
    // A configuration that is not there ends `serve` behind the command line and before it serves.
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

/// Every option with a value that it takes.
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

/// Option and value, each refused, with a command that knows the option.
const BAD_VALUES: [(&str, &str, &str); 17] = [
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

/// Words that are no command line, or one that lacks something.
const BAD_LINES: [&[&str]; 19] = [
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

/// Where the placeholders of command lines lead.
struct Place {
    dir: std::path::PathBuf,
}

impl Place {
    fn new() -> Place {
        let dir = scratch_dir();
        let config = std::fs::read_to_string(golden::path("settings/platform.json")).expect("a document");
        std::fs::write(dir.join("config.json"), config).expect("written");
        std::fs::write(dir.join("operator.json"), r#"{"listen":"127.0.0.1:0"}"#).expect("written");
        Place { dir }
    }

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
        let (status, out, why) = golden::run(&args, vars);
        assert!(!why.contains("panicked"), "{args:?}: {why}");
        (status, out, why)
    }

    /// The reason, without what leads to this test's folder.
    fn reason(&self, why: &str) -> String {
        let first = why.lines().next().unwrap_or_default();
        first.replace(&format!("{}/", self.dir.to_str().expect("text")), "")
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.dir));
    }
}

/// Exit status of every option on every sub-command, and whether a refusal names the option.
#[test]
fn options_are_taken_or_refused_by_each_sub_command_as_before() {
    let place = Place::new();
    let row = |(command, needed): &(&str, &[&str])| {
        let mut lines = String::new();
        let words: Vec<&str> = command.split(' ').chain(needed.iter().copied()).collect();
        lines.push_str(&format!("{command}: {}\n", place.run(&words, &[]).0));
        for (option, value) in OPTIONS {
            // Before the arguments that it needs: a repeated option's last value counts, and `serve` must not serve.
            let mut args: Vec<&str> = command.split(' ').chain([option]).chain(value).collect();
            args.extend(*needed);
            let (status, _, why) = place.run(&args, &[]);
            // The usage that follows a refusal names every option.
            let named = why.lines().next().unwrap_or_default().contains(&format!("{option}'"));
            lines.push_str(&format!("{command} {option}: {status}{}\n", if named { " refused" } else { "" }));
        }
        lines
    };
    let row = &row;
    let all: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = COMMANDS.iter().map(|command| scope.spawn(move || row(command))).collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    golden::assert_matches("cli-options.txt", &all.concat());
}

/// Exit status of command lines that will not do, and whether the option at fault is named.
#[test]
fn bad_command_lines_end_as_before() {
    let place = Place::new();
    let mut lines = String::new();
    for (command, option, value) in BAD_VALUES {
        let needed = COMMANDS.iter().find(|c| c.0 == command).expect("a command").1;
        let first = needed.iter().take(usize::from(needed[0].starts_with('{')));
        let mut args: Vec<&str> = command.split(' ').chain(first.copied()).collect();
        args.extend([option, value]);
        let (status, _, why) = place.run(&args, &[]);
        let named = why.lines().next().unwrap_or_default().contains(option);
        lines.push_str(&format!(
            "{command} {option} {value}: {status}{}\n",
            if named { " by name" } else { "" }
        ));
    }
    for line in BAD_LINES {
        lines.push_str(&format!("{line:?}: {}\n", place.run(line, &[]).0));
    }
    for (command, needed) in &COMMANDS[2..7] {
        let args: Vec<&str> = command.split(' ').chain(needed.iter().copied()).collect();
        let args: Vec<&str> = args.iter().map(|a| if *a == "{capture}" { "{none}" } else { a }).collect();
        let (status, _, why) = place.run(&args, &[]);
        let named = why.contains("none.json");
        lines.push_str(&format!(
            "{command} of a missing file: {status}{}\n",
            if named { " by name" } else { "" }
        ));
    }
    golden::assert_matches("cli-bad.txt", &lines);
}

/// The help of each sub-command names its options, and the overview names all sub-commands.
#[test]
fn help_names_every_sub_command_and_option() {
    let place = Place::new();
    let mut lines = String::new();
    let (_, overview, _) = place.run(&["help"], &[]);
    for (command, _) in COMMANDS {
        let named = overview.contains(&format!("sprucelink {command}"));
        let words: Vec<&str> = ["help"].into_iter().chain(command.split(' ')).collect();
        let (status, text, _) = place.run(&words, &[]);
        let mut options: Vec<&str> =
            OPTIONS.iter().map(|o| o.0).chain(["--request", "--engine", "--at"]).collect();
        options.retain(|option| {
            let mut words = text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '-'));
            words.any(|word| word == *option)
        });
        lines.push_str(&format!("{command}: {status} {named} {options:?}\n"));
    }
    let (status, version, _) = place.run(&["version"], &[]);
    lines.push_str(&format!("{status} {version}"));
    assert_eq!(place.run(&["--version"], &[]), (status, version.clone(), String::new()));
    assert_eq!(place.run(&["-V"], &[]), (status, version, String::new()));
    assert_eq!(place.run(&["--help"], &[]), (0, overview.clone(), String::new()));
    assert_eq!(place.run(&["-h"], &[]), (0, overview, String::new()));
    golden::assert_matches("cli-help.txt", &lines);
}

/// What is wrong with a configuration, in full: operators and their scripts read these lines.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step after step")]
fn bad_configurations_end_with_2_and_their_reasons() {
    let place = Place::new();
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
        std::fs::write(place.dir.join("bad.json"), text).expect("written");
        for command in ["check", "serve"] {
            let (status, _, why) = place.run(&[command, "--config", "{dir}/bad.json"], &[]);
            lines.push_str(&format!("configuration {number}, {command}: {status} {}\n", place.reason(&why)));
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
        std::fs::write(place.dir.join("bad.json"), text).expect("written");
        let args = ["check", "--config", "{config}", "--operator", "{dir}/bad.json"];
        let (status, _, why) = place.run(&args, &[]);
        lines.push_str(&format!("second front {number}: {status} {}\n", place.reason(&why)));
    }
    for option in ["--config", "--operator", "--recorder", "--cold-start", "--membership", "--failover"] {
        let args = ["check", "--config", "{config}", option, "{none}"];
        let (status, _, why) = place.run(&args, &[]);
        lines.push_str(&format!("{option} of a missing file: {status} {}\n", place.reason(&why)));
    }
    let few = format!(r#"{{{head},"seed":1,"limits":{{"sockets":40}},"settings":{{}}}}"#);
    std::fs::write(place.dir.join("bad.json"), few).expect("written");
    let args = ["check", "--config", "{dir}/bad.json", "--operator", "{operator}"];
    let (status, _, why) = place.run(&args, &[]);
    lines.push_str(&format!("too few descriptors for the second front: {status} {}\n", place.reason(&why)));
    golden::assert_matches("cli-reasons.txt", &lines);
}

#[test]
fn environment_variables_are_read_as_before() {
    let place = Place::new();
    let config = place.fill("{config}");
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
        let (status, _, why) = place.run(&["check"], &vars);
        let value = value.replace(&config, "CONFIG");
        lines.push_str(&format!("{name}={value}: {status} {}\n", place.reason(&why)));
    }
    let (status, _, why) = place.run(&["check"], &[]);
    lines.push_str(&format!("none: {status} {}\n", place.reason(&why)));
    golden::assert_matches("cli-environment.txt", &lines);
}
