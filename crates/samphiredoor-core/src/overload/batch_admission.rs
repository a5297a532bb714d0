//! Whether a batch job can be done by its due time.
//!
//! Answers the load of more batch work than the slots beside online requests can do: without a decision at submission
//! every job is accepted, most of the results come late, and callers learn it only when the due time has passed.
//!
//! A job is admitted if the items that are owed before its due time, and its own, fit into the slot time that online
//! requests leave until then. Rejecting a job that would have fitted is the costlier error, so missing or old information
//! admits, and work counts as fitting up to a margin.

use std::collections::{BTreeMap, HashMap};

use super::OwedItems;
use crate::Name;

/// Due times are shared between gateways rounded up to this, so that sums over gateways have few entries.
pub const DUE_INTERVAL_MS: u64 = 2_000;
/// Time over which the slots that online requests leave are averaged: several waves of online requests. If a wave moved the
/// average, the backlog would fill up to its highest value under lasting overload.
const SLOTS_AVERAGE_MS: f64 = 20_000.0;
/// Shortest time between two samples of the free slots.
const SAMPLE_INTERVAL_MS: u64 = 100;
/// Observation time before the average counts as known.
const MIN_OBSERVED_MS: u64 = 3_000;
/// Age of the last sample beyond which the average counts as unknown.
const MAX_SAMPLE_AGE_MS: u64 = 5_000;
/// Work that is admitted, in percent of what the slots can do. An item is put behind others once one and a half of its run
/// time is longer than the time that is left, so a backlog a little too long makes many items late.
const ADMITTED_PERCENT: u64 = 85;
/// Longest retry time of a rejected job; callers give up later ones.
const MAX_RETRY_AFTER_MS: u64 = 10_000;
/// Shortest retry time of a rejected job: about one run of an item, before which little has changed.
const MIN_RETRY_AFTER_MS: u64 = 500;
/// Least part of an item that is left until it has finished, in percent: it may run for longer than the mean.
const MIN_REMAINING_PERCENT: u64 = 10;
/// Part of the capacity, in percent, that is left to workspaces that owe less than the others when one floods.
const RESERVED_PERCENT: u64 = 20;

/// A job that asks for admission.
#[derive(Debug, Clone)]
pub struct JobDemand {
    /// Service that runs its items.
    pub service: Name,
    /// Hash of its workspace's name; 0 if it has none.
    pub workspace: u64,
    /// Number of items.
    pub items: u32,
    /// Time until its results are due.
    pub due_in_ms: u64,
}

/// What the decision is based on, as it is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct JobInputs {
    /// Items that are owed before the job's due time, over all gateways.
    pub owed_items: u64,
    /// Mean number of slots that online requests leave.
    pub slots: f64,
    /// Mean run time of an item.
    pub item_ms: u64,
    /// Age of the newest sample of the slots.
    pub age_ms: u64,
}

/// Verdict on a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum JobVerdict {
    /// It can be done in time.
    Admit(JobInputs),
    /// Too little is known to reject it.
    AdmitUnknown,
    /// It would be late.
    Reject {
        /// Time after which so much of the backlog is done that the job fits.
        retry_after_ms: u64,
        /// What the decision is based on.
        inputs: JobInputs,
    },
}

/// Unfinished item that this gateway is responsible for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnItem {
    /// Monotonic time at which the item is due.
    pub due_ms: u64,
    /// Part of its run that is left, in percent.
    remaining_percent: u64,
}

impl OwnItem {
    /// Creates an item of which nothing is done.
    pub fn new(due_ms: u64) -> OwnItem {
        OwnItem { due_ms, remaining_percent: 100 }
    }

    /// Sets the run time of what is done, of a whole item that takes `item_ms`; 0 if that is not known.
    pub fn with_done(self, done_ms: u64, item_ms: u64) -> OwnItem {
        let left_ms = item_ms.saturating_sub(done_ms);
        let percent = left_ms.saturating_mul(100).checked_div(item_ms).unwrap_or(100);
        OwnItem { remaining_percent: percent.max(MIN_REMAINING_PERCENT), ..self }
    }
}

