//! State that the threads of a run share, and the trace of the run: one JSON line per event.

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

/// Set when the process receives a termination signal.
static INTERRUPTED: AtomicBool = AtomicBool::new(false);

/// Requests the end of all runs of this process.
pub fn interrupt() {
    INTERRUPTED.store(true, Ordering::Relaxed);
}

/// Whether the process has received a termination signal.
pub fn is_interrupted() -> bool {
    INTERRUPTED.load(Ordering::Relaxed)
}

/// State of one run, shared by its clients and the fault injector.
pub struct RunState {
    checks: Mutex<Checks>,
    gateways: Mutex<Vec<SocketAddr>>,
    lines: Mutex<BufWriter<File>>,
    started_at: Instant,
    stopped: AtomicBool,
}

impl RunState {
    /// New run that writes its trace to a file.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn new(trace: &Path) -> anyhow::Result<RunState> {
        let file = File::create(trace)
            .with_context(|| format!("{} cannot be written", trace.display()))?;
        Ok(RunState {
            checks: Mutex::default(),
            gateways: Mutex::default(),
            lines: Mutex::new(BufWriter::new(file)),
            started_at: Instant::now(),
            stopped: AtomicBool::new(false),
        })
    }

    /// Locks the checks.
    pub fn checks(&self) -> MutexGuard<'_, Checks> {
        lock(&self.checks)
    }

    /// Address of a gateway's listener for callers.
    pub fn gateway(&self, number: usize) -> SocketAddr {
        lock(&self.gateways)[number]
    }

    /// Sets the addresses of the gateways' listeners for callers.
    pub fn set_gateways(&self, addresses: Vec<SocketAddr>) {
        *lock(&self.gateways) = addresses;
    }

    /// Writes a line to the trace.
    pub fn trace(&self, what: &str, details: Value) {
        let line = json!({ "at_ms": self.elapsed_ms(), "what": what, "of": details });
        // A failure to write the trace must not end the run.
        let _ = writeln!(lock(&self.lines), "{line}");
    }

    /// Flushes the trace to its file.
    pub fn flush(&self) {
        let _ = lock(&self.lines).flush();
    }

    /// Time since the start of the run.
    pub fn elapsed_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Requests the end of all clients.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    /// Whether clients should end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Relaxed) || self.is_over()
    }

    /// Whether the run should end early: an invariant was violated, or the process received a termination signal.
    pub fn is_over(&self) -> bool {
        is_interrupted() || self.checks().violation().is_some()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
