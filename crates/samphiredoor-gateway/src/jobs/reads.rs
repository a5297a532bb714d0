//! Requests of callers and other gateways about jobs.
//!
//! The owner of a job has its state in memory, so other gateways forward requests to it. If it is unknown, dead,
//! unreachable or no longer the owner, the answer is read from the store, by the one gateway of the region that rendezvous
//! hashing chooses for the job: callers read a job at any gateway, and each would read and cache it by itself. Only the
//! store decides that a job does not exist.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Response, StatusCode, Uri, header};
use samphiredoor_core::{
    ordered::{JobHeader, JobName, cancellation_key},
    store::{Labels, StoreOp, Value},
    verdict::Refusal,
};
use samphiredoor_net::{Body, Pool, permits::Permits};

use super::{
    JobEnv,
    directory::Directory,
    job_task::{JobMessage, ReadReply},
    orphan_scan,
    peer_call::{PeerCall, exchange},
    stored::{ReadError, StoredJobs},
    submit::{self, Forwarding, SubmittedJob},
};
use crate::{
    front::{json_message, refusal_response},
    peers::{Liveness, Owner, STORE_LOST_AFTER, registered_address},
    platform_api::{JobCall, ResultsPage},
};

/// Upper limit of the time that a read waits for a result, whatever the caller asks for.
const MAX_RESULT_WAIT: Duration = Duration::from_millis(1_000);
/// Timeout for the response of another gateway, beyond the time that it waits for a result.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for connecting to another gateway.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between two reads of the store for one waiting reader; callers poll about twice a second.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Size above which a page of results is large.
const LARGE_PAGE_BYTES: usize = 64 * 1024;
/// Large pages that are made at the same time, and the pause before each.
const MAX_LARGE_PAGES: usize = 2;
const LARGE_PAGE_PAUSE: Duration = Duration::from_millis(1);
/// Retry time in answers while the store gives no usable answer.
const RETRY_AFTER_MS: u64 = 300;

/// Why it is certain that no process runs a cancelled job any more. Its names appear in the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopProof {
    /// The job was closed here, or its header says that it is finished.
    Closed,
    /// The owner has confirmed the cancellation.
    Owner,
    /// The job was handed over and has no owner; the next owner finds the cancellation.
    NoOwner,
    /// The owner has restarted since, as its process reports.
    OwnerOver,
    /// The owner sends no heartbeats and cannot be reached.
    OwnerSilent,
}

/// The owner did not answer.
struct Unreachable;

/// Handle that answers requests of callers and other gateways about jobs.
#[derive(Clone)]
pub struct Jobs {
    env: Rc<JobEnv>,
    directory: Directory,
    stored: StoredJobs,
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
    /// Permits for large pages that are made.
    large_pages: Permits,
}

impl Jobs {
    pub(super) fn new(env: Rc<JobEnv>, directory: Directory, stored: StoredJobs) -> Jobs {
        let large_pages = Permits::new(MAX_LARGE_PAGES);
        Jobs { env, directory, stored, pools: Rc::default(), large_pages }
    }

    /// Accepts a submission, or answers with the reason for its refusal.
    pub async fn submit(&self, submitted: SubmittedJob, acceptors: Forwarding) -> Response<Body> {
        submit::submit(&self.env, &self.directory, submitted, acceptors).await
    }

    /// Answers a caller's request; a read waits at most `wait` for a result.
    pub async fn handle(&self, call: JobCall, wait: Duration) -> Response<Body> {
        let wait = wait.min(MAX_RESULT_WAIT);
        let until = Instant::now() + wait;
        match call {
            JobCall::Read { job, after } => self.read(&job, after, until).await,
            JobCall::Body { job, item } => self.body(&job, &item).await,
            JobCall::Cancel { job } => self.cancel(&job).await,
        }
    }

