//! HTTP API of the object store, with call counters and injectable faults for tests.
//!
//! Paths: `/apis/samphiredoor.dev/v1/{kind}` and `/apis/samphiredoor.dev/v1/{kind}/{name}`, with `watch=1`,
//! `resourceVersion`, `timeoutSeconds`, `labelSelector`, `prefix`, `limit` and `continue` as in the platform's
//! convention. `GET /calls` returns the number of calls by verb and kind; `PUT /faults` sets [`Faults`].

use std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use samphiredoor_net::{Body, BoxError, body::read_whole};
use serde::{Deserialize, Serialize};

use crate::{
    json,
    objects::{Event, Object, Objects, Page, Selector, StoreError},
};

const ROOT: &str = "/apis/samphiredoor.dev/v1/";
const MAX_BODY_BYTES: usize = 2_000_000;
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(30);
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Faults that a test injects.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Rejects every call with 503.
    pub outage: bool,
    /// Delay before each call is handled.
    pub latency_ms: u64,
    /// Number of next writes that take effect but whose answers are cut off.
    pub lose_answers: u32,
    /// Delay before watch events are sent.
    pub watch_lag_ms: u64,
}

/// Number of calls by `verb kind`.
pub type Calls = BTreeMap<String, u64>;

struct State {
    objects: Objects,
    faults: Faults,
    calls: Calls,
    watches: u64,
}

/// HTTP handler of the object API; clones share its state.
#[derive(Clone)]
pub struct ObjectApi {
    state: Rc<RefCell<State>>,
}

impl Default for ObjectApi {
    fn default() -> ObjectApi {
        ObjectApi::new()
    }
}

enum Outcome {
    Answer(Response<Body>),
    CutAnswer,
}

impl ObjectApi {
    /// API of an empty store without faults.
    pub fn new() -> ObjectApi {
        let state = State {
            objects: Objects::new(),
            faults: Faults::default(),
            calls: Calls::new(),
            watches: 0,
        };
        ObjectApi { state: Rc::new(RefCell::new(state)) }
    }

    /// Handles one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/calls" => return self.calls(),
            "/faults" => return self.set_faults(request).await,
            _ => {}
        }
        let faults = self.state.borrow().faults.clone();
        if faults.latency_ms > 0 {
            compio::time::sleep(Duration::from_millis(faults.latency_ms)).await;
        }
        if faults.outage {
            return json::status(StatusCode::SERVICE_UNAVAILABLE, "Outage", "the store is down");
        }
        match self.answer(request).await {
            Outcome::Answer(response) => response,
            Outcome::CutAnswer => cut_answer(),
        }
    }

    fn calls(&self) -> Response<Body> {
        let state = self.state.borrow();
        let mut calls = state.calls.clone();
        calls.insert("waiting watches".to_owned(), state.watches);
        json::answer(StatusCode::OK, &calls)
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<Body> {
        let body = json::read_body(request.into_body(), MAX_BODY_BYTES).await;
        match body.and_then(|it| json::parse(&it)) {
            Ok(faults) => {
                self.state.borrow_mut().faults = faults;
                json::status(StatusCode::OK, "Set", "faults are set")
            }
            Err(response) => response,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Outcome {
        let (head, body) = request.into_parts();
        let Some(path) = head.uri.path().strip_prefix(ROOT) else {
            return rejection(StatusCode::NOT_FOUND, "NotFound", "no such path");
        };
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind.to_owned(), Some(name.to_owned())),
            None => (path.to_owned(), None),
        };
        let query = Query::parse(head.uri.query().unwrap_or_default());
        let body = match read_whole(body, MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(_) => {
                return rejection(StatusCode::PAYLOAD_TOO_LARGE, "TooLarge", "body too large");
            }
        };
        match (head.method, name) {
            (Method::GET, Some(name)) => {
                self.count_call("get", &kind);
                let got = self.state.borrow().objects.get(&kind, &name);
                Outcome::Answer(object_answer(StatusCode::OK, got))
            }
            (Method::GET, None) if query.watch => {
                self.count_call("watch", &kind);
                Outcome::Answer(self.watch(kind, query))
            }
            (Method::GET, None) => {
                self.count_call("list", &kind);
                let page = self.state.borrow().objects.list(&kind, &query.selector);
                Outcome::Answer(list_answer(page))
            }
            (Method::POST, None) => self.write("create", &kind, &body, Objects::create),
            (Method::PUT, Some(_)) => self.write("update", &kind, &body, Objects::update),
            (Method::DELETE, Some(name)) => {
                self.count_call("delete", &kind);
                let version = query.version.map(|it| it.to_string()).unwrap_or_default();
                let deleted = self.state.borrow_mut().objects.delete(&kind, &name, &version);
                self.answer_write(object_answer(StatusCode::OK, deleted))
            }
            _ => rejection(
                StatusCode::METHOD_NOT_ALLOWED,
                "MethodNotAllowed",
                "method not allowed here",
            ),
        }
    }

    fn write(
        &self,
        verb: &str,
        kind: &str,
        body: &Bytes,
        apply: fn(&mut Objects, &str, Object) -> Result<Object, StoreError>,
    ) -> Outcome {
        self.count_call(verb, kind);
        let object = match serde_json::from_slice::<Object>(body) {
            Ok(object) => object,
            Err(err) => {
                return rejection(StatusCode::BAD_REQUEST, "BadRequest", &err.to_string());
            }
        };
        let applied = apply(&mut self.state.borrow_mut().objects, kind, object);
        let status = if verb == "create" { StatusCode::CREATED } else { StatusCode::OK };
        self.answer_write(object_answer(status, applied))
    }

    fn answer_write(&self, response: Response<Body>) -> Outcome {
        let faults = &mut self.state.borrow_mut().faults;
        if faults.lose_answers == 0 {
            return Outcome::Answer(response);
        }
        faults.lose_answers -= 1;
        Outcome::CutAnswer
    }

    fn watch(&self, kind: String, query: Query) -> Response<Body> {
        let start = query.version.unwrap_or_else(|| self.state.borrow().objects.version());
        if self.state.borrow().objects.events_after(&kind, start).is_err() {
            return json::status(StatusCode::GONE, "Expired", "the version is too old; list again");
        }
        let watch = Watch {
            count: WatchCount::new(&self.state),
            kind,
            version: start,
            deadline: std::time::Instant::now() + query.timeout.unwrap_or(DEFAULT_WATCH_TIMEOUT),
        };
        let chunks = futures_util::stream::unfold(watch, Watch::next);
        Response::new(Body::stream(chunks))
    }

    fn count_call(&self, verb: &str, kind: &str) {
        *self.state.borrow_mut().calls.entry(format!("{verb} {kind}")).or_default() += 1;
    }
}

