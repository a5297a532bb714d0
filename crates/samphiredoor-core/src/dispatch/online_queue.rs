//! Queue of a service's online requests, fair among workspaces by weight.
//!
//! Start-time fair queueing: each request is tagged with a virtual finish time. It lies one weighted cost behind that of
//! the workspace's previous request or, after an idle time, behind the current virtual time. The lowest tag is served
//! first. The highest tag belongs to the workspace that is furthest above its fair share, so a full queue drops that
//! request for a new one.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::RequestId;
use crate::Name;

/// Virtual time that a request of a workspace of weight 1 takes.
const UNIT_COST: u64 = 1 << 20;

/// Position in the queue: ordered by virtual finish time, then by identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tag {
    finish: u64,
    request: RequestId,
    expires_ms: u64,
}

/// Queued requests of one workspace.
#[derive(Debug, Default)]
struct WorkspaceState {
    queued: usize,
    last_finish: u64,
    cost: u64,
}

/// Online requests of one service that wait for a target with free capacity.
#[derive(Debug, Default)]
pub(super) struct OnlineQueue {
    order: BTreeSet<Tag>,
    expiry: BTreeSet<(u64, Tag)>,
    workspaces: BTreeMap<Name, WorkspaceState>,
    virtual_time: u64,
}

impl OnlineQueue {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Approximate number of requests that would be served before a new one of the workspace.
    pub(super) fn ahead_of(&self, workspace: &Name) -> usize {
        let own = self.workspaces.get(workspace).map_or(0, |it| it.queued);
        let others = self.workspaces.len() - usize::from(own > 0);
        self.len().min(own + (own + 1) * others)
    }

    /// Whether a new request of the workspace would be served before the last one in the queue.
    pub(super) fn goes_before_last(&self, workspace: &Name, weight: u32) -> bool {
        let finish = self.next_finish(workspace, weight);
        self.order.last().is_some_and(|last| finish < last.finish)
    }

    pub(super) fn push(
        &mut self,
        request: RequestId,
        workspace: &Name,
        weight: u32,
        expires_ms: u64,
    ) -> Tag {
        let finish = self.next_finish(workspace, weight);
        let state = self.workspaces.entry(Name::clone(workspace)).or_default();
        state.queued += 1;
        state.last_finish = finish;
        state.cost = cost(weight);
        let tag = Tag { finish, request, expires_ms };
        self.order.insert(tag);
        self.expiry.insert((expires_ms, tag));
        tag
    }

    /// The first `count` requests, in the order in which they are served.
    pub(super) fn first(&self, count: usize) -> impl Iterator<Item = RequestId> {
        self.order.iter().take(count).map(|it| it.request)
    }

    /// The last request, which is dropped when the queue is full.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.order.last().map(|it| it.request)
    }

    /// A request whose time in the queue has passed, the one that expired first.
    pub(super) fn expired(&self, now_ms: u64) -> Option<RequestId> {
        let (expires_ms, tag) = self.expiry.first()?;
        (*expires_ms <= now_ms).then_some(tag.request)
    }

    /// Advances the virtual time to the start of a request that is about to run, so that a workspace that has been idle
    /// gets no credit for that time.
    pub(super) fn advance_virtual_time(&mut self, tag: Tag, workspace: &Name) {
        let cost = self.workspaces.get(workspace).map_or(UNIT_COST, |it| it.cost);
        self.virtual_time = self.virtual_time.max(tag.finish.saturating_sub(cost));
    }

    /// Removes a request. Does nothing if it is not queued.
    pub(super) fn remove(&mut self, tag: Tag, workspace: &Name) {
        if !self.order.remove(&tag) {
            return;
        }
        self.expiry.remove(&(tag.expires_ms, tag));
        let Some(state) = self.workspaces.get_mut(workspace) else { return };
        state.queued -= 1;
        if state.last_finish == tag.finish {
            state.last_finish -= state.cost;
        }
        if state.queued == 0 {
            self.workspaces.remove(workspace);
        }
    }

    /// Virtual finish time of a new request of the workspace.
    fn next_finish(&self, workspace: &Name, weight: u32) -> u64 {
        let last_finish = self.workspaces.get(workspace).map_or(0, |it| it.last_finish);
        self.virtual_time.max(last_finish) + cost(weight)
    }
}

fn cost(weight: u32) -> u64 {
    UNIT_COST / u64::from(weight.clamp(1, 1 << 10))
}
