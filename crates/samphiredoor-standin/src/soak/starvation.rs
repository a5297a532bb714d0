//! Processes that get no processor time for short spans, as on a host that runs too many of them.
//!
//! This is no fault that excuses anything: a program has to keep its promises however late it reads what it received.

use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// How long a process gets no processor time.
const STOPPED_MS: std::ops::Range<u64> = 20..400;
/// How long it runs in between.
const RUNNING_MS: std::ops::Range<u64> = 20..300;

/// Change of the state of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Switch {
    /// The process gets no processor time any more.
    Stop,
    /// The process runs again.
    Continue,
}

/// Schedule of when each process runs.
#[derive(Debug)]
pub struct Starvation {
    rng: SmallRng,
    processes: Vec<Process>,
}

#[derive(Debug, Clone, Copy)]
struct Process {
    is_stopped: bool,
    until: Instant,
}

impl Starvation {
    /// Schedule of a number of processes, which all run at first.
    pub fn new(seed: u64, processes: usize) -> Starvation {
        let process = Process { is_stopped: false, until: Instant::now() };
        Starvation { rng: SmallRng::seed_from_u64(seed), processes: vec![process; processes] }
    }

    /// Next change of a process that is due.
    pub fn next(&mut self, now: Instant) -> Option<(usize, Switch)> {
        let number = self.processes.iter().position(|it| it.until <= now)?;
        let process = &mut self.processes[number];
        process.is_stopped = !process.is_stopped;
        let span = if process.is_stopped { STOPPED_MS } else { RUNNING_MS };
        process.until = now + Duration::from_millis(self.rng.random_range(span));
        Some((number, if process.is_stopped { Switch::Stop } else { Switch::Continue }))
    }
}
