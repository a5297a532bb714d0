//! The operators' door: health, readiness, metrics, statements and the manifest.
//!
//! Health and readiness are open to the platform's balancer; all else wants the operators' token, if one is set.

use std::rc::Rc;

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use samphiredoor_core::{
    manifest::Manifest,
    store::{Labels, StoreAnswer, StoreOp, Value},
};
use samphiredoor_net::{Body, body::read_whole};
use samphiredoor_query::Statement;
use samphiredoor_schema::objects::ManifestRecord;
use serde_json::json;

use crate::{
    answers::{bad_request, json_answer, not_found},
    commands,
    manifest_task::{apply, manifest_key},
    process::Door,
    query_rows::{self, Failure},
};

const MAX_STATEMENT_BYTES: usize = 16 * 1024;
const MAX_MANIFEST_BYTES: usize = 900_000;

/// Answers one request of an operator.
pub async fn answer(door: Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => {
            return json_answer(StatusCode::OK, &json!({ "health": "ok" }));
        }
        (&Method::GET, "/ready") => return ready(&door),
        _ => {}
    }
    if let Some(token) = &door.config.operators_token
        && !token.admits(request.headers())
    {
        log::warn!("operators: a request without the token was refused");
        let value = json!({ "error": "show the operators' token as `authorization: Bearer`" });
        return json_answer(StatusCode::UNAUTHORIZED, &value);
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/statement") => statement(&door, request).await,
        (&Method::GET, "/manifest") => get_manifest(&door).await,
        (&Method::GET, "/metrics") => Response::new(Body::full(door.metrics.text())),
        (&Method::PUT, "/manifest") => put_manifest(&door, request).await,
        _ => not_found("no such path; see docs/OPERATING.md"),
    }
}

fn ready(door: &Door) -> Response<Body> {
    let ready = door.revision.get() > 0 && !door.stopping.get();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_answer(status, &json!({ "ready": ready, "revision": door.revision.get() }))
}

async fn statement(door: &Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = read_whole(request.into_body(), MAX_STATEMENT_BYTES).await else {
        return bad_request("statement", "is too long or was cut");
    };
    match samphiredoor_query::parse(&String::from_utf8_lossy(&body)) {
        Err(err) => bad_request("statement", &err.to_string()),
        Ok(Statement::Command(command)) => commands::run(door, command).await,
        Ok(Statement::Query(query)) => match query_rows::answer(door, &query).await {
            Ok(answer) if query.count => {
                let value = json!({ "count": answer.rows.len(), "truncated": answer.truncated });
                json_answer(StatusCode::OK, &value)
            }
            Ok(answer) => json_answer(
                StatusCode::OK,
                &json!({
                    "fields": query.noun.fields(),
                    "rows": answer.rows,
                    "truncated": answer.truncated,
                }),
            ),
            Err(Failure::StoreDown) => store_down(),
            Err(Failure::NoJob) => not_found("no such job"),
        },
    }
}

async fn get_manifest(door: &Door) -> Response<Body> {
    match door.store.call(StoreOp::Get { key: manifest_key() }).await {
        StoreAnswer::Object(stored) => {
            let mut response = Response::new(Body::full(stored.value.to_vec()));
            let content_type = hyper::header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
            response
        }
        StoreAnswer::Absent => not_found("no manifest was applied yet"),
        _ => store_down(),
    }
}

async fn put_manifest(door: &Door, request: Request<Incoming>) -> Response<Body> {
    let Ok(body) = read_whole(request.into_body(), MAX_MANIFEST_BYTES).await else {
        return bad_request("body", "is too large or was cut");
    };
    let declared = match serde_json::from_slice(&body) {
        Ok(declared) => declared,
        Err(err) => return bad_request("manifest", &err.to_string()),
    };
    if let Err(err) = Manifest::new(1, &declared) {
        return bad_request(&err.field, &err.problem);
    }
    let key = manifest_key();
    let (revision, op) = match door.store.call(StoreOp::Get { key: key.clone() }).await {
        StoreAnswer::Object(stored) => {
            let Ok(record) = serde_json::from_slice::<ManifestRecord>(&stored.value) else {
                return bad_request("manifest", "the stored one cannot be read");
            };
            let revision = record.revision + 1;
            let value = record_value(door, revision, &body, Some(record.manifest));
            let version = stored.version;
            (revision, StoreOp::Update { key, version, labels: Labels::new(), value })
        }
        StoreAnswer::Absent => {
            let value = record_value(door, 1, &body, None);
            (1, StoreOp::Create { key, labels: Labels::new(), value })
        }
        _ => return store_down(),
    };
    match door.store.call(op).await {
        StoreAnswer::Object(stored) => {
            apply(door, &stored);
            json_answer(StatusCode::OK, &json!({ "revision": revision }))
        }
        StoreAnswer::Conflict | StoreAnswer::Taken => {
            json_answer(StatusCode::CONFLICT, &json!({ "error": "another operator was first" }))
        }
        _ => store_down(),
    }
}

fn record_value(
    door: &Door,
    revision: u64,
    body: &[u8],
    previous: Option<serde_json::Value>,
) -> Value {
    let record = ManifestRecord {
        revision,
        writer: door.unique_name(&door.config.name),
        manifest: serde_json::from_slice(body).unwrap_or_default(),
        previous,
    };
    serde_json::to_vec(&record).unwrap_or_default().into()
}

fn store_down() -> Response<Body> {
    json_answer(StatusCode::SERVICE_UNAVAILABLE, &json!({ "error": "the store is not reachable" }))
}
