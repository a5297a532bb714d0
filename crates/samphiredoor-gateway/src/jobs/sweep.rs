//! Taking jobs whose owner is gone.
//!
//! Each process looks through the headers of all jobs now and then, from a list that may be seconds old and costs little.
//! A job is taken by conditional update of its header; whoever loses the race leaves it alone.

use std::{rc::Rc, time::Duration};

use hyper::StatusCode;
use rand::seq::SliceRandom;
use samphiredoor_core::{
    Name,
    ordered::{
        Item, Items, JobHeader, JobName, JobOwner, ResultLog, cancellation_key, header_key,
        part_key, read_header, segment_key,
    },
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Version},
};
use samphiredoor_net::Pool;

use super::{
    JobEnv,
    directory::Directory,
    job_task::{JobMessage, JobTask, OwnedJob},
    peer_call::{PeerCall, exchange},
    stored::{StoredJobs, Unread},
};
use crate::{
    peers::{Liveness, registered_address},
    platform_api::Freshness,
    watch::list_all,
};

/// Time between two sweeps of the whole fleet; a job is due within tens of seconds, and its owner is taken for gone
/// after 2.5 s.
const FLEET_PAUSE: Duration = Duration::from_millis(350);
/// Shortest time between two sweeps of one process.
const SHORTEST_PAUSE: Duration = Duration::from_millis(2_000);
/// First sweep: by then others are heard, and their requests at targets are known.
const FIRST_PAUSE: Duration = Duration::from_millis(1_200);
/// Jobs that one sweep takes, so that the jobs of a lost process are shared among the others.
const TAKEN_AT_ONCE: usize = 6;
/// Time beyond that for which jobs are kept; clocks of hosts may differ by seconds.
const REMOVE_MARGIN: Duration = Duration::from_secs(600);
/// Old jobs that one sweep removes; a job takes about ten calls.
const REMOVED_AT_ONCE: usize = 2;
/// Longest wait for an owner that was never heard.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time for offering a job to another process.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Sweeps for as long as the process runs.
pub async fn run(env: Rc<JobEnv>, directory: Directory, stored: StoredJobs) {
    compio::time::sleep(FIRST_PAUSE).await;
    loop {
        if !env.stopping.get() {
            sweep(&env, &directory, &stored).await;
        }
        let processes = env.roster.live_count() as u32 + 1;
        compio::time::sleep(FLEET_PAUSE.saturating_mul(processes).max(SHORTEST_PAUSE)).await;
    }
}

async fn sweep(env: &Rc<JobEnv>, directory: &Directory, stored: &StoredJobs) {
    let (mut free, mut old) = (Vec::new(), Vec::new());
    let store = &*env.platform.store;
    let listed = list_all(store, Kind::OrderedJob, Freshness::MayBeStale).await;
    let Some((objects, _)) = listed else {
        env.health.raise_suspicion();
        return;
    };
    env.health.record_answer();
    for object in &objects {
        match read_header(object) {
            // One that another process has finished may still be worked on here.
            Ok(header) if !header.finished || directory.has(&object.name) => {
                look(env, directory, &object.name, &header, &mut free);
            }
            Ok(header) if is_forgotten(env, &header) => old.push((object.name.clone(), header)),
            Ok(_) => {}
            Err(fault) => {
                env.metrics.invalid_entry("job");
                log::warn!(job = &*object.name, fault:% = fault; "job: header ignored");
            }
        }
    }
    for (job, header) in old.into_iter().take(REMOVED_AT_ONCE) {
        remove(env, &job, &header).await;
    }
    free.shuffle(&mut rand::rng());
    for job in free.into_iter().take(TAKEN_AT_ONCE) {
        take_if_free(env, directory, stored, &job).await;
    }
}

/// Whether a finished job is so old that nobody may read it any more.
fn is_forgotten(env: &JobEnv, header: &JobHeader) -> bool {
    let kept = env.retention + REMOVE_MARGIN;
    env.clock.now().unix_ms > header.accepted_unix_ms + kept.as_millis() as u64
}

/// Removes all objects of a job, the header last: a removal that is cut short is done again.
async fn remove(env: &JobEnv, job: &JobName, header: &JobHeader) {
    let parts = (0..header.parts).map(|it| part_key(job, &header.digest, it));
    for key in parts.chain([cancellation_key(job)]) {
        if !delete(env, key).await {
            return;
        }
    }
    for segment in 0.. {
        let key = segment_key(job, segment);
        match env.call(StoreOp::Get { key: key.clone() }).await {
            StoreAnswer::Object(_) if delete(env, key).await => {}
            StoreAnswer::Absent => break,
            _ => return,
        }
    }
    if delete(env, header_key(job)).await {
        log::info!(job = &**job; "job: removed, its time is over");
        env.metrics.job_event("removed");
    }
}

async fn delete(env: &JobEnv, key: ObjectKey) -> bool {
    let answer = env.call(StoreOp::Delete { key, version: None }).await;
    matches!(answer, StoreAnswer::Deleted | StoreAnswer::Absent)
}

fn look(
    env: &JobEnv,
    directory: &Directory,
    job: &Name,
    header: &JobHeader,
    free: &mut Vec<JobName>,
) {
    let here = directory.has(job);
    if here && !env.owns(&header.owner) {
        // The list may be older than the taking of this process: the task looks at the header itself.
        recheck(env, directory, job);
    } else if !here && !directory.was_closed(job) && is_free(env, job, header) {
        free.push(JobName::clone(job));
    }
}

