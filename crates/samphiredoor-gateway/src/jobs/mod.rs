//! Batch jobs: taken once, run by one gateway, readable at all.
//!
//! `submit` makes a job durable, `forward` has another gateway do that, `job_task` owns it, `item_run` runs one item,
//! `reads` answers callers about it, `peer_call` is what gateways ask each other about it, `stored` reads what the store has
//! of it, and `sweep` takes jobs whose owner is gone.
//! `clearance` holds items back after `liveness_gaps` in which others may have ended or taken the job.

mod clearance;
mod directory;
pub mod forward;
mod item_run;
mod job_task;
mod liveness_gaps;
mod peer_call;
mod reads;
mod stored;
mod submit;
mod sweep;

use std::{cell::Cell, rc::Rc, time::Duration};

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
    metrics::Metrics,
    peers::{JobOwners, OwnedJob, Roster, STORE_LOST_AFTER},
    placement::PlacementHandle,
    platform_api::Platform,
    routes::Routes,
    store_health::StoreHealth,
    target_client::TargetClient,
};
use directory::Directory;
use stored::{StoredJobs, Unread};

/// Pause before a store call is made again that had no usable answer.
const STORE_PAUSE: Duration = Duration::from_millis(150);

/// Calls for one object until a caller is refused or left in doubt; each takes up to the store's time limit, and callers
/// give up after some seconds.
const STORE_TRIES: u32 = 3;

/// What the parts that work on jobs share: handles, no state of their own.
pub struct JobEnv {
    /// Name of the process.
    pub name: Name,
    /// Which start of it.
    pub incarnation: u64,
    /// The platform.
    pub platform: Platform,
    /// Routes in force.
    pub routes: Routes,
    /// Places at targets.
    pub placement: PlacementHandle,
    /// Connections to targets.
    pub targets: TargetClient,
    /// Other gateways.
    pub roster: Roster,
    /// Owners of jobs, as others tell.
    pub owners: JobOwners,
    /// Whether the store answers this process.
    pub health: StoreHealth,
    /// Times in which others may have taken this process for gone.
    pub liveness_gaps: LivenessGaps,
    /// Where the jobs that this process comes to own are told, for others.
    pub announcements: flume::Sender<OwnedJob>,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// Clock of the process.
    pub clock: Clock,
    /// How long a job is kept after its submission.
    pub retention: Duration,
    /// Whether a planned stop is under way.
    pub stopping: Rc<Cell<bool>>,
}

impl JobEnv {
    fn owner(&self) -> JobOwner {
        JobOwner { process: self.name.to_string(), incarnation: self.incarnation }
    }

    fn owns(&self, owner: &JobOwner) -> bool {
        *owner == self.owner()
    }

    /// Whether the store answers others, and not this process, so that they take its jobs.
    fn is_displaced(&self) -> bool {
        self.health.is_lost_for(STORE_LOST_AFTER) && self.health.is_lost_only_here()
    }

    /// Tells others that this process owns a job.
    fn tell_owned(&self, job: &JobName, items: u32) {
        // Fails only when the process ends.
        let _ = self.announcements.send(OwnedJob { name: JobName::clone(job), items });
    }

    /// Creates an object whose name tells its content, so that one that stands is as good; says whether it stands.
    async fn create_known(&self, create: StoreOp) -> bool {
        for _ in 0..STORE_TRIES {
            match self.call(create.clone()).await {
                StoreAnswer::Object(_) | StoreAnswer::Taken => return true,
                StoreAnswer::Unknown if self.stands(&create).await => return true,
                _ => compio::time::sleep(STORE_PAUSE).await,
            }
        }
        false
    }

    /// Whether an object stands whose create was not answered: where answers to writes are lost, reads tell.
    async fn stands(&self, create: &StoreOp) -> bool {
        let StoreOp::Create { key, .. } = create else { return false };
        matches!(self.call(StoreOp::Get { key: key.clone() }).await, StoreAnswer::Object(_))
    }

    /// A job's header as it stands, with its version.
    async fn current_header(&self, job: &JobName) -> Result<(JobHeader, Version), Unread> {
        let stored = match self.call(StoreOp::Get { key: header_key(job) }).await {
            StoreAnswer::Object(stored) => stored,
            StoreAnswer::Absent => return Err(Unread::Absent),
            _ => return Err(Unread::Unavailable),
        };
        match read_header(&stored) {
            Ok(header) => Ok((header, stored.version)),
            Err(fault) => {
                log::error!(job = &**job, fault:% = fault; "job: header cannot be read");
                Err(Unread::Unavailable)
            }
        }
    }

    /// Whether the caller has ended a job.
    async fn is_ended(&self, job: &JobName) -> Result<bool, Unread> {
        match self.call(StoreOp::Get { key: cancellation_key(job) }).await {
            StoreAnswer::Object(_) => Ok(true),
            StoreAnswer::Absent => Ok(false),
            _ => Err(Unread::Unavailable),
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

/// Starts everything that works on jobs.
pub fn start(env: JobEnv) -> Jobs {
    let env = Rc::new(env);
    let directory = Directory::default();
    let stored = StoredJobs::new(Rc::clone(&env));
    compio::runtime::spawn(env.liveness_gaps.clone().run()).detach();
    compio::runtime::spawn(sweep::run(Rc::clone(&env), directory.clone(), stored.clone())).detach();
    Jobs::new(env, directory, stored)
}
