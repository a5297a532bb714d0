//! Rows that answer operators' queries.
//!
//! Equality conditions on a job's state, owner and workspace are evaluated by the store, which selects by label; all
//! other conditions are evaluated here. A query reads a bounded number of rows and reports when it was truncated.

use std::{collections::HashMap, rc::Rc};

use samphiredoor_core::{
    dispatch::TargetView,
    ledger::{chunk_key, header_key, results_key, state_label},
    manifest::{Manifest, ServiceKind},
    quarantine::{QUARANTINE_DEATHS, Suspect},
    store::{Kind, Labels, StoreAnswer, StoreOp, Stored},
};
use samphiredoor_query::{Noun, Query, Row, select};
use samphiredoor_schema::objects::{Chunk, ChunkResults, ItemOutcome, JobHeader, ProcessLease};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::door::Door;

const PAGE_LEN: usize = 500;
const MAX_ROWS_READ: usize = 10_000;
const JOB_LABELS: [&str; 3] = ["state", "owner", "workspace"];

/// Result of a query.
pub struct QueryResult {
    /// Selected rows, in the order that the query requests.
    pub rows: Vec<Row>,
    /// Whether there are more rows than the bound allows to read.
    pub truncated: bool,
}

/// Reason why a query failed.
pub enum QueryError {
    /// The store did not answer.
    StoreDown,
    /// The job that the query names does not exist.
    NoJob,
}

/// Reads the rows of the query's noun, then filters, sorts and limits them.
pub async fn run_query(door: &Rc<Door>, query: &Query) -> Result<QueryResult, QueryError> {
    let (rows, truncated) = match query.noun {
        Noun::Jobs => list_rows(door, Kind::Job, job_labels(query), job_row).await?,
        Noun::Doors => list_rows(door, Kind::Process, Labels::new(), door_row).await?,
        Noun::Items => item_rows(door, query).await?,
        Noun::Services => (service_rows(&door.manifest.current()), false),
        Noun::Targets => {
            let views = door.dispatch.target_views().await;
            (target_rows(&door.manifest.current(), &views), false)
        }
        Noun::Suspects => (suspect_rows(&door.quarantine.list().await), false),
        Noun::Workspaces => (workspace_rows(&door.manifest.current()), false),
    };
    Ok(QueryResult { rows: select(query, rows), truncated })
}

fn job_labels(query: &Query) -> Labels {
    let equal = JOB_LABELS.iter().filter_map(|it| Some((*it, query.equal_to(it)?)));
    equal.map(|(label, value)| (label.to_owned(), value.to_owned())).collect()
}

async fn list_rows(
    door: &Door,
    kind: Kind,
    labels: Labels,
    row: fn(&Stored) -> Option<Value>,
) -> Result<(Vec<Row>, bool), QueryError> {
    let mut rows = Vec::new();
    let mut after = None;
    loop {
        let prefix = "".into();
        let op = StoreOp::List { kind, prefix, labels: labels.clone(), after, limit: PAGE_LEN };
        let StoreAnswer::Page { items, next, .. } = door.store.call(op).await else {
            return Err(QueryError::StoreDown);
        };
        rows.extend(items.iter().filter_map(|it| to_row(row(it)?)));
        after = next;
        if after.is_none() {
            return Ok((rows, false));
        }
        if rows.len() >= MAX_ROWS_READ {
            return Ok((rows, true));
        }
    }
}

fn to_row(value: Value) -> Option<Row> {
    match value {
        Value::Object(row) => Some(row),
        _ => None,
    }
}

fn job_row(stored: &Stored) -> Option<Value> {
    let header: JobHeader = serde_json::from_slice(&stored.value).ok()?;
    Some(json!({
        "id": &*stored.name,
        "state": state_label(header.state),
        "workspace": header.workspace,
        "service": header.service,
        "items": header.items,
        "completed": header.completed,
        "failed": header.failed,
        "owner": header.owner.process,
        "due_unix_ms": header.due_unix_ms,
        "accepted_unix_ms": header.accepted_unix_ms,
    }))
}

fn door_row(stored: &Stored) -> Option<Value> {
    let lease: ProcessLease = serde_json::from_slice(&stored.value).ok()?;
    Some(json!({
        "name": &*stored.name,
        "state": if lease.stopping { "stopping" } else { "leased" },
        "incarnation": lease.incarnation,
        "region": lease.region,
        "availability_zone": lease.availability_zone,
        "peer_address": lease.peer_address,
        "renewals": lease.renewals,
    }))
}

fn service_rows(manifest: &Manifest) -> Vec<Row> {
    let rows = manifest.services.values().map(|it| {
        json!({
            "name": &*it.name,
            "kind": match it.kind {
                ServiceKind::Engine => "engine",
                ServiceKind::Plain => "plain",
            },
            "repeatable": it.repeatable,
            "deadline_ms": it.deadline_ms,
            "headroom_percent": it.headroom_percent,
        })
    });
    rows.filter_map(to_row).collect()
}

