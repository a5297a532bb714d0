//! The targets that this process uses, by service and distance.
//!
//! Large fleets have too many targets for each process to track the load of all of them. A process uses a subset of
//! each service's targets, chosen by rendezvous hash of process and target: processes need not know each other, adding
//! or removing a target changes only its own assignments, and each target is used by about the same number of
//! processes. Most of the subset is in the own availability zone; the rest is for the case that the zone is lost.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use rapidhash::v3::rapidhash_v3;

use super::{
    batch_capacity::{BatchCapacity, InFlight},
    counters::TargetView,
    health::{Ejection, Health},
    limits::Limit,
    load::Load,
    messages::{Class, Location, RequestId},
};
use crate::{
    Name,
    manifest::{self, Manifest, Service},
};

/// Subset sizes: targets of one service in the own availability zone, in the rest of the region, and in other regions.
const SUBSET_BY_DISTANCE: [usize; 3] = [20, 10, 6];
const SUBSET_SIZE: usize = SUBSET_BY_DISTANCE[0] + SUBSET_BY_DISTANCE[1] + SUBSET_BY_DISTANCE[2];
/// Largest share of a service's targets that ejections for failing may take out.
const MAX_MISSING_CAPACITY: f64 = 0.5;

/// Index of a target; valid while the target is in use or has an attempt running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct TargetId(usize);

/// Distance of a target from this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Targets in use of one service, nearest group first.
pub(super) type Groups = [Vec<TargetId>; 3];

/// State of one target.
#[derive(Debug)]
pub(super) struct Target {
    pub(super) declared: manifest::Target,
    pub(super) distance: Distance,
    pub(super) hash: u64,
    pub(super) load: Load,
    pub(super) limit: Limit,
    pub(super) health: Health,
    pub(super) batch_capacity: BatchCapacity,
    /// Whether the target is declared, not drained, and in the subset.
    in_use: bool,
    /// Running batch attempts, without preempted ones.
    batch: u32,
    /// Running batch attempts that may be preempted because their request is repeatable.
    preemptible: BTreeSet<RequestId>,
    /// Preempted attempts whose end has not been reported yet.
    preempted: u32,
}

impl Target {
    fn new(
        declared: &manifest::Target,
        distance: Distance,
        health: Health,
        batch_capacity: BatchCapacity,
    ) -> Target {
        Target {
            declared: declared.clone(),
            distance,
            hash: rapidhash_v3(declared.name.as_bytes()),
            load: Load::default(),
            limit: Limit::new(declared.concurrency_limit),
            health,
            batch_capacity,
            in_use: true,
            batch: 0,
            preemptible: BTreeSet::new(),
            preempted: 0,
        }
    }

    /// Attempts allowed at once, reduced during a slow start.
    pub(super) fn limit_now(&self, now_ms: u64) -> u32 {
        let limit = f64::from(self.limit.current()) * self.health.share(now_ms);
        (limit.ceil() as u32).max(1)
    }

    /// Whether a new online request may be sent to the target.
    pub(super) fn accepts_online(&self, now_ms: u64) -> bool {
        self.accepts_work(now_ms) && self.has_capacity(now_ms, self.load.own())
    }

    /// Whether an online request may be sent to the target after preempting one batch item.
    pub(super) fn accepts_online_after_preemption(&self, now_ms: u64) -> bool {
        !self.preemptible.is_empty()
            && self.accepts_work(now_ms)
            && self.has_capacity(now_ms, self.load.own() - 1)
    }

    /// Whether a batch item may be sent to the target.
    pub(super) fn accepts_batch(&self, now_ms: u64) -> bool {
        !self.declared.reclaimed
            && self.batch + self.preempted < self.declared.loan_limit
            && self.batch_capacity.may_start(now_ms, &self.declared, self.in_flight(now_ms))
            && self.accepts_online(now_ms)
    }

    /// Whether the target can be expected to accept work soon, though it may be full or in backoff now.
    pub(super) fn is_available_soon(&self, now_ms: u64) -> bool {
        self.in_use && !self.declared.drained && !self.health.is_ejected(now_ms)
    }

