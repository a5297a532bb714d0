//! Calls about jobs, at the process that owns the job and at all others.
//!
//! The owner has everything in memory, so others pass the call on to it. Where it is gone, cut off or has lost the job,
//! the store tells what stands; it alone says that there is no such job.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{Method, Response, StatusCode, Uri, header};
use samphiredoor_core::{
    ordered::{JobHeader, JobName, cancellation_key},
    store::{Labels, StoreOp, Value},
    verdict::Refusal,
};
use samphiredoor_net::{Body, Pool};

use super::{
    JobEnv,
    directory::Directory,
    job_task::{JobMessage, ReadReply},
    peer_call::{PeerCall, exchange},
    stored::{StoredJobs, Unread},
    submit::{self, Forwarding, SubmittedJob},
    sweep,
};
use crate::{
    front::{json_message, refusal_response},
    peers::{Liveness, Owner, STORE_LOST_AFTER, registered_address},
    platform_api::{JobCall, ResultsPage},
};

/// Longest wait for a result, whatever the caller asks for.
const LONGEST_WAIT: Duration = Duration::from_millis(1_000);
/// Time beyond the wait within which another gateway answers.
const PEER_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait for a connection to another gateway.
const PEER_CONNECT: Duration = Duration::from_millis(250);
/// Pause between two reads of the store for one waiting reader; callers ask about twice a second.
const STORE_WAIT: Duration = Duration::from_millis(500);
/// When to come back if the store is of no help.
const RETRY_AFTER_MS: u64 = 300;

/// Why nobody runs a job any more that its caller has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndedBy {
    /// It was closed here, or its header says that it is.
    Closed,
    /// Its owner has ended it.
    Owner,
    /// It was handed over; whoever takes it finds the end.
    NoOwner,
    /// The owner's start is over, as the process itself tells.
    OwnerOver,
    /// The owner can neither be heard nor reached.
    OwnerSilent,
}

/// A process could not be reached.
struct Unreached;

/// Handle by which callers and other gateways reach the jobs.
#[derive(Clone)]
pub struct Jobs {
    env: Rc<JobEnv>,
    directory: Directory,
    stored: StoredJobs,
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
}

impl Jobs {
    pub(super) fn new(env: Rc<JobEnv>, directory: Directory, stored: StoredJobs) -> Jobs {
        Jobs { env, directory, stored, pools: Rc::default() }
    }

    /// Accepts a submission.
    pub async fn submit(&self, submitted: SubmittedJob, acceptors: Forwarding) -> Response<Body> {
        submit::submit(&self.env, &self.directory, submitted, acceptors).await
    }

    /// Answers a caller.
    pub async fn handle(&self, call: JobCall, wait: Duration) -> Response<Body> {
        let wait = wait.min(LONGEST_WAIT);
        let until = Instant::now() + wait;
        match call {
            JobCall::Read { job, after } => self.read(&job, after, until).await,
            JobCall::Body { job, item } => self.body(&job, &item).await,
            JobCall::Cancel { job } => self.end(&job).await,
        }
    }

    /// Answers another gateway: from what is here, or from the store.
    pub async fn handle_peer(&self, method: &Method, uri: &Uri) -> Response<Body> {
        let Some(call) = PeerCall::parse(method, uri) else {
            return json_message(StatusCode::NOT_FOUND, "no such call");
        };
        match call {
            PeerCall::Read { job, after, wait_ms } => {
                let until = Instant::now() + Duration::from_millis(wait_ms).min(LONGEST_WAIT);
                match self.read_here(&job, after, until).await {
                    Some(page) => self.page_answer(&page),
                    None => self.read_store(&job, after, until).await,
                }
            }
            PeerCall::Item { job, item } => match self.item_here(&job, &item).await {
                Some(answer) => answer,
                None => self.item_from_store(&job, &item).await,
            },
            PeerCall::Ended { job, incarnation } => self.answer_ended(&job, incarnation).await,
            PeerCall::Offer { job } => {
                let (env, directory, stored) =
                    (Rc::clone(&self.env), self.directory.clone(), self.stored.clone());
                compio::runtime::spawn(async move {
                    sweep::take_if_free(&env, &directory, &stored, &job).await;
                })
                .detach();
                json_message(StatusCode::OK, "heard")
            }
            PeerCall::Works { incarnation } => {
                match incarnation == self.env.incarnation
                    && !self.env.health.is_lost_for(STORE_LOST_AFTER)
                {
                    true => json_message(StatusCode::OK, "works"),
                    false => json_message(StatusCode::NOT_FOUND, "does not work"),
                }
            }
        }
    }