    /// Answers another gateway from local state or from the store, without forwarding the request again.
    pub async fn handle_peer(&self, method: &Method, uri: &Uri) -> Response<Body> {
        let Some(call) = PeerCall::parse(method, uri) else {
            return json_message(StatusCode::NOT_FOUND, "no such call");
        };
        match call {
            PeerCall::Read { job, after, wait_ms } => {
                let until = Instant::now() + Duration::from_millis(wait_ms).min(MAX_RESULT_WAIT);
                match self.read_local(&job, after, until).await {
                    Some(answer) => answer,
                    None => self.read_from_store(&job, after, until).await,
                }
            }
            PeerCall::Item { job, item } => match self.local_item(&job, &item).await {
                Some(answer) => answer,
                None => self.item_from_store(&job, &item).await,
            },
            PeerCall::ReadFor { job, after, wait_ms } => {
                let until = Instant::now() + Duration::from_millis(wait_ms).min(MAX_RESULT_WAIT);
                match self.read_local(&job, after, until).await {
                    Some(answer) => answer,
                    None => self.read_at_owner_or_store(&job, after, until).await,
                }
            }
            PeerCall::ItemFor { job, item } => match self.local_item(&job, &item).await {
                Some(answer) => answer,
                None => self.item_at_owner_or_store(&job, &item).await,
            },
            PeerCall::Cancelled { job, incarnation } => {
                self.answer_cancelled(&job, incarnation).await
            }
            PeerCall::Offer { job } => {
                let (env, directory, stored) =
                    (Rc::clone(&self.env), self.directory.clone(), self.stored.clone());
                compio::runtime::spawn(async move {
                    orphan_scan::take_over_if_orphaned(&env, &directory, &stored, &job).await;
                })
                .detach();
                json_message(StatusCode::OK, "heard")
            }
            PeerCall::CheckAlive { incarnation } => {
                match incarnation == self.env.incarnation
                    && !self.env.health.is_lost_for(STORE_LOST_AFTER)
                {
                    true => json_message(StatusCode::OK, "works"),
                    false => json_message(StatusCode::NOT_FOUND, "does not work"),
                }
            }
        }
    }

