//! Scans for orphaned jobs, which have no live owner, and their takeover.
//!
//! A job is taken over by a conditional update of its header with a new owner and the next epoch. If several processes
//! try, only one update succeeds; correctness rests on this alone. Everything else keeps contention and the load on the
//! store low: expired leases are hints, a rendezvous hash selects the processes that scan for the jobs of an expired
//! process and the order in which they try to take over a job, lists are read page by page, and only one list and a few
//! takeovers are in flight at a time.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use rapidhash::v3::rapidhash_v3;
use samphiredoor_schema::objects::{JobHeader, JobOwner, JobState, ProcessLease};

use super::{
    codec::{FREE_OWNER, Unreadable, header_labels, header_value, read_header, state_label},
    context::Context,
    names::{CallId, JobId, header_key},
    run::JobRun,
};
use crate::{
    Name,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Version},
};

/// Number of processes that scan first for the jobs of an expired process.
const ORPHAN_SCANNERS: usize = 8;
const PAGE_SIZE: usize = 100;
const MAX_TAKEOVERS: usize = 8;
const MAX_CANDIDATES: usize = 1_000;
/// An expired process is forgotten this long after the last hint. Hints may arrive only once per half a lease.
const FORGET_EXPIRED_MS: u64 = 120_000;
/// Number of empty lists after which the interval between scans is no longer doubled.
const MAX_EMPTY_DOUBLINGS: u32 = 6;
/// Number of consecutive empty lists after which the lease of an expired process is removed.
const EMPTY_LISTS_BEFORE_REMOVAL: u32 = 6;
/// Delay before a job found under this process's own incarnation is taken over; its acceptance may not have reached the
/// ledger yet.
const ADOPT_WAIT_MS: u64 = 5_000;

/// Returns the processes among `live` that scan first for the jobs of the expired process `expired`, in rank order.
pub fn orphan_scanners(expired: &str, live: &[Name]) -> Vec<Name> {
    let others = live.iter().filter(|it| ***it != *expired);
    let mut order: Vec<(u64, &Name)> = others.map(|it| (weight(expired, it), it)).collect();
    order.sort_by(|a, b| b.cmp(a));
    order.into_iter().take(ORPHAN_SCANNERS).map(|(_, it)| Arc::clone(it)).collect()
}

/// Owner whose jobs are listed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// Jobs of a process whose lease has expired.
    Expired { process: Name, incarnation: u64 },
    /// Jobs that were handed over and have no owner.
    Free,
    /// Jobs that name this process as owner.
    Own,
}

#[derive(Debug, Clone)]
struct Listing {
    source: Source,
    state: JobState,
    after: Option<Arc<str>>,
}

#[derive(Debug)]
struct Candidate {
    header: JobHeader,
    version: Version,
    at_ms: u64,
}

#[derive(Debug)]
struct PendingTakeover {
    job: JobId,
    header: Box<JobHeader>,
}

/// Reason for reading an object.
#[derive(Debug)]
enum ReadReason {
    /// Another process has handed over the job.
    Offer(JobId),
    /// The expired lease of a process without jobs is to be removed.
    Lease { incarnation: u64 },
}

#[derive(Debug)]
struct OrphanScan {
    incarnation: u64,
    next_ms: u64,
    last_hint_ms: u64,
    /// Consecutive empty lists; each doubles the interval to the next one.
    empty_lists: u32,
}

/// Outcome of a store answer that concerns a job.
#[derive(Debug)]
pub(super) enum Finding {
    /// This process has taken over the job.
    TakenOver { job: JobId, header: Box<JobHeader>, version: Version },
    /// A job that this process owns was cancelled.
    Cancelled { job: JobId },
}

/// State of the scans and takeovers of one process.
#[derive(Debug)]
pub(super) struct Takeover {
    process: Name,
    incarnation: u64,
    live: Vec<Name>,
    orphan_scans: BTreeMap<Name, OrphanScan>,
    listings: VecDeque<Listing>,
    listing: Option<(CallId, Listing)>,
    candidates: BTreeMap<JobId, Candidate>,
    takeovers: BTreeMap<CallId, PendingTakeover>,
    reads: BTreeMap<CallId, ReadReason>,
    next_free_ms: u64,
    next_own_ms: u64,
    next_cancelled_ms: u64,
}

impl Takeover {
    pub(super) fn new(process: Name, incarnation: u64) -> Takeover {
        Takeover {
            process,
            incarnation,
            live: Vec::new(),
            orphan_scans: BTreeMap::new(),
            listings: VecDeque::new(),
            listing: None,
            candidates: BTreeMap::new(),
            takeovers: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_free_ms: 0,
            next_own_ms: 0,
            next_cancelled_ms: 0,
        }
    }

