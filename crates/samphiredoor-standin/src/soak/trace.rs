//! What a run has done and seen, one line each, and what its threads share.

use std::{
    fs::File,
    io::{BufWriter, Write},
    net::SocketAddr,
    path::Path,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use anyhow::Context;
use serde_json::{Value, json};

use super::checks::Checks;

/// Set when the process is told to end.
static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// Has all runs of this process end soon.
pub fn interrupt() {
    INTERRUPTED.store(true, Ordering::Relaxed);
}

/// Whether the process is told to end.
pub fn is_interrupted() -> bool {
    INTERRUPTED.load(Ordering::Relaxed)
}

/// What clients and faults of one run share.
pub struct Shared {
    checks: Mutex<Checks>,
    gateways: Mutex<Vec<SocketAddr>>,
    lines: Mutex<BufWriter<File>>,
    began: Instant,
    stopped: AtomicBool,
}

impl Shared {
    /// State of a run that writes its trace into a file.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn new(trace: &Path) -> anyhow::Result<Shared> {
        let file = File::create(trace)
            .with_context(|| format!("{} cannot be written", trace.display()))?;
        Ok(Shared {
            checks: Mutex::default(),
            gateways: Mutex::default(),
            lines: Mutex::new(BufWriter::new(file)),
            began: Instant::now(),
            stopped: AtomicBool::new(false),
        })
    }

    /// The promises.
    pub fn checks(&self) -> MutexGuard<'_, Checks> {
        locked(&self.checks)
    }

    /// Where a gateway takes callers' connections.
    pub fn gateway(&self, number: usize) -> SocketAddr {
        locked(&self.gateways)[number]
    }

    /// Takes where gateways take callers' connections.
    pub fn set_gateways(&self, addresses: Vec<SocketAddr>) {
        *locked(&self.gateways) = addresses;
    }

    /// Writes a line.
    pub fn trace(&self, what: &str, details: Value) {
        let line = json!({ "at_ms": self.elapsed_ms(), "what": what, "of": details });
        // A trace that cannot be written must not end the run that it tells about.
        let _ = writeln!(locked(&self.lines), "{line}");
    }

    /// Writes out all lines.
    pub fn flush(&self) {
        let _ = locked(&self.lines).flush();
    }

    /// Time since the run began.
    pub fn elapsed_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Has clients end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Whether clients are to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed) || self.is_over()
    }

    /// Whether nothing more is worth doing: a promise broke, or the process is told to end.
    pub fn is_over(&self) -> bool {
        is_interrupted() || self.checks().breach().is_some()
    }
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
