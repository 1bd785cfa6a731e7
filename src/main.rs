//! The workload manager's program: `sprucelink help` says how to call it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

use sprucelink::run::args::{self, Command, Files};
use sprucelink::run::{config, logging, operator, serve};

fn text(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))
}

fn read_config(files: &Files) -> Result<config::Config, String> {
    let path = files.config.clone().or_else(|| std::env::var("EDGE_CONFIG").ok());
    let path = path.ok_or("no configuration: give --config FILE or set EDGE_CONFIG")?;
    let mut config = config::parse(&text(&path)?).map_err(|e| format!("{path}: {e}"))?;
    if let Some(listen) = &files.listen {
        config.listen.clone_from(listen);
    }
    Ok(config)
}

fn read(files: &Files) -> Result<(config::Config, Option<operator::Operator>), String> {
    let config = read_config(files)?;
    let operator = files
        .operator
        .as_ref()
        .map(|path| operator::parse(&text(path)?, &config.setup).map_err(|e| format!("{path}: {e}")));
    Ok((config, operator.transpose()?))
}

/// Runs a command: its error and the exit status.
fn run(command: Command) -> Result<(), (String, i32)> {
    match command {
        Command::Version => println!("sprucelink {}", env!("CARGO_PKG_VERSION")),
        Command::Help => print!("{}", args::USAGE),
        Command::Check(files) => {
            let (c, operator) = read(&files).map_err(|e| (e, 2))?;
            let (classes, events) = (c.setup.classes.len(), c.known.1.len());
            println!("the configuration will do: listen {}, {classes} classes, {events} events", c.listen);
            match operator {
                Some(o) => println!("the operator's file will do: second front on {}", o.listen),
                None => println!("no operator's file: the second front is off"),
            }
        }
        Command::Serve(files) => {
            let (config, operator) = read(&files).map_err(|e| (e, 2))?;
            logging::start(files.logging);
            serve::serve(config, operator, files, read_config).map_err(|e| (e, 1))?;
        }
    }
    Ok(())
}

fn main() {
    let command = args::parse(std::env::args_os().skip(1));
    let command = command.map_err(|e| (format!("{e}\n\n{}", args::USAGE), 2));
    if let Err((why, status)) = command.and_then(run) {
        eprintln!("sprucelink: {why}");
        std::process::exit(status);
    }
}
