//! A short run of the fault soak: the system calls of managers fail, and the managers are stopped, killed and
//! reloaded while clients and engines misbehave. Long runs use `sprucelink-fault-soak`
//! (docs/operators/fault-soak.md).

use sprucelink_fault_soak::soak::{run, SoakConfig};
use std::path::PathBuf;
use std::time::Duration;

/// A seed that selects every kind of system call failure and steps of the wall clock.
const SEED: u64 = 7;

#[test]
fn soak_under_overlapping_faults_breaks_no_rule() {
    let folder = std::env::temp_dir().join(format!("sprucelink-soak-test-{}", std::process::id()));
    let config = SoakConfig {
        program: PathBuf::from(env!("CARGO_BIN_EXE_sprucelink")),
        folder: folder.clone(),
        managers: 8,
        engines: 6,
        rate: 60.0,
        duration: Duration::from_secs(12),
        seed: SEED,
        arguments: Vec::new(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let report = runtime.expect("a runtime").block_on(run(config)).expect("carried out");
    std::fs::remove_dir_all(folder).expect("removed");
    assert!(report.attempts > 300, "{} attempts", report.attempts);
    let descriptions: Vec<String> = report.violations.iter().take(20).map(|v| format!("{v:?}")).collect();
    assert!(
        report.violations.is_empty(),
        "{} violations:\n{}",
        report.violations.len(),
        descriptions.join("\n")
    );
}
