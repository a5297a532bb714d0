//! Finding jobs that no live process works on, and taking them.
//!
//! A job is taken by a conditional update of its header: new owner, next epoch. Of several takers one wins and the
//! others drop it; that is the safety. Everything else here only keeps the takers apart and the store's load low:
//! lapsed leases are hints, the processes that look after a lapsed process and the order in which they try a job come
//! from a rendezvous hash, lists go page by page, and one list and few takings are under way at a time.

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

/// Processes that look after a lapsed one at first.
const SWEEPERS: usize = 8;
const PAGE: usize = 100;
const TAKES_AT_ONCE: usize = 8;
const MAX_CANDIDATES: usize = 1_000;
/// A lapsed process is forgotten when no hint has come for so long; hints may come only each half of a lease.
const FORGET_MS: u64 = 120_000;
const MAX_EMPTY_DOUBLINGS: u32 = 6;
/// Lists without a job after which the lease of a lapsed process is removed.
const EMPTY_LISTS: u32 = 6;
/// A job that was found under the own name may be on its way from its acceptance to the ledger.
const ADOPT_WAIT_MS: u64 = 5_000;

/// The processes among `live` that look after the jobs of a lapsed one at first, those first that take more of them.
pub fn orphan_scanners(lapsed: &str, live: &[Name]) -> Vec<Name> {
    let others = live.iter().filter(|it| ***it != *lapsed);
    let mut order: Vec<(u64, &Name)> = others.map(|it| (weight(lapsed, it), it)).collect();
    order.sort_by(|a, b| b.cmp(a));
    order.into_iter().take(SWEEPERS).map(|(_, it)| Arc::clone(it)).collect()
}

/// Whose jobs a list looks for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Source {
    /// Jobs of a process whose lease has lapsed.
    Lapsed { process: Name, incarnation: u64 },
    /// Jobs that were handed over.
    Free,
    /// Jobs of this process's name.
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
struct Taking {
    job: JobId,
    header: Box<JobHeader>,
}

/// Why an object is read.
#[derive(Debug)]
enum Read {
    /// The job was offered.
    Offer(JobId),
    /// The lease of a process without jobs is to be removed.
    Lease { incarnation: u64 },
}

#[derive(Debug)]
struct Sweep {
    incarnation: u64,
    next_ms: u64,
    last_hint_ms: u64,
    // Lists in a row that found nothing; each makes the next wait longer.
    empty_lists: u32,
}

/// What a step found.
#[derive(Debug)]
pub(super) enum Found {
    /// The job is this process's now.
    Taken { job: JobId, header: Box<JobHeader>, version: Version },
    /// A job that this process works on is cancelled.
    Cancelled { job: JobId },
}

