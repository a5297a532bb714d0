//! Division of a target's batch slots among gateways.
//!
//! For each target one gateway is the slot allocator. It is chosen by rendezvous hash from the live gateways, so no
//! agreement protocol is needed, and when a gateway starts or stops, only the targets that it allocates change their
//! allocator. Gateways may disagree for a while on who is live. A gateway holds a lease on slots only from the gateway
//! that it considers the allocator, and the lease expires unless it is renewed. So the grants of a lost allocator expire
//! within [`LEASE_TTL_MS`], the next allocator grants nothing for as long, and two allocators at once grant at most
//! twice the slots while gateways disagree. Any of these costs throughput or latency, but never loses an answer.
//!
//! The message rate does not depend on the request rate: a gateway reports its traffic at a target at most five times a
//! second and only if it has changed; a smaller lease is sent at once, a larger one at most four times a second; and
//! each message is repeated once per [`RENEW_MS`].

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
};

use rapidhash::fast::RapidHasher;
use smallvec::SmallVec;

use crate::Name;

/// A lease that has not been renewed for this long expires.
pub const LEASE_TTL_MS: u64 = 3_000;
/// Interval between renewals of a lease, and between repeated reports of an unchanged demand.
pub const RENEW_MS: u64 = 1_000;
/// Shortest time between two messages to the same gateway if the second enlarges its lease.
const MIN_GROWTH_INTERVAL_MS: u64 = 250;
/// Shortest time between two reports of a changed demand.
const MIN_REPORT_INTERVAL_MS: u64 = 200;
/// Most gateways that hold leases on one target's slots; the demands of others are ignored.
pub const MAX_LEASEHOLDERS: usize = 16;

/// Gateway that is considered live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LiveGateway {
    /// Name of the gateway.
    pub name: Name,
    /// Region that the gateway runs in.
    pub region: Name,
}

/// Gateway that allocates the batch slots of `target`, which runs in `region`. A gateway of the same region is
/// preferred, so that slots are granted on both sides of a partition between regions. `None` if no gateway is live.
pub fn allocator_of<'a>(
    target: &str,
    region: &str,
    gateways: &'a [LiveGateway],
) -> Option<&'a Name> {
    let names = |it: &'a LiveGateway| &it.name;
    let same_region = gateways.iter().filter(|it| &*it.region == region).map(names);
    let by_weight = |it: &&Name| (rendezvous_weight(target, it), Name::clone(it));
    same_region.max_by_key(by_weight).or_else(|| gateways.iter().map(names).max_by_key(by_weight))
}

fn rendezvous_weight(target: &str, gateway: &str) -> u64 {
    let mut hasher = RapidHasher::default_const();
    target.hash(&mut hasher);
    gateway.hash(&mut hasher);
    hasher.finish()
}

/// Grant of a target's batch slots to another gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotGrant {
    /// Gateway that the slots are granted to.
    pub gateway: Name,
    /// Granted slots; replaces the previous grant.
    pub slots: u32,
    /// Sequence number, increasing across restarts of the allocator; the highest one is active.
    pub epoch: u64,
}

/// Traffic of one gateway at a target and the batch slots that it could use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Demand {
    /// Online requests in flight.
    pub online: u32,
    /// Batch requests in flight.
    pub batch: u32,
    /// Batch slots that it could use, including those in use.
    pub wanted: u32,
}

#[derive(Debug, Clone, Copy, Default)]
struct Leaseholder {
    demand: Demand,
    slots: u32,
    reported_ms: u64,
    sent_ms: u64,
}

/// Slot allocator of one target.
#[derive(Debug)]
pub struct SlotAllocator {
    leaseholders: BTreeMap<Name, Leaseholder>,
    grants_from_ms: u64,
    epoch: u64,
}

impl SlotAllocator {
    /// Creates an allocator that grants slots from `grants_from_ms` on. `epoch` must be above any that an earlier
    /// incarnation of this process used, such as the wall-clock time.
    pub fn new(grants_from_ms: u64, epoch: u64) -> SlotAllocator {
        SlotAllocator { leaseholders: BTreeMap::new(), grants_from_ms, epoch }
    }

    /// Records the demand of another gateway.
    pub fn record_demand(&mut self, now_ms: u64, gateway: &Name, demand: Demand) {
        if !self.leaseholders.contains_key(gateway) && self.leaseholders.len() >= MAX_LEASEHOLDERS {
            return;
        }
        let leaseholder = self.leaseholders.entry(Name::clone(gateway)).or_default();
        leaseholder.demand = demand;
        leaseholder.reported_ms = now_ms;
    }

    /// Whether slots may be granted: a new allocator grants none until all leases of the previous one have expired.
    pub fn may_grant(&self, now_ms: u64) -> bool {
        now_ms >= self.grants_from_ms
    }

    /// Online requests of other gateways at the target.
    pub fn online(&self) -> u32 {
        self.leaseholders.values().map(|it| it.demand.online).sum()
    }

