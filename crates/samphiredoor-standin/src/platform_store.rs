//! Simulated platform store in memory, with injectable faults: objects by kind and name, one revision counter, and
//! long-polling watches over a history of events.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use percent_encoding::percent_decode_str;
use samphiredoor_net::{Body, body::read_whole};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Most objects in one page of a list.
const PAGE_OBJECTS: usize = 500;
const ROOT: &str = "/samphiredoor/objects/";
/// Kind of objects that hold parts of job submissions.
const PARTS: &str = "jobparts";
/// Kind of objects that hold results of jobs.
const SEGMENTS: &str = "jobsegments";
/// Kind of job headers.
const HEADERS: &str = "orderedjobs";
/// Kind of gateway entries.
const GATEWAYS: &str = "doors";
/// Kind without objects, read instead of [`GATEWAYS`] while these are hidden.
const EMPTY_KIND: &str = "";
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay of [`StoreFault::WritesLate`]; longer than gateways wait for an answer.
const LATE_WRITE_DELAY: Duration = Duration::from_secs(1);
/// Time without an answer; longer than the timeout of any call in tests.
const NO_ANSWER_TIME: Duration = Duration::from_secs(600);

/// Fault of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Does not answer any call and does not apply writes.
    Silent,
    /// Does not answer watches, including those that wait already; all other calls are answered.
    WatchesSilent,
    /// Rejects all calls with 503.
    Busy,
    /// Applies writes but does not answer them.
    WritesUnanswered,
    /// Applies writes one second later and does not answer them.
    WritesLate,
    /// Applies writes when this fault is over and does not answer them.
    WritesHeld,
    /// Delays writes of submission parts until there is a job header.
    PartsAfterHeaders,
    /// Delays writes of submission parts while this fault is set.
    PartsHeld,
    /// Rejects writes of submission parts with 503.
    PartsRefused,
    /// Rejects writes of results with 503.
    SegmentsRefused,
    /// Delays updates of job headers while this fault is set.
    HeaderUpdatesHeld,
    /// Hides gateway entries from lists and watches.
    GatewaysHidden,
}

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Value,
    status: Value,
}

impl Object {
    fn json(&self, name: &str) -> Value {
        json!({
            "meta": {
                "name": name, "revision": self.revision, "created": self.created,
                "finalizers": [], "deleting": false,
            },
            "spec": self.spec,
            "status": self.status,
        })
    }
}

#[derive(Debug, Clone)]
struct Event {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

type Kinds = BTreeMap<String, BTreeMap<String, Object>>;

/// State of the store at a revision.
#[derive(Debug, Clone)]
struct Snapshot {
    revision: u64,
    kinds: Kinds,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    kinds: Kinds,
    /// Snapshots that lists with `isStale` are read from, oldest first; without any, they are read from the current
    /// state.
    snapshots: Vec<Snapshot>,
    history: Vec<Event>,
    /// Revision up to which the history was discarded; watches from before get 410.
    discarded_revision: u64,
    fault: StoreFault,
    calls: BTreeMap<String, u64>,
    answers: BTreeMap<String, u64>,
    /// Watches that a fault has left without an answer, by kind.
    silenced_watches: BTreeMap<String, u64>,
}

/// Handle to the store; clones share its state.
#[derive(Debug, Clone, Default)]
pub struct PlatformStore {
    state: Arc<Mutex<State>>,
    /// Fault of the access path of this handle; takes precedence over the store's own fault.
    path_fault: Arc<Mutex<StoreFault>>,
    /// Greatest name after which a page with objects was read through the access path of this handle.
    listed_after: Arc<Mutex<String>>,
}

impl PlatformStore {
    /// Empty store.
    pub fn new() -> PlatformStore {
        PlatformStore::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Handle to the same store with an access path of its own, as one host has it.
    pub fn with_own_path(&self) -> PlatformStore {
        PlatformStore { state: Arc::clone(&self.state), ..PlatformStore::default() }
    }

    /// Greatest name after which a page with objects was read through the access path of this handle.
    pub fn listed_after(&self) -> String {
        self.listed_after.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    fn record_list(&self, kind: &str, after: &str) {
        let last_name = |objects: &BTreeMap<String, Object>| objects.keys().next_back().cloned();
        if self.state().kinds.get(kind).and_then(last_name).is_none_or(|it| *it <= *after) {
            return;
        }
        let mut listed = self.listed_after.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if after > listed.as_str() {
            *listed = after.to_owned();
        }
    }

    /// Sets the fault of this handle's access path; other paths are not affected.
    pub fn set_path_fault(&self, fault: StoreFault) {
        *self.path_fault.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = fault;
    }

    fn fault(&self) -> StoreFault {
        let path_fault = *self.path_fault.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if path_fault == StoreFault::None { self.state().fault } else { path_fault }
    }

    /// Sets the fault of the store for all access paths without a fault of their own.
    pub fn set_fault(&self, fault: StoreFault) {
        self.state().fault = fault;
    }

    /// Discards the event history, so that watches have to list again.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.discarded_revision = state.revision;
        state.history.clear();
    }

    /// Takes a snapshot of the current state for stale lists: from now on, lists with `isStale` are read from
    /// snapshots. With several snapshots, these lists have pages of one object: the first is read from the newest
    /// snapshot, each further one from the next older snapshot.
    pub fn snapshot_for_stale_lists(&self) {
        let mut state = self.state();
        let snapshot = Snapshot { revision: state.revision, kinds: state.kinds.clone() };
        state.snapshots.push(snapshot);
    }

    /// Creates or replaces an object without a check of its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        self.state().write(kind, name, |object| object.spec = spec);
    }

