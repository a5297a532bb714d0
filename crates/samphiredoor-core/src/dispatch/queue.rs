//! The short queue of online requests of one service, fair among workspaces by their weights.
//!
//! Start-time fair queueing: each request gets a tag that lies one weighted turn behind the one before it of the same
//! workspace, and the lowest tag goes first. The highest tag always belongs to the workspace that is most above its
//! share, so a full queue makes room by giving that request up.

use std::collections::{BTreeMap, BTreeSet};

use super::messages::RequestId;
use crate::Name;

const TURN: u64 = 1 << 20;

/// Place in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Tag {
    finish: u64,
    request: RequestId,
    expires_ms: u64,
}

#[derive(Debug, Default)]
struct Share {
    queued: usize,
    last_finish: u64,
    turn: u64,
}

/// Online requests that wait for room.
#[derive(Debug, Default)]
pub(super) struct OnlineQueue {
    order: BTreeSet<Tag>,
    expiry: BTreeSet<(u64, Tag)>,
    shares: BTreeMap<Name, Share>,
    virtual_time: u64,
}

impl OnlineQueue {
    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// About how many requests would go before a new one of the workspace.
    pub(super) fn ahead_of(&self, workspace: &Name) -> usize {
        let own = self.shares.get(workspace).map_or(0, |it| it.queued);
        let others = self.shares.len() - usize::from(own > 0);
        self.len().min(own + (own + 1) * others)
    }

    /// Whether a new request of the workspace would go before the last one in the queue.
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
        let share = self.shares.entry(Name::clone(workspace)).or_default();
        share.queued += 1;
        share.last_finish = finish;
        share.turn = turn(weight);
        let tag = Tag { finish, request, expires_ms };
        self.order.insert(tag);
        self.expiry.insert((expires_ms, tag));
        tag
    }

    /// The first requests, in order.
    pub(super) fn first(&self, count: usize) -> impl Iterator<Item = RequestId> {
        self.order.iter().take(count).map(|it| it.request)
    }

    /// The request that is given up when the queue is too long.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.order.last().map(|it| it.request)
    }

    /// The first request whose time in the queue is over.
    pub(super) fn expired(&self, now_ms: u64) -> Option<RequestId> {
        let (expires_ms, tag) = self.expiry.first()?;
        (*expires_ms <= now_ms).then_some(tag.request)
    }

    /// The request is about to run: later ones of idle workspaces get no credit for the time before it.
    pub(super) fn turn_of(&mut self, tag: Tag, workspace: &Name) {
        let turn = self.shares.get(workspace).map_or(TURN, |it| it.turn);
        self.virtual_time = self.virtual_time.max(tag.finish.saturating_sub(turn));
    }

    /// Takes a request out.
    pub(super) fn remove(&mut self, tag: Tag, workspace: &Name) {
        if !self.order.remove(&tag) {
            return;
        }
        self.expiry.remove(&(tag.expires_ms, tag));
        let Some(share) = self.shares.get_mut(workspace) else { return };
        share.queued -= 1;
        if share.last_finish == tag.finish {
            share.last_finish -= share.turn;
        }
        if share.queued == 0 {
            self.shares.remove(workspace);
        }
    }

    fn next_finish(&self, workspace: &Name, weight: u32) -> u64 {
        let last_finish = self.shares.get(workspace).map_or(0, |it| it.last_finish);
        self.virtual_time.max(last_finish) + turn(weight)
    }
}

fn turn(weight: u32) -> u64 {
    TURN / u64::from(weight.clamp(1, 1 << 10))
}