#[derive(Debug, Clone, Copy)]
struct FreeSlots {
    mean: f64,
    since_ms: u64,
    sampled_ms: u64,
}

/// Rejections of one service, whose retry times are spread.
#[derive(Debug, Clone, Copy, Default)]
struct Retries {
    /// Time at which the last rejected caller was told to retry.
    last_ms: u64,
    /// Sum of the times that the rejected jobs take, which spreads callers whose time would be too long.
    beyond_longest_ms: u64,
}

/// Slots that online requests leave, and the jobs admitted by workspace.
#[derive(Debug, Default)]
pub struct BatchAdmission {
    free_slots: HashMap<Name, FreeSlots>,
    retries: HashMap<Name, Retries>,
    /// Admitted items by workspace and due interval, for the part that is reserved for others.
    admitted: HashMap<(Name, u64), Vec<(u64, u32)>>,
}

impl BatchAdmission {
    /// Records the number of slots of a service that online requests do not hold.
    pub fn record_free_slots(&mut self, now_ms: u64, service: &Name, slots: u32) {
        let slots = f64::from(slots);
        let Some(known) = self.free_slots.get_mut(service) else {
            let first = FreeSlots { mean: slots, since_ms: now_ms, sampled_ms: now_ms };
            self.free_slots.insert(Name::clone(service), first);
            return;
        };
        let elapsed_ms = now_ms.saturating_sub(known.sampled_ms) as f64;
        // Until it has been observed for that long, all samples count alike, and not the first one most.
        let observed_ms = now_ms.saturating_sub(known.since_ms).max(1) as f64;
        let weight = (1.0 - (-elapsed_ms / SLOTS_AVERAGE_MS).exp()).max(elapsed_ms / observed_ms);
        known.mean += (slots - known.mean) * weight;
        known.sampled_ms = now_ms;
    }

    /// Whether the next sample of a service is due.
    pub fn wants_sample(&self, now_ms: u64, service: &Name) -> bool {
        let last = self.free_slots.get(service).map(|it| it.sampled_ms);
        last.is_none_or(|it| now_ms >= it + SAMPLE_INTERVAL_MS)
    }

    /// Mean number of slots that online requests leave to items of a service; `None` if it is unknown.
    pub fn slots_left(&self, now_ms: u64, service: &Name) -> Option<f64> {
        self.known_slots(now_ms, service).map(|it| it.mean)
    }

    /// Decides on a job. `item_ms` is the mean run time of an item, 0 if none was measured; `owed` are the items that this
    /// gateway and others are responsible for.
    pub fn decide(
        &mut self,
        now_ms: u64,
        job: &JobDemand,
        item_ms: u64,
        owed: impl Iterator<Item = OwedItems>,
    ) -> JobVerdict {
        let Some(free) = self.known_slots(now_ms, &job.service) else {
            return JobVerdict::AdmitUnknown;
        };
        if item_ms == 0 || job.due_in_ms == 0 {
            return JobVerdict::AdmitUnknown;
        }
        let due_in_ms = job.due_in_ms;
        let owed = owed.filter(|it| u64::from(it.due_in_ms) <= due_in_ms + DUE_INTERVAL_MS / 2);
        let inputs = JobInputs {
            owed_items: owed.map(|it| u64::from(it.items)).sum(),
            slots: free.mean,
            item_ms,
            age_ms: now_ms.saturating_sub(free.sampled_ms),
        };
        let fits = capacity_items(&inputs, due_in_ms);
        let total = inputs.owed_items + u64::from(job.items);
        if total <= fits || self.is_within_reserve(now_ms, job, fits) {
            self.record_admitted(now_ms, job);
            return JobVerdict::Admit(inputs);
        }
        let retry_after_ms = self.retry_after_ms(now_ms, job, &inputs, total - fits);
        JobVerdict::Reject { retry_after_ms, inputs }
    }

    fn known_slots(&self, now_ms: u64, service: &Name) -> Option<FreeSlots> {
        let known = self.free_slots.get(service)?;
        let is_observed = known.sampled_ms >= known.since_ms + MIN_OBSERVED_MS;
        let is_recent = now_ms < known.sampled_ms + MAX_SAMPLE_AGE_MS;
        (is_observed && is_recent).then_some(*known)
    }

