//! One target as this process sees it: its own requests there, those of other doors, and its health.

use std::collections::BTreeMap;

use super::{AttemptEnd, GatewayLoad, ReportedLoad, TargetEntry, health::Health};
use crate::{
    Name,
    dispatch::{Class, Location, RequestId},
};

/// How long a load that no door accounts for is believed. Doors tell theirs within 50 ms, so what stays unexplained
/// belongs to requests of a door that died, and these end when their connections close.
const SURPLUS_MS: u64 = 500;

/// How far a target is from this process; nearer ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone, and a target of the own cell.
    Cell,
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Beyond the link between regions.
    OtherRegion,
}

impl Distance {
    /// Distance between two places, whatever their cells.
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

/// Requests by class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Online requests.
    pub online: u32,
    /// Items of jobs.
    pub batch: u32,
}

impl Load {
    /// Both classes.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// A target and its load.
#[derive(Debug)]
pub struct Target {
    /// As discovery knows it.
    pub entry: TargetEntry,
    /// Whether the own cell shares it.
    pub is_own: bool,
    distance: Distance,
    /// What this process has seen of it.
    pub health: Health,
    own: Load,
    // Items of this process, oldest first, and which of them are being recalled.
    items: Vec<(RequestId, bool)>,
    others: BTreeMap<Name, Load>,
    surplus: u32,
    surplus_at_ms: u64,
}

impl Target {
    /// Target without load.
    pub fn new(entry: TargetEntry, own_location: &Location, is_own: bool) -> Target {
        let distance = Distance::between(own_location, &entry.location);
        Target {
            entry,
            is_own,
            distance,
            health: Health::default(),
            own: Load::default(),
            items: Vec::new(),
            others: BTreeMap::new(),
            surplus: 0,
            surplus_at_ms: 0,
        }
    }

    /// How far it is.
    pub fn distance(&self) -> Distance {
        match self.distance {
            Distance::Zone if self.is_own => Distance::Cell,
            distance => distance,
        }
    }

    /// Takes what discovery says now; a restart forgets what was seen before.
    pub fn update(&mut self, entry: TargetEntry) {
        if entry.started_unix_ms != self.entry.started_unix_ms {
            self.health = Health::default();
            self.surplus = 0;
        }
        self.entry = entry;
    }

    /// Requests of this process.
    pub fn own(&self) -> Load {
        self.own
    }

    /// Requests of all doors, without items that are being recalled.
    pub fn load(&self) -> Load {
        let recalled = self.items.iter().filter(|(_, recalled)| *recalled).count() as u32;
        let others = self.others.values();
        others.fold(Load { batch: self.own.batch - recalled, ..self.own }, |sum, it| Load {
            online: sum.online + it.online,
            batch: sum.batch + it.batch,
        })
    }

    /// Requests at the target as far as can be known, those that no door accounts for among them.
    pub fn total(&self, now_ms: u64) -> u32 {
        let fresh = now_ms < self.surplus_at_ms + SURPLUS_MS;
        self.load().total() + if fresh { self.surplus } else { 0 }
    }

    /// Takes the target's own word on its load.
    pub fn reported(&mut self, now_ms: u64, report: ReportedLoad) {
        let accounted = self.load().total();
        self.surplus = (report.running + report.waiting).saturating_sub(accounted);
        self.surplus_at_ms = now_ms;
    }

    /// Counts a request that is sent there, or that runs there already and may be recalled.
    pub fn begin(&mut self, request: RequestId, class: Class, recalled: bool) {
        match class {
            Class::Online => self.own.online += 1,
            Class::Batch => {
                self.own.batch += 1;
                self.items.push((request, recalled));
            }
        }
    }

    /// Counts a request that has ended there.
    pub fn end(&mut self, now_ms: u64, request: RequestId, class: Class, end: AttemptEnd) {
        match class {
            Class::Online => self.own.online = self.own.online.saturating_sub(1),
            Class::Batch => {
                self.own.batch = self.own.batch.saturating_sub(1);
                self.items.retain(|(it, _)| *it != request);
            }
        }
        self.health.learn(now_ms, end);
    }

    /// Sets the requests of another door.
    pub fn set_other(&mut self, door: &Name, load: Load) {
        if load.total() == 0 {
            self.others.remove(door);
        } else {
            self.others.insert(Name::clone(door), load);
        }
    }

    /// Whether online requests have fewer places than they need even if all own items leave.
    pub fn lacks_places(&self) -> bool {
        let load = self.load();
        let kept = self.items.iter().filter(|(_, recalled)| !*recalled).count() as u32;
        load.total() > self.entry.slots + kept && load.batch > kept
    }

    /// The items to recall so that online requests have room, youngest first.
    ///
    /// Every door with items at the target sees the same excess and would recall for all of it. So doors stand in an
    /// order by name, and each recalls only what the items of those before it do not cover.
    pub fn recall(&mut self, own_name: &Name) -> Vec<RequestId> {
        let excess = self.load().total().saturating_sub(self.entry.slots);
        let before: u32 = self.others.range(..Name::clone(own_name)).map(|(_, it)| it.batch).sum();
        let wanted = excess.saturating_sub(before) as usize;
        let youngest = self.items.iter_mut().rev().filter(|(_, recalled)| !*recalled);
        let recalled = youngest.take(wanted).map(|(request, recalled)| {
            *recalled = true;
            *request
        });
        recalled.collect()
    }

    /// Requests of this process, as other doors are told.
    pub fn told(&self, target: u64) -> Option<GatewayLoad> {
        let Load { online, batch } = self.own;
        (self.own.total() > 0).then_some(GatewayLoad { target, online, batch })
    }
}