fn recheck(env: &JobEnv, directory: &Directory, job: &Name) {
    let (store, directory, job) =
        (Rc::clone(&env.platform.store), directory.clone(), Name::clone(job));
    compio::runtime::spawn(async move {
        let answer = store.call(StoreOp::Get { key: header_key(&job) }).await;
        directory.tell(&job, JobMessage::Header(answer));
    })
    .detach();
}

/// Whether nobody works on a job, as far as can be told.
fn is_free(env: &JobEnv, job: &JobName, header: &JobHeader) -> bool {
    let owner = &header.owner;
    if owner.process.is_empty() || *owner.process == *env.name {
        // Handed over, or of an earlier start of this process, or accepted by a call of it that was given up.
        return true;
    }
    let gone = env.roster.liveness(&owner.process, owner.incarnation) == Liveness::Dead;
    gone && env.roster.at_least_half_live() && !has_told_owner(env, job)
}

/// Whether a process that works has told that it owns the job. The list of jobs may be seconds older than that, and each
/// process of the fleet would read the job's header once more to learn it.
fn has_told_owner(env: &JobEnv, job: &JobName) -> bool {
    let owner = env.owners.get(job);
    owner.is_some_and(|it| env.roster.liveness(&it.process, it.incarnation) == Liveness::Alive)
}

/// Whether an owner says that it works on its jobs. Asked where it was never heard: a gateway that is new in the fleet is
/// known to others only when they have read its entry.
async fn says_it_works(env: &JobEnv, owner: &JobOwner) -> bool {
    let (process, incarnation) = (Name::from(&*owner.process), owner.incarnation);
    if process.is_empty() || process == env.name || env.roster.has_been_seen(&process, incarnation)
    {
        return false;
    }
    let address = match env.roster.address(&process) {
        Some(address) => Some(address),
        None => registered_address(&*env.platform.store, &process).await,
    };
    let Some(address) = address else { return false };
    let pool = Pool::new(address).with_connect_timeout(ASK_TIMEOUT);
    let call = PeerCall::Works { incarnation };
    let answered = exchange(&pool, &call, ASK_TIMEOUT).await;
    answered.is_some_and(|(status, _)| status == StatusCode::OK)
}

/// Takes a job if nobody works on it.
pub async fn take_if_free(
    env: &Rc<JobEnv>,
    directory: &Directory,
    stored: &StoredJobs,
    job: &JobName,
) {
    let Ok((header, version)) = stored.current_header(job).await else { return };
    if header.finished || directory.has(job) || !is_free(env, job, &header) {
        return;
    }
    if says_it_works(env, &header.owner).await {
        return;
    }
    let Ok(ended) = env.is_ended(job).await else { return };
    let items = match ended {
        true => None,
        false => match stored.items(job, &header).await {
            Ok(items) => Some(items),
            // Never accepted, and by now its caller does not send it any more.
            Err(Unread::Absent) if env.clock.now().unix_ms > header.give_up_unix_ms => None,
            Err(_) => return,
        },
    };
    let owned = take(env, job, header, version, items.is_none()).await;
    if let (Some(owned), Some(items)) = (owned, items) {
        start(env, directory, owned, items);
    }
}

async fn take(
    env: &JobEnv,
    job: &JobName,
    header: JobHeader,
    version: Version,
    ended: bool,
) -> Option<OwnedJob> {
    let (before, gaps) = (header.owner.clone(), env.liveness_gaps.count());
    let former = match before.process.as_str() {
        "" => header.former.clone(),
        _ => Some(before.clone()),
    };
    let header = JobHeader { owner: env.owner(), finished: ended, former, ..header };
    let (key, value) = (header_key(job), header.value());
    let update = StoreOp::Update { key, version, labels: Labels::new(), value };
    let version = match env.call(update).await {
        StoreAnswer::Object(stored) => stored.version,
        // Where answers to writes are lost, reads tell what they did.
        StoreAnswer::Unknown => match env.current_header(job).await {
            Ok((found, version)) if found == header => version,
            _ => return None,
        },
        _ => return None,
    };
    log::info!(
        job = &**job, from = before.process, from_incarnation = before.incarnation, ended;
        "job: taken"
    );
    env.metrics.job_event("taken");
    Some(OwnedJob { job: JobName::clone(job), header, version, gaps, is_new: false })
}

fn start(env: &Rc<JobEnv>, directory: &Directory, owned: OwnedJob, items: Vec<Item>) {
    let Some((messages, inbox)) = directory.open(&owned.job) else { return };
    env.tell_owned(&owned.job, owned.header.items);
    let log = ResultLog::unread(JobName::clone(&owned.job));
    let items = Items::new(items, owned.header.attempts);
    let task = JobTask::new(Rc::clone(env), owned, items, log, messages);
    compio::runtime::spawn(task.run(inbox, directory.clone())).detach();
}

/// Tells the nearest process that works that a job was handed over.
pub async fn offer(env: Rc<JobEnv>, job: JobName) {
    for address in env.roster.takeover_candidates().into_iter().take(3) {
        let pool = Pool::new(address).with_connect_timeout(OFFER_TIMEOUT);
        let call = PeerCall::Offer { job: JobName::clone(&job) };
        if exchange(&pool, &call, OFFER_TIMEOUT).await.is_some() {
            return;
        }
    }
    log::info!(job = &*job; "job: offered to nobody, left to the sweeps");
}
