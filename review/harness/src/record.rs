//! The record of a run: one line for each thing sent, answered or run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Record {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:9.4} {}\n", self.now(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}
