//! A test harness for clusters: many processes of the real program on kernel-chosen loopback ports, with
//! stand-ins for the services around them that count the fleet's calls, and a fault proxy between the
//! processes and the stand-ins.
//!
//! - [`lists::ListService`]: the control feed; counts calls, refuses, stalls, publishes older lists;
//! - [`engines::CountingEngine`]: engines that count connections and threads, have a slow start, and fall
//!   over under too much work;
//! - [`fault_proxy`]: forwards TCP and UDP between groups of processes and injects faults;
//! - [`procs::Fleet`]: starts, signals and restarts the processes, by their own ids only;
//! - [`client`]: open-loop clients of the platform's front;
//! - [`subscribers`]: stand-in subscribers of the fleet's journal, spread over the managers;
//! - [`history`]: a file of what the processes did, which `sprucelink-history-checker` checks;
//! - [`scenario`]: the description of a run; [`run`] executes it; [`report`] makes its table and chart.
//!
//! A run is bounded in time and in everything that it counts, and ends every process that it started.

pub mod client;
pub mod counter;
pub mod engines;
pub mod fault_proxy;
pub mod history;
pub mod http;
pub mod ledger;
pub mod lists;
pub mod procs;
pub mod report;
pub mod run;
pub mod scenario;
pub mod subscribers;
pub mod template;

pub use client::query_once;

use std::sync::OnceLock;
use tokio::runtime::{Builder, Runtime};

/// Threads of the stand-ins' runtime. They are few, to leave most of the machine's cores to the managers'
/// processes.
const WORKER_THREADS: usize = 2;

/// The runtime on which all stand-ins of this process run.
///
/// # Panics
/// If the system can't create its threads; no stand-in can run without them.
pub fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .enable_all()
            .build()
            .expect("threads for the stand-ins")
    })
}