    /// Hands all jobs over, and waits until that is done or `limit` is over.
    pub async fn hand_over_all(&self, limit: Duration) {
        self.directory.release_all();
        let until = Instant::now() + limit;
        while self.directory.len() > 0 && Instant::now() < until {
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn read(&self, job: &JobName, after: usize, until: Instant) -> Response<Body> {
        if let Some(page) = self.read_here(job, after, until).await {
            return self.page_answer(&page);
        }
        let owner = match self.owner_of(job).await {
            Ok(owner) => owner,
            Err(unread) => return unread_answer(unread),
        };
        if let Some(address) = self.elsewhere(&owner) {
            let wait = until.saturating_duration_since(Instant::now());
            let call = PeerCall::Read { job: job.clone(), after, wait_ms: wait.as_millis() as u64 };
            if let Some(answer) = self.ask_peer(address, &call, wait + PEER_TIMEOUT).await {
                return answer;
            }
            // The owner may be another one by now.
            if let Err(unread) = self.stored.current_header(job).await {
                return unread_answer(unread);
            }
        }
        self.read_store(job, after, until).await
    }

    async fn read_here(&self, job: &str, after: usize, until: Instant) -> Option<ResultsPage> {
        let (reply, answer) = flume::bounded(1);
        if !self.directory.tell(job, JobMessage::Read { after, until, reply }) {
            return None;
        }
        match answer.recv_async().await {
            Ok(ReadReply::Page(page)) => Some(page),
            Ok(ReadReply::Elsewhere) | Err(_) => None,
        }
    }

    async fn read_store(&self, job: &JobName, after: usize, until: Instant) -> Response<Body> {
        loop {
            let page = match self.stored.results(job, after).await {
                Ok(page) => page,
                Err(unread) => return unread_answer(unread),
            };
            let left = until.saturating_duration_since(Instant::now());
            if !page.results.is_empty() || after >= page.total || left < STORE_WAIT {
                return self.page_answer(&page);
            }
            compio::time::sleep(STORE_WAIT).await;
        }
    }

    fn page_answer(&self, page: &ResultsPage) -> Response<Body> {
        let mut response = Response::new(Body::full(self.env.platform.dialect.results(page)));
        let content_type = header::HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, content_type);
        response
    }

    async fn body(&self, job: &JobName, item: &str) -> Response<Body> {
        if let Some(answer) = self.item_here(job, item).await {
            return answer;
        }
        let owner = match self.owner_of(job).await {
            Ok(owner) => owner,
            Err(unread) => return unread_answer(unread),
        };
        if let Some(address) = self.elsewhere(&owner) {
            let call = PeerCall::Item { job: job.clone(), item: item.to_owned() };
            if let Some(answer) = self.ask_peer(address, &call, PEER_TIMEOUT).await {
                return answer;
            }
        }
        self.item_from_store(job, item).await
    }

    async fn item_here(&self, job: &str, id: &str) -> Option<Response<Body>> {
        let (reply, answer) = flume::bounded(1);
        let message = JobMessage::Item { id: id.to_owned(), reply };
        if !self.directory.tell(job, message) {
            return None;
        }
        let item = answer.recv_async().await.ok()?;
        Some(match item {
            Some(item) => self.item_answer(&item),
            None => json_message(StatusCode::NOT_FOUND, "no such item, or its result stands"),
        })
    }

    async fn item_from_store(&self, job: &JobName, id: &str) -> Response<Body> {
        match self.stored.item(job, id).await {
            Ok(item) => self.item_answer(&item),
            Err(unread) => unread_answer(unread),
        }
    }

    fn item_answer(&self, item: &samphiredoor_core::ordered::Item) -> Response<Body> {
        match self.env.platform.dialect.item_body(item) {
            Ok(body) => Response::new(Body::full(body)),
            Err(problem) => json_message(StatusCode::INTERNAL_SERVER_ERROR, &problem),
        }
    }

    async fn end(&self, job: &JobName) -> Response<Body> {
        if let Err(unread) = self.owner_of(job).await {
            return unread_answer(unread);
        }
        if !self.write_end(job).await {
            log::warn!(job = &**job; "job: its end could not be written");
            return json_message(
                StatusCode::GATEWAY_TIMEOUT,
                "the end may not stand; send it again",
            );
        }
        let Some(by) = self.tell_end(job).await else {
            log::warn!(job = &**job; "job: its end stands, but its owner could not be told");
            return json_message(
                StatusCode::GATEWAY_TIMEOUT,
                "the job may still run; send the end again",
            );
        };
        log::info!(job = &**job, by:? = by; "job: ended by its caller");
        json_message(StatusCode::OK, "ended")
    }

    /// Tells the owner of a job that it is ended; `None` if somebody may still run the job.
    ///
    /// The owner is read from the store after the end stands there: one that was told of before may have lost the job
    /// without knowing it, and would answer for itself alone, while whoever takes the job later finds the end.
    async fn tell_end(&self, job: &JobName) -> Option<EndedBy> {
        let here = self.end_here(job).await;
        let (header, _) = self.stored.current_header(job).await.ok()?;
        if header.finished || self.env.owns(&header.owner) {
            return (here || header.finished).then_some(EndedBy::Closed);
        }
        if header.owner.process.is_empty() {
            return Some(EndedBy::NoOwner);
        }
        let owner = owner_in(&header);
        if self.env.roster.has_restarted(&owner.process, owner.incarnation) {
            return Some(EndedBy::OwnerOver);
        }
        match self.ask_owner(job, &owner).await {
            Ok(ended_by) => ended_by,
            Err(Unreached) => self.is_gone(&owner).then_some(EndedBy::OwnerSilent),
        }
    }

    /// Whether an owner that cannot be reached is gone. It is not if this process hears few others and is the one that is cut
    /// off, or has started too lately to have heard it.
    fn is_gone(&self, owner: &Owner) -> bool {
        let (process, incarnation) = (&*owner.process, owner.incarnation);
        let roster = &self.env.roster;
        let is_heard = roster.live_address(process, incarnation).is_some();
        let liveness = roster.liveness(process, incarnation);
        !is_heard && liveness == Liveness::Dead && roster.at_least_half_live()
    }

    /// Has an owner end its job, also one that stops, misses the store or is not heard: its runs go on. `None` if it does not
    /// say that it has.
    async fn ask_owner(&self, job: &JobName, owner: &Owner) -> Result<Option<EndedBy>, Unreached> {
        let address = self.owner_address(owner).await.ok_or(Unreached)?;
        let call = PeerCall::Ended { job: JobName::clone(job), incarnation: owner.incarnation };
        let answered = exchange(&self.pool(address), &call, PEER_TIMEOUT).await;
        let (status, _) = answered.ok_or(Unreached)?;
        Ok(match status {
            StatusCode::OK => Some(EndedBy::Owner),
            StatusCode::GONE => Some(EndedBy::OwnerOver),
            _ => None,
        })
    }

    /// Where an owner listens: one that is heard, or else where the store has it now.
    async fn owner_address(&self, owner: &Owner) -> Option<SocketAddr> {
        let roster = &self.env.roster;
        let heard = roster.live_address(&owner.process, owner.incarnation);
        if heard.is_some() {
            return heard;
        }
        let registered = registered_address(&*self.env.platform.store, &owner.process).await;
        registered.or_else(|| roster.address(&owner.process))
    }

    /// Answers a gateway that takes one start of this process for the owner of a job that is ended.
    async fn answer_ended(&self, job: &str, incarnation: u64) -> Response<Body> {
        match self.end_here(job).await {
            true => json_message(StatusCode::OK, "ended"),
            false if incarnation != self.env.incarnation => {
                json_message(StatusCode::GONE, "that start is over")
            }
            false => json_message(StatusCode::NOT_FOUND, "not here"),
        }
    }

    /// Ends a job that this process works on, or has closed; says whether that holds for everybody.
    async fn end_here(&self, job: &str) -> bool {
        let (reply, answer) = flume::bounded(1);
        match self.directory.tell(job, JobMessage::Ended { reply: Some(reply) }) {
            true => answer.recv_async().await.unwrap_or(false),
            false => self.directory.was_closed(job),
        }
    }

    async fn write_end(&self, job: &JobName) -> bool {
        let value: Value = b"{}".as_slice().into();
        let create = StoreOp::Create { key: cancellation_key(job), labels: Labels::new(), value };
        self.env.create_known(create).await
    }

    /// Last known owner of a job; the store is asked only where nobody has told it.
    async fn owner_of(&self, job: &JobName) -> Result<Owner, Unread> {
        match self.env.owners.get(job) {
            Some(owner) => Ok(owner),
            None => Ok(owner_in(&self.stored.header(job).await?)),
        }
    }

    /// Address of an owner that is another process and works.
    fn elsewhere(&self, owner: &Owner) -> Option<SocketAddr> {
        if owner.process == self.env.name {
            return None;
        }
        let alive = self.env.roster.liveness(&owner.process, owner.incarnation) == Liveness::Alive;
        alive.then(|| self.env.roster.address(&owner.process)).flatten()
    }

    /// Asks another gateway; `None` unless it answers with success or that there is nothing.
    async fn ask_peer(
        &self,
        address: SocketAddr,
        call: &PeerCall,
        timeout: Duration,
    ) -> Option<Response<Body>> {
        let pool = self.pool(address);
        let (status, body) = exchange(&pool, call, timeout).await?;
        if status != StatusCode::OK && status != StatusCode::NOT_FOUND {
            return None;
        }
        let mut response = Response::new(Body::full(body));
        *response.status_mut() = status;
        Some(response)
    }

    fn pool(&self, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        let new = || Pool::new(address).with_connect_timeout(PEER_CONNECT);
        pools.entry(address).or_insert_with(new).clone()
    }
}

fn owner_in(header: &JobHeader) -> Owner {
    let owner = &header.owner;
    Owner { process: owner.process.as_str().into(), incarnation: owner.incarnation }
}

fn unread_answer(unread: Unread) -> Response<Body> {
    match unread {
        Unread::Absent => json_message(StatusCode::NOT_FOUND, "no such job or item"),
        Unread::Unavailable => refusal_response(Refusal::StoreUnavailable, RETRY_AFTER_MS),
    }
}
