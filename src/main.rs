//! The workload manager's program: `sprucelink help` says how to call it.

use sprucelink::run::cli::{self, Command, Files};
use sprucelink::run::serve::Start;
use sprucelink::run::{commands, config, logging, operator, serve, socket_activation};
use sprucelink_settings::{Environment, SettingsFile};

fn text(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))
}

fn read_config(files: &Files) -> Result<config::Config, String> {
    let environment = Environment::read(|name| std::env::var(name).ok()).map_err(|e| e.to_string())?;
    let path = files.config.as_ref().or(environment.config.as_ref());
    let path = path.ok_or("no configuration: give --config FILE or set EDGE_CONFIG")?;
    let mut config = config::parse(&text(path)?, &environment).map_err(|e| format!("{path}: {e}"))?;
    if let Some(listen) = &files.listen {
        config.listen.clone_from(listen);
    }
    Ok(config)
}

fn read(files: &Files) -> Result<Start, String> {
    let mut config = read_config(files)?;
    let operator = files.operator.as_ref().map(|path| {
        let read = operator::parse(&text(path)?, &config.setup).map_err(|e| format!("{path}: {e}"))?;
        let (needs, sockets) = (read.descriptors(), config.sockets);
        config.keep_back(needs).map_err(|least| {
            format!(
                "{path}: operator's file: max_sessions: the second front needs {needs} descriptors: limits.sockets is \
                 {sockets}, and {least} would do"
            )
        })?;
        Ok::<_, String>(read)
    });
    let recorder = commands::recorder(files.capture.as_deref(), files.recorder.as_deref())?;
    let cold_start = files.cold_start.as_ref().map(|path| {
        let set = sprucelink_startup::config::StartupConfig::parse(&text(path)?);
        set.map_err(|e| format!("{path}: {e}"))
    });
    let membership = files.membership.as_ref().map(|path| {
        let set = sprucelink_membership::MembershipConfig::parse(&text(path)?);
        set.map_err(|e| format!("{path}: {e}"))
    });
    let failover = files.failover.as_ref().map(|path| {
        let set = sprucelink_zone_failover::terms::Terms::parse(&text(path)?);
        set.map_err(|e| format!("{path}: {e}"))
    });
    let operators = config.operator.map(|address| address.to_string());
    let inherited = config.inherited.map(socket_activation::listener).transpose()?;
    Ok(Start {
        config,
        operators,
        inherited,
        operator: operator.transpose()?,
        recorder,
        cold_start: cold_start.transpose()?,
        membership: membership.transpose()?,
        failover: failover.transpose()?,
    })
}

/// Runs a command: its exit status, or an error and the exit status.
fn run(command: Command) -> Result<i32, (String, i32)> {
    let unusable = |e: String| (e, 2);
    match command {
        Command::Version => println!("sprucelink {}", env!("CARGO_PKG_VERSION")),
        Command::Help(of) => print!("{}", cli::usage(of)),
        Command::Check(files) => {
            let start = read(&files).map_err(unusable)?;
            let c = start.config;
            let (classes, events) = (c.setup.classes.len(), c.known.1.len());
            println!("the configuration will do: listen {}, {classes} classes, {events} events", c.listen);
            match start.operator {
                Some(o) => println!("the operator's file will do: second front on {}", o.listen),
                None => println!("no operator's file: the second front is off"),
            }
            match start.recorder {
                Some(r) => {
                    println!("the recorder's settings will do: {} MB in {}", r.ring_mb, r.dir.display())
                }
                None => println!("no recorder's settings: nothing is recorded"),
            }
            match start.cold_start {
                Some(c) if c.enabled => println!(
                    "the cold start's settings will do: lists at {} a second for the fleet, dials staged over {} ms",
                    c.endpoint_poller.fleet_rate, c.dial_pacer.window_ms
                ),
                Some(_) => println!("the cold start's settings will do; they are not enabled"),
                None => println!("no cold start's settings: the start is as it always was"),
            }
            match start.membership {
                Some(m) if m.enabled => println!(
                    "the membership's settings will do: listen {}, {} seeds, a period of {} ms",
                    m.listen,
                    m.seeds.len(),
                    m.protocol.period_ms
                ),
                Some(_) => println!("the membership's settings will do; they are not enabled"),
                None => println!("no membership's settings: managers do not talk"),
            }
            match start.failover {
                Some(f) if f.enabled => println!(
                    "the failover's settings will do: {} regions named, a factor of {}",
                    f.regions.len(),
                    f.overprovision
                ),
                Some(_) => println!("the failover's settings will do; they are not enabled"),
                None => println!("no failover's settings: the draw goes by load and prices alone"),
            }
        }
        Command::Serve(files) => {
            let start = read(&files).map_err(unusable)?;
            logging::start(files.logging);
            serve::serve(start, files, read_config).map_err(|e| (e, 1))?;
        }
        Command::Replay(ask) => return commands::replay(&ask).map_err(unusable),
        Command::Explain { file, question, json } => {
            return commands::explain_why(&file, &question, json).map_err(unusable)
        }
        Command::Show { file, json } => return commands::show(&file, json).map_err(unusable),
        Command::Cut(ask) => return commands::cut_out(&ask).map_err(unusable),
        Command::Shape { statement, json } => commands::shape(&statement, json),
        Command::Members { address, json } => commands::members(address, json).map_err(|e| (e, 1))?,
        Command::Verify { files, json } => return commands::verify(&files, json).map_err(unusable),
    }
    Ok(0)
}

fn main() {
    let command = cli::parse(std::env::args_os().skip(1));
    let command = command.map_err(|e| (format!("{e}\n\n{}", cli::usage(None)), 2));
    match command.and_then(run) {
        Ok(0) => {}
        Ok(status) => std::process::exit(status),
        Err((why, status)) => {
            eprintln!("sprucelink: {why}");
            std::process::exit(status);
        }
    }
}
