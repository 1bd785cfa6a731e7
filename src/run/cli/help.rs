//! Help texts, generated from the table of sub-commands.

use super::subcommands::{Subcommand, SUBCOMMANDS};

/// The help text of a sub-command; if none is given or the name is unknown, the help text of the program.
pub fn usage(subcommand: Option<&str>) -> String {
    match subcommand.and_then(Subcommand::by_name) {
        Some(subcommand) => format!("usage: {}\n\n{}", usage_line(subcommand), subcommand.help),
        None => overview(),
    }
}

fn overview() -> String {
    let lines: Vec<String> = SUBCOMMANDS
        .iter()
        .map(|subcommand| format!("  {}\n", usage_line(subcommand).replace('\n', "\n  ")))
        .collect();
    format!(
        "sprucelink: a workload manager in front of query engines\n\nusage:\n{}\n\
         `sprucelink help COMMAND` tells more of each.\n\n\
         exit status: 0 done or stopped, 1 the start failed or a comparison did, 2 a bad command line or file\n",
        lines.concat()
    )
}

/// The usage line of a sub-command; further lines of options are indented below the first.
fn usage_line(subcommand: &Subcommand) -> String {
    let arguments = subcommand.usage.replace('\n', "\n         ");
    format!("sprucelink {} {arguments}", subcommand.name).trim_end().to_owned()
}
