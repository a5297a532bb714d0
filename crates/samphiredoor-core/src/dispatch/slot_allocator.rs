//! One door divides a target's lent room among the doors that want it.
//!
//! Which door that is follows from the doors that are known to live, by rendezvous hash, so that nobody has to agree
//! on it and only the targets of a door that comes or goes change their lender. It is a hint: a door holds a share only
//! from the door that it takes for the lender, and lets go of it when it is not renewed. So a lender that is lost
//! stops lending within [`SHARE_TTL_MS`], the next one lends nothing for as long, and two at once lend at most twice the
//! room for the time in which doors disagree on who lives. All of that costs speed, and none of it an answer.
//!
//! Traffic is bounded in time, not by requests: a door tells its traffic at a target at most five times a second and
//! only when it has changed, a share that shrinks is told at once and one that grows four times a second, and each is
//! repeated once per [`RENEW_MS`].

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
};

use rapidhash::fast::RapidHasher;
use smallvec::SmallVec;

use crate::Name;

/// A share that was not renewed for this long is over.
pub const SHARE_TTL_MS: u64 = 3_000;
/// Time between two renewals of a share, and between two words of the same demand.
pub const RENEW_MS: u64 = 1_000;
/// A share that stands grows no more often.
const GROW_MS: u64 = 250;
/// A door tells of changes in its traffic no more often.
const TELL_MS: u64 = 200;
/// Most doors that share one target's loan; what others want is not heard.
pub const MAX_BORROWERS: usize = 16;

/// A door that is known to live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveGateway {
    /// Name.
    pub name: Name,
    /// Region.
    pub region: Name,
}

/// Door that lends the room of `target`, which stands in `region`: one of that region, if any lives there, so that
/// lending goes on at both sides of a cut link. None if no door is known.
pub fn lender_of<'a>(target: &str, region: &str, doors: &'a [LiveGateway]) -> Option<&'a Name> {
    let names = |it: &'a LiveGateway| &it.name;
    let near = doors.iter().filter(|it| &*it.region == region).map(names);
    let heaviest = |it: &&Name| (weight(target, it), Name::clone(it));
    near.max_by_key(heaviest).or_else(|| doors.iter().map(names).max_by_key(heaviest))
}

fn weight(target: &str, door: &str) -> u64 {
    let mut hasher = RapidHasher::default_const();
    target.hash(&mut hasher);
    door.hash(&mut hasher);
    hasher.finish()
}

/// Batch slots of another door at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotGrant {
    /// Which door.
    pub gateway: Name,
    /// Slots it has from now on.
    pub slots: u32,
    /// Number of the lender's term and change; the higher one holds.
    pub epoch: u64,
}

