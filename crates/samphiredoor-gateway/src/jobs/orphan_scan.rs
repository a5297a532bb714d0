//! Takeover of jobs whose owner is dead, and removal of expired jobs.
//!
//! Each process periodically goes through the headers of all jobs, from a list that may be seconds old and is cheap. A
//! job is taken over by a conditional update of its header, which only one gateway can win.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use rand::seq::SliceRandom;
use samphiredoor_core::{
    Name,
    ordered::{
        Item, Items, JobHeader, JobName, JobOwner, ResultLog, cancellation_key, header_key,
        part_key, read_header, segment_key,
    },
    overload::buffer_budget::Holder,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Version},
};
use samphiredoor_net::Pool;

use super::{
    JobEnv,
    directory::Directory,
    job_task::{JobMessage, JobOwnership, JobTask},
    peer_call::{PeerCall, exchange},
    stored::{ReadError, StoredJobs},
};
use crate::{
    lists::list_all,
    peers::{Liveness, PresenceCheck, registered_address},
    platform_api::Freshness,
};

/// Average time between two scans in the whole fleet. Jobs are due within tens of seconds, and an owner counts
/// as dead 2.5 s after its last heartbeat.
const FLEET_SCAN_INTERVAL: Duration = Duration::from_millis(350);
/// Minimum time between two scans of one process.
const MIN_SCAN_INTERVAL: Duration = Duration::from_millis(2_000);
/// Delay of the first scan, by which time the heartbeats of other gateways and their requests at targets have arrived.
const FIRST_SCAN_DELAY: Duration = Duration::from_millis(1_200);
/// Most jobs that one scan takes over, so that the jobs of a lost process are spread over the others.
const MAX_TAKEOVERS: usize = 6;
/// Time beyond the retention period before a job is removed, because clocks of hosts may differ by seconds.
const RETENTION_MARGIN: Duration = Duration::from_secs(600);
/// Most expired jobs that one scan removes; each takes about ten store calls.
const MAX_REMOVALS: usize = 2;
/// Time for which this process must have reached the store before it takes over jobs of a live gateway that does not. After an
/// outage gateways notice the return of the store up to two seconds apart, and each holds results that it could not write.
const STORE_SETTLED: Duration = Duration::from_millis(4_000);
/// Time for which the statuses of that gateway must say so. In a short outage not all gateways miss the store.
const STORE_LOST_CONFIRMED: Duration = Duration::from_millis(1_500);
/// Timeout for asking an owner without heartbeats whether it is alive.
const ALIVE_CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for offering a job to one other process.
const OFFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Scans periodically for as long as the process runs, except during a shutdown.
pub async fn run(env: Rc<JobEnv>, directory: Directory, stored: StoredJobs) {
    compio::time::sleep(FIRST_SCAN_DELAY).await;
    let (roster, store) = (env.roster.clone(), Rc::clone(&env.platform.store));
    let mut presence_check = PresenceCheck::new(roster, store, Rc::clone(&env.metrics));
    loop {
        if !env.shutdown.has_begun() {
            presence_check.run().await;
            scan(&env, &directory, &stored).await;
        }
        let processes = env.roster.live_count() as u32 + 1;
        compio::time::sleep(FLEET_SCAN_INTERVAL.saturating_mul(processes).max(MIN_SCAN_INTERVAL))
            .await;
    }
}

async fn scan(env: &Rc<JobEnv>, directory: &Directory, stored: &StoredJobs) {
    let (mut orphaned, mut expired) = (Vec::new(), Vec::new());
    let store = &*env.platform.store;
    let listed = list_all(store, Kind::OrderedJob, Freshness::MayBeStale).await;
    let Some(list) = listed else {
        env.health.raise_suspicion();
        return;
    };
    env.health.record_answer();
    for object in &list.objects {
        match read_header(object) {
            // A job that another process has finished may still have a task here.
            Ok(header) if !header.finished || directory.has(&object.name) => {
                check_listed(env, directory, &object.name, &header, &mut orphaned);
            }
            Ok(header) if is_expired(env, &header) => expired.push((object.name.clone(), header)),
            Ok(_) => {}
            Err(fault) => {
                env.metrics.invalid_entry("job");
                log::warn!(job = &*object.name, fault:% = fault; "job: header ignored");
            }
        }
    }
    for (job, header) in expired.into_iter().take(MAX_REMOVALS) {
        remove(env, &job, &header).await;
    }
    orphaned.shuffle(&mut rand::rng());
    for job in orphaned.into_iter().take(MAX_TAKEOVERS) {
        take_over_if_orphaned(env, directory, stored, &job).await;
    }
}

/// Whether a finished job is past its retention period.
fn is_expired(env: &JobEnv, header: &JobHeader) -> bool {
    let kept_for = env.retention + RETENTION_MARGIN;
    env.clock.now().unix_ms > header.accepted_unix_ms + kept_for.as_millis() as u64
}

/// Removes all objects of a job, the header last, so that a later scan repeats a removal that was interrupted.
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
        log::info!(job = &**job; "job: removed, its retention period is over");
        env.metrics.job_event("removed");
    }
}

async fn delete(env: &JobEnv, key: ObjectKey) -> bool {
    let answer = env.call(StoreOp::Delete { key, version: None }).await;
    matches!(answer, StoreAnswer::Deleted | StoreAnswer::Absent)
}

fn check_listed(
    env: &JobEnv,
    directory: &Directory,
    job: &Name,
    header: &JobHeader,
    orphaned: &mut Vec<JobName>,
) {
    let here = directory.has(job);
    if here && !env.owns(&header.owner) {
        // The list may be older than the takeover by this process, so the task gets the current header.
        recheck_header(env, directory, job);
    } else if !here && !directory.was_recently_closed(job) && is_orphaned(env, job, header) {
        orphaned.push(JobName::clone(job));
    }
}