    fn accepts_work(&self, now_ms: u64) -> bool {
        self.is_available_soon(now_ms) && self.health.accepts_work(now_ms)
    }

    /// The preemptible batch item that arrived last: it has the least work to lose.
    pub(super) fn newest_preemptible(&self) -> Option<RequestId> {
        self.preemptible.last().copied()
    }

    /// The `count` preemptible batch items that arrived last.
    pub(super) fn newest_preemptibles(&self, count: usize) -> impl Iterator<Item = RequestId> {
        self.preemptible.iter().rev().take(count).copied()
    }

    /// Work in flight at the target, as needed for its batch capacity.
    pub(super) fn in_flight(&self, now_ms: u64) -> InFlight {
        let online = self.load.own().saturating_sub(self.batch);
        InFlight { online, batch: self.batch, others: self.load.others(now_ms) }
    }

    /// Batch attempts that this process may have running at the target now.
    pub(super) fn slots(&self, now_ms: u64) -> u32 {
        self.batch_capacity.slots(now_ms, &self.declared, self.in_flight(now_ms))
    }

    /// Samples the work in flight for the batch capacity.
    pub(super) fn sample_batch_capacity(&mut self, now_ms: u64) {
        let in_flight = self.in_flight(now_ms);
        self.batch_capacity.sample(now_ms, in_flight);
    }

    pub(super) fn batch(&self) -> u32 {
        self.batch
    }

    // Load reports may be wrong. One own attempt at a time is allowed even if they show the target as full, so that
    // a wrong report is detected.
    fn has_capacity(&self, now_ms: u64, own: u32) -> bool {
        let all = f64::from(own) + self.load.others(now_ms);
        let below_declared = all + 1.0 <= f64::from(self.declared.concurrency_limit);
        own < self.limit_now(now_ms) && (own == 0 || below_declared)
    }

    // An ejected target is kept while it is not in use. Otherwise it would be added again as a healthy one if it is
    // drained and undrained, or leaves and joins the subset, while it is still leaving or unreachable.
    fn is_removable(&self, now_ms: u64) -> bool {
        !self.in_use && self.is_idle() && !self.health.is_ejected(now_ms)
    }

    fn is_idle(&self) -> bool {
        self.load.own() == 0 && self.preempted == 0
    }

    fn declare(&mut self, declared: &manifest::Target, distance: Distance, service: &Service) {
        let is_different_process =
            declared.address != self.declared.address || declared.service != self.declared.service;
        if is_different_process {
            self.health = Health::default();
            self.load.clear_report();
            self.limit = Limit::new(declared.concurrency_limit);
        }
        self.limit.update_declared(declared.concurrency_limit);
        self.batch_capacity.update_service(service);
        self.declared = declared.clone();
        self.distance = distance;
        self.in_use = true;
    }
}

/// The targets of this process, in use or still busy.
#[derive(Debug)]
pub(super) struct Targets {
    location: Location,
    process: u64,
    entries: Vec<Option<Target>>,
    free_entries: Vec<usize>,
    by_name: BTreeMap<Name, TargetId>,
    groups: BTreeMap<Name, Groups>,
}

impl Targets {
    pub(super) fn new(location: Location, process: u64) -> Targets {
        Targets {
            location,
            process,
            entries: Vec::new(),
            free_entries: Vec::new(),
            by_name: BTreeMap::new(),
            groups: BTreeMap::new(),
        }
    }

    /// Applies a manifest. The only operation that visits every declared target.
    pub(super) fn apply_manifest(&mut self, now_ms: u64, manifest: &Manifest) {
        for target in self.entries.iter_mut().flatten() {
            target.in_use = false;
        }
        let previous_groups = std::mem::take(&mut self.groups);
        for (service, mut declared) in self.group_by_distance(manifest) {
            let slow_start = previous_groups.contains_key(&service);
            self.select_subset(&mut declared);
            let Some(declared_service) = manifest.services.get(&service) else { continue };
            let groups = declared.map(|group| {
                let insert_or_update = |it: &manifest::Target| {
                    self.insert_or_update(now_ms, it, declared_service, slow_start)
                };
                group.into_iter().map(insert_or_update).collect()
            });
            self.groups.insert(service, groups);
        }
        for id in 0..self.entries.len() {
            self.remove_if_unused(now_ms, TargetId(id), manifest);
        }
    }

