//! The task that owns the active manifest, and the loop that watches the store for newer revisions.
//!
//! Only a few processes of each availability zone watch the store; all others receive a new revision from their peers.
//! Every record, wherever it comes from, is passed to [`ManifestHandle::offer`] and becomes active only if its revision
//! is above the active one.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration};

use samphiredoor_core::{
    manifest::Manifest,
    manifest_revisions::{ActiveManifest, UpdateOutcome, manifest_key},
    membership::{MembershipInput, rendezvous_select},
    store::{Kind, StoreAnswer, StoreOp, Version},
};
use samphiredoor_net::pool::within;

use crate::{
    config::DoorConfig,
    dispatch_task::DispatchHandle,
    metrics::{ManifestRefusal, Metrics},
    peers::Peers,
    store_client::{StoreClient, WatchEvent},
};

const WATCHERS_PER_ZONE: usize = 2;
/// Backoff between reads of the store while no manifest is active.
const MIN_READ_BACKOFF: Duration = Duration::from_millis(250);
const MAX_READ_BACKOFF: Duration = Duration::from_secs(5);
const WATCH_RESTART_DELAY: Duration = Duration::from_millis(500);
/// Processes that do not watch read the store this often, in case they are isolated from all peers.
const POLL_INTERVAL: Duration = Duration::from_secs(60);
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Where a record came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A read or a watch of the store.
    Store,
    /// A peer.
    Peer,
    /// An operator's change, received by this process.
    Operator,
}

enum Message {
    Offer { record: Arc<[u8]>, source: Source, reply: flume::Sender<bool> },
    GetAbove { revision: u64, reply: flume::Sender<Option<Arc<[u8]>>> },
}

/// Handle to the manifest task.
#[derive(Clone)]
pub struct ManifestHandle {
    messages: flume::Sender<Message>,
    current: Rc<RefCell<Arc<Manifest>>>,
}

/// Receiver of the manifest task's messages; passed to the task when it starts.
pub struct ManifestInbox(flume::Receiver<Message>);

impl ManifestHandle {
    /// Creates the handle and the inbox.
    pub fn new() -> (ManifestHandle, ManifestInbox) {
        let (messages, inbox) = flume::unbounded();
        (ManifestHandle { messages, current: Rc::default() }, ManifestInbox(inbox))
    }

    /// The active manifest; empty, with revision 0, before the first.
    pub fn current(&self) -> Arc<Manifest> {
        Arc::clone(&self.current.borrow())
    }

    /// Offers a record; returns whether it, or the change directly on top of it, is active afterwards.
    pub async fn offer(&self, record: Arc<[u8]>, source: Source) -> bool {
        let (reply, answer) = flume::bounded(1);
        let _ = self.messages.send(Message::Offer { record, source, reply });
        answer.recv_async().await.unwrap_or_default()
    }

    /// The active record, if its revision is above `revision`.
    pub async fn record_above(&self, revision: u64) -> Option<Arc<[u8]>> {
        let (reply, answer) = flume::bounded(1);
        let _ = self.messages.send(Message::GetAbove { revision, reply });
        answer.recv_async().await.ok().flatten()
    }
}

/// Dependencies of the manifest task.
pub struct ManifestEnv {
    /// Checked settings.
    pub config: Rc<DoorConfig>,
    /// The task's own handle.
    pub handle: ManifestHandle,
    /// The dispatcher, which routes by the active manifest.
    pub dispatch: DispatchHandle,
    /// Peers, which are notified of a new active revision.
    pub peers: Peers,
    /// Client of the object API.
    pub store: StoreClient,
    /// Metrics of the process.
    pub metrics: Rc<Metrics>,
}

/// Runs the task until the process ends.
pub async fn run(env: ManifestEnv, inbox: ManifestInbox) {
    let env = Rc::new(env);
    compio::runtime::spawn(watch_store(Rc::clone(&env))).detach();
    let mut active = ActiveManifest::default();
    while let Ok(message) = inbox.0.recv_async().await {
        match message {
            Message::Offer { record, source, reply } => {
                apply(&env, &mut active, &record, source);
                let _ = reply.send(active.is_at_or_one_above(&record));
            }
            Message::GetAbove { revision, reply } => {
                let newer = active.revision() > revision;
                let _ = reply.send(active.record().filter(|_| newer).cloned());
            }
        }
    }
}

