//! HTTP API of an engine: completion calls, plain and streamed, a load report, and counters of what ran.
//!
//! `POST /v1/completions` and `POST /v1/chat/completions` answer with one word per token; closing the connection aborts
//! the sequence. `GET /load` returns the delayed load report, `GET /runs` how often each `x-request-id` was run, and
//! `GET /record` the counters of steps and tokens; `DELETE /record` resets these. A prompt that contains the text of
//! `crash_on` ends the process, which simulates a request that crashes an engine.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use samphiredoor_net::{Body, BoxError};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    engine::{ContinuousBatch, EngineConfig, LoadReport, SequenceRequest},
    engine_record::EngineRecord,
    json,
};

const MAX_BODY_BYTES: usize = 8_000_000;
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(1);
const DEFAULT_MAX_TOKENS: u32 = 16;

/// Fields of a completion call's body that the engine reads.
#[derive(Debug)]
#[derive(Deserialize)]
struct CompletionRequest {
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

impl CompletionRequest {
    fn prompt_text(&self) -> String {
        match (&self.prompt, &self.messages) {
            (Value::String(prompt), _) => prompt.clone(),
            (Value::Null, messages) => messages.to_string(),
            (prompt, _) => prompt.to_string(),
        }
    }
}

/// Number of runs of each request.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct Runs {
    /// Started runs by request id.
    pub started: BTreeMap<String, u32>,
    /// Runs whose last token was sent, by request id.
    pub completed: BTreeMap<String, u32>,
}

struct State {
    config: EngineConfig,
    batch: ContinuousBatch,
    reports: VecDeque<(Instant, LoadReport)>,
    runs: Runs,
    crash_on: Option<String>,
}

/// HTTP handler of one engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    state: Rc<RefCell<State>>,
}

impl Engine {
    /// Idle engine; [`Engine::run_steps`] has to run for it to generate tokens.
    pub fn new(config: EngineConfig) -> Engine {
        let state = State {
            config,
            batch: ContinuousBatch::default(),
            reports: VecDeque::new(),
            runs: Runs::default(),
            crash_on: None,
        };
        Engine { state: Rc::new(RefCell::new(state)) }
    }

    /// Makes the process exit when a prompt contains `text`.
    pub fn with_crash_on(self, text: Option<String>) -> Engine {
        self.state.borrow_mut().crash_on = text;
        self
    }

    /// Runs the steps of the engine; never returns.
    pub async fn run_steps(self) {
        // Each step's end is computed from the previous one, not from the time of wake-up, so that late wake-ups don't
        // accumulate.
        let mut step_end = Instant::now();
        loop {
            if self.state.borrow().batch.is_empty() {
                self.record_load();
                compio::time::sleep(IDLE_POLL_INTERVAL).await;
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
            state.batch.record().record_delay(late.as_micros() as u64);
            state.batch.end_step();
            record_load(state);
        }
    }

    /// Handles one request.
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
            _ => json::status(StatusCode::NOT_FOUND, "NotFound", "unknown path or method"),
        }
    }

    async fn complete(&self, request: Request<Incoming>) -> Response<Body> {
        let chat = request.uri().path().contains("chat");
        let id = request_id(&request);
        let body = json::read_body(request.into_body(), MAX_BODY_BYTES).await;
        let call: CompletionRequest = match body.and_then(|it| json::parse(&it)) {
            Ok(call) => call,
            Err(response) => return response,
        };
        let prompt = call.prompt_text();
        self.crash_if_requested(&prompt);
        let (tokens, format) = self.admit(&id, &prompt, &call, chat);
        if call.stream {
            stream_answer(format, tokens)
        } else {
            complete_answer(format, tokens).await
        }
    }

    fn admit(
        &self,
        id: &str,
        prompt: &str,
        call: &CompletionRequest,
        chat: bool,
    ) -> (TokenStream, CompletionFormat) {
        let state = &mut *self.state.borrow_mut();
        *state.runs.started.entry(id.to_owned()).or_default() += 1;
        let total = call.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
        let first = call.resume_from_token.min(total - 1);
        let sequence = SequenceRequest { id, prompt, first_index: first, tokens: total - first };
        let receiver = state.batch.admit(&state.config, sequence);
        let tokens = TokenStream {
            receiver,
            remaining: total - first,
            id: id.to_owned(),
            state: Rc::clone(&self.state),
        };
        (tokens, CompletionFormat { chat, model: call.model.clone(), id: id.to_owned() })
    }

    fn crash_if_requested(&self, prompt: &str) {
        let crash = self.state.borrow().crash_on.as_ref().is_some_and(|it| prompt.contains(it));
        if crash {
            log::error!("engine: exiting, the prompt contains the text of crash_on");
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

struct TokenStream {
    receiver: flume::Receiver<u32>,
    remaining: u32,
    id: String,
    state: Rc<RefCell<State>>,
}

impl TokenStream {
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

struct CompletionFormat {
    chat: bool,
    model: String,
    id: String,
}

impl CompletionFormat {
    fn chunk(&self, text: &str) -> Value {
        let choice = match self.chat {
            true => json!({ "index": 0, "delta": { "content": text } }),
            false => json!({ "index": 0, "text": text }),
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        json!({ "id": self.id, "object": object, "model": self.model, "choices": [choice] })
    }

    fn completion(&self, text: &str, tokens: u32) -> Value {
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

async fn complete_answer(format: CompletionFormat, mut tokens: TokenStream) -> Response<Body> {
    let mut text = String::new();
    let mut count = 0;
    while let Some(index) = tokens.next().await {
        text.push_str(&token_text(index));
        count += 1;
    }
    json::answer(StatusCode::OK, &format.completion(&text, count))
}

fn stream_answer(format: CompletionFormat, tokens: TokenStream) -> Response<Body> {
    let chunks = futures_util::stream::unfold(Some((format, tokens)), next_chunk);
    let mut response = Response::new(Body::stream(chunks));
    let content_type = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

type StreamState = Option<(CompletionFormat, TokenStream)>;

async fn next_chunk(state: StreamState) -> Option<(Result<Bytes, BoxError>, StreamState)> {
    let (format, mut tokens) = state?;
    match tokens.next().await {
        Some(index) => {
            let mut chunk = format.chunk(&token_text(index));
            if tokens.remaining == 0 {
                chunk["choices"][0]["finish_reason"] = "length".into();
            }
            let event = format!("data: {chunk}\n\n");
            Some((Ok(event.into()), Some((format, tokens))))
        }
        None => Some((Ok(Bytes::from_static(b"data: [DONE]\n\n")), None)),
    }
}

fn token_text(index: u32) -> String {
    format!("w{index} ")
}

fn request_id(request: &Request<Incoming>) -> String {
    let value = request.headers().get("x-request-id").and_then(|it| it.to_str().ok());
    value.unwrap_or("unnamed").to_owned()
}
