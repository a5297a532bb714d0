//! An engine over HTTP: the usual completion calls, whole and streamed, a load report, and a record of what ran.
//!
//! `POST /v1/completions` and `POST /v1/chat/completions` answer with one word a token; closing the connection aborts
//! the sequence. `GET /load` is the lagging report, `GET /runs` counts how often each `x-request-id` was run, `GET /record`
//! tells what the steps were like, and `DELETE /record` sets that to zero. A prompt that holds the text of `crash_on` ends the engine, as a broken request would.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use samphiredoor_net::{Body, BoxError, body::read_whole};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    engine::{Admission, Batch, EngineConfig, LoadReport},
    engine_record::EngineRecord,
    json,
};

const MAX_BODY_BYTES: usize = 8_000_000;
const IDLE_POLL: Duration = Duration::from_millis(1);
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Body of a completion call, as far as the engine reads it.
#[derive(Debug)]
#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: Value,
    #[serde(default)]
    messages: Value,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume_from_token: u32,
}

impl Completion {
    fn prompt_text(&self) -> String {
        match (&self.prompt, &self.messages) {
            (Value::String(prompt), _) => prompt.clone(),
            (Value::Null, messages) => messages.to_string(),
            (prompt, _) => prompt.to_string(),
        }
    }
}

/// How often each request was run, by its id.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Runs {
    /// Starts by request id.
    pub started: BTreeMap<String, u32>,
    /// Runs that reached their last token, by request id.
    pub completed: BTreeMap<String, u32>,
}

struct State {
    config: EngineConfig,
    batch: Batch,
    reports: VecDeque<(Instant, LoadReport)>,
    runs: Runs,
    crash_on: Option<String>,
}

/// One engine as a handler.
#[derive(Clone)]
pub struct Engine {
    state: Rc<RefCell<State>>,
}

impl Engine {
    /// Engine without load.
    pub fn new(config: EngineConfig) -> Engine {
        let state = State {
            config,
            batch: Batch::default(),
            reports: VecDeque::new(),
            runs: Runs::default(),
            crash_on: None,
        };
        Engine { state: Rc::new(RefCell::new(state)) }
    }

    /// Ends the process when a prompt holds `text`.
    pub fn with_crash_on(self, text: Option<String>) -> Engine {
        self.state.borrow_mut().crash_on = text;
        self
    }

    /// Steps the batch until the process ends.
    pub async fn run_steps(self) {
        // Ends of steps follow from each other, not from when the task woke: a late wake does not add up.
        let mut step_end = Instant::now();
        loop {
            if self.state.borrow().batch.is_empty() {
                self.record_load();
                compio::time::sleep(IDLE_POLL).await;
                step_end = Instant::now();
                continue;
            }
            let step_ms = {
                let state = &mut *self.state.borrow_mut();
                state.batch.begin_step(&state.config)
            };
            step_end += Duration::from_secs_f64(step_ms / 1_000.0);
            compio::time::sleep_until(step_end).await;
            let late = Instant::now().saturating_duration_since(step_end);
            let state = &mut *self.state.borrow_mut();
            state.batch.record().late(late.as_micros() as u64);
            state.batch.end_step();
            record_load(state);
        }
    }