    /// Sets the processes that hold a valid lease.
    pub(super) fn set_live(&mut self, processes: Vec<Name>) {
        self.live = processes;
    }

    /// Handles the hint that a lease has expired. It may be repeated, and may be wrong.
    pub(super) fn lease_expired(&mut self, process: Name, incarnation: u64, ctx: &Context<'_>) {
        if process == self.process {
            return;
        }
        let now_ms = ctx.now_ms();
        if let Some(scan) = self.orphan_scans.get_mut(&process) {
            scan.incarnation = scan.incarnation.max(incarnation);
            scan.last_hint_ms = now_ms;
            return;
        }
        let round = self.rank(&process, &self.live) / ORPHAN_SCANNERS;
        let next_ms = now_ms + round as u64 * ctx.config.takeover_stagger_ms;
        let scan = OrphanScan { incarnation, next_ms, last_hint_ms: now_ms, empty_lists: 0 };
        self.orphan_scans.insert(process, scan);
    }

    /// Reads the header of a job that another process reported as handed over, to take it over.
    pub(super) fn job_offered(&mut self, job: JobId, ctx: &mut Context<'_>) {
        if self.reads.len() < MAX_CANDIDATES && ctx.may_run {
            let call = ctx.call(StoreOp::Get { key: header_key(&job) });
            self.reads.insert(call, ReadReason::Offer(job));
        }
    }

    /// Whether a takeover of the job is in flight, which makes any other report of its ownership outdated.
    pub(super) fn is_taking_over(&self, job: &JobId) -> bool {
        self.takeovers.values().any(|it| it.job == *job)
    }

    /// Issues the scans and takeovers that are due; `runs` are the jobs that this process owns.
    pub(super) fn step(&mut self, runs: &BTreeMap<JobId, JobRun>, ctx: &mut Context<'_>) {
        if !ctx.may_run {
            // Another process may have taken them over before this one may continue.
            self.candidates.clear();
            return;
        }
        self.plan_listings(!runs.is_empty(), ctx);
        self.start_listing(ctx);
        self.take_over_due(runs, ctx);
    }

    /// Handles the answer to a store call and returns its findings.
    pub(super) fn store_answered(
        &mut self,
        call: CallId,
        answer: StoreAnswer,
        runs: &BTreeMap<JobId, JobRun>,
        ctx: &mut Context<'_>,
    ) -> Vec<Finding> {
        if self.listing.as_ref().is_some_and(|(own, _)| *own == call) {
            return self.listed(answer, runs, ctx);
        }
        if let Some(takeover) = self.takeovers.remove(&call) {
            return self.takeover_answered(takeover, answer, ctx).into_iter().collect();
        }
        match (self.reads.remove(&call), answer) {
            (Some(ReadReason::Offer(job)), StoreAnswer::Object(stored)) => {
                self.offered_job_read(job, &stored, ctx);
            }
            (Some(ReadReason::Lease { incarnation }), StoreAnswer::Object(stored)) => {
                remove_lease(&stored, incarnation, ctx);
            }
            _ => {}
        }
        Vec::new()
    }

    fn plan_listings(&mut self, has_jobs: bool, ctx: &mut Context<'_>) {
        self.plan_orphan_scans(ctx);
        let now_ms = ctx.now_ms();
        if now_ms >= self.next_own_ms {
            self.next_own_ms = now_ms + ctx.config.own_scan_ms;
            self.next_cancelled_ms = now_ms + ctx.config.cancel_scan_ms;
            queue_listings(&mut self.listings, &Source::Own);
        }
        if now_ms >= self.next_cancelled_ms && has_jobs {
            self.next_cancelled_ms = now_ms + ctx.config.cancel_scan_ms;
            let listing = Listing { source: Source::Own, state: JobState::Cancelling, after: None };
            self.listings.push_back(listing);
        }
        if now_ms >= self.next_free_ms {
            self.next_free_ms = now_ms + ctx.config.free_scan_ms;
            if self.rank(FREE_OWNER, &self.live) < ORPHAN_SCANNERS {
                queue_listings(&mut self.listings, &Source::Free);
            }
        }
    }

