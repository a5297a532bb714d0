//! How doors share the places that items of jobs may use.
//!
//! Each door fills free places as it sees them. Without more, a door with forty items gets as many places as one with
//! four, so that the jobs of one are late while those of the other are done long before they are due. So doors tell each
//! other how many items wait, and each starts only its part by the number of its items.
//!
//! Gain: fewer sends that targets reject, and fewer runs that are cut, the more so the more gateways there are.

/// Places of a service, and the items that want them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Places that online requests leave to items.
    pub places: u32,
    /// Own items at targets.
    pub running: u32,
    /// Own items that wait.
    pub waiting: u32,
    /// Items of other doors, at targets and waiting.
    pub others: u32,
}

impl Demand {
    /// How many more of the own items may start.
    pub fn more(self) -> u32 {
        let own = self.running + self.waiting;
        let all = own + self.others;
        if all <= self.places {
            return self.waiting;
        }
        // Rounded up: a place that nobody takes is worse than one that two reach for.
        let share = (u64::from(self.places) * u64::from(own)).div_ceil(u64::from(all)) as u32;
        share.saturating_sub(self.running).min(self.waiting)
    }
}
