//! Spare capacity lent to batch work, and taken back at once.
//!
//! Engines know no priorities, so batch work is held back here. Each target has a [`Loan`]: how many batch attempts may
//! run at it now, from the owner's limit, from what online requests need by measurement, and from the share that the
//! target's lender gives this door. When that number falls below what runs, by a rise of online requests, the owner's
//! reclaim or a smaller share, the youngest attempts are recalled in the same turn; when it grows, batch work comes back
//! one attempt a step. Items wait in a [`FairQueue`] for each service.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use super::{
    Ask, AttemptEnd, RequestId,
    fairness::FairQueue,
    lender::lender_of,
    loan::{Loan, Role},
};
use crate::{Name, manifest::Manifest, time::Now};

/// What lending decided.
#[derive(Debug)]
pub(super) enum Lent {
    /// A waiting item gets a slot.
    Start { ask: Ask, target: Name, address: SocketAddr },
    /// A running item loses its slot.
    Recall(RequestId),
}

#[derive(Debug)]
struct Running {
    ask: Ask,
    target: Name,
    charged_ms: f64,
}

/// All lending of one door.
#[derive(Debug)]
pub(super) struct Lending {
    manifest: Arc<Manifest>,
    own_name: Name,
    doors: Vec<Name>,
    loans: BTreeMap<Name, Loan>,
    queues: BTreeMap<Name, FairQueue>,
    waiting: BTreeMap<RequestId, Ask>,
    running: BTreeMap<RequestId, Running>,
}

