//! Which target a request goes to: two choices by load over the targets that may take it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use rand::{Rng, rngs::SmallRng};
use smallvec::SmallVec;

use super::{Ask, Class, Place};
use crate::{
    Name,
    manifest::{self, Manifest},
};

#[derive(Debug)]
struct TargetState {
    declared: manifest::Target,
    online: u32,
    batch: u32,
    reported: u32,
}

impl TargetState {
    fn in_flight(&self) -> u32 {
        self.online + self.batch
    }

    fn takes(&self, class: Class) -> bool {
        if self.declared.drained || self.in_flight() >= self.declared.concurrency_limit {
            return false;
        }
        match class {
            Class::Online => true,
            Class::Batch => !self.declared.reclaimed && self.batch < self.declared.loan_limit,
        }
    }

    fn load(&self) -> f64 {
        let known = self.in_flight().max(self.reported);
        f64::from(known) / f64::from(self.declared.concurrency_limit)
    }
}

/// Targets with their load.
#[derive(Debug)]
pub(super) struct Targets {
    place: Place,
    by_name: BTreeMap<Name, TargetState>,
}

impl Targets {
    pub(super) fn new(place: Place) -> Targets {
        Targets { place, by_name: BTreeMap::new() }
    }

    pub(super) fn apply(&mut self, manifest: &Manifest) {
        self.by_name.retain(|name, _| manifest.targets.contains_key(name));
        for (name, declared) in &manifest.targets {
            let declared = declared.clone();
            match self.by_name.get_mut(name) {
                Some(state) => state.declared = declared,
                None => {
                    let state = TargetState { declared, online: 0, batch: 0, reported: 0 };
                    self.by_name.insert(Arc::clone(name), state);
                }
            }
        }
    }

    pub(super) fn pick(&self, ask: &Ask, rng: &mut SmallRng) -> Option<(Name, SocketAddr)> {
        let of_service = self.by_name.values().filter(|it| it.declared.service == ask.service);
        let mut able: SmallVec<[&TargetState; 16]> =
            of_service.filter(|it| it.takes(ask.class)).collect();
        let nearest = able.iter().map(|it| self.distance(it)).min()?;
        able.retain(|it| self.distance(it) == nearest);
        let first = able.get(rng.random_range(0..able.len()))?;
        let second = able.get(rng.random_range(0..able.len()))?;
        let chosen = if second.load() < first.load() { second } else { first };
        Some((Arc::clone(&chosen.declared.name), chosen.declared.address))
    }

    fn distance(&self, target: &TargetState) -> u8 {
        if target.declared.region != self.place.region {
            return 2;
        }
        u8::from(target.declared.availability_zone != self.place.availability_zone)
    }

    /// Whether a target can be given batch work, as far as routing knows.
    pub(super) fn takes_batch(&self, target: &Name) -> bool {
        self.by_name.get(target).is_some_and(|it| it.takes(Class::Batch))
    }

    pub(super) fn started(&mut self, target: &Name, class: Class) {
        let Some(state) = self.by_name.get_mut(target) else { return };
        match class {
            Class::Online => state.online += 1,
            Class::Batch => state.batch += 1,
        }
    }

    pub(super) fn ended(&mut self, target: &Name, class: Class) {
        let Some(state) = self.by_name.get_mut(target) else { return };
        match class {
            Class::Online => state.online = state.online.saturating_sub(1),
            Class::Batch => state.batch = state.batch.saturating_sub(1),
        }
    }

    pub(super) fn report(&mut self, target: &Name, running: u32, waiting: u32) {
        if let Some(state) = self.by_name.get_mut(target) {
            state.reported = running + waiting;
        }
    }
}
