//! Traits that connect the gateway to its platform: an object store, and the header names and body formats of callers and
//! targets.
//!
//! Implementations only translate; all decisions are made by the gateway.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hyper::{HeaderMap, Method, Uri, header::HeaderName};
use samphiredoor_core::{
    Name,
    crash_reports::Parts,
    ordered::{Item, ItemResult, JobName, job_name},
    placement::{ReportedLoad, TargetEntry},
    routes::RouteTable,
    store::{Kind, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
};

/// Connection of one process to the platform.
#[derive(Clone)]
pub struct Platform {
    /// Object store.
    pub store: Rc<dyn ObjectStore>,
    /// Header names and body formats.
    pub dialect: Rc<dyn Dialect>,
}

/// How current a list has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// Includes every acknowledged write.
    Current,
    /// May be seconds old, and costs less.
    MayBeStale,
}

/// One page of a list.
#[derive(Debug, Clone)]
pub struct Page {
    /// Objects, ordered by name.
    pub items: Vec<Stored>,
    /// Whether more objects follow after the last one.
    pub has_more: bool,
    /// Version of the store, from which a watch can start.
    pub version: Version,
}

/// One change that a watch reports.
#[derive(Debug, Clone)]
pub enum Change {
    /// An object was created or updated; its new value.
    Written(Stored),
    /// The object with this name was deleted.
    Deleted(Name),
}

/// Answer to a watch.
#[derive(Debug, Clone)]
pub enum WatchAnswer {
    /// Changes; none if the wait was over.
    Changes {
        /// Changes in order.
        changes: Vec<Change>,
        /// Version from which the next watch starts.
        version: Version,
    },
    /// The store no longer has the changes after the given version; the kind has to be listed again.
    HistoryGone,
    /// The store refused the call.
    Refused,
    /// There was no answer, or an invalid one.
    NoAnswer,
}

impl WatchAnswer {
    /// Label of the answer in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            WatchAnswer::Changes { changes, .. } if changes.is_empty() => "nothing_new",
            WatchAnswer::Changes { .. } => "changes",
            WatchAnswer::HistoryGone => "history_gone",
            WatchAnswer::Refused => "refused",
            WatchAnswer::NoAnswer => "no_answer",
        }
    }
}

/// The platform's object store.
pub trait ObjectStore {
    /// Makes any call but a list, for which there is [`ObjectStore::list`].
    fn call(&self, op: StoreOp) -> LocalBoxFuture<'_, StoreAnswer>;

    /// Reads one page of a kind, starting after the name `after`; `None` if the store gave no usable answer.
    fn list(
        &self,
        kind: Kind,
        after: Option<Name>,
        freshness: Freshness,
    ) -> LocalBoxFuture<'_, Option<Page>>;

    /// When bytes of an answer other than a refusal last arrived. A large answer takes a while to arrive.
    fn last_received_at(&self) -> Option<Instant>;

    /// Waits for changes of a kind after a version, for at most `wait`.
    fn watch(&self, kind: Kind, since: Version, wait: Duration) -> LocalBoxFuture<'_, WatchAnswer>;

    /// Writes the status of an object whose specification belongs to another writer.
    fn set_status(&self, key: ObjectKey, status: Value) -> LocalBoxFuture<'_, StoreAnswer>;
}

/// Header names of the platform.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of a caller; targets and gateways echo it.
    pub request_id: HeaderName,
    /// Time that the caller still waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Number of the last event that was received; the stream resumes after it.
    pub last_event_id: HeaderName,
    /// Id of the caller's attempt that brought the first event of the stream that it takes up.
    pub resumes: HeaderName,
    /// Name of the target that the request is for; any other target refuses it.
    pub expect_target: HeaderName,
    /// Present on the answer of a target that did not run the request.
    pub not_run: HeaderName,
    /// How long a read may wait for new results, in milliseconds.
    pub wait_ms: HeaderName,
    /// Key of the caller's workspace; not sent to targets.
    pub api_key: HeaderName,
    /// Name of the workspace, as targets are sent it.
    pub workspace: HeaderName,
}

