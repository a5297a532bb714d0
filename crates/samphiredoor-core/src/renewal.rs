//! How long watches wait before they are asked anew.
//!
//! A store that is silent for a moment cuts no connection, and a watch that is asked meanwhile is never answered: its
//! process hears of no change and cannot know that it is deaf. Only a call that ends shows that the store answers. If each
//! process ended its watches every second, calls would grow with the fleet; so processes take turns. Whatever their
//! number, a watch of the fleet ends in each turn, and its process tells the others the newest change that it saw. Whoever
//! has not seen that one asks anew. How long a change takes therefore rests neither on how long the silence lasted, nor on
//! how many are deaf at once, nor on what else a process asks.

use std::time::Duration;

/// Turns within the time in which a change has to be in force. One goes until a watch ends; the others are for the time
/// limit of a watch that gets no answer, the word to the others, and their own calls.
const TURNS: u32 = 5;

/// What the last answer of a watch told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastAnswer {
    /// Changes, which all processes were told at the same moment.
    Changes,
    /// Nothing, when its time was over.
    Nothing,
}

/// A process's place among those of the fleet that are heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetPosition {
    /// Number of processes before this one.
    pub position: usize,
    /// Number of all processes.
    pub processes: usize,
}

/// How watches of one kind are renewed.
#[derive(Debug, Clone, Copy)]
pub struct Renewal {
    turn: Duration,
}

impl Renewal {
    /// Renewal for changes that have to be in force `within` some time.
    pub fn new(within: Duration) -> Renewal {
        Renewal { turn: within / TURNS }
    }

    /// Time in which one watch of the fleet ends.
    pub fn turn(&self) -> Duration {
        self.turn
    }

    /// How long a watch waits. After changes all processes ask at once, and the position spreads the ends of their watches;
    /// from then on they stay spread.
    pub fn wait(&self, place: FleetPosition, last: LastAnswer) -> Duration {
        let turns = match last {
            LastAnswer::Changes => place.position + 1,
            LastAnswer::Nothing => place.processes,
        };
        self.turn.saturating_mul(turns as u32)
    }
}
