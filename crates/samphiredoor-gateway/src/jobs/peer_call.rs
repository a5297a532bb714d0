//! Requests about jobs between gateways, and their paths.

use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode, Uri, header};
use samphiredoor_core::ordered::JobName;
use samphiredoor_net::{Body, Pool, fetch::FetchLimits, pool::within};

/// Longest pause within a response body. The whole body may take longer, as a page of results may be large.
const IDLE_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time of a whole response body: a page of one megabyte over a busy link between regions, at 200 bytes per
/// millisecond.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A request from one gateway to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// Reads results in the place of another gateway, which knows no live owner of the job.
    ReadFor {
        /// Job to read.
        job: JobName,
        /// Number of results that the reader already has.
        after: usize,
        /// Longest wait for another result.
        wait_ms: u64,
    },
    /// Reads the body of an item in the place of another gateway, which knows no live owner of the job.
    ItemFor {
        /// Job of the item.
        job: JobName,
        /// Id of the item.
        item: String,
    },
    /// Reads results.
    Read {
        /// Job to read.
        job: JobName,
        /// Number of results that the reader already has.
        after: usize,
        /// Longest wait for another result.
        wait_ms: u64,
    },
    /// Reads the body of an item that has no result yet.
    Item {
        /// Job of the item.
        job: JobName,
        /// Id of the item.
        item: String,
    },
    /// Notifies the owner that its job was cancelled by the caller.
    Cancelled {
        /// Job that was cancelled.
        job: JobName,
        /// Incarnation of the receiver that owns the job according to its header.
        incarnation: u64,
    },
    /// Offers a job that was handed over and has no owner.
    Offer {
        /// Job to take over.
        job: JobName,
    },
    /// Asks whether one incarnation of a process is still running and reaches the store.
    CheckAlive {
        /// Incarnation that is meant.
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
            PeerCall::ReadFor { job, after, wait_ms } => {
                (Method::GET, format!("/reads/{job}/results/{after}/{wait_ms}"))
            }
            PeerCall::ItemFor { job, item } => (Method::GET, format!("/reads/{job}/items/{item}")),
            PeerCall::Cancelled { job, incarnation } => {
                (Method::POST, format!("/jobs/{job}/ended/{incarnation}"))
            }
            PeerCall::Offer { job } => (Method::POST, format!("/jobs/{job}/offer")),
            PeerCall::CheckAlive { incarnation } => (Method::GET, format!("/starts/{incarnation}")),
        }
    }

    /// Parses a request; `None` if method and path match no call.
    pub fn parse(method: &Method, uri: &Uri) -> Option<PeerCall> {
        let segments: Vec<&str> = uri.path().trim_start_matches('/').split('/').collect();
        let call = match (method, segments.as_slice()) {
            (&Method::GET, ["jobs", job, "results", after, wait_ms]) => PeerCall::Read {
                job: (*job).into(),
                after: after.parse().ok()?,
                wait_ms: wait_ms.parse().ok()?,
            },
            (&Method::GET, ["reads", job, "results", after, wait_ms]) => PeerCall::ReadFor {
                job: (*job).into(),
                after: after.parse().ok()?,
                wait_ms: wait_ms.parse().ok()?,
            },
            (&Method::GET, ["reads", job, "items", item]) => {
                PeerCall::ItemFor { job: (*job).into(), item: (*item).to_owned() }
            }
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

/// Sends one call to another gateway. `None` if the response does not begin within `timeout`, stalls, takes too long, is too
/// large or fails.
pub async fn exchange(
    pool: &Pool,
    call: &PeerCall,
    timeout: Duration,
) -> Option<(StatusCode, Bytes)> {
    let (method, uri) = call.request();
    let request = Request::builder().method(method).uri(uri).header(header::HOST, "gateway");
    let limits = FetchLimits::new(IDLE_TIMEOUT, MAX_RESPONSE_BYTES).with_head_timeout(timeout);
    let fetching = pool.fetch(request.body(Body::empty()).ok()?, limits);
    let fetched = within(timeout + BODY_TIMEOUT, fetching).await?.ok()?;
    Some((fetched.status, fetched.body))
}
