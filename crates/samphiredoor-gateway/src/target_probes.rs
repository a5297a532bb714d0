//! Probes of silent targets, shared by all requests that wait for the same target.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::silence::{FailedProbes, Probe};
use samphiredoor_net::probe::{ProbeResult, probe};

/// Time in which another request's probe is used instead of a new one: less than the time between the checks of one request.
const SHARED_FOR: Duration = Duration::from_millis(200);
/// Time after which earlier probes are forgotten: they belong to an earlier silence.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(1_000);

#[derive(Debug, Clone, Copy)]
struct Probed {
    at: Instant,
    failed: FailedProbes,
}

/// Latest probes, by the addresses of targets.
#[derive(Debug, Clone, Default)]
pub struct TargetProbes(Rc<RefCell<HashMap<SocketAddr, Probed>>>);

impl TargetProbes {
    /// Failed probes in a row of a silent target, after a new probe unless there was one just before.
    pub async fn failed(&self, target: SocketAddr) -> FailedProbes {
        if let Some(shared) = self.shared(target) {
            return shared;
        }
        let result = match probe(target).await {
            ProbeResult::Accepted => Probe::Accepted,
            ProbeResult::Refused => Probe::Refused,
            ProbeResult::Unanswered => Probe::Unanswered,
        };
        let mut probed = self.0.borrow_mut();
        let Some(latest) = probed.get_mut(&target) else { return FailedProbes::default() };
        latest.failed.record(result);
        latest.failed
    }

    /// Result of a probe that was made or begun just before; otherwise notes that one begins.
    fn shared(&self, target: SocketAddr) -> Option<FailedProbes> {
        let (now, mut probed) = (Instant::now(), self.0.borrow_mut());
        probed.retain(|_, it| now.duration_since(it.at) < FORGOTTEN_AFTER);
        let latest = probed.entry(target);
        let is_new = matches!(latest, std::collections::hash_map::Entry::Vacant(_));
        let latest = latest.or_insert(Probed { at: now, failed: FailedProbes::default() });
        if !is_new && now.duration_since(latest.at) < SHARED_FOR {
            return Some(latest.failed);
        }
        latest.at = now;
        None
    }
}
