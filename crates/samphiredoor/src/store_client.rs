//! Client of the platform's object API.
//!
//! Distinguishes a call that had no effect (refused, or never sent) from one whose response was lost and that may have
//! taken effect. Connections are opened as needed, so that a slow call never delays another.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode, header};
use samphiredoor_core::store::{
    Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version,
};
use samphiredoor_net::{
    Body, Pool,
    fetch::{FetchError, FetchLimits},
    pool::{ResponseBody, within},
};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::splitter::Splitter;

const ROOT: &str = "/apis/samphiredoor.dev/v1";
const WATCH_TIMEOUT_S: u32 = 240;
/// Time after which a watch that the store has not ended is closed: what the store is asked for, and a minute for a slow one.
const MAX_WATCH_TIME: Duration = Duration::from_secs(WATCH_TIMEOUT_S as u64 + 60);
/// Largest event; an object has at most one megabyte.
const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;
/// Events in a row that cannot be read after which a watch is closed. A foreign writer's object is one of them; bytes that
/// are no events come without end.
const MAX_UNREADABLE_EVENTS: u32 = 10;
/// Largest response. A page has at most a hundred objects of the ledger, mostly of some kilobytes and of at most one megabyte,
/// or 500 small ones.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of the object API; clones share connections.
#[derive(Clone)]
pub struct StoreClient {
    pool: Pool,
    timeout: Duration,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Metadata {
    name: String,
    #[serde(default)]
    resource_version: String,
    #[serde(default)]
    labels: BTreeMap<String, String>,
}

#[derive(Serialize, Deserialize)]
struct Object {
    metadata: Metadata,
    spec: Box<RawValue>,
}

#[derive(Deserialize)]
struct ListMetadata {
    #[serde(rename = "resourceVersion")]
    resource_version: String,
    #[serde(default, rename = "continue")]
    next: String,
}

// Each object is parsed on its own, so that an invalid one of another writer does not hide the others.
#[derive(Deserialize)]
struct List {
    metadata: ListMetadata,
    items: Vec<Box<RawValue>>,
}

#[derive(Deserialize)]
struct Status {
    #[serde(default)]
    reason: String,
}

#[derive(Deserialize)]
struct Event {
    #[serde(rename = "type")]
    kind: String,
    object: Object,
}

/// Event of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchEvent {
    /// An object was created or updated; its new state.
    Written(Stored),
    /// The object of this name was deleted.
    Deleted(Arc<str>),
}

/// An open watch. It may end at any time, and events may be missing or duplicated.
pub struct Watch {
    body: ResponseBody,
    lines: Splitter,
    /// Consecutive events that could not be read.
    unreadable: u32,
    until: Instant,
}

impl Watch {
    /// Waits for the next event; `None` when the watch has ended. Cancel safe: received bytes stay in the buffer.
    pub async fn next(&mut self) -> Option<WatchEvent> {
        loop {
            while let Some(line) = self.lines.next_part() {
                if let Some(event) = watch_event(line) {
                    self.unreadable = 0;
                    return Some(event);
                }
                self.unreadable += 1;
                if self.unreadable >= MAX_UNREADABLE_EVENTS {
                    log::warn!("store: a watch sends no events, closed");
                    return None;
                }
            }
            if self.lines.unfinished_bytes() > MAX_EVENT_BYTES {
                log::warn!("store: a watch event exceeds {MAX_EVENT_BYTES} bytes");
                return None;
            }
            let left = self.until.saturating_duration_since(Instant::now());
            let frame = within(left, self.body.frame()).await??.ok()?;
            if let Ok(data) = frame.into_data() {
                self.lines.push(&data);
            }
        }
    }
}

fn watch_event(line: &[u8]) -> Option<WatchEvent> {
    match serde_json::from_str::<Event>(&String::from_utf8_lossy(line)) {
        Ok(event) if event.kind == "DELETED" => {
            Some(WatchEvent::Deleted(event.object.metadata.name.into()))
        }
        Ok(event) => stored(event.object).map(WatchEvent::Written),
        Err(err) => {
            log::warn!("store: unreadable watch event: {err}");
            None
        }
    }
}

impl StoreClient {
    /// Creates a client of the API at `address`; `timeout` bounds connecting and each call.
    pub fn new(address: SocketAddr, timeout: Duration) -> StoreClient {
        StoreClient { pool: Pool::new(address).with_connect_timeout(timeout), timeout }
    }

    /// Makes one call and waits for its result.
    pub async fn call(&self, op: StoreOp) -> StoreAnswer {
        let write = op.is_write();
        let delete = matches!(op, StoreOp::Delete { .. });
        let after = match &op {
            StoreOp::List { after, .. } => after.clone(),
            _ => None,
        };
        let Some(request) = request(op) else { return StoreAnswer::Unavailable };
        let lost = if write { StoreAnswer::Unknown } else { StoreAnswer::Unavailable };
        let limits = FetchLimits::new(self.timeout, MAX_RESPONSE_BYTES);
        match self.pool.fetch(request, limits).await {
            Ok(fetched) if fetched.status == StatusCode::OK && delete => StoreAnswer::Deleted,
            Ok(fetched) => match answer(fetched.status, &fetched.body, &lost) {
                // Callers read on until there is no next page.
                StoreAnswer::Page { next: Some(next), .. } if Some(&next) == after.as_ref() => {
                    log::warn!("store: a list repeats its page after {next}");
                    lost
                }
                answer => answer,
            },
            Err(FetchError::NotSent(err)) => {
                log::debug!("store: not reachable: {err}");
                StoreAnswer::Unavailable
            }
            Err(FetchError::MayHaveRun(err)) => {
                log::debug!("store: response lost: {err}");
                lost
            }
            Err(FetchError::TimedOut { .. }) => lost,
        }
    }

