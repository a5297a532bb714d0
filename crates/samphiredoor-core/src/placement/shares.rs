//! How gateways share the slots that batch items may use.
//!
//! Each gateway fills the slots that it sees free. Without a limit, a gateway with forty waiting items would get as many
//! slots as one with four, so jobs of one would be late while jobs of the other were done long before they are due.
//! Therefore gateways send each other the number of their waiting items, and each starts only its proportional share.
//!
//! This reduces the sends that targets reject and the runs that are preempted, and does so more the more gateways there
//! are.

/// Slots of a service, and the items that compete for them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Demand {
    /// Slots that are left to items beside online requests.
    pub slots: u32,
    /// Items of this gateway at targets.
    pub running: u32,
    /// Items of this gateway that wait.
    pub waiting: u32,
    /// Items of other gateways, at targets and waiting.
    pub others: u32,
}

impl Demand {
    /// How many more items this gateway may start.
    pub fn startable(self) -> u32 {
        let own = self.running + self.waiting;
        let all = own + self.others;
        if all <= self.slots {
            return self.waiting;
        }
        // Rounded up: an idle slot is worse than one for which two gateways compete.
        let share = (u64::from(self.slots) * u64::from(own)).div_ceil(u64::from(all)) as u32;
        share.saturating_sub(self.running).min(self.waiting)
    }
}