    /// Whether the workspace has been admitted so little here that its job goes into the part that a flood of others may
    /// not use. Only among several workspaces, as one alone has the whole capacity.
    fn is_within_reserve(&mut self, now_ms: u64, job: &JobDemand, fits: u64) -> bool {
        let (own, others) = self.admitted_items(now_ms, job);
        others > 0
            && own + u64::from(job.items) <= fits * RESERVED_PERCENT / 100 / 2
            && own + u64::from(job.items) < others
    }

    /// Items of the workspace and of all others that were admitted here and are not due yet.
    fn admitted_items(&mut self, now_ms: u64, job: &JobDemand) -> (u64, u64) {
        let (mut own, mut others) = (0, 0);
        self.admitted.retain(|(service, workspace), jobs| {
            jobs.retain(|(due_ms, _)| *due_ms > now_ms);
            let items: u64 = jobs.iter().map(|(_, items)| u64::from(*items)).sum();
            if *service == job.service {
                match *workspace == job.workspace {
                    true => own += items,
                    false => others += items,
                }
            }
            !jobs.is_empty()
        });
        (own, others)
    }

    fn record_admitted(&mut self, now_ms: u64, job: &JobDemand) {
        let key = (Name::clone(&job.service), job.workspace);
        self.admitted.entry(key).or_default().push((now_ms + job.due_in_ms, job.items));
    }

    /// Time in which the excess is done, after the callers that were rejected before.
    fn retry_after_ms(
        &mut self,
        now_ms: u64,
        job: &JobDemand,
        inputs: &JobInputs,
        excess_items: u64,
    ) -> u64 {
        let per_item_ms = inputs.item_ms as f64 / inputs.slots.max(1.0);
        let excess_ms = (excess_items as f64 * per_item_ms) as u64;
        let own_ms = (f64::from(job.items) * per_item_ms) as u64;
        let retries = self.retries.entry(Name::clone(&job.service)).or_default();
        retries.beyond_longest_ms += own_ms.max(1);
        let after_last_ms = (retries.last_ms + own_ms).saturating_sub(now_ms);
        let after_ms = excess_ms.max(after_last_ms).max(MIN_RETRY_AFTER_MS);
        if after_ms > MAX_RETRY_AFTER_MS {
            // Callers of a long backlog would otherwise all get the longest time and return together.
            let half_ms = MAX_RETRY_AFTER_MS / 2;
            return half_ms + retries.beyond_longest_ms % half_ms;
        }
        retries.last_ms = now_ms + after_ms;
        after_ms
    }
}

/// Items that the slots can do by a due time; the last ones have to start one run time before it.
fn capacity_items(inputs: &JobInputs, due_in_ms: u64) -> u64 {
    let time_ms = due_in_ms.saturating_sub(inputs.item_ms) as f64;
    let items = inputs.slots * time_ms / inputs.item_ms as f64;
    (items * ADMITTED_PERCENT as f64 / 100.0) as u64
}

/// Groups items by the interval in which they are due, as they are shared with other gateways; earliest first. The
/// remaining parts are summed, and rounded to the nearest number of whole items, so that the sum over many gateways has
/// no bias.
pub fn owed_by_interval(
    now_ms: u64,
    service: u64,
    items: impl Iterator<Item = OwnItem>,
) -> Vec<OwedItems> {
    let mut percents: BTreeMap<u64, u64> = BTreeMap::new();
    for item in items {
        let due_in_ms = item.due_ms.saturating_sub(now_ms);
        let interval_ms = due_in_ms.div_ceil(DUE_INTERVAL_MS) * DUE_INTERVAL_MS;
        *percents.entry(interval_ms).or_default() += item.remaining_percent;
    }
    let owed = percents.into_iter().map(|(due_in_ms, percent)| OwedItems {
        service,
        due_in_ms: due_in_ms.min(u64::from(u32::MAX)) as u32,
        items: ((percent + 50) / 100).min(u64::from(u32::MAX)) as u32,
    });
    owed.filter(|it| it.items > 0).collect()
}
