//! A fleet rig: many processes of the real program on kernel-chosen loopback ports, against stand-ins of the
//! project's own that count what the fleet does to them, with a fault proxy between.
//!
//! - [`lists::ListService`]: the control feed; counts calls, refuses, stalls, tells older lists;
//! - [`engines::CountingEngine`]: engines that count dials and threads, warm up, and fall over when pushed;
//! - [`fault_proxy`]: TCP and UDP between groups of processes, with faults on command;
//! - [`procs::Fleet`]: processes started, signalled and restarted by their own ids only;
//! - [`client`]: open-loop clients of the platform's front;
//! - [`subscribers`]: stand-in subscribers of the fleet's journal, over many managers;
//! - [`history`]: what processes did, as a file that `sprucelink-history-checker` judges;
//! - [`scenario`] says what a run does, [`run`] carries it out, [`report`] gives its table and chart.
//!
//! A run is bounded in time and in everything it counts, and ends every process it started.

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

/// Threads of the stand-ins: most of a machine's cores are the processes'.
const WORKERS: usize = 2;

/// The runtime on which all stand-ins of this process run.
///
/// # Panics
/// If the machine gives no threads for it: nothing of a rig can be started then.
pub fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .enable_all()
            .build()
            .expect("threads for the stand-ins")
    })
}