/// Search for jobs without an owner at work.
#[derive(Debug)]
pub(super) struct Takeover {
    process: Name,
    incarnation: u64,
    live: Vec<Name>,
    sweeps: BTreeMap<Name, Sweep>,
    listings: VecDeque<Listing>,
    listing: Option<(CallId, Listing)>,
    candidates: BTreeMap<JobId, Candidate>,
    takings: BTreeMap<CallId, Taking>,
    reads: BTreeMap<CallId, Read>,
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
            sweeps: BTreeMap::new(),
            listings: VecDeque::new(),
            listing: None,
            candidates: BTreeMap::new(),
            takings: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_free_ms: 0,
            next_own_ms: 0,
            next_cancelled_ms: 0,
        }
    }

    /// Takes the names of the processes whose leases are held.
    pub(super) fn live(&mut self, processes: Vec<Name>) {
        self.live = processes;
    }

    /// Takes the hint that a lease has lapsed; it may come again and again, and be wrong.
    pub(super) fn lapsed(&mut self, process: Name, incarnation: u64, ctx: &Context<'_>) {
        if process == self.process {
            return;
        }
        let now_ms = ctx.now_ms();
        if let Some(sweep) = self.sweeps.get_mut(&process) {
            sweep.incarnation = sweep.incarnation.max(incarnation);
            sweep.last_hint_ms = now_ms;
            return;
        }
        let round = self.rank(&process, &self.live) / SWEEPERS;
        let next_ms = now_ms + round as u64 * ctx.config.spread_ms;
        let sweep = Sweep { incarnation, next_ms, last_hint_ms: now_ms, empty_lists: 0 };
        self.sweeps.insert(process, sweep);
    }

    /// Reads a job that another process says it has handed over, to take it.
    pub(super) fn offered(&mut self, job: JobId, ctx: &mut Context<'_>) {
        if self.reads.len() < MAX_CANDIDATES && ctx.may_run {
            let call = ctx.call(StoreOp::Get { key: header_key(&job) });
            self.reads.insert(call, Read::Offer(job));
        }
    }

    /// Whether a taking of the job is under way, so that another word of its ownership is out of date.
    pub(super) fn is_taking(&self, job: &JobId) -> bool {
        self.takings.values().any(|it| it.job == *job)
    }

    /// Goes on; `runs` are the jobs that the ledger works on.
    pub(super) fn step(&mut self, runs: &BTreeMap<JobId, JobRun>, ctx: &mut Context<'_>) {
        if !ctx.may_run {
            // Another process may have taken them before this one may go on.
            self.candidates.clear();
            return;
        }
        self.plan_listings(!runs.is_empty(), ctx);
        self.list(ctx);
        self.take_candidates(runs, ctx);
    }

    /// Takes the answer to a call; tells what it brought.
    pub(super) fn stored(
        &mut self,
        call: CallId,
        answer: StoreAnswer,
        runs: &BTreeMap<JobId, JobRun>,
        ctx: &mut Context<'_>,
    ) -> Vec<Found> {
        if self.listing.as_ref().is_some_and(|(own, _)| *own == call) {
            return self.listed(answer, runs, ctx);
        }
        if let Some(taking) = self.takings.remove(&call) {
            return self.taken(taking, answer, ctx).into_iter().collect();
        }
        match (self.reads.remove(&call), answer) {
            (Some(Read::Offer(job)), StoreAnswer::Object(stored)) => {
                self.offer_read(job, &stored, ctx);
            }
            (Some(Read::Lease { incarnation }), StoreAnswer::Object(stored)) => {
                remove_lease(&stored, incarnation, ctx);
            }
            _ => {}
        }
        Vec::new()
    }

    fn plan_listings(&mut self, works: bool, ctx: &mut Context<'_>) {
        self.plan_sweeps(ctx);
        let now_ms = ctx.now_ms();
        if now_ms >= self.next_own_ms {
            self.next_own_ms = now_ms + ctx.config.own_list_ms;
            self.next_cancelled_ms = now_ms + ctx.config.cancel_list_ms;
            plan(&mut self.listings, &Source::Own);
        }
        if now_ms >= self.next_cancelled_ms && works {
            self.next_cancelled_ms = now_ms + ctx.config.cancel_list_ms;
            let listing = Listing { source: Source::Own, state: JobState::Cancelling, after: None };
            self.listings.push_back(listing);
        }
        if now_ms >= self.next_free_ms {
            self.next_free_ms = now_ms + ctx.config.free_scan_ms;
            if self.rank(FREE_OWNER, &self.live) < SWEEPERS {
                plan(&mut self.listings, &Source::Free);
            }
        }
    }

    /// Plans the looks for jobs of lapsed processes: often by a few processes, seldom by all others, and ever more
    /// seldom where nothing is found, so that a process that never comes back costs next to nothing.
    fn plan_sweeps(&mut self, ctx: &mut Context<'_>) {
        let now_ms = ctx.now_ms();
        let orphan_scan_ms = ctx.config.orphan_scan_ms;
        self.sweeps.retain(|_, it| now_ms < it.last_hint_ms + FORGET_MS);
        let due = self.sweeps.iter().filter(|(_, it)| now_ms >= it.next_ms);
        let due: Vec<Name> = due.map(|(process, _)| Arc::clone(process)).collect();
        for process in due {
            let rank = self.rank(&process, &self.live);
            let Some(sweep) = self.sweeps.get_mut(&process) else { continue };
            let round = 1 + (rank / SWEEPERS) as u64;
            let rest = sweep.empty_lists.min(MAX_EMPTY_DOUBLINGS);
            sweep.next_ms = now_ms + ((round * orphan_scan_ms) << rest);
            let incarnation = sweep.incarnation;
            if rank == 0 && sweep.empty_lists >= EMPTY_LISTS {
                let key = ObjectKey::new(Kind::Process, Arc::clone(&process));
                let call = ctx.call(StoreOp::Get { key });
                self.reads.insert(call, Read::Lease { incarnation });
            }
            plan(&mut self.listings, &Source::Lapsed { process, incarnation });
        }
    }

    fn list(&mut self, ctx: &mut Context<'_>) {
        if self.listing.is_some() || self.candidates.len() > MAX_CANDIDATES {
            return;
        }
        let Some(listing) = self.listings.pop_front() else { return };
        let owner = match &listing.source {
            Source::Lapsed { process, .. } => process,
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
            limit: PAGE,
        };
        self.listing = Some((ctx.call(op), listing));
    }

    fn listed(
        &mut self,
        answer: StoreAnswer,
        runs: &BTreeMap<JobId, JobRun>,
        ctx: &mut Context<'_>,
    ) -> Vec<Found> {
        let Some((_, listing)) = self.listing.take() else { return Vec::new() };
        // A list that failed is made again when its time comes round.
        let StoreAnswer::Page { items, next, .. } = answer else { return Vec::new() };
        if let Source::Lapsed { process, .. } = &listing.source
            && let Some(sweep) = self.sweeps.get_mut(process)
        {
            sweep.empty_lists = if items.is_empty() { sweep.empty_lists + 1 } else { 0 };
        }
        let mut found = Vec::new();
        for stored in items {
            let header = match read_header(&stored.value) {
                Ok(header) => header,
                Err(fault) => {
                    self.note(&stored, fault, ctx);
                    continue;
                }
            };
            let job = Arc::clone(&stored.name);
            if listing.source != Source::Own || !runs.contains_key(&job) {
                self.consider(&listing.source, job, header, stored.version, ctx);
            } else if header.state == JobState::Cancelling {
                found.push(Found::Cancelled { job });
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
        let (fits, wait_ms) = match source {
            Source::Lapsed { process, incarnation } => {
                let lapsed = owner.process == **process && owner.incarnation <= *incarnation;
                (lapsed, self.turn_ms(&job, process, ctx))
            }
            Source::Free => (owner.process.is_empty(), self.turn_ms(&job, FREE_OWNER, ctx)),
            Source::Own if owner.process != *self.process => (false, 0),
            Source::Own if owner.incarnation < self.incarnation => (true, 0),
            Source::Own => (owner.incarnation == self.incarnation, ADOPT_WAIT_MS),
        };
        let open = matches!(header.state, JobState::Running | JobState::Cancelling);
        if fits && open {
            let at_ms = ctx.now_ms() + wait_ms;
            self.candidates.entry(job).or_insert(Candidate { header, version, at_ms });
        }
    }

    /// Wait until it is this process's turn to try a job.
    fn turn_ms(&self, job: &str, group: &str, ctx: &Context<'_>) -> u64 {
        let mut takers: Vec<&Name> = self.live.iter().collect();
        takers.sort_by_key(|it| std::cmp::Reverse(weight(group, it)));
        takers.truncate(SWEEPERS);
        let own = weight(job, &self.process);
        let before = takers.iter().filter(|it| ***it != self.process && weight(job, it) > own);
        before.count() as u64 * ctx.config.spread_ms
    }

    /// Number of live processes that come before this one for `key`.
    fn rank(&self, key: &str, live: &[Name]) -> usize {
        let own = weight(key, &self.process);
        live.iter().filter(|it| **it != self.process && weight(key, it) > own).count()
    }

    fn offer_read(&mut self, job: JobId, stored: &Stored, ctx: &mut Context<'_>) {
        match read_header(&stored.value) {
            Ok(header) => self.consider(&Source::Free, job, header, stored.version, ctx),
            Err(fault) => self.note(stored, fault, ctx),
        }
    }

    fn take_candidates(&mut self, runs: &BTreeMap<JobId, JobRun>, ctx: &mut Context<'_>) {
        if self.candidates.is_empty() {
            return;
        }
        let now_ms = ctx.now_ms();
        let due = self.candidates.iter().filter(|(_, it)| now_ms >= it.at_ms);
        let due: Vec<JobId> = due.map(|(job, _)| Arc::clone(job)).take(TAKES_AT_ONCE).collect();
        for job in due {
            if self.takings.len() >= TAKES_AT_ONCE {
                return;
            }
            let Some(candidate) = self.candidates.remove(&job) else { continue };
            if !runs.contains_key(&job) && !self.is_taking(&job) {
                self.take(job, candidate, ctx);
            }
        }
    }

    fn take(&mut self, job: JobId, candidate: Candidate, ctx: &mut Context<'_>) {
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
        self.takings.insert(ctx.call(op), Taking { job, header });
    }

    fn taken(
        &mut self,
        taking: Taking,
        answer: StoreAnswer,
        ctx: &mut Context<'_>,
    ) -> Option<Found> {
        match answer {
            StoreAnswer::Object(stored) => {
                let header = read_header(&stored.value).ok()?;
                // After a lost answer the object may be anybody's; only our own taking counts.
                let ours = (&header.owner.process, header.owner.incarnation, header.owner.epoch)
                    == (&taking.header.owner.process, self.incarnation, taking.header.owner.epoch);
                let header = Box::new(header);
                ours.then_some(Found::Taken { job: taking.job, header, version: stored.version })
            }
            StoreAnswer::Unknown => {
                let call = ctx.call(StoreOp::Get { key: header_key(&taking.job) });
                self.takings.insert(call, taking);
                None
            }
            // Another taker was first, or the store is down: a later list shows what is left.
            _ => None,
        }
    }

    fn note(&self, stored: &Stored, fault: Unreadable, ctx: &mut Context<'_>) {
        ctx.note_unreadable(header_key(&stored.name), fault);
    }
}

/// Removes the lease of a process that is gone and has no jobs. One that comes back writes its lease anew.
fn remove_lease(stored: &Stored, incarnation: u64, ctx: &mut Context<'_>) {
    let lease = serde_json::from_slice::<ProcessLease>(&stored.value);
    if lease.is_ok_and(|it| it.incarnation == incarnation) {
        let key = ObjectKey::new(Kind::Process, Arc::clone(&stored.name));
        ctx.call(StoreOp::Delete { key, version: Some(stored.version) });
    }
}

fn plan(listings: &mut VecDeque<Listing>, source: &Source) {
    for state in [JobState::Running, JobState::Cancelling] {
        let same = |it: &Listing| it.source == *source && it.state == state;
        if !listings.iter().any(same) {
            listings.push_back(Listing { source: source.clone(), state, after: None });
        }
    }
}

/// Rendezvous weight of a process for a key; the highest is preferred.
fn weight(key: &str, process: &str) -> u64 {
    let key = rapidhash_v3(key.as_bytes());
    let process = rapidhash_v3(process.as_bytes());
    let mut both = [0; 16];
    both[..8].copy_from_slice(&key.to_le_bytes());
    both[8..].copy_from_slice(&process.to_le_bytes());
    rapidhash_v3(&both)
}