fn recheck_header(env: &JobEnv, directory: &Directory, job: &Name) {
    let (store, directory, job) =
        (Rc::clone(&env.platform.store), directory.clone(), Name::clone(job));
    compio::runtime::spawn(async move {
        let answer = store.call(StoreOp::Get { key: header_key(&job) }).await;
        directory.send(&job, JobMessage::HeaderRead(answer));
    })
    .detach();
}

/// Whether no live process owns a job, as far as this process can tell.
fn is_orphaned(env: &JobEnv, job: &JobName, header: &JobHeader) -> bool {
    let owner = &header.owner;
    if owner.process.is_empty() || *owner.process == *env.name {
        // It was handed over, or belongs to an earlier incarnation of this process, or this process accepted it in a
        // store call whose outcome it gave up on.
        return true;
    }
    let is_gone = match env.roster.liveness(&owner.process, owner.incarnation) {
        Liveness::Alive | Liveness::Unknown => false,
        Liveness::StoreLost(since) => {
            since.elapsed() >= STORE_LOST_CONFIRMED && env.health.is_reached_for(STORE_SETTLED)
        }
        Liveness::Dead => true,
    };
    is_gone && env.roster.at_least_half_live() && !has_live_announced_owner(env, job)
}

/// Whether a live process has announced that it owns the job. The list of jobs may be seconds older than the
/// announcement, and without this check each process of the fleet would read the job's header to find that out.
fn has_live_announced_owner(env: &JobEnv, job: &JobName) -> bool {
    let owner = env.owners.get(job);
    owner.is_some_and(|it| env.roster.liveness(&it.process, it.incarnation) == Liveness::Alive)
}

/// Asks an owner from which no heartbeat was ever received whether it is alive; `false` without asking for any other
/// owner. Heartbeats of a gateway that is new in the fleet are only accepted by peers that have read its registration.
async fn confirms_alive(env: &JobEnv, owner: &JobOwner) -> bool {
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
    let pool = Pool::new(address).with_connect_timeout(ALIVE_CHECK_TIMEOUT);
    let call = PeerCall::CheckAlive { incarnation };
    let answered = exchange(&pool, &call, ALIVE_CHECK_TIMEOUT).await;
    answered.is_some_and(|(status, _)| status == StatusCode::OK)
}

/// Takes over a job if no live process owns it.
pub async fn take_over_if_orphaned(
    env: &Rc<JobEnv>,
    directory: &Directory,
    stored: &StoredJobs,
    job: &JobName,
) {
    let Ok((header, version)) = stored.current_header(job).await else { return };
    if header.finished || directory.has(job) || !is_orphaned(env, job, &header) {
        return;
    }
    if confirms_alive(env, &header.owner).await {
        return;
    }
    let Ok(cancelled) = env.is_cancelled(job).await else { return };
    let items = match cancelled {
        true => None,
        false => match stored.items(job, &header).await {
            // Without memory a job of several parts is left to another process, or to a later scan.
            Ok(items) => {
                let bytes = items.iter().map(Item::bytes).sum();
                let held = match header.parts > 1 {
                    true => env.client_memory.try_hold(Holder::Job, bytes),
                    false => Some(env.client_memory.hold(Holder::Job, bytes)),
                };
                let Some(memory) = held else { return };
                Some((items, memory))
            }
            // It was never accepted, and by now its caller does not resend it any more.
            Err(ReadError::NotFound) if env.clock.now().unix_ms > header.give_up_unix_ms => None,
            Err(_) => return,
        },
    };
    let owned = take_over(env, job, header, version, items.is_none()).await;
    if let (Some(owned), Some((items, memory))) = (owned, items) {
        let log = ResultLog::unread(JobName::clone(&owned.job));
        let items = Items::new(items, owned.header.attempts).with_former_owner();
        JobTask::start(env, directory, owned, items, log, memory);
    }
}

async fn take_over(
    env: &JobEnv,
    job: &JobName,
    header: JobHeader,
    version: Version,
    closed: bool,
) -> Option<JobOwnership> {
    let (previous, gap_count) = (header.owner.clone(), env.liveness_gaps.count());
    let written_after = Instant::now();
    let header = JobHeader { finished: closed, ..header.taken_over_by(env.owner()) };
    let (key, value) = (header_key(job), header.value());
    let update = StoreOp::Update { key, version, labels: Labels::new(), value };
    let version = match env.call(update).await {
        StoreAnswer::Object(stored) => stored.version,
        // The answer to the write was lost; a read shows whether it took effect.
        StoreAnswer::Unknown => match env.current_header(job).await {
            Ok((found, version)) if found == header => version,
            _ => return None,
        },
        _ => return None,
    };
    log::info!(
        job = &**job, from = previous.process, from_incarnation = previous.incarnation, ended = closed;
        "job: taken over"
    );
    env.metrics.job_event("taken");
    let job = JobName::clone(job);
    Some(JobOwnership { job, header, version, gap_count, written_after, is_new: false })
}

/// Offers a job that was handed over to the nearest live processes, until one of three answers.
pub async fn offer(env: Rc<JobEnv>, job: JobName) {
    for address in env.roster.takeover_candidates().into_iter().take(3) {
        let pool = Pool::new(address).with_connect_timeout(OFFER_TIMEOUT);
        let call = PeerCall::Offer { job: JobName::clone(&job) };
        if exchange(&pool, &call, OFFER_TIMEOUT).await.is_some() {
            return;
        }
    }
    log::info!(job = &*job; "job: no peer answered the offer, left to the periodic scans");
}
