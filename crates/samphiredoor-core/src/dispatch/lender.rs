//! One door divides a target's lent room among the doors that want it.
//!
//! Which door that is follows from the doors that are known to live, by rendezvous hash, so that nobody has to agree
//! on it and only the targets of a door that comes or goes change their lender. It is a hint: a door holds a share only
//! from the door that it takes for the lender, and lets go of it when it is not renewed. So a lender that is lost
//! stops lending within [`SHARE_TTL_MS`], the next one lends nothing for as long, and two at once lend at most twice the
//! room for the time in which doors disagree on who lives. All of that costs speed, and none of it an answer.
//!
//! Traffic is per change, not per request: a door tells its demand when it grows from nothing, doubles or ends, and a
//! share is sent when it changes, and once per [`RENEW_MS`].

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
};

use rapidhash::fast::RapidHasher;
use smallvec::SmallVec;

use crate::Name;

/// A share that was not renewed for this long is over.
pub const SHARE_TTL_MS: u64 = 3_000;
/// Time between two renewals of a share.
pub const RENEW_MS: u64 = 1_000;
/// Most doors that share one target's loan; what others want is not heard.
pub const MAX_BORROWERS: usize = 16;

/// Door that lends the room of `target`; none if no door is known.
pub fn lender_of<'a>(target: &str, doors: &'a [Name]) -> Option<&'a Name> {
    doors.iter().max_by_key(|door| (weight(target, door), *door))
}

fn weight(target: &str, door: &str) -> u64 {
    let mut hasher = RapidHasher::default_const();
    target.hash(&mut hasher);
    door.hash(&mut hasher);
    hasher.finish()
}

/// Batch slots of a door at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShareChange {
    /// Which door.
    pub door: Name,
    /// Slots it has from now on.
    pub slots: u32,
    /// Number of the lender's term and change; the higher one holds.
    pub epoch: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Borrower {
    wanted: u32,
    slots: u32,
    heard_ms: u64,
    sent_ms: u64,
}

/// Division of one target's room by its lender.
#[derive(Debug)]
pub struct Lender {
    borrowers: BTreeMap<Name, Borrower>,
    since_ms: u64,
    epoch: u64,
}

impl Lender {
    /// Lender from `now_ms` on, after an earlier one if `succeeds` says so; `epoch` must be above any that an earlier
    /// start of this process gave, such as its wall-clock time.
    pub fn new(now_ms: u64, succeeds: bool, epoch: u64) -> Lender {
        let since_ms = if succeeds { now_ms + SHARE_TTL_MS } else { now_ms };
        Lender { borrowers: BTreeMap::new(), since_ms, epoch }
    }

    /// A door tells how many slots it could use.
    pub fn wanted(&mut self, now_ms: u64, door: &Name, wanted: u32) {
        if !self.borrowers.contains_key(door) && self.borrowers.len() >= MAX_BORROWERS {
            return;
        }
        let borrower = self.borrowers.entry(Name::clone(door)).or_default();
        borrower.wanted = wanted;
        borrower.heard_ms = now_ms;
    }

    /// A door is gone: its slots are free when they can no longer be in use.
    pub fn gone(&mut self, door: &str) {
        if let Some(borrower) = self.borrowers.get_mut(door) {
            borrower.wanted = 0;
        }
    }

    /// Divides `slots`; appends what is to be told.
    pub fn divide(&mut self, now_ms: u64, slots: u32, out: &mut Vec<ShareChange>) {
        self.forget_silent(now_ms);
        let slots = if now_ms < self.since_ms { 0 } else { slots };
        let shares = fair_shares(slots, self.borrowers.values().map(|it| it.wanted));
        let mut spoken_for: u32 = self.borrowers.values().map(|it| it.slots).sum();
        // Those that shrink come first. What they give up can be lent again in the same turn: they are told by the same
        // message and recall at once.
        let shrink_first =
            |grows: bool| move |(it, share): &(&mut Borrower, u32)| (*share > it.slots) == grows;
        for grows in [false, true] {
            let pairs = self.borrowers.iter_mut().zip(&shares);
            for ((door, borrower), share) in pairs {
                if !shrink_first(grows)(&(&mut *borrower, *share)) {
                    continue;
                }
                let room = slots.saturating_sub(spoken_for - borrower.slots);
                let share = (*share).min(room);
                let renew = now_ms >= borrower.sent_ms + RENEW_MS && borrower.slots > 0;
                if share == borrower.slots && !renew {
                    continue;
                }
                spoken_for = spoken_for - borrower.slots + share;
                borrower.slots = share;
                borrower.sent_ms = now_ms;
                self.epoch += 1;
                let door = Name::clone(door);
                out.push(ShareChange { door, slots: share, epoch: self.epoch });
            }
        }
    }

    /// Slots given out.
    pub fn lent(&self) -> u32 {
        self.borrowers.values().map(|it| it.slots).sum()
    }

    fn forget_silent(&mut self, now_ms: u64) {
        self.borrowers.retain(|_, it| {
            if now_ms >= it.heard_ms + SHARE_TTL_MS {
                it.wanted = 0;
            }
            it.wanted > 0 || it.slots > 0 || now_ms < it.sent_ms + SHARE_TTL_MS
        });
    }
}

/// Max-min fair division: nobody gets more than it wants, and what one leaves is divided among the others.
fn fair_shares(slots: u32, wanted: impl Iterator<Item = u32>) -> SmallVec<[u32; MAX_BORROWERS]> {
    let wanted: SmallVec<[u32; MAX_BORROWERS]> = wanted.collect();
    let mut shares: SmallVec<[u32; MAX_BORROWERS]> = wanted.iter().map(|_| 0).collect();
    let mut order: SmallVec<[usize; MAX_BORROWERS]> = (0..wanted.len()).collect();
    order.sort_by_key(|it| wanted[*it]);
    let mut left = slots;
    for (done, index) in order.iter().enumerate() {
        let others = (order.len() - done) as u32;
        // The last ones get the remainder of the division.
        shares[*index] = wanted[*index].min(left / others);
        left -= shares[*index];
    }
    shares
}

/// The share that a door holds at a target of which another door is the lender.
#[derive(Debug, Clone, Default)]
pub struct Share {
    slots: u32,
    epoch: u64,
    lender: Option<Name>,
    until_ms: u64,
}

impl Share {
    /// Takes a change from `lender`, which this door must take for the target's lender; an older one changes nothing.
    pub fn change(&mut self, now_ms: u64, lender: &Name, slots: u32, epoch: u64) {
        let same_lender = self.lender.as_ref() == Some(lender);
        if same_lender && epoch <= self.epoch {
            return;
        }
        *self = Share {
            slots,
            epoch,
            lender: Some(Name::clone(lender)),
            until_ms: now_ms + SHARE_TTL_MS,
        };
    }

    /// Slots that may be used now.
    pub fn slots(&self, now_ms: u64) -> u32 {
        if now_ms < self.until_ms { self.slots } else { 0 }
    }
}
