//! The library that makes system calls fail in the processes under test.

use crate::clock::ClockStep;
use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// C source of the library.
const SOURCE: &str = include_str!("../shim/syscall_faults.c");
/// Environment variable that configures the library.
pub const FAULTS_VARIABLE: &str = "SYSCALL_FAULTS";

/// Frequencies of system call faults, in failing calls per 1,000 where no other unit is given.
/// `shim/syscall_faults.c` describes each fault.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SyscallFaults {
    /// Reads, writes and connects that are interrupted by a signal.
    pub interrupted: u32,
    /// Reads and writes that transfer fewer bytes than requested.
    pub short: u32,
    /// Accepts that fail.
    pub accept: u32,
    /// Connects that fail locally.
    pub connect: u32,
    /// Sockets that cannot be created.
    pub socket: u32,
    /// Reads per 10,000 on which a connection to an engine or feed fails.
    pub broken: u32,
    /// Opens of the configuration file that fail.
    pub config: u32,
    /// Steps of the wall clock, ordered by time.
    pub steps: Vec<ClockStep>,
}

impl SyscallFaults {
    /// Value of [`FAULTS_VARIABLE`] for these faults, where `seed` selects the random numbers of the process.
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

/// Compiles the library into an existing folder with the C compiler `cc`, and returns the library's path.
///
/// # Errors
/// Fails if there is no C compiler, the compiler reports an error, or the folder cannot be written.
pub fn build(folder: &Path) -> io::Result<PathBuf> {
    let source = folder.join("syscall_faults.c");
    let library = folder.join("syscall_faults.so");
    std::fs::write(&source, SOURCE)?;
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-O2", "-o"]).arg(&library).arg(&source).arg("-ldl");
    match compiler.status()?.success() {
        true => Ok(library),
        false => Err(io::Error::other("cc failed to compile the library of system call faults")),
    }
}
