//! Dissemination of changes of members: each change is sent in a bounded number of heartbeats.

use std::{collections::BTreeMap, sync::Arc};

use super::roster::{Member, Roster};
use crate::Name;

const CHANGES_PER_HEARTBEAT: usize = 8;
/// A change is sent this many times the binary logarithm of the number of members.
const SENDS_PER_LOG2: u32 = 3;

/// Members whose latest state is still to be sent in heartbeats.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    /// In how many more heartbeats the state of each member is sent.
    remaining: BTreeMap<Name, u32>,
}

impl Gossip {
    /// Schedules the state of a member for as many heartbeats as the logarithm of the number of members requires.
    pub(super) fn add(&mut self, name: &Name, members: usize) {
        let log2 = usize::BITS - members.leading_zeros();
        self.remaining.insert(Arc::clone(name), SENDS_PER_LOG2 * log2.max(1));
    }

    /// Whether no change is to be sent.
    pub(super) fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Changes for the next heartbeat, those with the most sends remaining first.
    pub(super) fn next(&mut self, roster: &Roster) -> Vec<Member> {
        if self.remaining.is_empty() {
            return Vec::new();
        }
        let mut order: Vec<(u32, Name)> =
            self.remaining.iter().map(|(name, remaining)| (*remaining, Arc::clone(name))).collect();
        order.sort_by(|a, b| b.cmp(a));
        order.truncate(CHANGES_PER_HEARTBEAT);
        let mut changes = Vec::new();
        for (remaining, name) in order {
            if remaining <= 1 {
                self.remaining.remove(&name);
            } else {
                self.remaining.insert(Arc::clone(&name), remaining - 1);
            }
            changes.extend(roster.get(&name).cloned());
        }
        changes
    }
}