/// What a borrower says of its own traffic at the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Online requests in flight.
    pub online: u32,
    /// Batch requests in flight.
    pub batch: u32,
    /// Batch slots that it could use, those in use among them.
    pub wanted: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Borrower {
    demand: Demand,
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
    /// Lender from `since_ms` on; `epoch` must be above any that an earlier start of this process gave, such as its
    /// wall-clock time.
    pub fn new(since_ms: u64, epoch: u64) -> Lender {
        Lender { borrowers: BTreeMap::new(), since_ms, epoch }
    }

    /// Another door tells its traffic.
    pub fn told(&mut self, now_ms: u64, door: &Name, demand: Demand) {
        if !self.borrowers.contains_key(door) && self.borrowers.len() >= MAX_BORROWERS {
            return;
        }
        let borrower = self.borrowers.entry(Name::clone(door)).or_default();
        borrower.demand = demand;
        borrower.heard_ms = now_ms;
    }

    /// Whether there is room to give, which a new lender has only when all shares of an earlier one are over.
    pub fn lends(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms
    }

    /// Online requests that other doors have at the target.
    pub fn online(&self) -> u32 {
        self.borrowers.values().map(|it| it.demand.online).sum()
    }

    /// Batch requests that other doors have at the target.
    pub fn batch(&self) -> u32 {
        self.borrowers.values().map(|it| it.demand.batch).sum()
    }

    /// Slots given to other doors.
    pub fn lent(&self) -> u32 {
        self.borrowers.values().map(|it| it.slots).sum()
    }

    /// Divides `slots` among the other doors and this one, which could use `own_wanted`; appends what the others are
    /// to be told. What they do not get is this door's own.
    pub fn divide(&mut self, now_ms: u64, slots: u32, own_wanted: u32, out: &mut Vec<SlotGrant>) {
        self.forget_silent(now_ms);
        if self.borrowers.is_empty() {
            return;
        }
        let wanted = self.borrowers.values().map(|it| it.demand.wanted);
        let shares = fair_shares(slots, wanted.chain([own_wanted]));
        for ((door, borrower), share) in self.borrowers.iter_mut().zip(shares) {
            let renew = borrower.slots > 0 && now_ms >= borrower.sent_ms + RENEW_MS;
            if share == borrower.slots && !renew {
                continue;
            }
            // One that grows can wait for the next renewal or a change worth a message; one that shrinks cannot.
            let grows_little =
                share > borrower.slots && now_ms < borrower.sent_ms + GROW_MS && borrower.slots > 0;
            if grows_little {
                continue;
            }
            borrower.slots = share;
            borrower.sent_ms = now_ms;
            self.epoch += 1;
            let gateway = Name::clone(door);
            out.push(SlotGrant { gateway, slots: share, epoch: self.epoch });
        }
    }

    fn forget_silent(&mut self, now_ms: u64) {
        self.borrowers.retain(|_, it| {
            if now_ms >= it.heard_ms + SHARE_TTL_MS {
                it.demand = Demand::default();
            }
            // Its share may still be in use until it is over.
            it.demand != Demand::default() || now_ms < it.sent_ms + SHARE_TTL_MS
        });
    }
}

type Shares = SmallVec<[u32; MAX_BORROWERS + 1]>;

/// Max-min fair division: nobody gets more than it wants, and what one leaves is divided among the others.
fn fair_shares(slots: u32, wanted: impl Iterator<Item = u32>) -> Shares {
    let wanted: Shares = wanted.collect();
    let mut shares: Shares = wanted.iter().map(|_| 0).collect();
    let mut order: SmallVec<[usize; MAX_BORROWERS + 1]> = (0..wanted.len()).collect();
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

/// The share that a door holds at a target of which another door is the lender, and what it has told that one.
#[derive(Debug, Clone, Default)]
pub struct Share {
    slots: u32,
    epoch: u64,
    lender: Option<Name>,
    until_ms: u64,
    told: Demand,
    told_ms: u64,
}

impl Share {
    /// Takes a change from `lender`, which this door must take for the target's lender; an older one changes nothing.
    pub fn change(&mut self, now_ms: u64, lender: &Name, slots: u32, epoch: u64) {
        let same_lender = self.lender.as_ref() == Some(lender);
        if same_lender && epoch <= self.epoch {
            return;
        }
        self.slots = slots;
        self.epoch = epoch;
        self.lender = Some(Name::clone(lender));
        self.until_ms = now_ms + SHARE_TTL_MS;
    }

    /// Slots that may be used now.
    pub fn slots(&self, now_ms: u64) -> u32 {
        if now_ms < self.until_ms { self.slots } else { 0 }
    }

    /// Slots that may be used now beside `online` requests of this door. Those that the lender has not been told of
    /// take slots of the share at once, so that they need not wait for the lender's word.
    pub fn slots_beside(&self, now_ms: u64, online: u32) -> u32 {
        self.slots(now_ms).saturating_sub(online.saturating_sub(self.told.online))
    }

    /// Whether the lender is to be told of `demand` now; if so, it counts as told.
    pub fn tells(&mut self, now_ms: u64, demand: Demand) -> bool {
        let changed = demand != self.told && now_ms >= self.told_ms + TELL_MS;
        let repeated = demand != Demand::default() && now_ms >= self.told_ms + RENEW_MS;
        if changed || repeated {
            self.told = demand;
            self.told_ms = now_ms;
        }
        changed || repeated
    }
}
