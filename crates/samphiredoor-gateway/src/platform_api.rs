//! What the gateway needs of the platform around it: an object store, and the names and formats that callers and targets
//! speak.
//!
//! Implementations translate and decide nothing.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hyper::{HeaderMap, Method, Uri, header::HeaderName};
use samphiredoor_core::{
    Name,
    ordered::{Item, ItemResult, JobName},
    placement::{ReportedLoad, TargetEntry},
    routes::RouteTable,
    store::{Kind, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
};

/// The platform, as one process meets it.
#[derive(Clone)]
pub struct Platform {
    /// Object store.
    pub store: Rc<dyn ObjectStore>,
    /// Names and formats.
    pub dialect: Rc<dyn Dialect>,
}

/// How current a list has to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// As current as any acknowledged write.
    Current,
    /// May be seconds old, and costs little.
    MayBeStale,
}

/// One page of a list.
#[derive(Debug, Clone)]
pub struct Page {
    /// Objects in order of their names.
    pub items: Vec<Stored>,
    /// Whether there are more after the last one.
    pub has_more: bool,
    /// Version of the store, from which a watch goes on.
    pub version: Version,
}

/// One change that a watch saw.
#[derive(Debug, Clone)]
pub enum Change {
    /// The object was written, to this.
    Written(Stored),
    /// The object of this name was deleted.
    Deleted(Name),
}

/// Answer to a watch.
#[derive(Debug, Clone)]
pub enum WatchAnswer {
    /// Changes, none if the wait was over; go on from `version`.
    Changes {
        /// What changed, in order.
        changes: Vec<Change>,
        /// Where to go on.
        version: Version,
    },
    /// The history before the given version is gone; list anew.
    HistoryGone,
    /// The store refused.
    Refused,
    /// There was no answer, or none that can be read.
    NoAnswer,
}

impl WatchAnswer {
    /// How the watch ended, as it stands in logs and metrics.
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
    /// Makes one call. Lists go through [`ObjectStore::list`].
    fn call(&self, op: StoreOp) -> LocalBoxFuture<'_, StoreAnswer>;

    /// Reads one page of a kind; `None` if the store gave no usable answer.
    fn list(
        &self,
        kind: Kind,
        after: Option<Name>,
        freshness: Freshness,
    ) -> LocalBoxFuture<'_, Option<Page>>;

    /// When something of an answer last came that was no refusal; a large one comes for a while.
    fn last_received_at(&self) -> Option<Instant>;

    /// Waits at most `wait` for changes of a kind after a version.
    fn watch(&self, kind: Kind, since: Version, wait: Duration) -> LocalBoxFuture<'_, WatchAnswer>;

    /// Writes what the system says of an object that others write.
    fn set_status(&self, key: ObjectKey, status: Value) -> LocalBoxFuture<'_, StoreAnswer>;
}

/// Names of headers.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; echoed by targets.
    pub request_id: HeaderName,
    /// Milliseconds that the caller still waits.
    pub deadline_ms: HeaderName,
    /// Number of the last event that was received, to go on after it.
    pub last_event_id: HeaderName,
    /// Name of the target that is meant; any other refuses.
    pub expect_target: HeaderName,
    /// Stands on an answer of a target that did not run the request.
    pub not_run: HeaderName,
    /// Milliseconds that a read may wait for a result.
    pub wait_ms: HeaderName,
}

/// A call about a batch job that was submitted before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCall {
    /// Read results from a position on.
    Read {
        /// Which job.
        job: JobName,
        /// Number of results that the caller has.
        after: usize,
    },
    /// Read the body of an item.
    Body {
        /// Which job.
        job: JobName,
        /// Which item, by its name.
        item: String,
    },
    /// End the job.
    Cancel {
        /// Which job.
        job: JobName,
    },
}

/// Results of a job from a position on.
#[derive(Debug, Clone)]
pub struct ResultsPage {
    /// Number of the job's items.
    pub total: usize,
    /// Position after the last result of this page.
    pub next: usize,
    /// Results.
    pub results: Vec<ItemResult>,
}

/// Names and formats that callers, targets and operators use.
pub trait Dialect {
    /// Names of headers.
    fn headers(&self) -> &HeaderNames;

    /// Whether a request asks for readiness.
    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;

    /// The job call that a request makes, if it is one.
    fn job_call(&self, method: &Method, uri: &Uri) -> Option<JobCall>;

    /// Reads a submission.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn submission(&self, body: &[u8]) -> Result<Vec<Item>, String>;

    /// Decoded body of an item.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn item_body(&self, item: &Item) -> Result<Bytes, String>;

    /// Text of a page of results.
    fn results(&self, page: &ResultsPage) -> Bytes;

    /// Load that a target tells in the headers of an answer.
    fn reported_load(&self, headers: &HeaderMap) -> Option<ReportedLoad>;

    /// Hash of the prompt's beginning that requests share; 0 if there is none.
    fn affinity(&self, headers: &HeaderMap) -> u64;

    /// Reads the operators' routes; `None` for an object that is not theirs.
    ///
    /// # Errors
    ///
    /// Why they cannot be read.
    fn routes(&self, stored: &Stored) -> Result<Option<RouteTable>, String>;

    /// Reads a target's entry.
    ///
    /// # Errors
    ///
    /// Why it names no target to use.
    fn target(&self, stored: &Stored) -> Result<TargetEntry, String>;

    /// What is said of a storage host that keeps nothing any more.
    fn drained_status(&self) -> Value;
}
