//! Which process is to give the orders to a target: a ring by hash that every process works out alike.
//!
//! A process that comes or goes moves only its neighbours' targets, and looking a target up costs the logarithm of the
//! number of processes, so that a change among 920 processes is worked out for 4,500 targets at once.

use std::sync::Arc;

use crate::Name;

const POINTS: u64 = 16;

/// Processes on a ring.
#[derive(Debug, Clone, Default)]
pub struct Ring {
    points: Vec<(u64, Name)>,
}

impl Ring {
    /// Ring of the given processes.
    pub fn new<'a>(processes: impl IntoIterator<Item = &'a Name>) -> Ring {
        let mut points = Vec::new();
        for process in processes {
            for point in 0..POINTS {
                points.push((hash(process, point), Arc::clone(process)));
            }
        }
        points.sort_unstable();
        Ring { points }
    }

    /// Process that is to give the orders to `target`; `None` on an empty ring.
    pub fn giver(&self, target: &str) -> Option<&Name> {
        let place = hash(target, POINTS);
        let next = self.points.partition_point(|(point, _)| *point < place);
        self.points.get(next).or(self.points.first()).map(|(_, process)| process)
    }
}

fn hash(name: &str, salt: u64) -> u64 {
    let bytes = [name.as_bytes(), &salt.to_le_bytes()].concat();
    rapidhash::v3::rapidhash_v3(&bytes)
}
