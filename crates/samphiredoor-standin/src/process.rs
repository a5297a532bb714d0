//! Child processes that are killed when their owner is dropped; signals are sent only to their own process ids.

use std::process::{Child, Command};

/// Child process that is killed on drop.
pub struct ChildProcess(pub Child);

impl ChildProcess {
    /// Sends SIGKILL and waits for the end of the process, to simulate the loss of its host.
    pub fn kill(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }

    /// Sends a signal by its name without `SIG`, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.0.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status().expect("kill runs");
        assert!(sent.success(), "signal {name} was not sent");
    }

    /// A value in kilobytes of the process's status, such as `VmHWM`.
    pub fn status_kb(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id()));
        let status = status.expect("the status of a running process");
        let value = status.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(':'));
        let value = value.and_then(|it| it.trim().strip_suffix("kB")?.trim().parse().ok());
        value.expect("a value in kilobytes")
    }

    /// Whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        self.0.try_wait().expect("the process can be asked").is_some()
    }

    /// Waits until the process exits; returns whether it exited successfully.
    pub fn wait(&mut self) -> bool {
        self.0.wait().expect("the process can be waited for").success()
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
