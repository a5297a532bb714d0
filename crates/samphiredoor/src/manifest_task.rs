//! The task that owns the manifest in force, and the watchers that learn of new ones.
//!
//! Only a few processes of each availability zone keep a watch on the store; all others learn of a new revision from
//! their peers. Whatever the way, a record comes in by [`ManifestHandle::offer`] and is in force only if its revision
//! is above the one that is.

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
    dispatch_task::Dispatch,
    metrics::{ManifestRefusal, Metrics},
    peers::Peers,
    store_client::{StoreClient, WatchEvent},
};

const WATCHERS_PER_ZONE: usize = 2;
const FIRST_PAUSE: Duration = Duration::from_millis(250);
const LONGEST_FIRST_PAUSE: Duration = Duration::from_secs(5);
const WATCH_PAUSE: Duration = Duration::from_millis(500);
// A process that watches nothing looks this rarely, in case it is cut off from all peers.
const IDLE_PAUSE: Duration = Duration::from_secs(60);
const CHECK_PAUSE: Duration = Duration::from_secs(1);

/// Where a record came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A read or a watch of the store.
    Store,
    /// A peer.
    Peer,
    /// An operator, through this door.
    Operator,
}

enum Message {
    Offer { record: Arc<[u8]>, source: Source, reply: flume::Sender<bool> },
    Above { revision: u64, reply: flume::Sender<Option<Arc<[u8]>>> },
}

/// Handle to the manifest's task.
#[derive(Clone)]
pub struct ManifestHandle {
    messages: flume::Sender<Message>,
    current: Rc<RefCell<Arc<Manifest>>>,
}

/// Inbox of the manifest's task, before the task starts.
pub struct ManifestInbox(flume::Receiver<Message>);

impl ManifestHandle {
    /// Handle and inbox.
    pub fn new() -> (ManifestHandle, ManifestInbox) {
        let (messages, inbox) = flume::unbounded();
        (ManifestHandle { messages, current: Rc::default() }, ManifestInbox(inbox))
    }

    /// The manifest in force; empty before the first.
    pub fn current(&self) -> Arc<Manifest> {
        Arc::clone(&self.current.borrow())
    }

    /// Offers a record; tells whether it, or the change right on top of it, is in force then.
    pub async fn offer(&self, record: Arc<[u8]>, source: Source) -> bool {
        let (reply, answer) = flume::bounded(1);
        let _ = self.messages.send(Message::Offer { record, source, reply });
        answer.recv_async().await.unwrap_or_default()
    }

    /// The record in force, if its revision is above `revision`.
    pub async fn above(&self, revision: u64) -> Option<Arc<[u8]>> {
        let (reply, answer) = flume::bounded(1);
        let _ = self.messages.send(Message::Above { revision, reply });
        answer.recv_async().await.ok().flatten()
    }
}

/// What the manifest's task uses.
pub struct ManifestEnv {
    /// Decided options.
    pub config: Rc<DoorConfig>,
    /// The task's own handle.
    pub handle: ManifestHandle,
    /// The dispatcher, which works by the manifest in force.
    pub dispatch: Dispatch,
    /// Other doors.
    pub peers: Peers,
    /// The object API.
    pub store: StoreClient,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

/// Runs the task until the process ends.
pub async fn run(env: ManifestEnv, inbox: ManifestInbox) {
    let env = Rc::new(env);
    compio::runtime::spawn(watch(Rc::clone(&env))).detach();
    let mut active = ActiveManifest::default();
    while let Ok(message) = inbox.0.recv_async().await {
        match message {
            Message::Offer { record, source, reply } => {
                take(&env, &mut active, &record, source);
                let _ = reply.send(active.is_at_or_one_above(&record));
            }
            Message::Above { revision, reply } => {
                let newer = active.revision() > revision;
                let _ = reply.send(active.record().filter(|_| newer).cloned());
            }
        }
    }
}

fn take(env: &ManifestEnv, active: &mut ActiveManifest, record: &[u8], source: Source) {
    let held = active.revision();
    match active.update_if_newer(record) {
        UpdateOutcome::Applied(manifest) => {
            let revision = manifest.revision;
            log::info!("manifest: revision {revision} is in force");
            *env.handle.current.borrow_mut() = Arc::clone(&manifest);
            env.dispatch.apply(manifest);
            env.peers.input(MembershipInput::OwnRevision(revision));
        }
        UpdateOutcome::AlreadyActive => {}
        // From a peer it is only late. From the store it is a stale read, or the store was set back.
        UpdateOutcome::Older { revision } if source == Source::Store => {
            env.metrics.manifest_refused(ManifestRefusal::Older);
            log::error!("manifest: the store gives revision {revision}; {held} stays in force");
        }
        UpdateOutcome::Older { .. } => env.metrics.manifest_refused(ManifestRefusal::Older),
        UpdateOutcome::Forked { revision } => {
            env.metrics.manifest_refused(ManifestRefusal::Forked);
            log::error!(
                "manifest: there are two revisions {revision}; apply the declarations anew"
            );
        }
        UpdateOutcome::Unusable(problem) => {
            env.metrics.manifest_refused(ManifestRefusal::Unusable);
            log::error!(
                "manifest: revision {held} stays in force, not one from {source:?}: {problem}"
            );
        }
    }
}

/// Whether this process is to keep a watch of its own: a hint, so that a wrong answer costs a call and no more.
fn is_watcher(env: &ManifestEnv) -> bool {
    let live = env.peers.live();
    let zone = &env.config.availability_zone;
    let in_zone = live.iter().filter(|it| it.availability_zone == *zone).map(|it| &it.name);
    rendezvous_select("manifest", in_zone, WATCHERS_PER_ZONE).contains(&env.config.name)
}

async fn watch(env: Rc<ManifestEnv>) {
    // A process that has no revision asks the store again and again, also when others watch: it is not ready. It asks
    // ever more seldom, since a whole fleet may be doing so, and its peers tell it of a revision at once.
    let mut pause = FIRST_PAUSE;
    while env.handle.current().revision == 0 {
        read(&env).await;
        compio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_FIRST_PAUSE);
    }
    let mut idle = Duration::ZERO;
    loop {
        if is_watcher(&env) {
            follow(&env).await;
            compio::time::sleep(WATCH_PAUSE).await;
            continue;
        }
        compio::time::sleep(CHECK_PAUSE).await;
        idle += CHECK_PAUSE;
        if idle >= IDLE_PAUSE {
            idle = Duration::ZERO;
            read(&env).await;
        }
    }
}

// Gives the version of the store from which a watch goes on.
async fn read(env: &ManifestEnv) -> Option<Version> {
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

// Ends when the watch does: at its length, at an error, or when its version has left the store's history.
async fn follow(env: &ManifestEnv) {
    let Some(version) = read(env).await else { return };
    let Some(mut watch) = env.store.watch(Kind::Manifest, version).await else { return };
    loop {
        match within(CHECK_PAUSE, watch.next()).await {
            Some(Some(WatchEvent::Written(stored))) => {
                env.handle.offer(stored.value, Source::Store).await;
            }
            Some(Some(WatchEvent::Deleted(name))) => {
                log::error!("manifest: {name} was deleted from the store; what is in force stays");
            }
            Some(None) => return,
            None if !is_watcher(env) => return,
            None => {}
        }
    }
}
