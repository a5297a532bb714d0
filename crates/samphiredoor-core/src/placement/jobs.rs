//! Admission of batch jobs: what this gateway and its peers owe, and the slots that are left to items.

use std::collections::HashSet;

use super::{Placement, choice::slots_for_items, name_hash};
use crate::{
    Name,
    dispatch::Class,
    overload::{
        ItemRunTime, OverloadNews, OwedItems,
        batch_admission::{JobDemand, JobVerdict, OwnItem, owed_by_interval},
    },
};

impl Placement {
    /// Decides whether a job is accepted. Without overload control every job is.
    pub fn admit_job(&mut self, now_ms: u64, job: &JobDemand) -> JobVerdict {
        let service = name_hash(&job.service);
        if !self.overload_of(&job.service).is_some_and(|it| it.policy().reject_late_jobs) {
            return JobVerdict::AdmitUnknown;
        }
        let item_ms = self.item_run_ms(now_ms, &job.service);
        let own = self.owed_items(now_ms);
        let Some(overload) = &mut self.overload else { return JobVerdict::AdmitUnknown };
        let owed = own.into_iter().chain(overload.peers_owed(now_ms));
        let owed: Vec<OwedItems> = owed.filter(|it| it.service == service).collect();
        overload.batch_admission.decide(now_ms, job, item_ms, owed.into_iter())
    }

    /// Run time of a whole item, as the cell has observed it; 0 if it is not known.
    pub(super) fn item_run_ms(&self, now_ms: u64, service: &Name) -> u64 {
        let own = self.queues.get(service).map(|it| it.batch.observed_runs()).unwrap_or_default();
        let overload = self.overload_of(service);
        overload.map_or(own.mean_ms, |it| it.item_run_ms(now_ms, name_hash(service), own))
    }

    /// Run times of items that this gateway has observed, by service.
    pub(super) fn item_runs(&self) -> Vec<ItemRunTime> {
        let active = self.queues.iter().filter(|(service, _)| self.overload_of(service).is_some());
        let reports =
            active.map(|(service, it)| it.batch.observed_runs().report(name_hash(service)));
        reports.flatten().collect()
    }

    /// Starts to sample the free slots of services of which a peer has items, so that they are known here as well when the
    /// first job arrives.
    pub(super) fn observe_services(&mut self, news: &OverloadNews) {
        let with_items = news.item_runs.iter().map(|it| it.service);
        let with_items = with_items.chain(news.owed.iter().map(|it| it.service));
        let mut unknown: HashSet<u64> = with_items.collect();
        for service in self.queues.keys() {
            unknown.remove(&name_hash(service));
        }
        if unknown.is_empty() {
            return;
        }
        for target in self.targets.values() {
            let service = &target.entry.service;
            if unknown.remove(&name_hash(service)) {
                self.queues.entry(Name::clone(service)).or_default();
            }
        }
    }

    /// Remaining parts of the unfinished items of this gateway, by service and due time.
    pub(super) fn owed_items(&self, now_ms: u64) -> Vec<OwedItems> {
        let mut owed = Vec::new();
        for (service, waiting) in &self.queues {
            if self.overload_of(service).is_none() {
                continue;
            }
            let running = self.running.values();
            let running = running.filter(|it| it.class == Class::Batch && it.service == *service);
            let item_ms = self.item_run_ms(now_ms, service);
            let running = running.map(|it| {
                let run_ms = now_ms.saturating_sub(it.started_ms);
                OwnItem::new(it.due_ms).with_done(it.prior_run_ms + run_ms, item_ms)
            });
            let waiting = waiting.batch.waiting();
            let waiting =
                waiting.map(|it| OwnItem::new(it.deadline_ms).with_done(it.prior_run_ms, item_ms));
            owed.extend(owed_by_interval(now_ms, name_hash(service), waiting.chain(running)));
        }
        owed.sort_by_key(|it| it.due_in_ms);
        owed
    }

    /// Samples the slots that online requests leave to items, of each service with items.
    pub(super) fn sample_free_slots(&mut self, now_ms: u64) {
        let Some(overload) = &self.overload else { return };
        let wants = |service: &Name| {
            overload.is_active(service) && overload.batch_admission.wants_sample(now_ms, service)
        };
        let services: Vec<Name> = self.queues.keys().filter(|it| wants(it)).cloned().collect();
        for service in services {
            let free = self.slots_left_to_items(now_ms, &service);
            if let Some(overload) = &mut self.overload {
                overload.batch_admission.record_free_slots(now_ms, &service, free);
            }
        }
    }

    fn slots_left_to_items(&self, now_ms: u64, service: &Name) -> u32 {
        let targets = self.ready(service).filter(|(_, it)| !it.health.in_backoff(now_ms));
        targets.map(|(_, it)| slots_for_items(self.margins, it)).sum()
    }
}
