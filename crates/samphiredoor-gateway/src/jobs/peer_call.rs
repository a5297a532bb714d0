//! What gateways ask each other about jobs.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, Uri, header};
use samphiredoor_core::ordered::JobName;
use samphiredoor_net::{Body, Pool, fetch::FetchLimits};

/// Longest silence within an answer; a page of results may be large.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest answer of another gateway.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A call of one gateway to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// Read results.
    Read {
        /// Which job.
        job: JobName,
        /// Number of results that the reader has.
        after: usize,
        /// Longest wait for one more.
        wait_ms: u64,
    },
    /// Read an item's body.
    Item {
        /// Which job.
        job: JobName,
        /// Which item.
        item: String,
    },
    /// The caller has ended a job.
    Cancelled {
        /// Which job.
        job: JobName,
        /// Which start of the process that is called owns it.
        incarnation: u64,
    },
    /// A job was handed over and is free to be taken.
    Offer {
        /// Which job.
        job: JobName,
    },
    /// Does a process work on its jobs?
    CheckAlive {
        /// Which start of it.
        incarnation: u64,
    },
}

impl PeerCall {
    fn request(&self) -> (Method, String) {
        match self {
            PeerCall::Read { job, after, wait_ms } => {
                (Method::GET, format!("/jobs/{job}/results/{after}/{wait_ms}"))
            }
            PeerCall::Item { job, item } => (Method::GET, format!("/jobs/{job}/items/{item}")),
            PeerCall::Cancelled { job, incarnation } => {
                (Method::POST, format!("/jobs/{job}/ended/{incarnation}"))
            }
            PeerCall::Offer { job } => (Method::POST, format!("/jobs/{job}/offer")),
            PeerCall::CheckAlive { incarnation } => (Method::GET, format!("/starts/{incarnation}")),
        }
    }

    /// Reads a call; `None` if it is none.
    pub fn parse(method: &Method, uri: &Uri) -> Option<PeerCall> {
        let segments: Vec<&str> = uri.path().trim_start_matches('/').split('/').collect();
        let call = match (method, segments.as_slice()) {
            (&Method::GET, ["jobs", job, "results", after, wait_ms]) => PeerCall::Read {
                job: (*job).into(),
                after: after.parse().ok()?,
                wait_ms: wait_ms.parse().ok()?,
            },
            (&Method::GET, ["jobs", job, "items", item]) => {
                PeerCall::Item { job: (*job).into(), item: (*item).to_owned() }
            }
            (&Method::POST, ["jobs", job, "ended", incarnation]) => {
                PeerCall::Cancelled { job: (*job).into(), incarnation: incarnation.parse().ok()? }
            }
            (&Method::POST, ["jobs", job, "offer"]) => PeerCall::Offer { job: (*job).into() },
            (&Method::GET, ["starts", incarnation]) => {
                PeerCall::CheckAlive { incarnation: incarnation.parse().ok()? }
            }
            _ => return None,
        };
        Some(call)
    }
}

/// Makes one call to another gateway, whose answer begins within `timeout`.
pub async fn exchange(
    pool: &Pool,
    call: &PeerCall,
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    let (method, uri) = call.request();
    let request = Request::builder().method(method).uri(uri).header(header::HOST, "gateway");
    let limits = FetchLimits::new(IDLE_TIMEOUT, MAX_RESPONSE_BYTES).with_head(timeout);
    let fetched = pool.fetch(request.body(Body::empty()).ok()?, limits).await.ok()?;
    Some((fetched.status, fetched.body))
}
