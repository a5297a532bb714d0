//! Batch jobs: each is accepted once, run by the gateway that owns it, and readable through every gateway.
//!
//! `submit` makes a job durable, `forward` forwards a submission to another gateway when the store does not answer this
//! one. `job_task` runs a job that this process owns, `item_run` runs one of its items. `reads` answers callers and
//! other gateways, `peer_call` is the protocol between gateways, and `stored` reads jobs from the store. `orphan_scan`
//! takes over jobs whose owner is dead. After `liveness_gaps`, in which other gateways may have taken over or cancelled
//! a job, `send_permit` holds its items back, and `job_task` its writes, until the store has been read again.

mod directory;
pub mod forward;
mod item_output;
mod item_run;
mod job_task;
mod liveness_gaps;
mod orphan_scan;
pub mod peer_call;
mod reads;
mod send_permit;
mod stored;
mod submit;

use std::{rc::Rc, time::Duration};

use samphiredoor_core::{
    Name,
    ordered::{JobHeader, JobName, JobOwner, cancellation_key, header_key, read_header},
    store::{StoreAnswer, StoreOp, Version},
};
use samphiredoor_net::clock::Clock;

pub use liveness_gaps::LivenessGaps;
pub use reads::Jobs;
pub use submit::{Forwarding, SubmittedJob};

use crate::{
    buffers::Buffers,
    metrics::Metrics,
    peers::{CrashReports, JobOwners, OwnedJob, Roster, STORE_LOST_AFTER},
    placement::PlacementHandle,
    platform_api::Platform,
    routes::Routes,
    shutdown::Shutdown,
    store_health::StoreHealth,
    target_client::TargetClient,
    target_probes::TargetProbes,
};
use directory::Directory;
use stored::{ReadError, StoredJobs};

/// Pause before a store call is retried that got no usable answer.
const STORE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Attempts at one store call before the caller is refused or gets the answer that the outcome is unknown. Each
/// attempt may take as long as the store's timeout, and callers give up after a few seconds.
const STORE_ATTEMPTS: u32 = 3;

/// Handles shared by everything that works on jobs; holds no job state itself.
pub struct JobEnv {
    /// Name of this process.
    pub name: Name,
    /// Incarnation of this process; grows with each start.
    pub incarnation: u64,
    /// Object store, and the formats of callers and targets.
    pub platform: Platform,
    /// Active routes.
    pub routes: Routes,
    /// Assigns requests to targets.
    pub placement: PlacementHandle,
    /// Connections to targets.
    pub targets: TargetClient,
    /// Probes of silent targets.
    pub target_probes: TargetProbes,
    /// Requests, items and parts of prompts that crash targets.
    pub crash_reports: CrashReports,
    /// Other gateways and their liveness.
    pub roster: Roster,
    /// Owners of jobs as announced by other gateways.
    pub owners: JobOwners,
    /// Whether the store answers this process, and whether it answers other gateways.
    pub health: StoreHealth,
    /// Periods in which other gateways may have declared this process dead.
    pub liveness_gaps: LivenessGaps,
    /// Channel on which newly owned jobs are announced to other gateways.
    pub announcements: flume::Sender<OwnedJob>,
    /// Metrics of this process.
    pub metrics: Rc<Metrics>,
    /// Budget in which outputs of items count until they are stored; `None` without one.
    pub buffers: Option<Buffers>,
    /// Budget for what is held for callers: items of jobs, and pages of results.
    pub client_memory: Buffers,
    /// Monotonic and wall-clock time.
    pub clock: Clock,
    /// How long a job is kept after its submission.
    pub retention: Duration,
    /// Graceful shutdown of the process.
    pub shutdown: Shutdown,
}

impl JobEnv {
    fn owner(&self) -> JobOwner {
        JobOwner { process: self.name.to_string(), incarnation: self.incarnation }
    }

    fn owns(&self, owner: &JobOwner) -> bool {
        *owner == self.owner()
    }

    /// Whether the store answers other gateways but not this process, so that they take over its jobs.
    fn is_isolated_from_store(&self) -> bool {
        self.health.is_lost_for(STORE_LOST_AFTER) && self.health.is_lost_only_here()
    }

    /// Announces to other gateways that this process owns a job.
    fn announce_ownership(&self, job: &JobName, items: u32) {
        // Fails only while the process exits.
        let _ = self.announcements.send(OwnedJob { name: JobName::clone(job), items });
    }

    /// Creates an object whose content follows from its key, so that an existing object counts as success. Returns
    /// whether the object exists.
    async fn create_idempotent(&self, create: StoreOp) -> bool {
        for _ in 0..STORE_ATTEMPTS {
            match self.call(create.clone()).await {
                StoreAnswer::Object(_) | StoreAnswer::Taken => return true,
                StoreAnswer::Unknown if self.exists(&create).await => return true,
                _ => compio::time::sleep(STORE_RETRY_PAUSE).await,
            }
        }
        false
    }

    /// Whether an object exists whose create was not answered. Reads may work where answers to writes are lost.
    async fn exists(&self, create: &StoreOp) -> bool {
        let StoreOp::Create { key, .. } = create else { return false };
        matches!(self.call(StoreOp::Get { key: key.clone() }).await, StoreAnswer::Object(_))
    }

    /// Reads a job's header, with its version, from the store.
    async fn current_header(&self, job: &JobName) -> Result<(JobHeader, Version), ReadError> {
        let stored = match self.call(StoreOp::Get { key: header_key(job) }).await {
            StoreAnswer::Object(stored) => stored,
            StoreAnswer::Absent => return Err(ReadError::NotFound),
            _ => return Err(ReadError::Unavailable),
        };
        match read_header(&stored) {
            Ok(header) => Ok((header, stored.version)),
            Err(fault) => {
                log::error!(job = &**job, fault:% = fault; "job: header cannot be read");
                Err(ReadError::Unavailable)
            }
        }
    }

    /// Whether the caller has cancelled a job.
    async fn is_cancelled(&self, job: &JobName) -> Result<bool, ReadError> {
        match self.call(StoreOp::Get { key: cancellation_key(job) }).await {
            StoreAnswer::Object(_) => Ok(true),
            StoreAnswer::Absent => Ok(false),
            _ => Err(ReadError::Unavailable),
        }
    }

    async fn call(&self, op: StoreOp) -> StoreAnswer {
        let answer = self.platform.store.call(op).await;
        if !matches!(answer, StoreAnswer::Unavailable | StoreAnswer::Unknown) {
            self.health.record_answer();
        }
        answer
    }
}

/// Starts the background tasks for jobs and returns the handle for requests about them.
pub fn start(env: JobEnv) -> Jobs {
    let env = Rc::new(env);
    let directory = Directory::default();
    let stored = StoredJobs::new(Rc::clone(&env));
    compio::runtime::spawn(env.liveness_gaps.clone().run()).detach();
    compio::runtime::spawn(orphan_scan::run(Rc::clone(&env), directory.clone(), stored.clone()))
        .detach();
    Jobs::new(env, directory, stored)
}