struct WatchCount(Rc<RefCell<State>>);

impl WatchCount {
    fn new(state: &Rc<RefCell<State>>) -> WatchCount {
        state.borrow_mut().watches += 1;
        WatchCount(Rc::clone(state))
    }
}

impl Drop for WatchCount {
    fn drop(&mut self) {
        self.0.borrow_mut().watches -= 1;
    }
}

struct Watch {
    count: WatchCount,
    kind: String,
    version: u64,
    deadline: std::time::Instant,
}

impl Watch {
    async fn next(mut self) -> Option<(Result<Bytes, BoxError>, Watch)> {
        while std::time::Instant::now() < self.deadline {
            let (events, faults) = {
                let state = self.count.0.borrow();
                (state.objects.events_after(&self.kind, self.version), state.faults.clone())
            };
            if faults.outage {
                return Some((Err("the store is down".into()), self));
            }
            let Ok(events) = events else { return None };
            if let Some((version, _)) = events.last() {
                if faults.watch_lag_ms > 0 {
                    compio::time::sleep(Duration::from_millis(faults.watch_lag_ms)).await;
                }
                self.version = *version;
                let lines = event_lines(events.iter().map(|(_, event)| event));
                return Some((Ok(lines), self));
            }
            compio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
        None
    }
}

fn event_lines<'a>(events: impl Iterator<Item = &'a Event>) -> Bytes {
    let mut lines = Vec::new();
    for event in events {
        lines.extend(serde_json::to_vec(event).unwrap_or_default());
        lines.push(b'\n');
    }
    lines.into()
}

/// Query parameters of a call; unknown ones are ignored.
#[derive(Default)]
struct Query {
    watch: bool,
    version: Option<u64>,
    timeout: Option<Duration>,
    selector: Selector,
}

impl Query {
    fn parse(text: &str) -> Query {
        let mut query = Query::default();
        for (key, value) in text.split('&').filter_map(|it| it.split_once('=')) {
            let value = value.to_owned();
            match key {
                "watch" => query.watch = value == "1" || value == "true",
                "resourceVersion" => query.version = value.parse().ok(),
                "timeoutSeconds" => query.timeout = value.parse().ok().map(Duration::from_secs),
                "prefix" => query.selector.prefix = value,
                "limit" => query.selector.limit = value.parse().unwrap_or_default(),
                "continue" => query.selector.after = Some(value),
                "labelSelector" => query.selector.labels = parse_labels(&value),
                _ => {}
            }
        }
        query
    }
}

fn parse_labels(text: &str) -> BTreeMap<String, String> {
    let text = text.replace("%3D", "=").replace("%2C", ",");
    let pairs = text.split(',').filter_map(|it| it.split_once('='));
    pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

fn object_answer(success: StatusCode, result: Result<Object, StoreError>) -> Response<Body> {
    match result {
        Ok(object) => json::answer(success, &object),
        Err(err) => error_answer(err),
    }
}

fn error_answer(err: StoreError) -> Response<Body> {
    match err {
        StoreError::NotFound => json::status(StatusCode::NOT_FOUND, "NotFound", "no such object"),
        StoreError::AlreadyExists => {
            json::status(StatusCode::CONFLICT, "AlreadyExists", "an object of this name exists")
        }
        StoreError::Conflict => {
            json::status(StatusCode::CONFLICT, "Conflict", "the object has another version")
        }
        StoreError::TooLarge => json::status(
            StatusCode::PAYLOAD_TOO_LARGE,
            "TooLarge",
            "the object is larger than 1 MB",
        ),
        StoreError::Expired => json::status(StatusCode::GONE, "Expired", "list again"),
    }
}

fn list_answer(page: Page) -> Response<Body> {
    let value = serde_json::json!({
        "metadata": {
            "resourceVersion": page.version.to_string(),
            "continue": page.next.unwrap_or_default(),
        },
        "items": page.items,
    });
    json::answer(StatusCode::OK, &value)
}

fn rejection(status: StatusCode, reason: &str, message: &str) -> Outcome {
    Outcome::Answer(json::status(status, reason, message))
}

/// Response whose body is cut off, so that the outcome of the write is unknown to the caller.
fn cut_answer() -> Response<Body> {
    let broken = futures_util::stream::once(async { Err("answer lost".into()) });
    let mut response = Response::new(Body::stream(broken));
    let length = hyper::header::HeaderValue::from_static("100");
    response.headers_mut().insert(hyper::header::CONTENT_LENGTH, length);
    response
}