/// A call for a batch job that was submitted before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCall {
    /// Read results after a position.
    Read {
        /// Name of the job.
        job: JobName,
        /// Number of results that the caller already has.
        after: usize,
    },
    /// Read the body of an item.
    Body {
        /// Name of the job.
        job: JobName,
        /// Id of the item within the job.
        item: String,
    },
    /// Cancel the job.
    Cancel {
        /// Name of the job.
        job: JobName,
    },
}

impl JobCall {
    /// The call with the name that its job has in the scope of a workspace.
    pub fn in_workspace(self, workspace: Option<&str>) -> JobCall {
        match self {
            JobCall::Read { job, after } => JobCall::Read { job: job_name(workspace, &job), after },
            JobCall::Body { job, item } => JobCall::Body { job: job_name(workspace, &job), item },
            JobCall::Cancel { job } => JobCall::Cancel { job: job_name(workspace, &job) },
        }
    }
}

/// What the placement of an item depends on.
#[derive(Debug, Clone, Default)]
pub struct ItemPrompt {
    /// Hash of the parts that its prompt shares with others; 0 if there are none.
    pub affinity: u64,
    /// Hashes of these parts.
    pub parts: Parts,
}

/// One page of the results of a job.
#[derive(Debug, Clone)]
pub struct ResultsPage {
    /// Number of items in the job.
    pub total: usize,
    /// Position after the last result of this page.
    pub next: usize,
    /// Results, in the order of the job's result log.
    pub results: Vec<ItemResult>,
}

/// Header names and body formats that callers, targets and operators use.
pub trait Dialect {
    /// Whether one of these features of a deployment calls for overload control.
    fn requests_overload_control(&self, features: &[Name]) -> bool;

    /// Header names.
    fn headers(&self) -> &HeaderNames;

    /// Whether a request is a readiness check.
    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;

    /// Parses the method and URI of a job call; `None` for any other request. The error names the problem of a call with
    /// an invalid parameter.
    fn job_call(&self, method: &Method, uri: &Uri) -> Option<Result<JobCall, &'static str>>;

    /// Parses the body of a job submission, in which the headers of each item take at most `max_header_bytes`.
    ///
    /// # Errors
    ///
    /// The body is invalid, with the problem.
    fn submission(&self, body: &[u8], max_header_bytes: usize) -> Result<Vec<Item>, String>;

    /// What the placement of an item depends on.
    fn item_prompt(&self, item: &Item) -> ItemPrompt;

    /// Decodes the headers of an item.
    ///
    /// # Errors
    ///
    /// They are invalid, with the problem.
    fn item_headers(&self, item: &Item) -> Result<HeaderMap, String>;

    /// Decodes the body of an item.
    ///
    /// # Errors
    ///
    /// The body is invalid, with the problem.
    fn item_body(&self, item: &Item) -> Result<Bytes, String>;

    /// Serialises a page of results.
    fn results(&self, page: &ResultsPage) -> Bytes;

    /// Load that a target reports in the headers of an answer, if it does.
    fn reported_load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// Number of reported loads whose speed was invalid and ignored.
    fn invalid_speeds(&self) -> u64;

    /// Hash of the prompt prefix that a request shares with others; 0 if there is none.
    fn affinity(&self, headers: &HeaderMap) -> u64;

    /// Hashes of the parts of a request's prompt that other requests may share, in order;
    /// [`MAX_PARTS`](samphiredoor_core::crash_reports::MAX_PARTS) at most.
    fn shared_parts(&self, headers: &HeaderMap) -> Parts;

    /// Parses the routes; `None` for an object that holds no routes.
    ///
    /// # Errors
    ///
    /// The routes are invalid, with the problem.
    fn routes(&self, stored: &Stored) -> Result<Option<RouteTable>, String>;

    /// Parses the entry of a target.
    ///
    /// # Errors
    ///
    /// The entry describes no usable target, with the problem.
    fn target(&self, stored: &Stored) -> Result<TargetEntry, String>;

    /// Status of a storage host that has no data left.
    fn drained_status(&self) -> Value;
}
