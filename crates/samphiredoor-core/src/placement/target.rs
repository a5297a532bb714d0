//! One target as this gateway sees it: its own requests there, those of its peers, and the target's health.

use std::collections::BTreeMap;

use smallvec::SmallVec;

use super::{AttemptEnd, GatewayLoad, ReportedLoad, TargetEntry, health::Health};
use crate::{
    Name,
    dispatch::{Class, Location, RequestId},
};

/// How long load that a target reported and that no gateway accounts for is counted. Gateways send their loads within
/// 50 ms, so what stays unaccounted for belongs to requests of a gateway that died, and these end when their connections
/// close.
const UNACCOUNTED_LOAD_MS: u64 = 500;

/// Network distance of a target from this gateway, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone and same cell.
    Cell,
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// Distance by region and availability zone; cells are ignored.
    pub fn between(own: &Location, other: &Location) -> Distance {
        if own.region != other.region {
            Distance::OtherRegion
        } else if own.availability_zone == other.availability_zone {
            Distance::Zone
        } else {
            Distance::Region
        }
    }
}

/// Number of requests at a target, by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Online requests.
    pub online: u32,
    /// Batch items.
    pub batch: u32,
}

impl Load {
    /// Sum over both classes.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// A target and its load.
#[derive(Debug)]
pub struct Target {
    /// Latest entry from discovery.
    pub entry: TargetEntry,
    /// Whether the target is assigned to this gateway's cell.
    pub in_own_cell: bool,
    distance: Distance,
    /// Backoff state from the outcomes of this gateway's attempts.
    pub health: Health,
    own: Load,
    /// Items of this gateway, oldest first, and whether each is being preempted.
    items: Vec<(RequestId, bool)>,
    /// Requests of this gateway that wait for it while it is silent.
    silent: SmallVec<[RequestId; 2]>,
    /// Loads of peers, by peer.
    peers: BTreeMap<Name, Load>,
    /// Load beyond all known requests when the target last reported.
    unaccounted: u32,
    reported_at_ms: u64,
}

impl Target {
    /// Creates a target without load.
    pub fn new(entry: TargetEntry, own_location: &Location, in_own_cell: bool) -> Target {
        let distance = Distance::between(own_location, &entry.location);
        Target {
            entry,
            in_own_cell,
            distance,
            health: Health::default(),
            own: Load::default(),
            items: Vec::new(),
            silent: SmallVec::new(),
            peers: BTreeMap::new(),
            unaccounted: 0,
            reported_at_ms: 0,
        }
    }

    /// Distance from this gateway, with the cell taken into account.
    pub fn distance(&self) -> Distance {
        match self.distance {
            Distance::Zone if self.in_own_cell => Distance::Cell,
            distance => distance,
        }
    }

    /// Replaces the entry; after a restart of the target, health and unaccounted load are reset.
    pub fn update(&mut self, entry: TargetEntry) {
        if entry.started_unix_ms != self.entry.started_unix_ms {
            self.health = Health::default();
            self.silent.clear();
            self.unaccounted = 0;
        }
        self.entry = entry;
    }

    /// Requests of this gateway at the target.
    pub fn own(&self) -> Load {
        self.own
    }

    /// Requests of all gateways at the target, without this gateway's items that are being preempted.
    pub fn load(&self) -> Load {
        let preempted = self.items.iter().filter(|(_, preempted)| *preempted).count() as u32;
        let peers = self.peers.values();
        peers.fold(Load { batch: self.own.batch - preempted, ..self.own }, |sum, it| Load {
            online: sum.online + it.online,
            batch: sum.batch + it.batch,
        })
    }

    /// Estimated number of requests at the target: those of all gateways, and reported ones that no gateway accounts for.
    pub fn estimated_total(&self, now_ms: u64) -> u32 {
        let is_recent = now_ms < self.reported_at_ms + UNACCOUNTED_LOAD_MS;
        self.load().total() + if is_recent { self.unaccounted } else { 0 }
    }