/// Rows of all targets; load and ejection only for targets that this gateway uses.
fn target_rows(manifest: &Manifest, views: &[TargetView]) -> Vec<Row> {
    let views: HashMap<&str, &TargetView> = views.iter().map(|it| (&*it.name, it)).collect();
    let rows = manifest.targets.values().map(|it| {
        let view = views.get(&*it.name);
        let is_ejected = view.is_some_and(|it| it.is_ejected);
        json!({
            "name": &*it.name,
            "service": &*it.service,
            "state": target_state(it.drained, it.reclaimed, is_ejected),
            "online": view.map(|it| it.online),
            "batch": view.map(|it| it.batch),
            "owner": &*it.owner,
            "host": it.address.ip().to_string(),
            "region": &*it.region,
            "availability_zone": &*it.availability_zone,
            "concurrency_limit": it.concurrency_limit,
            "loan_limit": it.loan_limit,
        })
    });
    rows.filter_map(to_row).collect()
}

fn target_state(drained: bool, reclaimed: bool, is_ejected: bool) -> &'static str {
    match (drained, is_ejected, reclaimed) {
        (true, _, _) => "drained",
        (false, true, _) => "ejected",
        (false, false, true) => "reclaimed",
        (false, false, false) => "in service",
    }
}

fn workspace_rows(manifest: &Manifest) -> Vec<Row> {
    let rows = manifest.workspaces.values().map(|it| {
        json!({
            "name": &*it.name,
            "weight": it.weight,
            "max_in_flight": it.max_in_flight,
            "keys": it.key_digests.len(),
        })
    });
    rows.filter_map(to_row).collect()
}

fn suspect_rows(suspects: &[Suspect]) -> Vec<Row> {
    let rows = suspects.iter().map(|it| {
        json!({
            "fingerprint": format!("{:016x}", it.fingerprint),
            "state": match (it.lifted, it.deaths >= QUARANTINE_DEATHS) {
                (true, _) => "lifted",
                (false, true) => "refused",
                (false, false) => "suspected",
            },
            "deaths": it.deaths,
        })
    });
    rows.filter_map(to_row).collect()
}

async fn item_rows(door: &Door, query: &Query) -> Result<(Vec<Row>, bool), QueryError> {
    let job = query.equal_to("job").unwrap_or_default().into();
    let Some(header) = read_object::<JobHeader>(door, header_key(&job)).await? else {
        return Err(QueryError::NoJob);
    };
    let mut rows = Vec::new();
    for number in 0..header.chunks {
        let chunk = read_object::<Chunk>(door, chunk_key(&header.upload, number)).await?;
        let results =
            read_object::<ChunkResults>(door, results_key(&header.upload, number)).await?;
        let Some(chunk) = chunk else { continue };
        for (index, item) in chunk.items.iter().enumerate() {
            let result = results.as_ref().and_then(|it| it.results.get(&index.to_string()));
            let row = json!({
                "job": &*job,
                "custom_id": item.custom_id,
                "state": result.map_or("waiting", |it| outcome_name(it.outcome)),
                "status": result.map(|it| it.status),
                "tries": result.map(|it| it.tries),
                "reason": result.and_then(|it| failure_reason(it.outcome, it.body.as_ref())),
            });
            rows.extend(to_row(row));
        }
        if rows.len() >= MAX_ROWS_READ {
            return Ok((rows, number + 1 < header.chunks));
        }
    }
    Ok((rows, false))
}

fn outcome_name(outcome: ItemOutcome) -> &'static str {
    match outcome {
        ItemOutcome::Answered => "answered",
        ItemOutcome::Failed => "failed",
        ItemOutcome::MayHaveRun => "may_have_run",
    }
}

fn failure_reason(outcome: ItemOutcome, body: Option<&Value>) -> Option<Value> {
    match outcome {
        ItemOutcome::Answered => None,
        ItemOutcome::Failed | ItemOutcome::MayHaveRun => body.cloned(),
    }
}

/// Reads and parses an object; an unreadable one is logged and treated as absent.
async fn read_object<T: DeserializeOwned>(
    door: &Door,
    key: samphiredoor_core::store::ObjectKey,
) -> Result<Option<T>, QueryError> {
    let name = key.name.clone();
    match door.store.call(StoreOp::Get { key }).await {
        StoreAnswer::Object(stored) => match serde_json::from_slice(&stored.value) {
            Ok(object) => Ok(Some(object)),
            Err(err) => {
                log::error!("query: {name} cannot be read: {err}");
                Ok(None)
            }
        },
        StoreAnswer::Absent => Ok(None),
        _ => Err(QueryError::StoreDown),
    }
}
