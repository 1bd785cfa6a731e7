//! Names of the files: `sprucelink.INSTANCE.PID-START.handover`.
//!
//! The name tells whose a file is without opening it: a folder that many managers share (a test rig's) holds hundreds
//! of files, and each process opens only those of its own manager. The start's time keeps two processes apart that got
//! the same pid: where a process is the first of its machine, each start has the same.

use crate::content::{Instance, Process};
use sprucelink_stable_hash::stable_hash;
use sprucelink_time::Timestamp;

/// Entries of the folder that one listing goes through. A private folder holds a dozen; beyond this one the listing
/// ends, and a file that was not reached is not seen.
pub const LISTED_MOST: usize = 4_096;

const HEAD: &str = "sprucelink.";
const TAIL: &str = ".handover";
/// Behind the name while a file is being written.
const TEMP: &str = ".tmp";

/// A file's name, taken apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileName {
    /// Which manager's, by the low 32 bits of a hash.
    pub instance: u32,
    /// The process's id.
    pub pid: u32,
    /// When the process started.
    pub started: Timestamp,
    /// It is a file still being written, or one that its writer died over.
    pub temp: bool,
}

impl FileName {
    /// The name's parts for a process.
    pub fn of(instance: &Instance, process: &Process) -> FileName {
        let hash = stable_hash(&[instance.name.as_bytes(), instance.listen.as_bytes()]);
        FileName { instance: hash as u32, pid: process.pid, started: process.started, temp: false }
    }

    /// Reads a name; `None`: not one of these files.
    pub fn parse(name: &str) -> Option<FileName> {
        let (name, temp) = match name.strip_suffix(TEMP) {
            Some(rest) => (rest, true),
            None => (name, false),
        };
        let (instance, process) = name.strip_prefix(HEAD)?.strip_suffix(TAIL)?.split_once('.')?;
        let (pid, started) = process.split_once('-')?;
        let instance = u32::from_str_radix(instance, 16).ok()?;
        let parsed = FileName {
            instance,
            pid: pid.parse().ok()?,
            started: Timestamp::from_micros(started.parse().ok()?),
            temp,
        };
        // Guards against a second spelling of a name ("+7", "007"): a name is what this crate writes, or none.
        let written = format!("{parsed}{}", if temp { TEMP } else { "" });
        (written == format!("{name}{}", if temp { TEMP } else { "" })).then_some(parsed)
    }

    /// The name of the file while it is being written.
    pub(crate) fn temp_of(name: &str) -> String {
        format!("{name}{TEMP}")
    }
}

impl std::fmt::Display for FileName {
    /// The name of the whole file.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{HEAD}{:08x}.{}-{}{TAIL}", self.instance, self.pid, self.started.as_micros())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_read_as_written_and_nothing_else_is() {
        let instance = Instance { name: "n3".into(), listen: "127.0.0.1:7001".into() };
        let process =
            Process { generation: 9, started: Timestamp::from_micros(1_700_000_000_000_000), pid: 7 };
        let of = FileName::of(&instance, &process);
        let name = of.to_string();
        assert!(name.ends_with(".7-1700000000000000.handover"), "{name}");
        assert_eq!(FileName::parse(&name), Some(of));
        assert_eq!(FileName::parse(&FileName::temp_of(&name)), Some(FileName { temp: true, ..of }));
        let other = FileName::of(&Instance { name: "n30".into(), ..instance.clone() }, &process);
        assert_ne!(other.instance, of.instance);
        for bad in [
            "",
            "sprucelink.handover",
            "sprucelink.00000001.7.handover",
            "sprucelink.00000001.+7-1.handover",
            "sprucelink.00000001.7-01.handover",
            "sprucelink.1.7-1.handover",
            "sprucelink.00000001.7-1.handover.tmp.tmp",
            "../sprucelink.00000001.7-1.handover",
            "sprucelink.00000001.7-99999999999999999999.handover",
        ] {
            assert_eq!(FileName::parse(bad), None, "{bad}");
        }
        assert!(FileName::parse("sprucelink.00000001.7-1.handover").is_some());
    }
}
