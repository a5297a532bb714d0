//! Timeouts of watches, staggered over the processes of the fleet.
//!
//! A store that stops responding for a moment need not close connections, and a watch sent in that time may never get a
//! response: it is stalled, and its process misses all changes without any error. Only a call that completes shows that
//! the store responds. If each process ended its watches every second, the number of calls would grow with the fleet,
//! so the processes take turns. Whatever their number, one watch of the fleet ends in each turn, and its process
//! reports the newest change that it has seen to the others; a process that has not seen that change starts a new
//! watch. The delay of a change therefore depends neither on the length of the outage, nor on the number of stalled
//! watches, nor on the other calls of a process.

use std::time::Duration;

/// Turns within the time in which a change has to take effect. One turn passes until a watch ends; the others are for
/// the timeout of a watch without a response, for the report to the other processes, and for their own calls.
const TURNS: u32 = 5;

/// Content of the last response to a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastAnswer {
    /// Changes, which all processes received at the same moment.
    Changes,
    /// No changes; the wait of the watch was over.
    Nothing,
}

/// Position of a process among the live processes that watch the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPosition {
    /// Number of processes before this one in order of name.
    pub position: usize,
    /// Number of processes, including this one.
    pub processes: usize,
}

/// Timeouts of the watches of one kind of objects.
#[derive(Debug, Clone, Copy)]
pub struct Renewal {
    turn: Duration,
}

impl Renewal {
    /// Timeouts with which changes take effect `within` some time.
    pub fn new(within: Duration) -> Renewal {
        Renewal { turn: within / TURNS }
    }

    /// Length of a turn, in which one watch of the fleet ends.
    pub fn turn(&self) -> Duration {
        self.turn
    }

    /// Timeout of the next watch. After changes all processes send their watches at once, and the position spreads the
    /// timeouts over the turns; later ones all have the same length, which keeps them spread.
    pub fn wait(&self, fleet: FleetPosition, last: LastAnswer) -> Duration {
        let turns = match last {
            LastAnswer::Changes => fleet.position + 1,
            LastAnswer::Nothing => fleet.processes,
        };
        self.turn.saturating_mul(turns as u32)
    }
}
