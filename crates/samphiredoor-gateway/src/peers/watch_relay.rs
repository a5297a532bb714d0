//! Relayed watches: one gateway of a cell watches the store, and the others of the cell watch through it.
//!
//! If every gateway watched the store itself, each change would cost one store call per gateway. A gateway that watches
//! through another one falls back to the store as soon as that one does not respond, or gateways of other cells have
//! seen newer changes.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use capnp::{message, serialize_packed};
use hyper::{Request, Response, StatusCode, Uri, header};
use samphiredoor_core::{
    Name,
    store::{Kind, Labels, Stored, Version},
    watch_cache::{Delta, WatchCache},
};
use samphiredoor_net::{Body, Pool, fetch::FetchLimits, pool::within};
use samphiredoor_schema::peer_capnp::followed_news;

use super::{Roster, WatchRole};
use crate::{front::json_message, platform_api::Change};

/// Prefix of the paths of relayed watches; the kind follows it.
pub const PATH_PREFIX: &str = "/followed/";
/// Connect timeout; the two gateways are in the same availability zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time beyond the requested wait within which the response has to begin.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(300);
/// Longest pause within the response. The other gateway responds to its whole cell at once, and a small host's link
/// carries a large configuration to each gateway in turn.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest accepted response. Entries of a few thousand targets take less than a megabyte, a configuration up to one.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Period of a relaying gateway without a restart or an interruption of its watch. If it differs between two responses,
/// entries may have expired in the store in between.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayEpoch {
    /// Incarnation of the gateway; a restart has a higher one.
    pub incarnation: u64,
    /// Number of times that its watch of this kind was interrupted, as by an outage of the store.
    pub outages: u64,
}

/// Response of another gateway to a watch.
#[derive(Debug)]
pub struct RelayedChanges {
    /// Incarnation and outages of the other gateway at the time.
    pub epoch: RelayEpoch,
    /// Difference from the version that was asked for.
    pub delta: Delta,
}

#[derive(Default)]
struct WatchedKind {
    cache: WatchCache,
    outages: u64,
    /// Wakes the calls that wait for a change.
    waiting: Vec<flume::Sender<()>>,
}

/// Handle to the watch caches of this process, and client of the gateway that watches the store for its cell.
#[derive(Clone)]
pub struct WatchRelay {
    roster: Roster,
    /// Caches by [`Kind::path`].
    kinds: Rc<RefCell<BTreeMap<&'static str, WatchedKind>>>,
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
}

impl WatchRelay {
    /// Handle with empty caches.
    pub fn new(roster: Roster) -> WatchRelay {
        WatchRelay { roster, kinds: Rc::default(), pools: Rc::default() }
    }

    /// Replaces the cache of a kind with a list of all its objects.
    pub fn record_list(&self, kind: Kind, all: &[Stored], version: Version) {
        self.update(kind, |it| it.cache.replace_all(all, version));
    }

    /// Adds to the cache all changes of a kind up to a version.
    pub fn record_changes(&self, kind: Kind, changes: &[Change], version: Version) {
        self.update(kind, |it| {
            for change in changes {
                match change {
                    Change::Written(stored) => it.cache.insert(stored.clone()),
                    Change::Deleted(name) => it.cache.remove(Name::clone(name), version),
                }
            }
            it.cache.advance_to(version);
        });
    }

    /// Counts an interruption of the watch of a kind, once the store responds again.
    pub fn record_store_outage(&self, kind: Kind) {
        self.kinds.borrow_mut().entry(kind.path()).or_default().outages += 1;
    }

    fn update(&self, kind: Kind, change: impl FnOnce(&mut WatchedKind)) {
        let mut kinds = self.kinds.borrow_mut();
        let watched = kinds.entry(kind.path()).or_default();
        change(watched);
        for waiting in watched.waiting.drain(..) {
            // Fails if the call has ended meanwhile.
            let _ = waiting.send(());
        }
    }

    /// Responds to a watch of another gateway as soon as there is a change, or when its wait is over.
    pub async fn answer(&self, uri: &Uri) -> Response<Body> {
        let Some(call) = WatchCall::parse(uri) else {
            return json_message(StatusCode::NOT_FOUND, "no such call");
        };
        let until = Instant::now() + call.wait;
        loop {
            let Some((response, changed)) = self.changes_for(&call) else {
                return json_message(StatusCode::NOT_FOUND, "this kind is not followed here");
            };
            let left = until.saturating_duration_since(Instant::now());
            if response.delta != Delta::None || left.is_zero() {
                return Response::new(Body::full(encode(&response)));
            }
            // The next iteration finds out whether there was a change or the wait is over.
            let _ = within(left, changed.recv_async()).await;
        }
    }

    /// Changes since the version of a call, and a channel that receives a message at the next change; `None` if this
    /// process does not watch the kind.
    fn changes_for(&self, call: &WatchCall) -> Option<(RelayedChanges, flume::Receiver<()>)> {
        let mut kinds = self.kinds.borrow_mut();
        let watched = kinds.get_mut(&*call.kind)?;
        let delta = watched.cache.changes_since(call.since);
        let (waiting, changed) = flume::bounded(1);
        watched.waiting.retain(|it| !it.is_disconnected());
        watched.waiting.push(waiting);
        let incarnation = self.roster.local().incarnation;
        let epoch = RelayEpoch { incarnation, outages: watched.outages };
        Some((RelayedChanges { epoch, delta }, changed))
    }

