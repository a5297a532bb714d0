//! The targets that this process uses, by service and by distance.
//!
//! At the size to design for, a process must not know the load of every target. It uses a subset of each service's
//! targets, chosen by rendezvous hash of process and target: no process needs to know of another, a target that comes
//! or goes moves only its own places, and each target is used by about the same number of processes. Most of the subset
//! stands in the own availability zone; the rest is there for the day on which that zone is lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rapidhash::v3::rapidhash_v3;

use super::{
    counters::TargetView,
    health::{Ejection, Health},
    limits::Limit,
    load::Load,
    loan::{InFlight, Loan},
    messages::{Class, Location, RequestId},
};
use crate::{
    Name,
    manifest::{self, Manifest, Service},
};

/// Targets of one service in the own availability zone, in the rest of the region, and beyond.
const SUBSET: [usize; 3] = [20, 10, 6];
const SUBSET_TOTAL: usize = SUBSET[0] + SUBSET[1] + SUBSET[2];
const MAX_MISSING_SHARE: f64 = 0.5;

/// Index of a target; valid while the target is in use or has an attempt running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TargetId(usize);

/// How far a target is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Targets in use, nearest group first.
pub(super) type Groups = [Vec<TargetId>; 3];

/// One target.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) declared: manifest::Target,
    pub(super) distance: Distance,
    pub(super) hash: u64,
    pub(super) load: Load,
    pub(super) limit: Limit,
    pub(super) health: Health,
    pub(super) loan: Loan,
    in_use: bool,
    batch: u32,
    recallable: BTreeSet<RequestId>,
    recalled: u32,
}

impl Target {
    fn new(declared: &manifest::Target, distance: Distance, health: Health, loan: Loan) -> Target {
        Target {
            declared: declared.clone(),
            distance,
            hash: rapidhash_v3(declared.name.as_bytes()),
            load: Load::default(),
            limit: Limit::new(declared.concurrency_limit),
            health,
            loan,
            in_use: true,
            batch: 0,
            recallable: BTreeSet::new(),
            recalled: 0,
        }
    }

    /// Attempts allowed at once now.
    pub(super) fn limit_now(&self, now_ms: u64) -> u32 {
        let limit = f64::from(self.limit.current()) * self.health.share(now_ms);
        (limit.ceil() as u32).max(1)
    }

    /// Whether a new online request may go there.
    pub(super) fn takes_online(&self, now_ms: u64) -> bool {
        self.is_open(now_ms) && self.has_room(now_ms, self.load.own())
    }

    /// Whether an online request may go there once one item of a job was recalled.
    pub(super) fn takes_online_after_recall(&self, now_ms: u64) -> bool {
        !self.recallable.is_empty()
            && self.is_open(now_ms)
            && self.has_room(now_ms, self.load.own() - 1)
    }

    /// Whether an item of a job may go there.
    pub(super) fn takes_batch(&self, now_ms: u64) -> bool {
        !self.declared.reclaimed
            && self.batch + self.recalled < self.declared.loan_limit
            && self.loan.may_start(now_ms, &self.declared, self.in_flight(now_ms))
            && self.takes_online(now_ms)
    }

    /// Whether it can be expected to take work again soon, though it may be full or asked to be spared now.
    pub(super) fn is_expected(&self, now_ms: u64) -> bool {
        self.in_use && !self.declared.drained && !self.health.is_ejected(now_ms)
    }

    fn is_open(&self, now_ms: u64) -> bool {
        self.is_expected(now_ms) && self.health.takes_work(now_ms)
    }

    /// The item of a job that started last and may run again: it has least to lose.
    pub(super) fn newest_recallable(&self) -> Option<RequestId> {
        self.recallable.last().copied()
    }

    /// The items of jobs that started last and may run again.
    pub(super) fn youngest_recallable(&self, count: usize) -> impl Iterator<Item = RequestId> {
        self.recallable.iter().rev().take(count).copied()
    }