    pub(super) fn get(&self, id: TargetId) -> Option<&Target> {
        self.entries.get(id.0)?.as_ref()
    }

    pub(super) fn get_mut(&mut self, id: TargetId) -> Option<&mut Target> {
        self.entries.get_mut(id.0)?.as_mut()
    }

    /// All targets. Not to be used for every event.
    pub(super) fn all_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.entries.iter_mut().flatten()
    }

    pub(super) fn find(&self, name: &Name) -> Option<TargetId> {
        self.by_name.get(name).copied()
    }

    /// Targets in use of a service, grouped by distance, nearest first.
    pub(super) fn groups(&self, service: &Name) -> Option<&Groups> {
        self.groups.get(service)
    }

    /// Targets in use of a service, nearest first.
    pub(super) fn of_service(&self, service: &Name) -> impl Iterator<Item = (TargetId, &Target)> {
        let ids = self.groups.get(service).into_iter().flatten().flatten();
        ids.filter_map(|id| Some((*id, self.get(*id)?)))
    }

    /// Whether a target of the service, other than those in `tried`, can be expected to accept work soon.
    pub(super) fn any_available_soon(&self, now_ms: u64, service: &Name, tried: &[Name]) -> bool {
        let mut targets = self.of_service(service);
        targets.any(|(_, it)| it.is_available_soon(now_ms) && !tried.contains(&it.declared.name))
    }

    /// All targets in use: name, address, and whether this process has work running there.
    pub(super) fn in_use(&self) -> impl Iterator<Item = (&Name, SocketAddr, bool)> {
        let targets = self.entries.iter().flatten().filter(|it| it.in_use);
        targets.map(|it| (&it.declared.name, it.declared.address, !it.is_idle()))
    }

    /// State of all targets in use, for operators.
    pub(super) fn views(&self, now_ms: u64) -> impl Iterator<Item = TargetView> {
        let targets = self.entries.iter().flatten().filter(|it| it.in_use);
        targets.map(move |it| TargetView {
            name: Name::clone(&it.declared.name),
            online: it.load.own().saturating_sub(it.batch),
            batch: it.batch,
            is_ejected: it.health.is_ejected(now_ms),
        })
    }

    pub(super) fn attempt_started(
        &mut self,
        now_ms: u64,
        id: TargetId,
        request: RequestId,
        class: Class,
        preemptible: bool,
    ) {
        let Some(target) = self.get_mut(id) else { return };
        target.load.attempt_started(now_ms);
        target.batch_capacity.request_started(now_ms, target.load.own());
        if class == Class::Batch {
            target.batch += 1;
            if preemptible {
                target.preemptible.insert(request);
            }
        }
    }

    /// Records that an attempt has been preempted; its capacity counts as free at once.
    pub(super) fn attempt_preempted(&mut self, now_ms: u64, id: TargetId, request: RequestId) {
        let Some(target) = self.get_mut(id) else { return };
        target.load.attempt_ended(now_ms);
        target.preemptible.remove(&request);
        target.batch -= 1;
        target.preempted += 1;
    }

    pub(super) fn attempt_ended(
        &mut self,
        now_ms: u64,
        id: TargetId,
        request: RequestId,
        class: Class,
        was_preempted: bool,
    ) {
        let Some(target) = self.get_mut(id) else { return };
        if was_preempted {
            target.preempted -= 1;
        } else {
            target.load.attempt_ended(now_ms);
            if class == Class::Batch {
                target.batch -= 1;
                target.preemptible.remove(&request);
            }
        }
        if target.is_removable(now_ms) {
            self.remove(id);
        }
    }

    /// Ejects a failing target, unless more than half of its service's targets would be missing then: a fault that all
    /// of them show has its cause elsewhere. A target in slow start counts as missing by the share of its limit that it
    /// does not get yet, because the others carry that work. Returns whether this is a new ejection.
    pub(super) fn eject_failing(&mut self, now_ms: u64, id: TargetId) -> bool {
        let Some(target) = self.get(id) else { return false };
        let service = Name::clone(&target.declared.service);
        let (mut all, mut missing) = (0.0, 1.0);
        for (other, target) in self.of_service(&service) {
            all += 1.0;
            missing += if other == id { 0.0 } else { 1.0 - target.health.share(now_ms) };
        }
        if missing > MAX_MISSING_CAPACITY * all {
            return false;
        }
        self.get_mut(id).is_some_and(|it| it.health.eject_failing(now_ms))
    }

    /// Ejects a target for the given reason. Returns whether this is a new ejection.
    pub(super) fn eject(&mut self, now_ms: u64, name: &Name, reason: Ejection) -> bool {
        let Some(target) = self.find(name).and_then(|id| self.get_mut(id)) else { return false };
        match reason {
            Ejection::Leaving => target.health.mark_leaving(now_ms),
            Ejection::Unreachable => target.health.mark_unreachable(now_ms),
            Ejection::Failing => target.health.eject_failing(now_ms),
        }
    }

    /// Records a report by others that the target is leaving: it gets no new work until `until_ms`.
    pub(super) fn reported_leaving(&mut self, name: &Name, until_ms: u64) {
        if let Some(target) = self.find(name).and_then(|id| self.get_mut(id)) {
            target.health.mark_reported_leaving(until_ms);
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

    fn group_by_distance<'a>(
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

    fn select_subset(&self, groups: &mut [Vec<&manifest::Target>; 3]) {
        let mut kept = [0; 3];
        for (kept, (group, share)) in kept.iter_mut().zip(groups.iter().zip(SUBSET_BY_DISTANCE)) {
            *kept = group.len().min(share);
        }
        let mut spare = SUBSET_SIZE - kept.iter().sum::<usize>();
        for (kept, group) in kept.iter_mut().zip(groups.iter()) {
            let more = spare.min(group.len() - *kept);
            *kept += more;
            spare -= more;
        }
        for (group, kept) in groups.iter_mut().zip(kept) {
            if group.len() > kept {
                group.sort_by_cached_key(|it| self.rendezvous_weight(&it.name));
                group.truncate(kept);
            }
        }
    }

    fn rendezvous_weight(&self, target: &Name) -> u64 {
        mix(self.process, rapidhash_v3(target.as_bytes()))
    }

    fn insert_or_update(
        &mut self,
        now_ms: u64,
        declared: &manifest::Target,
        service: &Service,
        slow_start: bool,
    ) -> TargetId {
        let distance = self.distance(declared);
        if let Some(id) = self.find(&declared.name) {
            if let Some(target) = self.get_mut(id) {
                target.declare(declared, distance, service);
            }
            return id;
        }
        let health = if slow_start { Health::slow_start(now_ms) } else { Health::default() };
        let target = Target::new(declared, distance, health, BatchCapacity::new(now_ms, service));
        let id = match self.free_entries.pop() {
            Some(index) => index,
            None => {
                self.entries.push(None);
                self.entries.len() - 1
            }
        };
        self.entries[id] = Some(target);
        self.by_name.insert(Name::clone(&declared.name), TargetId(id));
        TargetId(id)
    }

    /// Removes a target that is not in use any more, unless it is busy or, while it is declared, ejected.
    fn remove_if_unused(&mut self, now_ms: u64, id: TargetId, manifest: &Manifest) {
        let Some(target) = self.get(id) else { return };
        let removed = !manifest.targets.contains_key(&target.declared.name);
        let unused = !target.in_use && target.is_idle();
        if target.is_removable(now_ms) || (removed && unused) {
            self.remove(id);
        }
    }

    fn remove(&mut self, id: TargetId) {
        if let Some(target) = self.entries[id.0].take() {
            self.by_name.remove(&target.declared.name);
            self.free_entries.push(id.0);
        }
    }
}

/// Combines two hashes into one.
pub(super) fn mix(a: u64, b: u64) -> u64 {
    let mut mixed = a ^ b.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
