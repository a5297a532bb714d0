//! Number of events within the last second.

/// Number of intervals that the second is divided into.
const INTERVALS: usize = 5;
/// Length of an interval.
const INTERVAL_MS: u64 = 1_000 / INTERVALS as u64;

/// Counts events by interval and forgets those of more than a second ago. Events leave an interval at a time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RecentCount {
    counts: [u32; INTERVALS],
    /// Number of the newest interval, counted from time 0.
    newest: u64,
}

impl RecentCount {
    /// Counts an event.
    pub(super) fn add(&mut self, now_ms: u64) {
        self.advance(now_ms);
        let count = &mut self.counts[self.newest as usize % INTERVALS];
        *count = count.saturating_add(1);
    }

    /// Number of events within the last second.
    pub(super) fn total(&mut self, now_ms: u64) -> u32 {
        self.advance(now_ms);
        self.counts.iter().fold(0, |sum, it| sum.saturating_add(*it))
    }

    fn advance(&mut self, now_ms: u64) {
        let newest = now_ms / INTERVAL_MS;
        let passed = newest.saturating_sub(self.newest).min(INTERVALS as u64);
        for ended in 1..=passed {
            self.counts[(self.newest + ended) as usize % INTERVALS] = 0;
        }
        if passed == INTERVALS as u64 {
            self.counts = [0; INTERVALS];
        }
        self.newest = self.newest.max(newest);
    }
}
