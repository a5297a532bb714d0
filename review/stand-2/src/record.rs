//! Record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::PathBuf,
    sync::Mutex,
    time::{Duration, Instant},
};

/// File with one line for each event, with the time since the start.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file, or replaces it.
    pub fn new(path: PathBuf) -> Record {
        let file = File::create(&path).unwrap_or_else(|err| panic!("{}: {err}", path.display()));
        Record { start: Instant::now(), file: Mutex::new(file) }
    }

    /// Adds a line.
    pub fn note(&self, text: impl AsRef<str>) {
        self.note_at(Instant::now(), text);
    }

    /// Adds a line with the time of an earlier event.
    pub fn note_at(&self, at: Instant, text: impl AsRef<str>) {
        let ms = at.saturating_duration_since(self.start).as_millis();
        let mut file = self.file.lock().unwrap_or_else(|it| it.into_inner());
        writeln!(file, "{:4}.{:03} s  {}", ms / 1_000, ms % 1_000, text.as_ref())
            .expect("the record");
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}
