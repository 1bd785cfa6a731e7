//! The tests of the third round of cases: `review-3 CASE FOLDER`. Exit status: 0 the rule held, 1 it was broken,
//! 2 the case could not run.

mod cases;
mod kit;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // Ends a run that hangs, and the workload managers that it started.
    std::thread::spawn(|| {
        std::thread::sleep(kit::ms(100_000));
        eprintln!("the case did not end within 100 s");
        kit::end_all();
        std::process::exit(2);
    });
    let result = kit::Record::create(&Path::new(folder).join("record.txt")).and_then(|record| {
        record.line(format!("case {case}, trouble {has_trouble}"));
        cases::run(case, &record, has_trouble)
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
