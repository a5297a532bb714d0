//! Reports the end of a task that panics.
//!
//! The runtime catches the panic of a task and drops the task, so that whoever waits for its message would wait forever.

/// Calls a function if it is dropped by a panic.
pub struct PanicGuard<F: FnMut()> {
    report: F,
}

impl<F: FnMut()> PanicGuard<F> {
    /// Guard that calls `report` in a panic.
    pub fn new(report: F) -> PanicGuard<F> {
        PanicGuard { report }
    }
}

impl<F: FnMut()> Drop for PanicGuard<F> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            (self.report)();
        }
    }
}