    /// Hands over all jobs, and waits until that is done, at most for `limit`.
    pub async fn hand_over_all(&self, limit: Duration) {
        self.directory.hand_over_all();
        let until = Instant::now() + limit;
        while self.directory.len() > 0 && Instant::now() < until {
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn read(&self, job: &JobName, after: usize, until: Instant) -> Response<Body> {
        if let Some(answer) = self.read_local(job, after, until).await {
            return answer;
        }
        if let Some(reader) = self.reader_without_owner(job) {
            let wait = until.saturating_duration_since(Instant::now());
            let (job, wait_ms) = (JobName::clone(job), wait.as_millis() as u64);
            let call = PeerCall::ReadFor { job, after, wait_ms };
            if let Some(answer) = self.forward_to_peer(reader, &call, wait + PEER_TIMEOUT).await {
                return answer;
            }
        }
        self.read_at_owner_or_store(job, after, until).await
    }

    /// Address of the gateway that reads a job for the region, if no live owner is known and it is another one.
    fn reader_without_owner(&self, job: &JobName) -> Option<SocketAddr> {
        let owner = self.env.owners.get(job);
        match owner.is_some_and(|it| self.live_peer_address(&it).is_some()) {
            true => None,
            false => self.env.roster.reader_of(job),
        }
    }

    async fn read_at_owner_or_store(
        &self,
        job: &JobName,
        after: usize,
        until: Instant,
    ) -> Response<Body> {
        let owner = match self.last_known_owner(job).await {
            Ok(owner) => owner,
            Err(error) => return error_response(error),
        };
        if let Some(address) = self.live_peer_address(&owner) {
            let wait = until.saturating_duration_since(Instant::now());
            let call = PeerCall::Read { job: job.clone(), after, wait_ms: wait.as_millis() as u64 };
            if let Some(answer) = self.forward_to_peer(address, &call, wait + PEER_TIMEOUT).await {
                return answer;
            }
            if self.env.health.is_lost() {
                return error_response(ReadError::Unavailable);
            }
            // Refreshes the cached header, as the owner may have changed.
            if let Err(error) = self.stored.current_header(job).await {
                return error_response(error);
            }
        }
        self.read_from_store(job, after, until).await
    }

    /// Reads results at the job's task here; `None` if there is none, or if the store has to be read.
    async fn read_local(&self, job: &str, after: usize, until: Instant) -> Option<Response<Body>> {
        let (reply, answer) = flume::bounded(1);
        if !self.directory.send(job, JobMessage::Read { after, until, reply }) {
            return None;
        }
        match answer.recv_async().await {
            Ok(ReadReply::Page(page)) => Some(self.page_response(&page).await),
            Ok(ReadReply::Unsure) => Some(error_response(ReadError::Unavailable)),
            Ok(ReadReply::UseStore) | Err(_) => None,
        }
    }

    async fn read_from_store(&self, job: &JobName, after: usize, until: Instant) -> Response<Body> {
        loop {
            let page = match self.stored.results(job, after).await {
                Ok(page) => page,
                Err(error) => return error_response(error),
            };
            let left = until.saturating_duration_since(Instant::now());
            if !page.results.is_empty() || after >= page.total || left < STORE_POLL_INTERVAL {
                let (results, total) = (page.results.len(), page.total);
                log::info!(job = &**job, after, results, total; "job: read from the store");
                return self.page_response(&page).await;
            }
            compio::time::sleep(STORE_POLL_INTERVAL).await;
        }
    }

    /// Answer with a page. Large ones are made a few at a time, so that many readers leave time for other requests.
    async fn page_response(&self, page: &ResultsPage) -> Response<Body> {
        let bytes = page.results.iter().map(|it| it.text.len()).sum();
        let _turn = match bytes > LARGE_PAGE_BYTES {
            true => {
                let turn = self.large_pages.acquire().await;
                compio::time::sleep(LARGE_PAGE_PAUSE).await;
                Some(turn)
            }
            false => None,
        };
        let results = || self.env.platform.dialect.results(page);
        let mut response = self.counted_response(bytes, results);
        let content_type = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }

    async fn body(&self, job: &JobName, item: &str) -> Response<Body> {
        if let Some(answer) = self.local_item(job, item).await {
            return answer;
        }
        if let Some(reader) = self.reader_without_owner(job) {
            let call = PeerCall::ItemFor { job: JobName::clone(job), item: item.to_owned() };
            if let Some(answer) = self.forward_to_peer(reader, &call, PEER_TIMEOUT).await {
                return answer;
            }
        }
        self.item_at_owner_or_store(job, item).await
    }

    async fn item_at_owner_or_store(&self, job: &JobName, item: &str) -> Response<Body> {
        let owner = match self.last_known_owner(job).await {
            Ok(owner) => owner,
            Err(error) => return error_response(error),
        };
        if let Some(address) = self.live_peer_address(&owner) {
            let call = PeerCall::Item { job: job.clone(), item: item.to_owned() };
            if let Some(answer) = self.forward_to_peer(address, &call, PEER_TIMEOUT).await {
                return answer;
            }
        }
        self.item_from_store(job, item).await
    }

    async fn local_item(&self, job: &str, id: &str) -> Option<Response<Body>> {
        let (reply, answer) = flume::bounded(1);
        let message = JobMessage::Item { id: id.to_owned(), reply };
        if !self.directory.send(job, message) {
            return None;
        }
        let item = answer.recv_async().await.ok()?;
        Some(match item {
            Some(item) => self.item_response(&item),
            None => json_message(StatusCode::NOT_FOUND, "no such item, or its result stands"),
        })
    }

    async fn item_from_store(&self, job: &JobName, id: &str) -> Response<Body> {
        match self.stored.item(job, id).await {
            Ok(item) => self.item_response(&item),
            Err(error) => error_response(error),
        }
    }

    fn item_response(&self, item: &samphiredoor_core::ordered::Item) -> Response<Body> {
        match self.env.platform.dialect.item_body(item) {
            Ok(body) => self.counted_response(body.len(), || body),
            Err(problem) => json_message(StatusCode::INTERNAL_SERVER_ERROR, &problem),
        }
    }

    /// Answer of about `bytes` that is counted until its reader has taken it. Readers who take none would hold a page each.
    fn counted_response(&self, bytes: usize, body: impl FnOnce() -> Bytes) -> Response<Body> {
        match self.env.client_memory.count_answer(bytes, body) {
            Some(body) => Response::new(Body::full(body)),
            None => refuse_for_memory(),
        }
    }

    async fn cancel(&self, job: &JobName) -> Response<Body> {
        if let Err(error) = self.last_known_owner(job).await {
            return error_response(error);
        }
        if !self.write_cancellation(job).await {
            log::warn!(job = &**job; "job: cancellation could not be written");
            return json_message(
                StatusCode::GATEWAY_TIMEOUT,
                "the end may not stand; send it again",
            );
        }
        let Some(by) = self.prove_stopped(job).await else {
            log::warn!(job = &**job; "job: cancellation is written, but its owner has not confirmed it");
            return json_message(
                StatusCode::GATEWAY_TIMEOUT,
                "the job may still run; send the end again",
            );
        };
        log::info!(job = &**job, by:? = by; "job: cancelled by its caller");
        json_message(StatusCode::OK, "ended")
    }

    /// Makes the owner of a cancelled job stop it; `None` if a process may still run the job.
    ///
    /// The owner is read from the store after the cancellation was written there. An owner known from before may have
    /// lost the job without noticing, and would confirm only that it runs nothing itself. Any process that takes the
    /// job over later finds the cancellation.
    async fn prove_stopped(&self, job: &JobName) -> Option<StopProof> {
        let here = self.cancel_local(job).await;
        let (header, _) = self.stored.current_header(job).await.ok()?;
        if header.finished || self.env.owns(&header.owner) {
            return (here || header.finished).then_some(StopProof::Closed);
        }
        if header.owner.process.is_empty() {
            return Some(StopProof::NoOwner);
        }
        let owner = owner_in_header(&header);
        if self.env.roster.has_restarted(&owner.process, owner.incarnation) {
            return Some(StopProof::OwnerOver);
        }
        match self.cancel_at_owner(job, &owner).await {
            Ok(proof) => proof,
            Err(Unreachable) => self.is_dead(&owner).then_some(StopProof::OwnerSilent),
        }
    }

    /// Whether an owner that cannot be reached counts as dead. It does not if this process is itself isolated,
    /// receiving heartbeats from few others, or started too recently to have received one from the owner.
    fn is_dead(&self, owner: &Owner) -> bool {
        let (process, incarnation) = (&*owner.process, owner.incarnation);
        let roster = &self.env.roster;
        let is_live = roster.live_address(process, incarnation).is_some();
        let liveness = roster.liveness(process, incarnation);
        !is_live && liveness == Liveness::Dead && roster.at_least_half_live()
    }

    /// Notifies the owner that its job is cancelled. Owners that are shutting down, have lost the store or send no
    /// heartbeats are notified as well, because their runs go on. `None` if the owner does not confirm it.
    async fn cancel_at_owner(
        &self,
        job: &JobName,
        owner: &Owner,
    ) -> Result<Option<StopProof>, Unreachable> {
        let address = self.owner_address(owner).await.ok_or(Unreachable)?;
        let call = PeerCall::Cancelled { job: JobName::clone(job), incarnation: owner.incarnation };
        let answered = exchange(&self.pool(address), &call, PEER_TIMEOUT).await;
        let (status, _) = answered.ok_or(Unreachable)?;
        Ok(match status {
            StatusCode::OK => Some(StopProof::Owner),
            StatusCode::GONE => Some(StopProof::OwnerOver),
            _ => None,
        })
    }

    /// Address of an owner: from its heartbeats, or else from its registration in the store.
    async fn owner_address(&self, owner: &Owner) -> Option<SocketAddr> {
        let roster = &self.env.roster;
        let live = roster.live_address(&owner.process, owner.incarnation);
        if live.is_some() {
            return live;
        }
        let registered = registered_address(&*self.env.platform.store, &owner.process).await;
        registered.or_else(|| roster.address(&owner.process))
    }

    /// Answers a gateway that read one incarnation of this process as the owner of a cancelled job.
    async fn answer_cancelled(&self, job: &str, incarnation: u64) -> Response<Body> {
        match self.cancel_local(job).await {
            true => json_message(StatusCode::OK, "ended"),
            false if incarnation != self.env.incarnation => {
                json_message(StatusCode::GONE, "that start is over")
            }
            false => json_message(StatusCode::NOT_FOUND, "not here"),
        }
    }

    /// Cancels a job that has a task here; also true for one that was closed recently. Returns whether no process will
    /// run it any more.
    async fn cancel_local(&self, job: &str) -> bool {
        let (reply, answer) = flume::bounded(1);
        match self.directory.send(job, JobMessage::Cancel { reply: Some(reply) }) {
            true => answer.recv_async().await.unwrap_or(false),
            false => self.directory.was_recently_closed(job),
        }
    }

    async fn write_cancellation(&self, job: &JobName) -> bool {
        let value: Value = b"{}".as_slice().into();
        let create = StoreOp::Create { key: cancellation_key(job), labels: Labels::new(), value };
        self.env.create_idempotent(create).await
    }

    /// Last announced owner of a job; the store is read only if no announcement was received.
    async fn last_known_owner(&self, job: &JobName) -> Result<Owner, ReadError> {
        match self.env.owners.get(job) {
            Some(owner) => Ok(owner),
            None => Ok(owner_in_header(&self.stored.header(job).await?)),
        }
    }

    /// Address of an owner if it is another process and alive.
    fn live_peer_address(&self, owner: &Owner) -> Option<SocketAddr> {
        if owner.process == self.env.name {
            return None;
        }
        let alive = self.env.roster.liveness(&owner.process, owner.incarnation) == Liveness::Alive;
        alive.then(|| self.env.roster.address(&owner.process)).flatten()
    }

    /// Forwards a call to another gateway; `None` unless it answers 200. Only the store decides that something is not found:
    /// another program may have taken over the peer's address, and a peer of another version may not know the call.
    async fn forward_to_peer(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        timeout: Duration,
    ) -> Option<Response<Body>> {
        let pool = self.pool(address);
        let Some((status, body)) = exchange(&pool, call, timeout).await else {
            log::info!(call:? = call, peer:% = address; "job: another gateway did not answer");
            return None;
        };
        log::debug!(call:? = call, peer:% = address, status = status.as_u16(); "job: another gateway answered");
        (status == StatusCode::OK).then(|| self.counted_response(body.len(), || body))
    }

    fn pool(&self, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        let new = || Pool::new(address).with_connect_timeout(PEER_CONNECT_TIMEOUT);
        pools.entry(address).or_insert_with(new).clone()
    }
}

fn refuse_for_memory() -> Response<Body> {
    refusal_response(Refusal::Overloaded, RETRY_AFTER_MS)
}

fn owner_in_header(header: &JobHeader) -> Owner {
    let owner = &header.owner;
    Owner { process: owner.process.as_str().into(), incarnation: owner.incarnation }
}

fn error_response(error: ReadError) -> Response<Body> {
    match error {
        ReadError::NotFound => json_message(StatusCode::NOT_FOUND, "no such job or item"),
        ReadError::Unavailable => refusal_response(Refusal::StoreUnavailable, RETRY_AFTER_MS),
    }
}
