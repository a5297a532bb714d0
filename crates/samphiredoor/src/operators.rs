//! The operators' listener: health, readiness, metrics, statements and the manifest.
//!
//! Health and readiness need no token, for the platform's load balancer; all other paths need the operators' token if
//! one is set.

use std::rc::Rc;

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use samphiredoor_net::Body;
use samphiredoor_query::Statement;
use serde_json::json;

use crate::{
    answers::{bad_request, json_response, not_found},
    commands,
    door::Door,
    manifest_http,
    query_rows::{self, QueryError},
    request_body::RequestBody,
};

const MAX_STATEMENT_BYTES: usize = 16 * 1024;

/// Responds to one request on the operators' listener.
pub async fn handle_request(door: Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/health") => {
            return json_response(StatusCode::OK, &json!({ "health": "ok" }));
        }
        (&Method::GET, "/ready") => return ready(&door),
        _ => {}
    }
    if let Some(token) = &door.config.operators_token
        && !token.admits(request.headers())
    {
        log::warn!("operators: refused a request without a valid token");
        let value = json!({ "error": "present the operators' token as `authorization: Bearer`" });
        return json_response(StatusCode::UNAUTHORIZED, &value);
    }
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/statement") => statement(&door, request).await,
        (&Method::GET, "/metrics") => Response::new(Body::full(door.metrics.text())),
        (&Method::GET, "/manifest") => manifest_http::get(&door).await,
        (&Method::PUT, "/manifest") => manifest_http::put(&door, request).await,
        _ => not_found("no such path; see docs/OPERATIONS.md"),
    }
}

fn ready(door: &Door) -> Response<Body> {
    let revision = door.manifest.current().revision;
    let ready = revision > 0 && !door.stopping.get();
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json_response(status, &json!({ "ready": ready, "revision": revision }))
}

async fn statement(door: &Rc<Door>, request: Request<Incoming>) -> Response<Body> {
    let body = RequestBody::new(request.into_body(), MAX_STATEMENT_BYTES, door.config.body_timeout);
    let body = match body.read_to_end(&door.buffers).await {
        Ok(body) => body,
        Err(err) => return err.answer(),
    };
    match samphiredoor_query::parse(&String::from_utf8_lossy(&body)) {
        Err(err) => bad_request("statement", &err.to_string()),
        Ok(Statement::Command(command)) => commands::run(door, command).await,
        Ok(Statement::Query(query)) => match query_rows::run_query(door, &query).await {
            Ok(result) if query.count => {
                let value = json!({ "count": result.rows.len(), "truncated": result.truncated });
                json_response(StatusCode::OK, &value)
            }
            Ok(result) => json_response(
                StatusCode::OK,
                &json!({
                    "fields": query.noun.fields(),
                    "rows": result.rows,
                    "truncated": result.truncated,
                }),
            ),
            Err(QueryError::StoreDown) => store_down(),
            Err(QueryError::NoJob) => not_found("no such job"),
        },
    }
}

fn store_down() -> Response<Body> {
    json_response(
        StatusCode::SERVICE_UNAVAILABLE,
        &json!({ "error": "the store is not reachable" }),
    )
}