    /// What runs there, as the lending sees it.
    pub(super) fn in_flight(&self, now_ms: u64) -> InFlight {
        let online = self.load.own().saturating_sub(self.batch);
        InFlight { online, batch: self.batch, others: self.load.others(now_ms) }
    }

    /// Batch attempts that may go on there now.
    pub(super) fn slots(&self, now_ms: u64) -> u32 {
        self.loan.slots(now_ms, &self.declared, self.in_flight(now_ms))
    }

    /// Takes notice of what is in flight.
    pub(super) fn observe_loan(&mut self, now_ms: u64) {
        let in_flight = self.in_flight(now_ms);
        self.loan.observe(now_ms, in_flight);
    }

    pub(super) fn batch(&self) -> u32 {
        self.batch
    }

    // A report that says "full" may be wrong. One attempt at a time is always allowed, so that this is found out.
    fn has_room(&self, now_ms: u64, own: u32) -> bool {
        let all = f64::from(own) + self.load.others(now_ms);
        let below_declared = all + 1.0 <= f64::from(self.declared.concurrency_limit);
        own < self.limit_now(now_ms) && (own == 0 || below_declared)
    }

    // A declared target that is out of work stays known: it would come back as a healthy one otherwise, if it is
    // drained and undrained, or leaves and joins the subset, while it is still leaving or unreachable.
    fn is_forgettable(&self, now_ms: u64) -> bool {
        !self.in_use && self.is_idle() && !self.health.is_ejected(now_ms)
    }

    fn is_idle(&self) -> bool {
        self.load.own() == 0 && self.recalled == 0
    }

    fn declare(&mut self, declared: &manifest::Target, distance: Distance, service: &Service) {
        let other_machine =
            declared.address != self.declared.address || declared.service != self.declared.service;
        if other_machine {
            self.health = Health::default();
            self.load.forget_report();
            self.limit = Limit::new(declared.concurrency_limit);
        }
        self.limit.declare(declared.concurrency_limit);
        self.loan.declare(service);
        self.declared = declared.clone();
        self.distance = distance;
        self.in_use = true;
    }
}

/// All targets in use.
#[derive(Debug)]
pub(super) struct Targets {
    location: Location,
    process: u64,
    slots: Vec<Option<Target>>,
    free: Vec<usize>,
    by_name: BTreeMap<Name, TargetId>,
    groups: BTreeMap<Name, Groups>,
}

impl Targets {
    pub(super) fn new(location: Location, process: u64) -> Targets {
        Targets {
            location,
            process,
            slots: Vec::new(),
            free: Vec::new(),
            by_name: BTreeMap::new(),
            groups: BTreeMap::new(),
        }
    }

    /// Takes over declarations; the one step that looks at every target.
    pub(super) fn apply(&mut self, now_ms: u64, manifest: &Manifest) {
        for target in self.slots.iter_mut().flatten() {
            target.in_use = false;
        }
        let before = std::mem::take(&mut self.groups);
        for (service, mut declared) in self.by_distance(manifest) {
            let newcomers_start_slowly = before.contains_key(&service);
            self.shrink_to_subset(&mut declared);
            let Some(lending) = manifest.services.get(&service) else { continue };
            let groups = declared.map(|group| {
                let take_in = |it: &manifest::Target| {
                    self.take_in(now_ms, it, lending, newcomers_start_slowly)
                };
                group.into_iter().map(take_in).collect()
            });
            self.groups.insert(service, groups);
        }
        for id in 0..self.slots.len() {
            self.retire(now_ms, TargetId(id), manifest);
        }
    }

    pub(super) fn get(&self, id: TargetId) -> Option<&Target> {
        self.slots.get(id.0)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        self.slots.get_mut(id.0)?.as_mut()
    }