    /// Batch requests of other gateways at the target.
    pub fn batch(&self) -> u32 {
        self.leaseholders.values().map(|it| it.demand.batch).sum()
    }

    /// Slots granted to other gateways.
    pub fn granted(&self) -> u32 {
        self.leaseholders.values().map(|it| it.slots).sum()
    }

    /// Divides `slots` among the other gateways and this one, which could use `own_demand`. Appends the grants to send.
    /// Slots that are not granted are left to this gateway.
    pub fn allocate(&mut self, now_ms: u64, slots: u32, own_demand: u32, out: &mut Vec<SlotGrant>) {
        self.remove_expired(now_ms);
        if self.leaseholders.is_empty() {
            return;
        }
        let wanted = self.leaseholders.values().map(|it| it.demand.wanted);
        let shares = max_min_shares(slots, wanted.chain([own_demand]));
        for ((gateway, leaseholder), share) in self.leaseholders.iter_mut().zip(shares) {
            let renew = leaseholder.slots > 0 && now_ms >= leaseholder.sent_ms + RENEW_MS;
            if share == leaseholder.slots && !renew {
                continue;
            }
            // A lease that grows can wait, to save messages; one that shrinks must be sent at once.
            let growth_can_wait = share > leaseholder.slots
                && now_ms < leaseholder.sent_ms + MIN_GROWTH_INTERVAL_MS
                && leaseholder.slots > 0;
            if growth_can_wait {
                continue;
            }
            leaseholder.slots = share;
            leaseholder.sent_ms = now_ms;
            self.epoch += 1;
            let gateway = Name::clone(gateway);
            out.push(SlotGrant { gateway, slots: share, epoch: self.epoch });
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.leaseholders.retain(|_, it| {
            if now_ms >= it.reported_ms + LEASE_TTL_MS {
                it.demand = Demand::default();
            }
            // Its lease may be in use until it expires.
            it.demand != Demand::default() || now_ms < it.sent_ms + LEASE_TTL_MS
        });
    }
}

type Shares = SmallVec<[u32; MAX_LEASEHOLDERS + 1]>;

/// Max-min fair shares of `slots`: no gateway gets more than it wants, and the rest is divided among the others.
fn max_min_shares(slots: u32, wanted: impl Iterator<Item = u32>) -> Shares {
    let wanted: Shares = wanted.collect();
    let mut shares: Shares = wanted.iter().map(|_| 0).collect();
    let mut order: SmallVec<[usize; MAX_LEASEHOLDERS + 1]> = (0..wanted.len()).collect();
    order.sort_by_key(|it| wanted[*it]);
    let mut left = slots;
    for (done, index) in order.iter().enumerate() {
        let others = (order.len() - done) as u32;
        // The remainder of the division goes to the last ones.
        shares[*index] = wanted[*index].min(left / others);
        left -= shares[*index];
    }
    shares
}

/// Lease of this gateway on batch slots of a target that another gateway allocates, and the demand last reported to
/// that gateway.
#[derive(Debug, Clone, Default)]
pub struct SlotLease {
    slots: u32,
    epoch: u64,
    allocator: Option<Name>,
    expires_at_ms: u64,
    reported: Demand,
    reported_ms: u64,
}

impl SlotLease {
    /// Handles a grant from `allocator`, which must be the gateway that this one considers the target's allocator. A
    /// grant older than the current one is ignored.
    pub fn update(&mut self, now_ms: u64, allocator: &Name, slots: u32, epoch: u64) {
        let same_allocator = self.allocator.as_ref() == Some(allocator);
        if same_allocator && epoch <= self.epoch {
            return;
        }
        self.slots = slots;
        self.epoch = epoch;
        self.allocator = Some(Name::clone(allocator));
        self.expires_at_ms = now_ms + LEASE_TTL_MS;
    }

    /// Slots that may be used now.
    pub fn slots(&self, now_ms: u64) -> u32 {
        if now_ms < self.expires_at_ms { self.slots } else { 0 }
    }

    /// Slots that may be used now beside `online` requests of this gateway. Online requests that have not been reported
    /// to the allocator yet take slots of the lease at once, so that they need not wait for its next grant.
    pub fn slots_beside(&self, now_ms: u64, online: u32) -> u32 {
        self.slots(now_ms).saturating_sub(online.saturating_sub(self.reported.online))
    }

    /// Whether `demand` is to be reported to the allocator now; if so, records it as reported.
    pub fn mark_demand_sent_if_due(&mut self, now_ms: u64, demand: Demand) -> bool {
        let changed =
            demand != self.reported && now_ms >= self.reported_ms + MIN_REPORT_INTERVAL_MS;
        let repeated = demand != Demand::default() && now_ms >= self.reported_ms + RENEW_MS;
        if changed || repeated {
            self.reported = demand;
            self.reported_ms = now_ms;
        }
        changed || repeated
    }
}
