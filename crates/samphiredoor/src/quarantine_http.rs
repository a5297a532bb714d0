//! What operators see of the quarantine, and how an owner lifts a suspicion.

use hyper::{Response, StatusCode};
use samphiredoor_core::quarantine::{BLAMED_DEATHS, Suspect};
use samphiredoor_net::Body;
use serde_json::json;

use crate::{
    answers::{bad_request, json_answer},
    process::Door,
};

/// Lists all fingerprints that are suspected, blamed or lifted.
pub async fn list(door: &Door) -> Response<Body> {
    let row = |it: &Suspect| {
        json!({
            "fingerprint": format!("{:016x}", it.fingerprint),
            "deaths": it.deaths,
            "refused": it.deaths >= BLAMED_DEATHS,
            "lifted": it.lifted,
        })
    };
    let suspects = door.quarantine.list().await;
    let rows: Vec<_> = suspects.iter().map(row).collect();
    json_answer(StatusCode::OK, &json!({ "suspects": rows }))
}

/// Lifts the suspicion of a fingerprint.
pub fn lift(door: &Door, fingerprint: &str) -> Response<Body> {
    let Ok(fingerprint) = u64::from_str_radix(fingerprint, 16) else {
        return bad_request("fingerprint", "use the hexadecimal digits that the log and list give");
    };
    log::info!("quarantine: an operator lifts {fingerprint:016x}");
    door.quarantine.lift(fingerprint);
    json_answer(StatusCode::OK, &json!({ "lifted": format!("{fingerprint:016x}") }))
}