    /// Deletes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state().remove(kind, name);
    }

    /// Spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        self.state().kinds.get(kind)?.get(name).map(|it| it.spec.clone())
    }

    /// Status of an object.
    pub fn status(&self, kind: &str, name: &str) -> Option<Value> {
        self.state().kinds.get(kind)?.get(name).map(|it| it.status.clone())
    }

    /// Names of all objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        self.state().kinds.get(kind).map(|it| it.keys().cloned().collect()).unwrap_or_default()
    }

    /// Kinds and names of the objects whose content contains `text`.
    pub fn objects_containing(&self, text: &str) -> Vec<String> {
        let state = self.state();
        let objects = state.kinds.iter().flat_map(|(kind, it)| it.iter().map(move |it| (kind, it)));
        let found = objects.filter(|(_, (name, it))| it.json(name).to_string().contains(text));
        found.map(|(kind, (name, _))| format!("{kind}/{name}")).collect()
    }

    /// Number of calls so far, by method and kind.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.state().calls.clone()
    }

    /// Number of calls that were answered so far, by method and kind.
    pub fn answers(&self) -> BTreeMap<String, u64> {
        self.state().answers.clone()
    }

    /// Number of watches so far that a fault has left without an answer, by kind.
    pub fn silenced_watches(&self) -> BTreeMap<String, u64> {
        self.state().silenced_watches.clone()
    }

    /// Handles one call.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().strip_prefix(ROOT).unwrap_or_default();
        let kind = path.split('/').next().unwrap_or_default();
        let call = format!("{} {kind}", request.method());
        let response = self.clone().answer_call(request).await;
        *self.state().answers.entry(call).or_default() += 1;
        response
    }

    async fn answer_call(self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().strip_prefix(ROOT).unwrap_or_default().to_owned();
        let query = query(parts.uri.query().unwrap_or_default());
        let Ok(body) = read_whole(body, MAX_BODY_BYTES).await else {
            return answer(StatusCode::PAYLOAD_TOO_LARGE, &Value::Null);
        };
        let segments: Vec<String> =
            path.split('/').filter(|it| !it.is_empty()).map(unescaped).collect();
        let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
        let kind = segments.first().copied().unwrap_or_default();
        *self.state().calls.entry(format!("{} {kind}", parts.method)).or_default() += 1;
        self.record_list(kind, query.get("after").map_or("", String::as_str));
        let fault = self.fault();
        let is_write = parts.method != Method::GET;
        match fault {
            StoreFault::Silent => compio::time::sleep(NO_ANSWER_TIME).await,
            StoreFault::Busy => return answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
            StoreFault::PartsAfterHeaders if kind == PARTS && is_write => {
                self.wait_for_header().await
            }
            StoreFault::PartsHeld if kind == PARTS && is_write => {
                self.wait_while(StoreFault::PartsHeld).await;
            }
            StoreFault::HeaderUpdatesHeld if kind == HEADERS && parts.method == Method::PUT => {
                self.wait_while(StoreFault::HeaderUpdatesHeld).await;
            }
            StoreFault::PartsRefused if kind == PARTS && is_write => {
                return answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null);
            }
            StoreFault::SegmentsRefused if kind == SEGMENTS && is_write => {
                return answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null);
            }
            _ => {}
        }
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if is_write && matches!(fault, StoreFault::WritesLate | StoreFault::WritesHeld) {
            self.apply_late(fault, parts.method.clone(), path.clone(), body);
            compio::time::sleep(NO_ANSWER_TIME).await;
            return answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null);
        }
        let is_hidden = fault == StoreFault::GatewaysHidden && segments == [GATEWAYS];
        let response = match parts.method {
            Method::GET if query.contains_key("watch") => {
                self.watch(if is_hidden { EMPTY_KIND } else { kind }, &query).await
            }
            Method::GET if is_hidden => self.state().read(&[EMPTY_KIND], &query),
            Method::GET => self.state().read(&segments, &query),
            method => self.state().apply(&method, &segments, &body),
        };
        if fault == StoreFault::WritesUnanswered && is_write {
            compio::time::sleep(NO_ANSWER_TIME).await;
        }
        response
    }

    /// Applies a write when its fault lets it take effect, also if its sender has disconnected.
    fn apply_late(&self, fault: StoreFault, method: Method, path: String, body: Value) {
        let store = self.clone();
        compio::runtime::spawn(async move {
            match fault {
                StoreFault::WritesHeld => store.wait_while(fault).await,
                _ => compio::time::sleep(LATE_WRITE_DELAY).await,
            }
            let segments: Vec<&str> = path.split('/').filter(|it| !it.is_empty()).collect();
            store.state().apply(&method, &segments, &body);
        })
        .detach();
    }

    async fn wait_while(&self, fault: StoreFault) {
        while self.fault() == fault {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_for_header(&self) {
        while self.names(HEADERS).is_empty() {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn watch(&self, kind: &str, query: &BTreeMap<String, String>) -> Response<Body> {
        let number = |key: &str| query.get(key).and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
        let since = number("watch");
        let deadline = Instant::now() + Duration::from_millis(number("waitMs"));
        loop {
            // The fault is checked in each iteration, so that it also affects watches that wait already.
            let fault = self.fault();
            match fault {
                StoreFault::Silent | StoreFault::WatchesSilent => {
                    *self.state().silenced_watches.entry(kind.to_owned()).or_default() += 1;
                    compio::time::sleep(NO_ANSWER_TIME).await;
                }
                StoreFault::Busy => return answer(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
                _ => {}
            }
            {
                let state = self.state();
                if since < state.discarded_revision {
                    return answer(StatusCode::GONE, &Value::Null);
                }
                let events = state.history.iter();
                let events = events.filter(|it| it.revision > since && it.kind == kind);
                let events: Vec<Value> = events
                    .map(|it| json!({ "object": it.object, "deleted": it.deleted }))
                    .collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let answered = json!({ "events": events, "currentRev": state.revision });
                    return answer(StatusCode::OK, &answered);
                }
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, change: impl FnOnce(&mut Object)) -> Value {
        self.revision += 1;
        let revision = self.revision;
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        let object = objects.entry(name.to_owned()).or_insert_with(|| Object {
            revision,
            created: revision,
            spec: Value::Null,
            status: Value::Null,
        });
        change(object);
        object.revision = revision;
        let object = object.json(name);
        let kind = kind.to_owned();
        self.history.push(Event { revision, kind, object: object.clone(), deleted: false });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(object) = self.kinds.get_mut(kind).and_then(|it| it.remove(name)) else {
            return false;
        };
        self.revision += 1;
        let (revision, kind, object) = (self.revision, kind.to_owned(), object.json(name));
        self.history.push(Event { revision, kind, object, deleted: true });
        true
    }

    fn read(&self, segments: &[&str], query: &BTreeMap<String, String>) -> Response<Body> {
        match segments {
            [kind] => {
                let after = query.get("after").map_or("", String::as_str);
                let may_be_stale = query.contains_key("isStale") && !self.snapshots.is_empty();
                match may_be_stale {
                    true => self.stale_page(kind, after),
                    false => list(&self.kinds, self.revision, kind, after, PAGE_OBJECTS),
                }
            }
            [kind, name] => match self.kinds.get(*kind).and_then(|it| it.get(*name)) {
                Some(object) => answer(StatusCode::OK, &object.json(name)),
                None => answer(StatusCode::NOT_FOUND, &Value::Null),
            },
            _ => answer(StatusCode::BAD_REQUEST, &Value::Null),
        }
    }

    fn stale_page(&self, kind: &str, after: &str) -> Response<Body> {
        let names =
            self.kinds.get(kind).map(|it| it.keys().filter(|it| it.as_str() <= after).count());
        let pages_before = names.unwrap_or(0);
        let Some(newest) = self.snapshots.len().checked_sub(1) else {
            return answer(StatusCode::NOT_FOUND, &Value::Null);
        };
        let snapshot = &self.snapshots[newest.saturating_sub(pages_before)];
        let limit = if newest == 0 { PAGE_OBJECTS } else { 1 };
        list(&snapshot.kinds, snapshot.revision, kind, after, limit)
    }

    fn apply(&mut self, method: &Method, segments: &[&str], body: &Value) -> Response<Body> {
        match *method {
            Method::POST => self.create(segments.first().copied().unwrap_or_default(), body),
            Method::PUT => self.replace(segments, body),
            Method::DELETE => self.delete(segments),
            _ => answer(StatusCode::METHOD_NOT_ALLOWED, &Value::Null),
        }
    }

    fn create(&mut self, kind: &str, body: &Value) -> Response<Body> {
        let Some(name) = body["meta"]["name"].as_str() else {
            return answer(StatusCode::BAD_REQUEST, &Value::Null);
        };
        if let Some(object) = self.kinds.get(kind).and_then(|it| it.get(name)) {
            return answer(StatusCode::CONFLICT, &object.json(name));
        }
        let spec = body["spec"].clone();
        let object = self.write(kind, name, |object| object.spec = spec);
        answer(StatusCode::OK, &object)
    }

    fn replace(&mut self, segments: &[&str], body: &Value) -> Response<Body> {
        let (kind, name) = match segments {
            [kind, name] | [kind, name, "status"] => (*kind, *name),
            _ => return answer(StatusCode::BAD_REQUEST, &Value::Null),
        };
        let Some(object) = self.kinds.get(kind).and_then(|it| it.get(name)) else {
            return answer(StatusCode::NOT_FOUND, &Value::Null);
        };
        if body["meta"]["revision"].as_u64().is_some_and(|it| it != object.revision) {
            return answer(StatusCode::CONFLICT, &object.json(name));
        }
        let is_status = segments.len() == 3;
        let (current, new) = match is_status {
            true => (&object.status, &body["status"]),
            false => (&object.spec, &body["spec"]),
        };
        if current == new {
            return answer(StatusCode::OK, &object.json(name));
        }
        let object = self.write(kind, name, |object| match is_status {
            true => object.status = body["status"].clone(),
            false => object.spec = body["spec"].clone(),
        });
        answer(StatusCode::OK, &object)
    }

    fn delete(&mut self, segments: &[&str]) -> Response<Body> {
        let deleted = matches!(segments, [kind, name] if self.remove(kind, name));
        answer(if deleted { StatusCode::OK } else { StatusCode::NOT_FOUND }, &Value::Null)
    }
}

fn list(kinds: &Kinds, revision: u64, kind: &str, after: &str, limit: usize) -> Response<Body> {
    let empty = BTreeMap::new();
    let objects = kinds.get(kind).unwrap_or(&empty).iter();
    let mut objects = objects.filter(|(name, _)| name.as_str() > after);
    let items: Vec<Value> = objects.by_ref().take(limit).map(|(name, it)| it.json(name)).collect();
    let has_more = objects.next().is_some();
    let list = json!({ "items": items, "hasMore": has_more, "currentRev": revision });
    answer(StatusCode::OK, &list)
}

fn query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|it| it.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), unescaped(value))).collect()
}

fn unescaped(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn answer(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(Body::full(value.to_string()));
    *response.status_mut() = status;
    response
}
