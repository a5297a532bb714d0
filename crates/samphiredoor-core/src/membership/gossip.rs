//! Changes of members on their way to others: each rides in a bounded number of heartbeats.

use std::{collections::BTreeMap, sync::Arc};

use super::roster::{Member, Roster};
use crate::Name;

const CHANGES_PER_BEAT: usize = 8;
const ROUNDS: u32 = 3;

/// Changes that still ride in heartbeats, with how often.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    left: BTreeMap<Name, u32>,
}

impl Gossip {
    /// Has the state of a member told in a number of heartbeats that grows with the logarithm of the fleet.
    pub(super) fn add(&mut self, name: &Name, members: usize) {
        let log2 = usize::BITS - members.leading_zeros();
        self.left.insert(Arc::clone(name), ROUNDS * log2.max(1));
    }

    /// Whether there is nothing to tell.
    pub(super) fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    /// Changes for the next heartbeat, those first that were told least.
    pub(super) fn next(&mut self, roster: &Roster) -> Vec<Member> {
        if self.left.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, Name)> =
            self.left.iter().map(|(name, left)| (*left, Arc::clone(name))).collect();
        order.sort_by(|a, b| b.cmp(a));
        order.truncate(CHANGES_PER_BEAT);
        let mut changes = Vec::new();
        for (left, name) in order {
            if left <= 1 {
                self.left.remove(&name);
            } else {
                self.left.insert(Arc::clone(&name), left - 1);
            }
            changes.extend(roster.get(&name).cloned());
        }
        changes
    }
}