    /// Queues the due scans for jobs of expired processes. A few processes scan often, the others less often, and the
    /// interval grows while nothing is found, so that a process that never returns costs almost nothing.
    fn plan_orphan_scans(&mut self, ctx: &mut Context<'_>) {
        let now_ms = ctx.now_ms();
        let orphan_scan_ms = ctx.config.orphan_scan_ms;
        self.orphan_scans.retain(|_, it| now_ms < it.last_hint_ms + FORGET_EXPIRED_MS);
        let due = self.orphan_scans.iter().filter(|(_, it)| now_ms >= it.next_ms);
        let due: Vec<Name> = due.map(|(process, _)| Arc::clone(process)).collect();
        for process in due {
            let rank = self.rank(&process, &self.live);
            let Some(scan) = self.orphan_scans.get_mut(&process) else { continue };
            let round = 1 + (rank / ORPHAN_SCANNERS) as u64;
            let doublings = scan.empty_lists.min(MAX_EMPTY_DOUBLINGS);
            scan.next_ms = now_ms + ((round * orphan_scan_ms) << doublings);
            let incarnation = scan.incarnation;
            if rank == 0 && scan.empty_lists >= EMPTY_LISTS_BEFORE_REMOVAL {
                let key = ObjectKey::new(Kind::Process, Arc::clone(&process));
                let call = ctx.call(StoreOp::Get { key });
                self.reads.insert(call, ReadReason::Lease { incarnation });
            }
            queue_listings(&mut self.listings, &Source::Expired { process, incarnation });
        }
    }

    fn start_listing(&mut self, ctx: &mut Context<'_>) {
        if self.listing.is_some() || self.candidates.len() > MAX_CANDIDATES {
            return;
        }
        let Some(listing) = self.listings.pop_front() else { return };
        let owner = match &listing.source {
            Source::Expired { process, .. } => process,
            Source::Free => FREE_OWNER,
            Source::Own => &self.process,
        };
        let pairs = [("owner", owner), ("state", state_label(listing.state))];
        let labels: Labels =
            pairs.into_iter().map(|(key, value)| (key.to_owned(), value.to_owned())).collect();
        let op = StoreOp::List {
            kind: Kind::Job,
            prefix: Name::from(""),
            labels,
            after: listing.after.clone(),
            limit: PAGE_SIZE,
        };
        self.listing = Some((ctx.call(op), listing));
    }

    fn listed(
        &mut self,
        answer: StoreAnswer,
        runs: &BTreeMap<JobId, JobRun>,
        ctx: &mut Context<'_>,
    ) -> Vec<Finding> {
        let Some((_, listing)) = self.listing.take() else { return Vec::new() };
        // A failed list is repeated by the next periodic scan.
        let StoreAnswer::Page { items, next, .. } = answer else { return Vec::new() };
        if let Source::Expired { process, .. } = &listing.source
            && let Some(scan) = self.orphan_scans.get_mut(process)
        {
            scan.empty_lists = if items.is_empty() { scan.empty_lists + 1 } else { 0 };
        }
        let mut found = Vec::new();
        for stored in items {
            let header = match read_header(&stored.value) {
                Ok(header) => header,
                Err(fault) => {
                    self.note_unreadable(&stored, fault, ctx);
                    continue;
                }
            };
            let job = Arc::clone(&stored.name);
            if listing.source != Source::Own || !runs.contains_key(&job) {
                self.consider(&listing.source, job, header, stored.version, ctx);
            } else if header.state == JobState::Cancelling {
                found.push(Finding::Cancelled { job });
            }
        }
        if next.is_some() {
            self.listings.push_front(Listing { after: next, ..listing });
        }
        found
    }

    fn consider(
        &mut self,
        source: &Source,
        job: JobId,
        header: JobHeader,
        version: Version,
        ctx: &Context<'_>,
    ) {
        let owner = &header.owner;
        let (matches_owner, wait_ms) = match source {
            Source::Expired { process, incarnation } => {
                let expired = owner.process == **process && owner.incarnation <= *incarnation;
                (expired, self.stagger_ms(&job, process, ctx))
            }
            Source::Free => (owner.process.is_empty(), self.stagger_ms(&job, FREE_OWNER, ctx)),
            Source::Own if owner.process != *self.process => (false, 0),
            Source::Own if owner.incarnation < self.incarnation => (true, 0),
            Source::Own => (owner.incarnation == self.incarnation, ADOPT_WAIT_MS),
        };
        let unfinished = matches!(header.state, JobState::Running | JobState::Cancelling);
        if matches_owner && unfinished {
            let at_ms = ctx.now_ms() + wait_ms;
            self.candidates.entry(job).or_insert(Candidate { header, version, at_ms });
        }
    }

    /// Delay before this process tries to take over a job, by its rank among the candidates.
    fn stagger_ms(&self, job: &str, group: &str, ctx: &Context<'_>) -> u64 {
        let mut candidates: Vec<&Name> = self.live.iter().collect();
        candidates.sort_by_key(|it| std::cmp::Reverse(weight(group, it)));
        candidates.truncate(ORPHAN_SCANNERS);
        let own = weight(job, &self.process);
        let ahead = candidates.iter().filter(|it| ***it != self.process && weight(job, it) > own);
        ahead.count() as u64 * ctx.config.takeover_stagger_ms
    }