    /// Records the load that the target reported.
    pub fn record_report(&mut self, now_ms: u64, report: ReportedLoad) {
        let accounted = self.load().total();
        self.unaccounted = (report.running + report.waiting).saturating_sub(accounted);
        self.reported_at_ms = now_ms;
    }

    /// Adds a request that is sent to the target, or that already runs there and may be being preempted.
    pub fn add_request(&mut self, request: RequestId, class: Class, preempted: bool) {
        match class {
            Class::Online => self.own.online += 1,
            Class::Batch => {
                self.own.batch += 1;
                self.items.push((request, preempted));
            }
        }
    }

    /// Removes a request that has ended, and updates the target's health with its outcome.
    pub fn remove_request(
        &mut self,
        now_ms: u64,
        request: RequestId,
        class: Class,
        end: AttemptEnd,
    ) {
        match class {
            Class::Online => self.own.online = self.own.online.saturating_sub(1),
            Class::Batch => {
                self.own.batch = self.own.batch.saturating_sub(1);
                self.items.retain(|(it, _)| *it != request);
            }
        }
        let was_silent = self.silent.contains(&request);
        self.silent.retain(|it| *it != request);
        self.health.record(now_ms, end);
        match end {
            AttemptEnd::Answered | AttemptEnd::Refused => self.end_silence(),
            AttemptEnd::WrongTarget
            | AttemptEnd::Unreachable
            | AttemptEnd::Lost
            | AttemptEnd::Silent
            | AttemptEnd::Gone
            | AttemptEnd::Cut => {
                if was_silent && self.silent.is_empty() {
                    self.health.leave_silence(now_ms);
                }
            }
        }
    }

    /// Notes that the target sends nothing to a request.
    pub fn begin_silence(&mut self, request: RequestId) {
        self.silent.push(request);
        self.health.begin_silence();
    }

    /// Notes that the target has sent data to a request. Those that still wait do not make it silent again: it works.
    pub fn end_silence(&mut self) {
        self.silent.clear();
        self.health.end_silence();
    }

    /// Sets the load of a peer at the target.
    pub fn set_peer_load(&mut self, peer: &Name, load: Load) {
        if load.total() == 0 {
            self.peers.remove(peer);
        } else {
            self.peers.insert(Name::clone(peer), load);
        }
    }

    /// Whether the target has more requests than slots even if all of this gateway's items are preempted, so that only a
    /// peer can make room by preempting its own.
    pub fn needs_peer_preemption(&self) -> bool {
        let load = self.load();
        let preemptible = self.items.iter().filter(|(_, preempted)| !*preempted).count() as u32;
        load.total() > self.entry.slots + preemptible && load.batch > preemptible
    }

    /// Marks and returns the items to preempt so that online requests get slots, youngest first.
    ///
    /// Every gateway with items at the target sees the same excess and would preempt items for all of it. Therefore
    /// gateways are ordered by name, and each preempts only what the items of those before it do not cover.
    pub fn preempt(&mut self, own_name: &Name) -> Vec<RequestId> {
        let excess = self.load().total().saturating_sub(self.entry.slots);
        let before: u32 = self.peers.range(..Name::clone(own_name)).map(|(_, it)| it.batch).sum();
        let wanted = excess.saturating_sub(before) as usize;
        let youngest = self.items.iter_mut().rev().filter(|(_, preempted)| !*preempted);
        let preempted = youngest.take(wanted).map(|(request, preempted)| {
            *preempted = true;
            *request
        });
        preempted.collect()
    }

    /// Load of this gateway as sent to peers; `None` if it has no requests at the target.
    pub fn own_load(&self, target: u64) -> Option<GatewayLoad> {
        let Load { online, batch } = self.own;
        (self.own.total() > 0).then_some(GatewayLoad { target, online, batch })
    }
}
