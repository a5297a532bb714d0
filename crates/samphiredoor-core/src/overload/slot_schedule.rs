//! When the slots of a target become free.
//!
//! Run times differ little, so requests that start together end together: after a burst has filled a target, none of its
//! slots becomes free for nearly a whole run time, and then all do. A mean rate of completions would predict a start much
//! too early. The schedule is the one of a queue in order of arrival, corrected by the number of requests that are known
//! to be at the target.

use smallvec::SmallVec;

/// Most slots that are scheduled; a target with more is scheduled as one with this many and as large a part taken.
const MAX_SLOTS: u32 = 64;
/// Most requests for each slot that are scheduled.
const MAX_REQUESTS_PER_SLOT: u32 = 4;

/// Predicted end of the last request of each slot of one target.
#[derive(Debug, Default)]
pub struct SlotSchedule {
    free_at_ms: SmallVec<[f64; 8]>,
    updated_ms: u64,
}

impl SlotSchedule {
    /// Corrects the schedule by the number of requests that are at the target now.
    pub fn update(&mut self, now_ms: u64, requests: u32, slots: u32, run_ms: f64) {
        let (now, run_ms) = (now_ms as f64, run_ms.max(1.0));
        let scheduled_slots = slots.clamp(1, MAX_SLOTS);
        self.free_at_ms.resize(scheduled_slots as usize, 0.0);
        let requests = match slots > MAX_SLOTS {
            true => (u64::from(requests) * u64::from(MAX_SLOTS) / u64::from(slots)) as u32,
            false => requests,
        };
        let slots = scheduled_slots;
        let requests = requests.min(slots * MAX_REQUESTS_PER_SLOT);
        let pending = self.free_at_ms.iter().map(|it| pending(*it, now, run_ms));
        let scheduled = pending.fold(0, u32::saturating_add);
        for index in scheduled..requests {
            self.add(now, run_ms, index % slots);
        }
        for _ in requests..scheduled.min(requests + 2 * slots * MAX_REQUESTS_PER_SLOT) {
            self.remove(now, run_ms);
        }
        self.updated_ms = now_ms;
    }

    /// Time until one more request can start.
    pub fn start_in_ms(&self, now_ms: u64) -> f64 {
        let first_ms = self.free_at_ms.iter().copied().fold(f64::INFINITY, f64::min);
        if first_ms.is_finite() { (first_ms - now_ms as f64).max(0.0) } else { 0.0 }
    }

    /// Time since the last correction.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.updated_ms)
    }

    /// Adds a request that has arrived since the last correction: at a slot that became free meanwhile it started then,
    /// and at one that was free before, at some time since. If it must have ended since, the ends are unknown and are
    /// assumed to be spread evenly.
    fn add(&mut self, now: f64, run_ms: f64, index: u32) {
        let slots = self.free_at_ms.len() as f64;
        let arrived_ms = (self.updated_ms as f64 + now) / 2.0;
        let Some(first) = self.free_at_ms.iter_mut().min_by(|a, b| a.total_cmp(b)) else { return };
        let end_ms = first.max(arrived_ms) + run_ms;
        let spread_ms = now + run_ms * (f64::from(index) + 0.5) / slots;
        *first = if end_ms > now { end_ms } else { spread_ms };
    }

    /// Removes the request that ends next.
    fn remove(&mut self, now: f64, run_ms: f64) {
        let taken = self.free_at_ms.iter_mut().filter(|it| **it > now);
        if let Some(next) =
            taken.min_by(|a, b| left_ms(**a, now, run_ms).total_cmp(&left_ms(**b, now, run_ms)))
        {
            *next = (*next - left_ms(*next, now, run_ms)).max(0.0);
        }
    }
}

/// Time until the running request of a slot ends.
fn left_ms(free_at_ms: f64, now: f64, run_ms: f64) -> f64 {
    free_at_ms - now - f64::from(pending(free_at_ms, now, run_ms).saturating_sub(1)) * run_ms
}

/// Requests of a slot that have not ended.
fn pending(free_at_ms: f64, now: f64, run_ms: f64) -> u32 {
    if free_at_ms <= now { 0 } else { ((free_at_ms - now) / run_ms).ceil() as u32 }
}