/// Makes an offered record active if it is newer; counts and logs why it was refused otherwise.
fn apply(env: &ManifestEnv, active: &mut ActiveManifest, record: &[u8], source: Source) {
    let held = active.revision();
    match active.update_if_newer(record) {
        UpdateOutcome::Applied(manifest) => {
            let revision = manifest.revision;
            log::info!("manifest: revision {revision} is active");
            *env.handle.current.borrow_mut() = Arc::clone(&manifest);
            env.dispatch.apply(manifest);
            env.peers.input(MembershipInput::OwnRevision(revision));
        }
        UpdateOutcome::AlreadyActive => {}
        // From a peer, an older revision is merely late. From the store, it is a stale read, or the store was restored
        // from an older copy.
        UpdateOutcome::Older { revision } if source == Source::Store => {
            env.metrics.count_manifest_refusal(ManifestRefusal::Older);
            log::error!(
                "manifest: the store returned revision {revision}; revision {held} stays active"
            );
        }
        UpdateOutcome::Older { .. } => env.metrics.count_manifest_refusal(ManifestRefusal::Older),
        UpdateOutcome::Forked { revision } => {
            env.metrics.count_manifest_refusal(ManifestRefusal::Forked);
            log::error!(
                "manifest: two different manifests have revision {revision}; apply the declarations again"
            );
        }
        UpdateOutcome::Unusable(problem) => {
            env.metrics.count_manifest_refusal(ManifestRefusal::Unusable);
            log::error!(
                "manifest: revision {held} stays active; refused a record from {source:?}: {problem}"
            );
        }
    }
}

/// Whether this process is one of its zone's watchers. The member list that decides it may be out of date; a wrong
/// result costs an extra call, nothing else.
fn is_watcher(env: &ManifestEnv) -> bool {
    let live = env.peers.live();
    let zone = &env.config.availability_zone;
    let in_zone = live.iter().filter(|it| it.availability_zone == *zone).map(|it| &it.name);
    rendezvous_select("manifest", in_zone, WATCHERS_PER_ZONE).contains(&env.config.name)
}

async fn watch_store(env: Rc<ManifestEnv>) {
    // A process without a manifest is not ready, so it polls the store even when others watch. The polls back off
    // because the whole fleet may be polling; peers send a revision immediately.
    let mut backoff = MIN_READ_BACKOFF;
    while env.handle.current().revision == 0 {
        read_store(&env).await;
        compio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_READ_BACKOFF);
    }
    let mut since_poll = Duration::ZERO;
    loop {
        if is_watcher(&env) {
            run_watch(&env).await;
            compio::time::sleep(WATCH_RESTART_DELAY).await;
            continue;
        }
        compio::time::sleep(ROLE_CHECK_INTERVAL).await;
        since_poll += ROLE_CHECK_INTERVAL;
        if since_poll >= POLL_INTERVAL {
            since_poll = Duration::ZERO;
            read_store(&env).await;
        }
    }
}

/// Offers the stored record; returns the store's version, from which a watch can continue.
async fn read_store(env: &ManifestEnv) -> Option<Version> {
    let op = StoreOp::List {
        kind: Kind::Manifest,
        prefix: manifest_key().name,
        labels: Default::default(),
        after: None,
        limit: 1,
    };
    let StoreAnswer::Page { items, version, .. } = env.store.call(op).await else { return None };
    for stored in items.into_iter().filter(|it| it.name == manifest_key().name) {
        env.handle.offer(stored.value, Source::Store).await;
    }
    Some(version)
}

/// Watches until the watch ends (at its time limit, at an error, or because the store's history no longer holds its
/// version), or until this process is no longer a watcher.
async fn run_watch(env: &ManifestEnv) {
    let Some(version) = read_store(env).await else { return };
    let Some(mut watch) = env.store.watch(Kind::Manifest, version).await else { return };
    loop {
        match within(ROLE_CHECK_INTERVAL, watch.next()).await {
            Some(Some(WatchEvent::Written(stored))) => {
                env.handle.offer(stored.value, Source::Store).await;
            }
            Some(Some(WatchEvent::Deleted(name))) => {
                log::error!(
                    "manifest: {name} was deleted from the store; the active revision stays"
                );
            }
            Some(None) => return,
            None if !is_watcher(env) => return,
            None => {}
        }
    }
}
