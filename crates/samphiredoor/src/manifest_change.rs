//! Carries out an operator's change of the manifest: writes it to the store, makes it active here and replicates it to
//! a peer. It counts as accepted only after that.

use std::{rc::Rc, sync::Arc, time::Duration};

use hyper::{Response, StatusCode};
use samphiredoor_core::manifest_revisions::{
    ChangeEnd, ChangeInput, ChangeStep, ManifestChange, PeerConfirmation,
};
use samphiredoor_net::Body;
use serde_json::json;

use crate::{
    answers::{bad_request, json_response},
    door::Door,
    manifest_task::Source,
};

const REPLICATION_TRIES: u32 = 30;
const REPLICATION_BACKOFF: Duration = Duration::from_millis(100);

/// Replaces the declarations by `declared` on behalf of `operator`; with an expected revision, only if it is the
/// latest. The change continues when the operator's connection is lost, so that none is left half done.
pub async fn change(
    door: &Rc<Door>,
    operator: &str,
    declared: serde_json::Value,
    expected: Option<u64>,
) -> ChangeEnd {
    let change = ManifestChange::new(door.unique_name(operator).into(), declared, expected);
    let door = Rc::clone(door);
    let (sender, end) = flume::bounded(1);
    compio::runtime::spawn(async move {
        let _ = sender.send(carry_out(&door, change).await);
    })
    .detach();
    end.recv_async().await.unwrap_or(ChangeEnd::Unavailable)
}

async fn carry_out(door: &Door, mut change: ManifestChange) -> ChangeEnd {
    let mut input = ChangeInput::Start { held: door.manifest.current().revision };
    loop {
        input = match change.step(input) {
            ChangeStep::Call(op) => ChangeInput::Stored(door.store.call(op).await),
            ChangeStep::ApplyAndReplicate { record, .. } => {
                let active = door.manifest.offer(Arc::clone(&record), Source::Operator).await;
                let confirmation = if active {
                    replicate(door, record).await
                } else {
                    PeerConfirmation::Unconfirmed
                };
                ChangeInput::Replicated(confirmation)
            }
            ChangeStep::End(end) => return end,
        };
    }
}

// Retries, since a link may still be opening, or a dead member may not have been detected yet.
async fn replicate(door: &Door, record: Arc<[u8]>) -> PeerConfirmation {
    for _ in 0..REPLICATION_TRIES {
        let confirmation = door.peers.replicate_manifest(Arc::clone(&record)).await;
        if confirmation != PeerConfirmation::Unconfirmed {
            return confirmation;
        }
        compio::time::sleep(REPLICATION_BACKOFF).await;
    }
    PeerConfirmation::Unconfirmed
}

/// Response to the operator for each outcome.
pub fn change_response(end: ChangeEnd) -> Response<Body> {
    let (status, value) = match end {
        ChangeEnd::Accepted { revision } => {
            return json_response(StatusCode::OK, &json!({ "revision": revision }));
        }
        ChangeEnd::Conflict { revision, winner } => (
            StatusCode::CONFLICT,
            json!({
                "error": "another change was first; this one had no effect",
                "winner": winner,
                "revision": revision,
            }),
        ),
        ChangeEnd::Unavailable => (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({ "error": "the store is not reachable; this change had no effect" }),
        ),
        ChangeEnd::MayBeWritten { revision } => (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({
                "error": "the store stopped answering; this change may have taken effect",
                "may_be_revision": revision,
            }),
        ),
        ChangeEnd::WrittenUnconfirmed { revision } => (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({
                "error": "the change is stored, but no other door confirmed that it holds it",
                "written_revision": revision,
            }),
        ),
        ChangeEnd::TooLarge => return bad_request("manifest", "is larger than the store accepts"),
        ChangeEnd::Unreadable(problem) => (
            StatusCode::CONFLICT,
            json!({ "error": format!("the stored manifest cannot be read: {problem}") }),
        ),
    };
    json_response(status, &value)
}
