//! Child processes that end with their owner, each signalled by its own process id alone.

use std::process::{Child, Command};

/// A child process, killed when its owner is dropped.
pub struct ChildProcess(pub Child);

impl ChildProcess {
    /// Ends the process at once, as a lost host would.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends a signal by its name, as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(sent.success(), "signal {name} was not sent");
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.0.try_wait().expect("the process can be asked").is_some()
    }

    /// Waits for the end of the process; tells whether it ended well.
    pub fn wait(&mut self) -> bool {
        self.0.wait().expect("the process can be waited for").success()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