impl Lending {
    pub(super) fn new() -> Lending {
        Lending {
            manifest: Arc::default(),
            own_name: Name::from(""),
            doors: Vec::new(),
            loans: BTreeMap::new(),
            queues: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    pub(super) fn apply(&mut self, now: Now, manifest: &Arc<Manifest>, out: &mut Vec<Lent>) {
        self.manifest = Arc::clone(manifest);
        self.loans.retain(|name, _| manifest.targets.contains_key(name));
        for (name, target) in &manifest.targets {
            let Some(service) = manifest.services.get(&target.service) else { continue };
            match self.loans.get_mut(name) {
                Some(loan) => loan.declare(target, service),
                None => {
                    let loan = Loan::new(now.mono_ms, target, service);
                    self.loans.insert(Name::clone(name), loan);
                }
            }
        }
        self.assign_roles();
        self.recall_all(now, out);
    }

    /// Takes the doors that are known to live, this one among them.
    pub(super) fn doors(
        &mut self,
        now: Now,
        own_name: Name,
        doors: Vec<Name>,
        out: &mut Vec<Lent>,
    ) {
        if doors == self.doors {
            return;
        }
        self.own_name = own_name;
        self.doors = doors;
        self.assign_roles();
        self.recall_all(now, out);
    }

    /// Takes a share from the lender of a target.
    pub(super) fn share(
        &mut self,
        now: Now,
        target: &Name,
        lender: &Name,
        slots: u32,
        epoch: u64,
        out: &mut Vec<Lent>,
    ) {
        if lender_of(target, &self.doors) != Some(lender) {
            return;
        }
        let Some(loan) = self.loans.get_mut(target) else { return };
        if let Role::Borrower(share) = &mut loan.role {
            share.change(now.mono_ms, lender, slots, epoch);
        }
        self.recall(now, target, out);
    }

    pub(super) fn push(&mut self, ask: Ask) {
        self.waiting.insert(ask.request, ask.clone());
        self.queues.entry(Name::clone(&ask.service)).or_default().push(ask);
    }

    pub(super) fn online_started(&mut self, now: Now, target: &Name, out: &mut Vec<Lent>) {
        let Some(loan) = self.loans.get_mut(target) else { return };
        loan.online_started(now.mono_ms);
        self.recall(now, target, out);
    }

    pub(super) fn online_ended(&mut self, target: &Name) {
        if let Some(loan) = self.loans.get_mut(target) {
            loan.online_ended();
        }
    }

    /// Ends an item, whether it runs or waits; `end` is `None` if nobody waits for it any more.
    pub(super) fn batch_ended(&mut self, now: Now, request: RequestId, end: Option<AttemptEnd>) {
        if let Some(ask) = self.waiting.remove(&request) {
            if let Some(queue) = self.queues.get_mut(&ask.service) {
                queue.remove(&ask);
            }
            return;
        }
        let Some(running) = self.running.remove(&request) else { return };
        let Some(loan) = self.loans.get_mut(&running.target) else { return };
        let Some(started_ms) = loan.batch_ended(request) else { return };
        match end {
            Some(AttemptEnd::Done) => loan.succeeded(),
            Some(AttemptEnd::NotSent | AttemptEnd::Lost(_)) => loan.failed(now.mono_ms),
            Some(AttemptEnd::Aborted | AttemptEnd::Yielded) | None => {}
        }
        let took_ms = now.mono_ms.saturating_sub(started_ms);
        let weight = weight(&self.manifest, &running.ask.workspace);
        if let Some(queue) = self.queues.get_mut(&running.ask.service) {
            queue.ended(&running.ask, running.charged_ms, took_ms, weight);
        }
        if end == Some(AttemptEnd::Yielded) {
            self.waiting.insert(request, running.ask.clone());
            let queue = self.queues.entry(Name::clone(&running.ask.service)).or_default();
            queue.push_first(running.ask);
        }
        self.queues.retain(|_, it| !it.is_idle());
    }

    pub(super) fn report(
        &mut self,
        now: Now,
        target: &Name,
        running: u32,
        waiting: u32,
        out: &mut Vec<Lent>,
    ) {
        let Some(loan) = self.loans.get_mut(target) else { return };
        loan.report(running, waiting);
        self.recall(now, target, out);
    }

    pub(super) fn steps(&mut self, now: Now, target: &Name, steps: u64, tokens: u64) {
        if let Some(loan) = self.loans.get_mut(target) {
            loan.steps(now.mono_ms, steps, tokens);
        }
    }

    /// Recalls what is above the slots, and starts what they have room for.
    pub(super) fn tick(&mut self, now: Now, usable: impl Fn(&Name) -> bool, out: &mut Vec<Lent>) {
        for loan in self.loans.values_mut() {
            loan.observe(now.mono_ms);
        }
        self.recall_all(now, out);
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.start(now, &service, &usable, out);
        }
    }

    /// Starts what there is room for among a service's targets.
    pub(super) fn start(
        &mut self,
        now: Now,
        service: &Name,
        usable: impl Fn(&Name) -> bool,
        out: &mut Vec<Lent>,
    ) {
        let Some(queue) = self.queues.get_mut(service) else { return };
        while queue.len() > 0 {
            let able = self.loans.iter_mut().filter(|(name, loan)| {
                loan.target.service == *service && loan.room(now.mono_ms) > 0 && usable(name)
            });
            let roomiest = able.max_by_key(|(_, it)| it.room(now.mono_ms));
            let Some((target, loan)) = roomiest else { return };
            let Some(next) = queue.pop(now, |it| weight(&self.manifest, it)) else { return };
            let request = next.ask.request;
            loan.batch_started(now.mono_ms, request);
            self.waiting.remove(&request);
            let target = Name::clone(target);
            let running = Running {
                ask: next.ask.clone(),
                target: Name::clone(&target),
                charged_ms: next.charged_ms,
            };
            self.running.insert(request, running);
            out.push(Lent::Start { ask: next.ask, target, address: loan.target.address });
        }
    }

    fn assign_roles(&mut self) {
        for (name, loan) in &mut self.loans {
            // A door that knows of no other lends alone.
            let is_lender = lender_of(name, &self.doors).is_none_or(|it| *it == self.own_name);
            match (&loan.role, is_lender) {
                (Role::Borrower(_), true) => loan.role = Role::Lender,
                (Role::Lender, false) => loan.role = Role::Borrower(Default::default()),
                _ => {}
            }
        }
    }

    fn recall_all(&mut self, now: Now, out: &mut Vec<Lent>) {
        for loan in self.loans.values_mut() {
            out.extend(loan.recall(now.mono_ms).into_iter().map(Lent::Recall));
        }
    }

    fn recall(&mut self, now: Now, target: &Name, out: &mut Vec<Lent>) {
        if let Some(loan) = self.loans.get_mut(target) {
            out.extend(loan.recall(now.mono_ms).into_iter().map(Lent::Recall));
        }
    }
}

fn weight(manifest: &Manifest, workspace: &str) -> u32 {
    manifest.workspaces.get(workspace).map_or(1, |it| it.weight)
}