    /// Number of live processes that rank before this one for `key`.
    fn rank(&self, key: &str, live: &[Name]) -> usize {
        let own = weight(key, &self.process);
        live.iter().filter(|it| **it != self.process && weight(key, it) > own).count()
    }

    fn offered_job_read(&mut self, job: JobId, stored: &Stored, ctx: &mut Context<'_>) {
        match read_header(&stored.value) {
            Ok(header) => self.consider(&Source::Free, job, header, stored.version, ctx),
            Err(fault) => self.note_unreadable(stored, fault, ctx),
        }
    }

    fn take_over_due(&mut self, runs: &BTreeMap<JobId, JobRun>, ctx: &mut Context<'_>) {
        if self.candidates.is_empty() {
            return;
        }
        let now_ms = ctx.now_ms();
        let due = self.candidates.iter().filter(|(_, it)| now_ms >= it.at_ms);
        let due: Vec<JobId> = due.map(|(job, _)| Arc::clone(job)).take(MAX_TAKEOVERS).collect();
        for job in due {
            if self.takeovers.len() >= MAX_TAKEOVERS {
                return;
            }
            let Some(candidate) = self.candidates.remove(&job) else { continue };
            if !runs.contains_key(&job) && !self.is_taking_over(&job) {
                self.take_over(job, candidate, ctx);
            }
        }
    }

    fn take_over(&mut self, job: JobId, candidate: Candidate, ctx: &mut Context<'_>) {
        let mut header = Box::new(candidate.header);
        header.owner = JobOwner {
            process: self.process.to_string(),
            incarnation: self.incarnation,
            epoch: header.owner.epoch + 1,
        };
        let op = StoreOp::Update {
            key: header_key(&job),
            version: candidate.version,
            labels: header_labels(&header),
            value: header_value(&header),
        };
        self.takeovers.insert(ctx.call(op), PendingTakeover { job, header });
    }

    fn takeover_answered(
        &mut self,
        takeover: PendingTakeover,
        answer: StoreAnswer,
        ctx: &mut Context<'_>,
    ) -> Option<Finding> {
        match answer {
            StoreAnswer::Object(stored) => {
                let header = read_header(&stored.value).ok()?;
                // After a lost answer another process may own the job; only a takeover by this incarnation and epoch
                // counts.
                let is_own_takeover =
                    (&header.owner.process, header.owner.incarnation, header.owner.epoch)
                        == (
                            &takeover.header.owner.process,
                            self.incarnation,
                            takeover.header.owner.epoch,
                        );
                let header = Box::new(header);
                is_own_takeover.then_some(Finding::TakenOver {
                    job: takeover.job,
                    header,
                    version: stored.version,
                })
            }
            StoreAnswer::Unknown => {
                let call = ctx.call(StoreOp::Get { key: header_key(&takeover.job) });
                self.takeovers.insert(call, takeover);
                None
            }
            // Another process was first, or the store is unavailable; a later list returns the remaining jobs.
            _ => None,
        }
    }

    fn note_unreadable(&self, stored: &Stored, fault: Unreadable, ctx: &mut Context<'_>) {
        ctx.note_unreadable(header_key(&stored.name), fault);
    }
}

/// Deletes the lease of a dead process without jobs. If the process returns, it creates its lease again.
fn remove_lease(stored: &Stored, incarnation: u64, ctx: &mut Context<'_>) {
    let lease = serde_json::from_slice::<ProcessLease>(&stored.value);
    if lease.is_ok_and(|it| it.incarnation == incarnation) {
        let key = ObjectKey::new(Kind::Process, Arc::clone(&stored.name));
        ctx.call(StoreOp::Delete { key, version: Some(stored.version) });
    }
}

fn queue_listings(listings: &mut VecDeque<Listing>, source: &Source) {
    for state in [JobState::Running, JobState::Cancelling] {
        let is_same = |it: &Listing| it.source == *source && it.state == state;
        if !listings.iter().any(is_same) {
            listings.push_back(Listing { source: source.clone(), state, after: None });
        }
    }
}

/// Rendezvous-hash weight of a process for a key; the highest ranks first.
fn weight(key: &str, process: &str) -> u64 {
    let key = rapidhash_v3(key.as_bytes());
    let process = rapidhash_v3(process.as_bytes());
    let mut both = [0; 16];
    both[..8].copy_from_slice(&key.to_le_bytes());
    both[8..].copy_from_slice(&process.to_le_bytes());
    rapidhash_v3(&both)
}