    /// Makes one call in a new task, which passes the answer to `on_answer`.
    pub fn spawn_call(&self, op: StoreOp, on_answer: impl FnOnce(StoreAnswer) + 'static) {
        let store = self.clone();
        compio::runtime::spawn(async move { on_answer(store.call(op).await) }).detach();
    }

    /// Watches the objects of a kind for changes after a version; `None` if the store does not answer within the
    /// timeout. The status of the response is not checked: a watch that the store refuses yields no events and ends.
    pub async fn watch(&self, kind: Kind, version: Version) -> Option<Watch> {
        let path = format!(
            "{ROOT}/{}?watch=1&resourceVersion={}&timeoutSeconds={WATCH_TIMEOUT_S}",
            kind.path(),
            version.0
        );
        let request = Request::get(path).header(header::HOST, "store").body(Body::empty()).ok()?;
        let response = within(self.timeout, self.pool.send(request)).await?.ok()?;
        let until = Instant::now() + MAX_WATCH_TIME;
        let lines = Splitter::new(b"\n");
        Some(Watch { body: response.into_body(), lines, unreadable: 0, until })
    }
}

fn request(op: StoreOp) -> Option<Request<Body>> {
    let (method, path, body) = match op {
        StoreOp::Get { key } => (Method::GET, object_path(&key), None),
        StoreOp::Create { key, labels, value } => {
            let body = object_json(&key, None, labels, &value)?;
            (Method::POST, format!("{ROOT}/{}", key.kind.path()), Some(body))
        }
        StoreOp::Update { key, version, labels, value } => {
            let body = object_json(&key, Some(version), labels, &value)?;
            (Method::PUT, object_path(&key), Some(body))
        }
        StoreOp::Delete { key, version } => {
            let version = version.map(|it| format!("?resourceVersion={}", it.0));
            let path = format!("{}{}", object_path(&key), version.unwrap_or_default());
            (Method::DELETE, path, None)
        }
        StoreOp::List { kind, prefix, labels, after, limit } => {
            (Method::GET, list_path(kind, &prefix, &labels, after.as_deref(), limit), None)
        }
    };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "store")
        .header(header::CONTENT_TYPE, "application/json");
    request.body(body.map_or_else(Body::empty, Body::full)).ok()
}

fn object_path(key: &ObjectKey) -> String {
    format!("{ROOT}/{}/{}", key.kind.path(), key.name)
}

fn list_path(
    kind: Kind,
    prefix: &str,
    labels: &Labels,
    after: Option<&str>,
    limit: usize,
) -> String {
    let mut path = format!("{ROOT}/{}?limit={limit}&prefix={prefix}", kind.path());
    if !labels.is_empty() {
        let pairs: Vec<String> = labels.iter().map(|(k, v)| format!("{k}%3D{v}")).collect();
        path.push_str("&labelSelector=");
        path.push_str(&pairs.join("%2C"));
    }
    if let Some(after) = after {
        path.push_str("&continue=");
        path.push_str(after);
    }
    path
}

fn object_json(
    key: &ObjectKey,
    version: Option<Version>,
    labels: Labels,
    value: &Value,
) -> Option<Vec<u8>> {
    let resource_version = version.map(|it| it.0.to_string()).unwrap_or_default();
    let metadata = Metadata { name: key.name.to_string(), resource_version, labels };
    let text = std::str::from_utf8(value).ok()?.to_owned();
    let object = Object { metadata, spec: RawValue::from_string(text).ok()? };
    serde_json::to_vec(&object).ok()
}

fn answer(status: StatusCode, body: &[u8], lost: &StoreAnswer) -> StoreAnswer {
    match status {
        StatusCode::OK | StatusCode::CREATED => success(body).unwrap_or_else(|| lost.clone()),
        StatusCode::NOT_FOUND => StoreAnswer::Absent,
        StatusCode::CONFLICT => match serde_json::from_slice::<Status>(body) {
            Ok(status) if status.reason == "AlreadyExists" => StoreAnswer::Taken,
            _ => StoreAnswer::Conflict,
        },
        StatusCode::PAYLOAD_TOO_LARGE => StoreAnswer::TooLarge,
        StatusCode::SERVICE_UNAVAILABLE
        | StatusCode::TOO_MANY_REQUESTS
        | StatusCode::BAD_REQUEST => StoreAnswer::Unavailable,
        _ => lost.clone(),
    }
}

fn success(body: &[u8]) -> Option<StoreAnswer> {
    // Other writers may have stored bytes that are no UTF-8.
    let body = String::from_utf8_lossy(body);
    if let Ok(object) = serde_json::from_str::<Object>(&body) {
        return stored(object).map(StoreAnswer::Object);
    }
    let list = serde_json::from_str::<List>(&body).ok()?;
    let items = list.items.iter().filter_map(|it| listed(it)).collect();
    let next = (!list.metadata.next.is_empty()).then(|| Arc::from(list.metadata.next));
    let version = Version(list.metadata.resource_version.parse().ok()?);
    Some(StoreAnswer::Page { items, next, version })
}

fn listed(raw: &RawValue) -> Option<Stored> {
    let object = serde_json::from_str::<Object>(raw.get());
    let stored = object.ok().and_then(stored);
    if stored.is_none() {
        log::warn!("store: invalid object in a list ignored");
    }
    stored
}

fn stored(object: Object) -> Option<Stored> {
    Some(Stored {
        name: object.metadata.name.into(),
        version: Version(object.metadata.resource_version.parse().ok()?),
        labels: object.metadata.labels,
        value: object.spec.get().as_bytes().into(),
    })
}