    /// Answers one request.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/load") => json::answer(StatusCode::OK, &self.reported_load()),
            (Method::GET, "/runs") => json::answer(StatusCode::OK, &self.state.borrow().runs),
            (Method::GET, "/record") => {
                json::answer(StatusCode::OK, self.state.borrow_mut().batch.record())
            }
            (Method::DELETE, "/record") => {
                *self.state.borrow_mut().batch.record() = EngineRecord::default();
                json::status(StatusCode::OK, "Reset", "set to zero")
            }
            (Method::GET, "/health") => json::status(StatusCode::OK, "Ready", "ready"),
            (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                self.complete(request).await
            }
            _ => json::status(StatusCode::NOT_FOUND, "NotFound", "no such call"),
        }
    }

    async fn complete(&self, request: Request<Incoming>) -> Response<Body> {
        let chat = request.uri().path().contains("chat");
        let id = request_id(&request);
        let body = match read_whole(request.into_body(), MAX_BODY_BYTES).await {
            Ok(body) => body,
            Err(_) => return json::status(StatusCode::BAD_REQUEST, "BadRequest", "no body"),
        };
        let call = match serde_json::from_slice::<Completion>(&body) {
            Ok(call) => call,
            Err(err) => {
                return json::status(StatusCode::BAD_REQUEST, "BadRequest", &err.to_string());
            }
        };
        let prompt = call.prompt_text();
        self.crash_if_told(&prompt);
        let (tokens, shape) = self.admit(&id, &prompt, &call, chat);
        if call.stream { stream_answer(shape, tokens) } else { whole_answer(shape, tokens).await }
    }

    fn admit(&self, id: &str, prompt: &str, call: &Completion, chat: bool) -> (Tokens, Shape) {
        let state = &mut *self.state.borrow_mut();
        *state.runs.started.entry(id.to_owned()).or_default() += 1;
        let total = call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
        let first = call.resume_from_token.min(total - 1);
        let admission = Admission { id, prompt, first_index: first, tokens: total - first };
        let receiver = state.batch.admit(&state.config, admission);
        let tokens = Tokens {
            receiver,
            remaining: total - first,
            id: id.to_owned(),
            state: Rc::clone(&self.state),
        };
        (tokens, Shape { chat, model: call.model.clone(), id: id.to_owned() })
    }

    fn crash_if_told(&self, prompt: &str) {
        let crash = self.state.borrow().crash_on.as_ref().is_some_and(|it| prompt.contains(it));
        if crash {
            log::error!("engine: crashed by a request");
            std::process::exit(101);
        }
    }

    fn record_load(&self) {
        record_load(&mut self.state.borrow_mut());
    }

    fn reported_load(&self) -> LoadReport {
        self.state.borrow().reports.front().map(|(_, load)| *load).unwrap_or_default()
    }
}

fn record_load(state: &mut State) {
    let now = Instant::now();
    let lag = Duration::from_millis(state.config.report_lag_ms);
    state.reports.push_back((now, state.batch.load()));
    while state.reports.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
        state.reports.pop_front();
    }
}

struct Tokens {
    receiver: flume::Receiver<u32>,
    remaining: u32,
    id: String,
    state: Rc<RefCell<State>>,
}

impl Tokens {
    async fn next(&mut self) -> Option<u32> {
        let index = self.receiver.recv_async().await.ok()?;
        self.remaining -= 1;
        if self.remaining == 0 {
            let runs = &mut self.state.borrow_mut().runs;
            *runs.completed.entry(self.id.clone()).or_default() += 1;
        }
        Some(index)
    }
}

struct Shape {
    chat: bool,
    model: String,
    id: String,
}

impl Shape {
    fn piece(&self, text: &str) -> Value {
        let choice = match self.chat {
            true => json!({ "index": 0, "delta": { "content": text } }),
            false => json!({ "index": 0, "text": text }),
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        json!({ "id": self.id, "object": object, "model": self.model, "choices": [choice] })
    }

    fn whole(&self, text: &str, tokens: u32) -> Value {
        let choice = match self.chat {
            true => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": "length",
            }),
            false => json!({ "index": 0, "text": text, "finish_reason": "length" }),
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        json!({
            "id": self.id,
            "object": object,
            "model": self.model,
            "choices": [choice],
            "usage": { "completion_tokens": tokens },
        })
    }
}

async fn whole_answer(shape: Shape, mut tokens: Tokens) -> Response<Body> {
    let mut text = String::new();
    let mut count = 0;
    while let Some(index) = tokens.next().await {
        text.push_str(&word(index));
        count += 1;
    }
    json::answer(StatusCode::OK, &shape.whole(&text, count))
}

fn stream_answer(shape: Shape, tokens: Tokens) -> Response<Body> {
    let pieces = futures_util::stream::unfold(Some((shape, tokens)), next_piece);
    let mut response = Response::new(Body::stream(pieces));
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

type Streaming = Option<(Shape, Tokens)>;

async fn next_piece(streaming: Streaming) -> Option<(Result<Bytes, BoxError>, Streaming)> {
    let (shape, mut tokens) = streaming?;
    match tokens.next().await {
        Some(index) => {
            let mut piece = shape.piece(&word(index));
            if tokens.remaining == 0 {
                piece["choices"][0]["finish_reason"] = "length".into();
            }
            let event = format!("data: {piece}\n\n");
            Some((Ok(event.into()), Some((shape, tokens))))
        }
        None => Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None)),
    }
}

fn word(index: u32) -> String {
    format!("w{index} ")
}

fn request_id(request: &Request<Incoming>) -> String {
    let value = request.headers().get("x-request-id").and_then(|it| it.to_str().ok());
    value.unwrap_or("unnamed").to_owned()
}