    /// All targets, for what is done once and not per event.
    pub(super) fn all_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.slots.iter_mut().flatten()
    }

    pub(super) fn find(&self, name: &Name) -> Option<TargetId> {
        self.by_name.get(name).copied()
    }

    /// Targets of a service that are in use, nearest first.
    pub(super) fn groups(&self, service: &Name) -> Option<&Groups> {
        self.groups.get(service)
    }

    /// Targets of a service that are in use.
    pub(super) fn of_service(&self, service: &Name) -> impl Iterator<Item = (TargetId, &Target)> {
        let ids = self.groups.get(service).into_iter().flatten().flatten();
        ids.filter_map(|id| Some((*id, self.get(*id)?)))
    }

    /// Whether a target of the service, other than those tried, can be expected to take work soon.
    pub(super) fn any_expected(&self, now_ms: u64, service: &Name, tried: &[Name]) -> bool {
        let mut targets = self.of_service(service);
        targets.any(|(_, it)| it.is_expected(now_ms) && !tried.contains(&it.declared.name))
    }

    /// All targets in use, with their addresses.
    pub(super) fn in_use(&self) -> impl Iterator<Item = (&Name, SocketAddr, bool)> {
        let targets = self.slots.iter().flatten().filter(|it| it.in_use);
        targets.map(|it| (&it.declared.name, it.declared.address, !it.is_idle()))
    }

    /// All targets in use, as this process sees them.
    pub(super) fn views(&self, now_ms: u64) -> impl Iterator<Item = TargetView> {
        let targets = self.slots.iter().flatten().filter(|it| it.in_use);
        targets.map(move |it| TargetView {
            name: Name::clone(&it.declared.name),
            online: it.load.own().saturating_sub(it.batch),
            batch: it.batch,
            is_ejected: it.health.is_ejected(now_ms),
        })
    }

    pub(super) fn started(
        &mut self,
        now_ms: u64,
        id: TargetId,
        request: RequestId,
        class: Class,
        recallable: bool,
    ) {
        let Some(target) = self.get_mut(id) else { return };
        target.load.started(now_ms);
        target.loan.joined(now_ms, target.load.own());
        if class == Class::Batch {
            target.batch += 1;
            if recallable {
                target.recallable.insert(request);
            }
        }
    }

    /// An attempt is told to end; its room is given away at once.
    pub(super) fn recalled(&mut self, now_ms: u64, id: TargetId, request: RequestId) {
        let Some(target) = self.get_mut(id) else { return };
        target.load.ended(now_ms);
        target.recallable.remove(&request);
        target.batch -= 1;
        target.recalled += 1;
    }

    pub(super) fn ended(
        &mut self,
        now_ms: u64,
        id: TargetId,
        request: RequestId,
        class: Class,
        was_recalled: bool,
    ) {
        let Some(target) = self.get_mut(id) else { return };
        if was_recalled {
            target.recalled -= 1;
        } else {
            target.load.ended(now_ms);
            if class == Class::Batch {
                target.batch -= 1;
                target.recallable.remove(&request);
            }
        }
        if target.is_forgettable(now_ms) {
            self.forget(id);
        }
    }

    /// Ejects a target that fails, unless half of its service's targets would be missing then: a fault that all of them
    /// show lies elsewhere. One that has just returned counts by the share that it does not get yet, as its work lies
    /// on the others all the same. Tells whether it is ejected by this.
    pub(super) fn eject_failing(&mut self, now_ms: u64, id: TargetId) -> bool {
        let Some(target) = self.get(id) else { return false };
        let service = Name::clone(&target.declared.service);
        let (mut all, mut missing) = (0.0, 1.0);
        for (other, target) in self.of_service(&service) {
            all += 1.0;
            missing += if other == id { 0.0 } else { 1.0 - target.health.share(now_ms) };
        }
        if missing > MAX_MISSING_SHARE * all {
            return false;
        }
        self.get_mut(id).is_some_and(|it| it.health.eject_failing(now_ms))
    }

    /// Takes word of a target's leaving or of a refused connection. Tells whether it is ejected by this.
    pub(super) fn eject(&mut self, now_ms: u64, name: &Name, reason: Ejection) -> bool {
        let Some(target) = self.find(name).and_then(|id| self.get_mut(id)) else { return false };
        match reason {
            Ejection::Leaving => target.health.leaving(now_ms),
            Ejection::Unreachable => target.health.unreachable(now_ms),
            Ejection::Failing => target.health.eject_failing(now_ms),
        }
    }

    /// Gives the target no new work until the given time.
    pub(super) fn told_leaving(&mut self, name: &Name, until_ms: u64) {
        if let Some(target) = self.find(name).and_then(|id| self.get_mut(id)) {
            target.health.told_leaving(until_ms);
        }
    }

    fn distance(&self, target: &manifest::Target) -> Distance {
        if target.region != self.location.region {
            return Distance::OtherRegion;
        }
        match target.availability_zone == self.location.availability_zone {
            true => Distance::SameZone,
            false => Distance::SameRegion,
        }
    }

    fn by_distance<'a>(
        &self,
        manifest: &'a Manifest,
    ) -> BTreeMap<Name, [Vec<&'a manifest::Target>; 3]> {
        let mut services: BTreeMap<Name, [Vec<&manifest::Target>; 3]> = BTreeMap::new();
        for target in manifest.targets.values().filter(|it| !it.drained) {
            let groups = services.entry(Name::clone(&target.service)).or_default();
            groups[self.distance(target) as usize].push(target);
        }
        services
    }

    fn shrink_to_subset(&self, groups: &mut [Vec<&manifest::Target>; 3]) {
        let mut kept = [0; 3];
        for (kept, (group, share)) in kept.iter_mut().zip(groups.iter().zip(SUBSET)) {
            *kept = group.len().min(share);
        }
        let mut spare = SUBSET_TOTAL - kept.iter().sum::<usize>();
        for (kept, group) in kept.iter_mut().zip(groups.iter()) {
            let more = spare.min(group.len() - *kept);
            *kept += more;
            spare -= more;
        }
        for (group, kept) in groups.iter_mut().zip(kept) {
            if group.len() > kept {
                group.sort_by_cached_key(|it| self.score(&it.name));
                group.truncate(kept);
            }
        }
    }

    fn score(&self, target: &Name) -> u64 {
        mix(self.process, rapidhash_v3(target.as_bytes()))
    }

    fn take_in(
        &mut self,
        now_ms: u64,
        declared: &manifest::Target,
        service: &Service,
        newcomer: bool,
    ) -> TargetId {
        let distance = self.distance(declared);
        if let Some(id) = self.find(&declared.name) {
            if let Some(target) = self.get_mut(id) {
                target.declare(declared, distance, service);
            }
            return id;
        }
        let health = if newcomer { Health::newcomer(now_ms) } else { Health::default() };
        let target = Target::new(declared, distance, health, Loan::new(now_ms, service));
        let id = match self.free.pop() {
            Some(slot) => slot,
            None => {
                self.slots.push(None);
                self.slots.len() - 1
            }
        };
        self.slots[id] = Some(target);
        self.by_name.insert(Name::clone(&declared.name), TargetId(id));
        TargetId(id)
    }

    /// Forgets a target that is not in use any more, once nothing runs there.
    fn retire(&mut self, now_ms: u64, id: TargetId, manifest: &Manifest) {
        let Some(target) = self.get(id) else { return };
        let removed = !manifest.targets.contains_key(&target.declared.name);
        let unused = !target.in_use && target.is_idle();
        if target.is_forgettable(now_ms) || (removed && unused) {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: TargetId) {
        if let Some(target) = self.slots[id.0].take() {
            self.by_name.remove(&target.declared.name);
            self.free.push(id.0);
        }
    }
}

/// Hash of two hashes.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut mixed = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
