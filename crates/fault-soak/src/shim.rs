//! The library that fails system calls in the processes under test.

use crate::clock::ClockStep;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The library's source.
const SOURCE: &str = include_str!("../shim/syscall_faults.c");
/// The environment variable that configures its faults.
pub const VARIABLE: &str = "SYSCALL_FAULTS";

/// How often each call fails, in thousandths; described in `shim/syscall_faults.c`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyscallFaults {
    /// Reads, writes and connects that a signal interrupts.
    pub interrupted: u32,
    /// Reads and writes of fewer bytes than asked for.
    pub short: u32,
    /// Accepts that fail.
    pub accept: u32,
    /// Connects that fail locally.
    pub connect: u32,
    /// Sockets that cannot be made.
    pub socket: u32,
    /// In ten thousandths: reads on which a connection to an engine or feed breaks.
    pub broken: u32,
    /// Configurations that cannot be opened.
    pub config: u32,
    /// Steps of the wall clock, in order.
    pub steps: Vec<ClockStep>,
}

impl SyscallFaults {
    /// The text of [`VARIABLE`].
    pub fn to_variable(&self, seed: u64) -> String {
        let mut text = format!(
            "seed={seed},eintr={},short={},accept={},connect={},socket={},broken={},config={}",
            self.interrupted, self.short, self.accept, self.connect, self.socket, self.broken, self.config
        );
        for step in &self.steps {
            text += &format!(",step={}:{}", step.at_ms, step.ahead_ms);
        }
        text
    }
}

/// Compiles the library into a folder, with the machine's C compiler.
///
/// # Errors
/// No compiler, or a folder that cannot be written.
pub fn build(folder: &Path) -> io::Result<PathBuf> {
    let source = folder.join("syscall_faults.c");
    let library = folder.join("syscall_faults.so");
    std::fs::write(&source, SOURCE)?;
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-O2", "-o"]).arg(&library).arg(&source).arg("-ldl");
    match compiler.status()?.success() {
        true => Ok(library),
        false => Err(io::Error::other("cc could not compile the library of system call faults")),
    }
}
