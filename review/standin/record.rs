//! The record of a run: what was sent, answered and run, with the time in seconds.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self { start: Instant::now(), file })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("unpoisoned");
        // A record that cannot be written ends the run.
        writeln!(file, "{at:8.3} {text}").expect("a writable record");
    }
}
