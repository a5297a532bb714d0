//! What one gateway of a cell hears of the store, for the others of the cell.
//!
//! If every gateway watched the store, each change would cost a call of each. So one gateway of a cell follows the store,
//! and the others watch through it. They ask the store themselves as soon as it does not answer them, or as gateways of
//! other cells have seen more than it.

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

use super::Roster;
use crate::{front::json_message, platform_api::Change};

/// Beginning of the paths of the calls.
pub const PATH_PREFIX: &str = "/followed/";
/// Longest wait for a connection within an availability zone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time beyond the wait within which the other gateway begins to answer.
const MARGIN: Duration = Duration::from_millis(300);
/// Longest silence within its answer; it tells all of its cell at once, and a small host's link carries a large
/// configuration to each in turn.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Entries of a few thousand targets take less than a megabyte, a configuration up to one.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// Which start of a gateway told something, and how often it had missed the store by then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RelayEpoch {
    /// Which start of it.
    pub incarnation: u64,
    /// How often it has missed the store.
    pub outages: u64,
}

/// What another gateway has seen.
#[derive(Debug)]
pub struct RelayedChanges {
    /// Who told it.
    pub epoch: RelayEpoch,
    /// What is new.
    pub delta: Delta,
}

#[derive(Default)]
struct OfKind {
    cache: WatchCache,
    outages: u64,
    waiting: Vec<flume::Sender<()>>,
}

/// Handle to what this process has seen of the kinds that it follows.
#[derive(Clone)]
pub struct WatchRelay {
    roster: Roster,
    kinds: Rc<RefCell<BTreeMap<&'static str, OfKind>>>,
    pools: Rc<RefCell<HashMap<SocketAddr, Pool>>>,
}

impl WatchRelay {
    /// Handle of a process that has seen nothing yet.
    pub fn new(roster: Roster) -> WatchRelay {
        WatchRelay { roster, kinds: Rc::default(), pools: Rc::default() }
    }

    /// Takes a list of all objects of a kind.
    pub fn record_list(&self, kind: Kind, all: &[Stored], version: Version) {
        self.update(kind, |it| it.cache.listed(all, version));
    }

    /// Takes changes of a kind, up to a version.
    pub fn record_changes(&self, kind: Kind, changes: &[Change], version: Version) {
        self.update(kind, |it| {
            for change in changes {
                match change {
                    Change::Written(stored) => it.cache.written(stored.clone()),
                    Change::Deleted(name) => it.cache.deleted(Name::clone(name), version),
                }
            }
            it.cache.known_up_to(version);
        });
    }

    /// Notes that the store answers again.
    pub fn record_store_outage(&self, kind: Kind) {
        self.kinds.borrow_mut().entry(kind.path()).or_default().outages += 1;
    }

    fn update(&self, kind: Kind, change: impl FnOnce(&mut OfKind)) {
        let mut kinds = self.kinds.borrow_mut();
        let of_kind = kinds.entry(kind.path()).or_default();
        change(of_kind);
        for waiting in of_kind.waiting.drain(..) {
            // One that has stopped waiting needs no word.
            let _ = waiting.send(());
        }
    }

    /// Answers another gateway.
    pub async fn answer(&self, uri: &Uri) -> Response<Body> {
        let Some(call) = Call::parse(uri) else {
            return json_message(StatusCode::NOT_FOUND, "no such call");
        };
        let until = Instant::now() + call.wait;
        loop {
            let Some((told, changed)) = self.told(&call) else {
                return json_message(StatusCode::NOT_FOUND, "this kind is not followed here");
            };
            let left = until.saturating_duration_since(Instant::now());
            if told.delta != Delta::None || left.is_zero() {
                return Response::new(Body::full(encode(&told)));
            }
            // Whether something has changed or the time is over, the next look tells.
            let _ = within(left, changed.recv_async()).await;
        }
    }

    /// What is new for a call, and a channel on which the next change is told.
    fn told(&self, call: &Call) -> Option<(RelayedChanges, flume::Receiver<()>)> {
        let mut kinds = self.kinds.borrow_mut();
        let of_kind = kinds.get_mut(&*call.kind)?;
        let delta = of_kind.cache.since(call.since);
        let (waiting, changed) = flume::bounded(1);
        of_kind.waiting.retain(|it| !it.is_disconnected());
        of_kind.waiting.push(waiting);
        let incarnation = self.roster.local().incarnation;
        let epoch = RelayEpoch { incarnation, outages: of_kind.outages };
        Some((RelayedChanges { epoch, delta }, changed))
    }

    /// Where the gateway is met that follows the store for this one, if it is another one.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        self.roster.watch_relay_address()
    }

    /// Waits for changes of a kind after a version, as another gateway sees them; `None` if it does not tell.
    pub async fn watch(
        self,
        at: SocketAddr,
        kind: Kind,
        since: Version,
        wait: Duration,
    ) -> Option<RelayedChanges> {
        let pool = self.pool(at);
        let path =
            format!("{PATH_PREFIX}{}?since={}&wait_ms={}", kind.path(), since.0, wait.as_millis());
        let request =
            Request::get(path).header(header::HOST, "gateway").body(Body::empty()).ok()?;
        exchange(&pool, request, wait + MARGIN).await
    }

    fn pool(&self, at: SocketAddr) -> Pool {
        let mut pools = self.pools.borrow_mut();
        // Those of gateways that spoke before are not needed any more.
        pools.retain(|address, _| *address == at);
        let new = || Pool::new(at).with_connect_timeout(CONNECT_TIMEOUT);
        pools.entry(at).or_insert_with(new).clone()
    }
}

/// What another gateway asks for.
struct Call {
    kind: String,
    since: Option<Version>,
    wait: Duration,
}

impl Call {
    fn parse(uri: &Uri) -> Option<Call> {
        let kind = uri.path().strip_prefix(PATH_PREFIX)?.to_owned();
        let query = uri.query()?;
        let number = |key: &str| {
            let pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.filter(|(name, _)| *name == key).find_map(|(_, it)| it.parse::<u64>().ok())
        };
        let since = number("since").map(Version);
        Some(Call { kind, since, wait: Duration::from_millis(number("wait_ms")?) })
    }
}

async fn exchange(pool: &Pool, request: Request<Body>, head: Duration) -> Option<RelayedChanges> {
    let limits = FetchLimits::new(SILENCE, MAX_BYTES).with_head(head);
    let fetched = pool.fetch(request, limits).await.ok()?;
    if fetched.status != StatusCode::OK {
        return None;
    }
    match decode(&fetched.body) {
        Ok(told) => Some(told),
        Err(err) => {
            log::warn!(problem:% = err; "peers: what another gateway has seen cannot be read");
            None
        }
    }
}

fn encode(told: &RelayedChanges) -> Vec<u8> {
    let mut message = message::Builder::new_default();
    let mut root = message.init_root::<followed_news::Builder<'_>>();
    root.set_incarnation(told.epoch.incarnation);
    root.set_outages(told.epoch.outages);
    let (objects, version, is_whole): (Vec<(&Name, Option<&Stored>)>, _, _) = match &told.delta {
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