    /// Whether the list of gateways has been read.
    pub fn knows_fleet(&self) -> bool {
        self.roster.is_listed()
    }

    /// Part of this process in the watches of its cell.
    pub fn role(&self) -> WatchRole {
        self.roster.watch_role()
    }

    /// Waits at most `wait` for changes of a kind after a version, through the gateway at an address; `None` if that
    /// gateway gives no usable response.
    pub async fn watch(
        self,
        address: SocketAddr,
        kind: Kind,
        since: Version,
        wait: Duration,
    ) -> Option<RelayedChanges> {
        let pool = self.pool(address);
        let path =
            format!("{PATH_PREFIX}{}?since={}&wait_ms={}", kind.path(), since.0, wait.as_millis());
        let request =
            Request::get(path).header(header::HOST, "gateway").body(Body::empty()).ok()?;
        fetch(&pool, request, wait + RESPONSE_MARGIN).await
    }

    fn pool(&self, address: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        // Drops the connections to gateways that this one watched through before.
        pools.retain(|it, _| *it == address);
        let new = || Pool::new(address).with_connect_timeout(CONNECT_TIMEOUT);
        pools.entry(address).or_insert_with(new).clone()
    }
}

/// Parameters of a watch, from the path and query of its call.
struct WatchCall {
    kind: String,
    since: Option<Version>,
    wait: Duration,
}

impl WatchCall {
    fn parse(uri: &Uri) -> Option<WatchCall> {
        let kind = uri.path().strip_prefix(PATH_PREFIX)?.to_owned();
        let query = uri.query()?;
        let number = |key: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|(name, _)| *name == key).find_map(|(_, it)| it.parse::<u64>().ok())
        };
        let since = number("since").map(Version);
        Some(WatchCall { kind, since, wait: Duration::from_millis(number("wait_ms")?) })
    }
}

async fn fetch(
    pool: &Pool,
    request: Request<Body>,
    head_timeout: Duration,
) -> Option<RelayedChanges> {
    let limits = FetchLimits::new(READ_TIMEOUT, MAX_BYTES).with_head_timeout(head_timeout);
    let fetched = pool.fetch(request, limits).await.ok()?;
    if fetched.status != StatusCode::OK {
        return None;
    }
    match decode(&fetched.body) {
        Ok(response) => Some(response),
        Err(err) => {
            log::warn!(problem:% = err; "peers: unreadable response to a relayed watch");
            None
        }
    }
}

fn encode(response: &RelayedChanges) -> Vec<u8> {
    let mut message = message::Builder::new_default();
    let mut root = message.init_root::<followed_news::Builder<'_>>();
    root.set_incarnation(response.epoch.incarnation);
    root.set_outages(response.epoch.outages);
    let (objects, version, is_whole): (Vec<(&Name, Option<&Stored>)>, _, _) = match &response.delta
    {
        Delta::None => (Vec::new(), Version::default(), false),
        Delta::Changed { objects, version } => {
            (objects.iter().map(|(name, it)| (name, it.as_ref())).collect(), *version, false)
        }
        Delta::Snapshot { objects, version } => {
            (objects.iter().map(|it| (&it.name, Some(it))).collect(), *version, true)
        }
    };
    root.set_version(version.0);
    root.set_is_whole(is_whole);
    let mut list = root.init_objects(objects.len() as u32);
    for (index, (name, stored)) in objects.into_iter().enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_name(&**name);
        it.set_is_gone(stored.is_none());
        if let Some(stored) = stored {
            it.set_version(stored.version.0);
            it.set_value(&stored.value);
        }
    }
    let mut bytes = Vec::new();
    // Writing to a vector cannot fail.
    let _ = serialize_packed::write_message(&mut bytes, &message);
    bytes
}

fn decode(bytes: &[u8]) -> capnp::Result<RelayedChanges> {
    let options = message::ReaderOptions::new();
    let message = serialize_packed::read_message(bytes, options)?;
    let root = message.get_root::<followed_news::Reader<'_>>()?;
    let epoch = RelayEpoch { incarnation: root.get_incarnation(), outages: root.get_outages() };
    let version = Version(root.get_version());
    let mut objects: BTreeMap<Name, Option<Stored>> = BTreeMap::new();
    for object in root.get_objects()? {
        let name = Name::from(object.get_name()?.to_str()?);
        let stored = Stored {
            name: Name::clone(&name),
            version: Version(object.get_version()),
            labels: Labels::new(),
            value: object.get_value()?.into(),
        };
        objects.insert(name, (!object.get_is_gone()).then_some(stored));
    }
    let delta = match root.get_is_whole() {
        true => Delta::Snapshot { objects: objects.into_values().flatten().collect(), version },
        false if objects.is_empty() => Delta::None,
        false => Delta::Changed { objects, version },
    };
    Ok(RelayedChanges { epoch, delta })
}
