//! Operators' commands, which change the manifest, cancel jobs or lift suspicions.
//!
//! A command that changes the manifest reads it, changes one value, and writes it by a conditional update. When another
//! operator's change comes in between, the update fails and the command is applied again to the new manifest, so that
//! neither change is lost.

use std::rc::Rc;

use hyper::{Response, StatusCode};
use samphiredoor_core::{
    manifest::Manifest,
    manifest_revisions::{ChangeEnd, decode_record, manifest_key},
    store::{StoreAnswer, StoreOp},
};
use samphiredoor_net::Body;
use samphiredoor_query::{Command, Settable};
use samphiredoor_schema::objects::ManifestRecord;
use serde_json::{Value, json};

use crate::{
    answers::{bad_request, json_response},
    door::Door,
    job_control, manifest_change,
};

const MAX_TRIES: u32 = 5;

/// Carries out a command; returns the response to the operator.
pub async fn run(door: &Rc<Door>, command: Command) -> Response<Body> {
    match command {
        Command::Cancel { job } => job_control::cancel(door, &job).await,
        Command::Drain { target } => {
            set_field(door, "targets", &target, "drained", json!(true)).await
        }
        Command::Undrain { target } => {
            set_field(door, "targets", &target, "drained", json!(false)).await
        }
        Command::Reclaim { target } => {
            set_field(door, "targets", &target, "reclaimed", json!(true)).await
        }
        Command::Release { target } => {
            set_field(door, "targets", &target, "reclaimed", json!(false)).await
        }
        Command::Set { object, name, field, value } => {
            let value = value.parse::<u64>().unwrap_or_default();
            set_field(door, section(object), &name, field, json!(value)).await
        }
        Command::Lift { suspect } => lift_suspicion(door, &suspect),
        Command::Rollback => {
            edit_manifest(door, |record| match record.previous.take() {
                Some(previous) => {
                    record.previous = Some(std::mem::replace(&mut record.manifest, previous));
                    Ok(())
                }
                None => Err("there is no revision before this one".to_owned()),
            })
            .await
        }
    }
}

fn lift_suspicion(door: &Door, suspect: &str) -> Response<Body> {
    let Ok(fingerprint) = u64::from_str_radix(suspect, 16) else {
        return bad_request("suspect", "use the hexadecimal digits that `suspects` shows");
    };
    log::info!("quarantine: an operator lifted the suspicion of {fingerprint:016x}");
    door.quarantine.lift(fingerprint);
    json_response(StatusCode::OK, &json!({ "lifted": format!("{fingerprint:016x}") }))
}

fn section(object: Settable) -> &'static str {
    match object {
        Settable::Service => "services",
        Settable::Target => "targets",
        Settable::Workspace => "workspaces",
    }
}

async fn set_field(
    door: &Rc<Door>,
    section: &str,
    name: &str,
    field: &str,
    value: Value,
) -> Response<Body> {
    edit_manifest(door, |record| {
        record.previous = Some(record.manifest.clone());
        let declared = record.manifest.get_mut(section).and_then(Value::as_array_mut);
        let mut named = declared.into_iter().flatten().filter(|it| it["name"] == name);
        match named.next() {
            Some(object) => {
                object[field] = value.clone();
                Ok(())
            }
            None => Err(format!("`{name}` is not declared in {section}")),
        }
    })
    .await
}

async fn edit_manifest(
    door: &Rc<Door>,
    change: impl Fn(&mut ManifestRecord) -> Result<(), String>,
) -> Response<Body> {
    let mut end = ChangeEnd::Unavailable;
    for _ in 0..MAX_TRIES {
        let mut record = match latest_record(door).await {
            Ok(record) => record,
            Err(answer) => return answer,
        };
        if let Err(problem) = change(&mut record) {
            return bad_request("name", &problem);
        }
        if let Some(refusal) = invalid_manifest(&record) {
            return refusal;
        }
        let expected = Some(record.revision);
        let operator = &door.config.name;
        end = manifest_change::change(door, operator, record.manifest, expected).await;
        if !matches!(end, ChangeEnd::Conflict { .. }) {
            break;
        }
    }
    manifest_change::change_response(end)
}

/// The stored record, or the active one if its revision is higher because the store was restored from an older copy.
async fn latest_record(door: &Door) -> Result<ManifestRecord, Response<Body>> {
    let StoreAnswer::Object(stored) = door.store.call(StoreOp::Get { key: manifest_key() }).await
    else {
        return Err(no_manifest());
    };
    let unreadable = |_| bad_request("manifest", "the stored one cannot be read");
    let record = decode_record(&stored.value).map_err(unreadable)?;
    match door.manifest.record_above(record.revision).await {
        Some(held) => decode_record(&held).map_err(unreadable),
        None => Ok(record),
    }
}

/// Response that names the first problem of a manifest; `None` if it is valid.
fn invalid_manifest(record: &ManifestRecord) -> Option<Response<Body>> {
    let declared = match serde_json::from_value(record.manifest.clone()) {
        Ok(declared) => declared,
        Err(err) => return Some(bad_request("value", &err.to_string())),
    };
    let problem = Manifest::new(record.revision, &declared).err()?;
    Some(bad_request(&problem.field, &problem.problem))
}

fn no_manifest() -> Response<Body> {
    let value = json!({ "error": "the store is not reachable, or holds no manifest" });
    json_response(StatusCode::SERVICE_UNAVAILABLE, &value)
}
