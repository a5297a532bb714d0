//! Fair shares of workspaces in the placement of online requests, where overload control is active.
//!
//! A request of a workspace that has its share goes to a free slot or waits in the queue; the places behind the slots of
//! the targets are for the others. Without these places a small workspace would lose requests to a flood: the slots that
//! this gateway sees become free are too rare for a request that may wait for a fraction of its latency objective.

use super::{Placement, RequestSpec, target::Target};
use crate::{
    Name,
    overload::{
        Overload,
        admission::Standing,
        fair_share::{CellLoad, ShareFigures},
    },
};

/// Requests that may wait at a gateway that has few at targets. Otherwise as many may wait as can start at the slots of its
/// own requests before the new one stops waiting.
const MIN_QUEUE_LEN: u64 = 16;

/// Use and share of each workspace, and what these figures follow from.
#[derive(Debug, Clone, Default)]
pub struct ShareReport {
    /// Figures of all workspaces, highest use first.
    pub workspaces: Vec<ShareFigures>,
    /// Peers and cells whose loads are known.
    pub peers: usize,
    /// Age of the oldest figures of a peer that are used; `None` without any.
    pub oldest_news_ms: Option<u64>,
}

impl Placement {
    fn active_overload(&mut self, service: &Name) -> Option<&mut Overload> {
        self.overload.as_mut().filter(|it| it.is_active(service))
    }

    /// Updates the fair shares, if they are due.
    pub(super) fn refresh_shares(&mut self, now_ms: u64) {
        let Some(overload) = &mut self.overload else { return };
        if overload.is_active_anywhere() && overload.fair_share.needs_refresh(now_ms) {
            let in_cell = self.targets.values().filter(|it| it.in_own_cell);
            let cell = in_cell.fold(CellLoad { slots: 0, online: 0 }, |sum, it| CellLoad {
                slots: sum.slots + it.entry.slots,
                online: sum.online.saturating_add(it.load().online),
            });
            let peers = &self.peers;
            let at_targets = |name: &Name| peers.get(name).map(|it| it.online);
            overload.refresh_shares(now_ms, cell, at_targets);
        }
    }

    /// Sets the share key under which a new request counts.
    pub(super) fn set_effective_key(&mut self, now_ms: u64, spec: &mut RequestSpec) {
        if let Some(overload) = self.active_overload(&spec.service) {
            spec.terms.share_key = overload.fair_share.effective_key(now_ms, spec.terms.share_key);
        }
    }

    /// Whether the share of the request's workspace allows that it goes to a target. One above its share gets only slots, and
    /// leaves some of them and the places behind them to others.
    pub(super) fn is_within_share(&self, now_ms: u64, spec: &RequestSpec, target: u64) -> bool {
        let target = self.targets.get(&target);
        !self.is_limited(spec) || target.is_some_and(|it| self.free_for_limited(now_ms, it) > 0)
    }

    /// Slots of a target that a limited request may take: free ones and those that can be freed by preempting an item,
    /// without those that are left to other requests.
    pub(super) fn free_for_limited(&self, now_ms: u64, target: &Target) -> u32 {
        let reserved = self.reserved_for_others(target);
        let taken = target.estimated_total(now_ms).saturating_sub(target.load().batch);
        target.entry.slots.saturating_sub(taken.saturating_add(reserved))
    }

    /// Slots of a target that limited requests leave to others; 0 while no workspace is limited.
    pub(super) fn reserved_for_others(&self, target: &Target) -> u32 {
        let part = self.overload.as_ref().map_or(0.0, |it| it.fair_share.reserve_part());
        (f64::from(target.entry.slots) * part).round() as u32
    }

    /// Adds a new request to its queue. If the queue is full, the workspace furthest above its share loses a request, which is
    /// returned.
    pub(super) fn enqueue_fair(
        &mut self,
        now_ms: u64,
        spec: RequestSpec,
        standing: Standing,
    ) -> Option<RequestSpec> {
        let running = self.running.len() as u64;
        let queues = self.queues.entry(Name::clone(&spec.service)).or_default();
        let queue = queues.online.fair(standing);
        let Some(shares) = self.overload.as_ref().map(|it| &it.fair_share) else {
            return Some(spec);
        };
        let wait_ms = spec.deadline_ms.saturating_sub(now_ms);
        let startable = running.saturating_mul(wait_ms) / shares.mean_run_ms().max(1);
        if (queue.len() as u64) < startable.max(MIN_QUEUE_LEN) {
            queue.push(spec);
            return None;
        }
        match queue.displace(&spec, |key, waiting| shares.excess(key, waiting)) {
            Some(displaced) => {
                queue.push(spec);
                Some(displaced)
            }
            None => Some(spec),
        }
    }

    /// Whether the request's workspace is within its share while others are above theirs. Its requests may wait behind the slots
    /// of targets and need no claims: the slots that this gateway sees become free are too rare for a small workspace.
    pub(super) fn is_protected(&self, spec: &RequestSpec) -> bool {
        let overload = self.overload_of(&spec.service);
        overload.is_some_and(|it| it.fair_share.reserve_part() > 0.0) && !self.is_limited(spec)
    }

    /// Whether the request's workspace is above its share, and others lose by it.
    fn is_limited(&self, spec: &RequestSpec) -> bool {
        let shares = self.overload_of(&spec.service).map(|it| &it.fair_share);
        shares.is_some_and(|it| it.reserve_part() > 0.0 && it.is_limited(spec.terms.share_key))
    }

    /// Counts a request that was sent to a target; returns the key to count its end under.
    pub(super) fn count_started(&mut self, spec: &RequestSpec) -> Option<u64> {
        let key = spec.terms.share_key;
        let overload = self.active_overload(&spec.service)?;
        overload.fair_share.record_started(key);
        Some(key)
    }

    /// Counts the end of a request at its target.
    pub(super) fn count_ended(&mut self, share_key: Option<u64>, run_ms: u64) {
        if let (Some(overload), Some(key)) = (&mut self.overload, share_key) {
            overload.fair_share.record_ended(key, run_ms);
        }
    }

    /// Counts a request that was rejected for lack of capacity.
    pub(super) fn count_rejected(&mut self, now_ms: u64, spec: &RequestSpec) {
        let key = spec.terms.share_key;
        if let Some(overload) = self.active_overload(&spec.service) {
            overload.fair_share.record_rejected(now_ms, key);
        }
    }

    /// Use and share of each workspace; empty where overload control is off.
    pub fn share_report(&mut self, now_ms: u64) -> ShareReport {
        let peers = self.peers.len();
        self.overload.as_mut().map_or_else(ShareReport::default, |it| ShareReport {
            oldest_news_ms: it.oldest_news_ms(now_ms),
            peers,
            workspaces: it.fair_share.report(now_ms),
        })
    }
}
