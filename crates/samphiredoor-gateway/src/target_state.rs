//! Logs and metrics about the speeds of targets and the trust in them.

use std::{rc::Rc, time::Instant};

use samphiredoor_core::placement::Placement;

use crate::metrics::Metrics;

/// Time between two updates of the metrics, in milliseconds.
const METRICS_INTERVAL_MS: u128 = 1_000;
/// Number of the slowest targets whose speeds are exported; a fleet may have thousands of targets.
const MAX_SLOWEST: usize = 10;

/// Reports changes of the targets' state, as the overload control of one placement sees it.
pub struct TargetStateReporter {
    metrics: Rc<Metrics>,
    exported_at: Option<Instant>,
}

impl TargetStateReporter {
    /// Reporter that has reported nothing yet.
    pub fn new(metrics: Rc<Metrics>) -> TargetStateReporter {
        TargetStateReporter { metrics, exported_at: None }
    }

    /// Logs targets that have become failing or trusted, and exports the speeds when their interval is over.
    pub fn update(&mut self, now_ms: u64, placement: &mut Placement) {
        for change in placement.take_trust_changes(now_ms) {
            let (target, doubt) = (&*change.target, change.doubt);
            match change.is_failing {
                true => log::warn!(target = target, doubt; "placement: target is failing"),
                false => {
                    log::info!(target = target, doubt; "placement: target is trusted again")
                }
            }
        }
        let is_current = |at: Instant| at.elapsed().as_millis() < METRICS_INTERVAL_MS;
        if self.exported_at.is_some_and(is_current) {
            return;
        }
        self.exported_at = Some(Instant::now());
        self.metrics.slowest_targets(&placement.slowest_targets(now_ms, MAX_SLOWEST));
        self.metrics.invalid_speeds("news", placement.invalid_speeds());
    }
}
