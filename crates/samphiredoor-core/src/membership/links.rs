//! Links to other members: which ones this process opens, closes and tries again, and the heartbeats on them.

use std::sync::Arc;

use super::{Member, Membership, MembershipAction, lease_checks::Unresponsive};
use crate::time::Now;

/// Factor of the heartbeat interval on links that only spread gossip, compared with links that monitor a member.
/// While there is gossip to send, all links use the same interval.
const GOSSIP_LINK_INTERVAL_FACTOR: u64 = 16;
/// Heartbeat intervals between two attempts to connect to a seed or to a dead member.
const PROBE_HEARTBEATS: u64 = 4;

/// Link to another member, whichever side opened it.
#[derive(Debug)]
pub(super) struct Link {
    /// Whether this process opened it, not the peer.
    pub(super) opened: bool,
    pub(super) last_received_ms: u64,
    /// When the last heartbeat was sent; `None` before the first.
    pub(super) last_sent_ms: Option<u64>,
    /// Consecutive heartbeats whose digest differed from that of the own roster.
    pub(super) digest_mismatches: u32,
}

impl Membership {
    /// Chooses the monitored members and the neighbours anew after a change of the roster.
    pub(super) fn choose_links(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        self.monitored = self.roster.monitored();
        self.neighbours = self.roster.neighbours();
        self.unresponsive.retain(|name, _| self.monitored.contains(name));
        for name in &self.monitored {
            if !self.links.contains_key(name) {
                let entry = Unresponsive::new(now);
                self.unresponsive.entry(Arc::clone(name)).or_insert(entry);
            }
        }
        for (name, link) in &self.links {
            if link.opened && !self.neighbours.contains(name) {
                out.push(MembershipAction::Close { peer: Arc::clone(name), accepted: false });
            }
        }
    }

    pub(super) fn link_up(
        &mut self,
        now: Now,
        peer: Member,
        opened: bool,
        out: &mut Vec<MembershipAction>,
    ) {
        let name = Arc::clone(&peer.name);
        self.connecting.remove(&name);
        if self.probed.as_ref() == Some(&name) {
            self.probed = None;
        }
        let known = self.roster.get(&name).map(Member::rank);
        let link = Link {
            opened: opened || self.links.get(&name).is_some_and(|it| it.opened),
            last_received_ms: now.mono_ms,
            last_sent_ms: None,
            digest_mismatches: 0,
        };
        self.links.insert(Arc::clone(&name), link);
        self.unresponsive.remove(&name);
        // A connection alone does not revive a member that is reported dead. It receives the report and refutes it.
        if known.is_some_and(|it| it > peer.rank()) {
            self.gossip.add(&name, self.roster.len());
        }
        self.apply_report(now, peer, out);
        if known.is_none() {
            out.push(MembershipAction::PullMembers { from: name });
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        let monitor_ms = self.heartbeat_interval_ms();
        let gossip_ms = if self.gossip.is_empty() {
            monitor_ms * GOSSIP_LINK_INTERVAL_FACTOR
        } else {
            monitor_ms
        };
        let mut to = Vec::new();
        for (name, link) in &mut self.links {
            // Both the side that opened a link and a side that monitors the other send heartbeats on it.
            let monitored = self.monitored.contains(name);
            if !link.opened && !monitored {
                continue;
            }
            let interval_ms = if monitored { monitor_ms } else { gossip_ms };
            if link.last_sent_ms.is_none_or(|it| now.mono_ms >= it + interval_ms) {
                link.last_sent_ms = Some(now.mono_ms);
                to.push(Arc::clone(name));
            }
        }
        for to in to {
            let heartbeat = self.next_heartbeat();
            out.push(MembershipAction::SendHeartbeat { to, heartbeat });
        }
    }

    /// Closes half-open links to members that this process does not monitor; others report those members dead.
    pub(super) fn close_timed_out_links(
        &self,
        now: Now,
        timeout_ms: u64,
        out: &mut Vec<MembershipAction>,
    ) {
        for (name, link) in &self.links {
            let timed_out =
                now.mono_ms > link.last_received_ms + timeout_ms * GOSSIP_LINK_INTERVAL_FACTOR;
            if link.opened && timed_out && !self.monitored.contains(name) {
                out.push(MembershipAction::Close { peer: Arc::clone(name), accepted: true });
            }
        }
    }

    pub(super) fn connect(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        for name in &self.neighbours {
            if self.links.contains_key(name) || !self.connecting.insert(Arc::clone(name)) {
                continue;
            }
            let Some(member) = self.roster.get(name) else { continue };
            let (peer, address) = (Arc::clone(name), Arc::clone(&member.address));
            out.push(MembershipAction::Connect { peer, address });
        }
        if now.mono_ms >= self.next_probe_ms {
            self.next_probe_ms = now.mono_ms + self.heartbeat_interval_ms() * PROBE_HEARTBEATS;
            self.probe(out);
            self.forget_dead(now, out);
        }
    }

    /// Tries a seed if there is no link, and the next member that is marked as dead.
    ///
    /// After a network partition each side has the other marked as dead; only a connection attempt shows its end.
    fn probe(&mut self, out: &mut Vec<MembershipAction>) {
        if self.links.is_empty() && !self.config.seeds.is_empty() {
            let address = Arc::clone(&self.config.seeds[self.next_seed % self.config.seeds.len()]);
            self.next_seed += 1;
            out.push(MembershipAction::ConnectSeed { address });
        }
        let Some(member) = self.roster.dead_after(self.probed.as_deref().unwrap_or_default())
        else {
            self.probed = None;
            return;
        };
        let peer = Arc::clone(&member.name);
        self.probed = Some(Arc::clone(&peer));
        if !self.links.contains_key(&peer) && self.connecting.insert(Arc::clone(&peer)) {
            let address = Arc::clone(&member.address);
            out.push(MembershipAction::Connect { peer, address });
        }
    }
}
