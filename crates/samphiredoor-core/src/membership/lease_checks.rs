//! Lists of all lease objects, and reads of those whose holders do not answer.

use std::sync::Arc;

use samphiredoor_schema::objects::ProcessLease;

use super::{Member, Membership, MembershipAction};
use crate::{Name, time::Now};

/// How long an observer waits beyond the length of a lease before it declares the lease expired.
pub(super) const EXPIRY_MARGIN_MS: u64 = 500;
const READ_RETRY_MS: u64 = 1_000;
/// Interval between two lists of the leases: `LIST_PER_MEMBER_MS` for each member, but at least `LIST_MIN_MS`.
const LIST_MIN_MS: u64 = 60_000;
const LIST_PER_MEMBER_MS: u64 = 2_000;

/// A monitored member without a link or without answers.
#[derive(Debug)]
pub(super) struct Unresponsive {
    /// When the last heartbeat was received, or when the missing link was noticed.
    pub(super) since_ms: u64,
    /// When its lease object is to be read next.
    pub(super) next_read_ms: u64,
}

impl Unresponsive {
    /// Member whose link was found to be missing now; its lease object is read at once.
    pub(super) fn new(now: Now) -> Unresponsive {
        Unresponsive { since_ms: now.mono_ms, next_read_ms: now.mono_ms }
    }
}

impl Membership {
    pub(super) fn leases_listed(
        &mut self,
        now: Now,
        leases: Vec<(Name, ProcessLease)>,
        out: &mut Vec<MembershipAction>,
    ) {
        let page = leases.iter().map(|(process, lease)| Member::new(process, lease)).collect();
        for (process, lease) in leases {
            self.leases.observe(now, &process, lease);
        }
        self.apply_page(now, page, out);
    }

    pub(super) fn lease_read(
        &mut self,
        now: Now,
        process: Name,
        lease: ProcessLease,
        out: &mut Vec<MembershipAction>,
    ) {
        let member = Member::new(&process, &lease);
        let incarnation = lease.incarnation;
        let lease_ms = lease.lease_ms;
        self.leases.observe(now, &process, lease);
        self.apply_report(now, member, out);
        let Some(unresponsive) = self.unresponsive.get_mut(&process) else { return };
        match self.leases.expires_at(&process, EXPIRY_MARGIN_MS) {
            Some(expires_ms) if now.mono_ms >= expires_ms => {
                unresponsive.next_read_ms = now.mono_ms + lease_ms / 2;
                out.push(MembershipAction::LeaseExpired { process, incarnation });
            }
            Some(expires_ms) => unresponsive.next_read_ms = expires_ms,
            None => {}
        }
    }

    pub(super) fn lease_deleted(&mut self, now: Now, process: &Name) {
        self.leases.forget(process);
        if let Some(unresponsive) = self.unresponsive.get_mut(process) {
            unresponsive.next_read_ms = now.mono_ms + self.config.lease_ms;
        }
    }

    pub(super) fn list_failed(&mut self, now: Now) {
        self.list_failed = true;
        self.next_list_ms = now.mono_ms + READ_RETRY_MS;
    }

    pub(super) fn lease_read_failed(&mut self, now: Now, process: &Name) {
        if let Some(unresponsive) = self.unresponsive.get_mut(process) {
            unresponsive.next_read_ms = now.mono_ms + READ_RETRY_MS;
        }
    }

    /// Lists the leases if a list is due.
    ///
    /// The first list waits until the own lease is written. So of two processes that start at the same time, the one
    /// whose lease was written later finds the other's, and neither stays unknown until the next list.
    ///
    /// The interval of later lists grows with the number of members, which bounds the lists per second of the fleet.
    pub(super) fn list_leases(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        // Few members may have been known at the last list, so the interval follows from their present number.
        let listed_long_ago =
            self.listed_ms.is_none_or(|it| now.mono_ms >= it + self.list_interval_ms());
        let due = now.mono_ms >= self.next_list_ms;
        if due && (listed_long_ago || self.list_failed) && self.renewals > 0 {
            self.list_failed = false;
            self.listed_ms = Some(now.mono_ms);
            out.push(MembershipAction::ListLeases);
        }
    }

    fn list_interval_ms(&self) -> u64 {
        LIST_MIN_MS.max(LIST_PER_MEMBER_MS * self.roster.len() as u64)
    }

    pub(super) fn read_unresponsive_leases(&mut self, now: Now, out: &mut Vec<MembershipAction>) {
        for (name, unresponsive) in &mut self.unresponsive {
            if now.mono_ms >= unresponsive.next_read_ms {
                unresponsive.next_read_ms = now.mono_ms + self.config.lease_ms;
                out.push(MembershipAction::ReadLease { process: Arc::clone(name) });
            }
        }
    }
}
