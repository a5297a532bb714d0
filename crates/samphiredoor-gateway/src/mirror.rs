//! Copies of the store's objects from which a gateway can start during an outage of the store, or if there are many.
//!
//! A gateway that starts during an outage has no routes, targets or peers, and refuses every caller until the store is
//! reachable again; if many gateways are killed at once, no peer is left that could send them. The processes on storage
//! hosts therefore list the needed kinds regularly and serve the last copy. A copy is as old as the outage, which is safe:
//! routes are activated only if their version is newer, and a target at a reused address refuses requests that name
//! another target. The gateway then watches for changes from the store version of the copy, as after any stale list, so
//! that a large list is not transferred again.
//!
//! A gateway that starts takes a large copy from a mirror of its region before it asks the store: if all gateways of a region
//! are killed at once, even the first page of a list would fill a link to another region for seconds. Where a kind has so many
//! objects that a gateway reads only its first pages from the store, gateways wait for the copy of their own region. A copy of
//! that size is refreshed by the changes since the last one instead of a new list.
//!
//! If all gateways are killed within seconds of an outage, callers are served nevertheless. The cost is a few calls a
//! minute for each storage host, at a tenth of a call's price.

use std::{
    cell::{OnceCell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::{StreamExt, future::join_all, stream::FuturesUnordered};
use hyper::{Request, Response, StatusCode, Uri, header};
use rand::seq::SliceRandom;
use samphiredoor_core::{
    Name,
    store::{Kind, Labels, Stored, Version},
};
use samphiredoor_net::{Body, Pool, fetch::FetchLimits};
use serde::{Deserialize, Serialize};

use crate::{
    front::json_message,
    lists::{ObjectList, list_all},
    platform_api::{Change, Freshness, ObjectStore, WatchAnswer},
};

/// Kinds of objects that a gateway needs before it can serve callers.
pub const KINDS: [Kind; 3] = [Kind::Routes, Kind::Targets, Kind::Door];
/// Time between two copies. They are made by lists that may be stale and cost a tenth of a call. A gateway rarely starts
/// during an outage, and then gets a copy that is older by at most this.
const COPY_INTERVAL: Duration = Duration::from_secs(3);
/// Objects from which on a copy is refreshed by changes: a call for them costs less than ten pages of a stale list.
const LARGE_COPY: usize = 500;
/// How long the call for the changes since the last copy waits for one.
const CHANGES_WAIT: Duration = Duration::from_millis(50);
const ROOT: &str = "/mirror/";
/// Path at which a mirror tells its region.
const REGION_PATH: &str = "/mirror-region";
/// Connect timeout; a round trip between regions takes 24 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for the start of an answer, and between two parts of it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// The same for a large copy, which all gateways of a region may fetch at once.
const LARGE_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a gateway waits for the first copy of the mirrors in its region, which may have started at the same moment, and
/// the pause between two attempts. A mirror reads thousands of objects from another region within some seconds.
const FIRST_COPY_TIMEOUT: Duration = Duration::from_secs(8);
const FIRST_COPY_PAUSE: Duration = Duration::from_millis(400);
/// Size of a copy from which on a gateway takes it before it asks the store.
const LARGE_COPY_BYTES: usize = 32 * 1024;
/// Query with which a gateway asks for a copy of at least that size.
const LARGE_ONLY: &str = "large";
/// Longest name of a region.
const MAX_REGION_BYTES: usize = 1_024;
/// Size limit of a copy. Entries of a few thousand targets take less than a megabyte, a configuration up to one.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// JSON form of one object.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct MirroredObject {
    name: Name,
    version: u64,
    value: String,
}

/// JSON form of all objects of a kind.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct MirroredKind {
    version: u64,
    objects: Vec<MirroredObject>,
}

/// Last copy of one kind.
struct KindCopy {
    objects: BTreeMap<Name, Stored>,
    version: Version,
    /// The copy as gateways get it; empty after a change.
    encoded: OnceCell<Bytes>,
}

impl KindCopy {
    fn new(list: ObjectList) -> KindCopy {
        let objects = list.objects.into_iter().map(|it| (Name::clone(&it.name), it)).collect();
        KindCopy { objects, version: list.version, encoded: OnceCell::new() }
    }

    fn apply(&mut self, changes: Vec<Change>, version: Version) {
        if !changes.is_empty() {
            self.encoded = OnceCell::new();
        }
        for change in changes {
            match change {
                Change::Written(stored) => {
                    self.objects.insert(Name::clone(&stored.name), stored);
                }
                Change::Deleted(name) => {
                    self.objects.remove(&name);
                }
            }
        }
        self.version = version;
    }

    fn is_large(&self) -> bool {
        self.encoded().len() >= LARGE_COPY_BYTES
    }

    fn encoded(&self) -> Bytes {
        let encoded = self.encoded.get_or_init(|| {
            let objects = self.objects.values().map(|it| MirroredObject {
                name: Name::clone(&it.name),
                version: it.version.0,
                value: String::from_utf8_lossy(&it.value).into_owned(),
            });
            let answer = MirroredKind { version: self.version.0, objects: objects.collect() };
            // Structs of numbers and text can always be serialised as JSON.
            serde_json::to_vec(&answer).unwrap_or_default().into()
        });
        Bytes::clone(encoded)
    }
}

/// Last copies of the objects of all [`KINDS`].
#[derive(Clone)]
pub struct Mirror {
    region: Name,
    kinds: Rc<RefCell<BTreeMap<&'static str, KindCopy>>>,
}

impl Mirror {
    /// Mirror in a region, without copies.
    pub fn new(region: Name) -> Mirror {
        Mirror { region, kinds: Rc::default() }
    }

    /// Copies all kinds regularly, for as long as the process runs.
    pub async fn run(self, store: Rc<dyn ObjectStore>) {
        loop {
            for kind in KINDS {
                if !self.refresh(&*store, kind).await {
                    self.copy(&*store, kind).await;
                }
            }
            compio::time::sleep(COPY_INTERVAL).await;
        }
    }

    /// Adds the changes since the last copy to a large one; returns whether it is up to date.
    async fn refresh(&self, store: &dyn ObjectStore, kind: Kind) -> bool {
        let Some(since) = self.large_copy_version(kind) else { return false };
        match store.watch(kind, since, CHANGES_WAIT).await {
            WatchAnswer::Changes { changes, version } => {
                if let Some(copy) = self.kinds.borrow_mut().get_mut(kind.path()) {
                    copy.apply(changes, version);
                }
                true
            }
            WatchAnswer::HistoryGone => false,
            // A list would fail as well.
            WatchAnswer::Refused | WatchAnswer::NoAnswer => true,
        }
    }

    fn large_copy_version(&self, kind: Kind) -> Option<Version> {
        let kinds = self.kinds.borrow();
        kinds.get(kind.path()).filter(|it| it.objects.len() >= LARGE_COPY).map(|it| it.version)
    }

    async fn copy(&self, store: &dyn ObjectStore, kind: Kind) {
        if let Some(list) = list_all(store, kind, Freshness::MayBeStale).await {
            self.kinds.borrow_mut().insert(kind.path(), KindCopy::new(list));
        }
    }

    /// Answers a gateway with the copy of one kind, or with the region of this process.
    pub fn answer(&self, uri: &Uri) -> Response<Body> {
        if uri.path() == REGION_PATH {
            return Response::new(Body::full(self.region.to_string()));
        }
        let kinds = self.kinds.borrow();
        let kind = uri.path().strip_prefix(ROOT).and_then(|it| kinds.get(it));
        match kind {
            Some(copy) if uri.query() == Some(LARGE_ONLY) && !copy.is_large() => {
                json_message(StatusCode::NOT_FOUND, "this kind is small")
            }
            Some(copy) => Response::new(Body::full(copy.encoded())),
            None => json_message(StatusCode::NOT_FOUND, "nothing is known of this kind"),
        }
    }
}

/// Why a gateway starts from a mirror.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MirrorUse {
    /// It is the first source, if the copy is large.
    LargeCopy,
    /// The store does not answer.
    StoreLost,
    /// The store has so many objects that they are fetched within the region.
    LargeList,
}

impl MirrorUse {
    fn label(self) -> &'static str {
        match self {
            MirrorUse::LargeCopy => "large_copy",
            MirrorUse::StoreLost => "store_lost",
            MirrorUse::LargeList => "large_list",
        }
    }
}

/// Addresses of the mirrors from which a gateway may start.
#[derive(Debug, Clone)]
pub struct Mirrors {
    addresses: Rc<[SocketAddr]>,
    region: Name,
}

impl Mirrors {
    /// Creates a client for the mirrors at these addresses, for a process in a region.
    pub fn new(addresses: &[SocketAddr], region: Name) -> Mirrors {
        Mirrors { addresses: addresses.into(), region }
    }

    /// Whether no mirror is configured.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Fetches all objects of a kind from the first mirror that answers, in random order. A large list is fetched only from
    /// mirrors in the own region, as soon as one of them has it.
    pub async fn list(&self, kind: Kind, mirror_use: MirrorUse) -> Option<ObjectList> {
        match mirror_use {
            MirrorUse::LargeCopy => {
                let address = self.first_in_own_region().await?;
                fetch(address, kind, mirror_use).await
            }
            MirrorUse::StoreLost => self.fetch_any(&self.addresses, kind, mirror_use).await,
            MirrorUse::LargeList => {
                let addresses = self.in_own_region().await;
                let until = Instant::now() + FIRST_COPY_TIMEOUT;
                while !addresses.is_empty() && Instant::now() < until {
                    if let Some(list) = self.fetch_any(&addresses, kind, mirror_use).await {
                        return Some(list);
                    }
                    compio::time::sleep(FIRST_COPY_PAUSE).await;
                }
                None
            }
        }
    }

    async fn fetch_any(
        &self,
        addresses: &[SocketAddr],
        kind: Kind,
        mirror_use: MirrorUse,
    ) -> Option<ObjectList> {
        let mut addresses = addresses.to_vec();
        addresses.shuffle(&mut rand::rng());
        for address in addresses {
            match fetch(address, kind, mirror_use).await {
                Some(list) => return Some(list),
                None => {
                    log::info!(kind = kind.path(), mirror:% = address; "mirror: no answer");
                }
            }
        }
        None
    }

    /// The mirror of the own region that answers first.
    async fn first_in_own_region(&self) -> Option<SocketAddr> {
        let ask = async |address: &SocketAddr| (*address, fetch_region(*address).await);
        let mut answers: FuturesUnordered<_> = self.addresses.iter().map(ask).collect();
        while let Some((address, region)) = answers.next().await {
            if region.is_some_and(|it| *it == *self.region.as_bytes()) {
                return Some(address);
            }
        }
        None
    }

    async fn in_own_region(&self) -> Vec<SocketAddr> {
        let regions = join_all(self.addresses.iter().map(|it| fetch_region(*it))).await;
        let own = self.addresses.iter().zip(regions).filter(|(_, region)| {
            region.as_ref().is_some_and(|it| **it == *self.region.as_bytes())
        });
        own.map(|(address, _)| *address).collect()
    }
}

async fn fetch_region(address: SocketAddr) -> Option<Bytes> {
    let request =
        Request::get(REGION_PATH).header(header::HOST, "mirror").body(Body::empty()).ok()?;
    let pool = Pool::new(address).with_connect_timeout(CONNECT_TIMEOUT);
    let fetched =
        pool.fetch(request, FetchLimits::new(IDLE_TIMEOUT, MAX_REGION_BYTES)).await.ok()?;
    (fetched.status == StatusCode::OK).then_some(fetched.body)
}

/// Fetches a copy, and logs that this process starts from it.
async fn fetch(address: SocketAddr, kind: Kind, mirror_use: MirrorUse) -> Option<ObjectList> {
    let sent = Instant::now();
    let list = fetch_copy(address, kind, mirror_use).await?;
    log::info!(
        kind = kind.path(), mirror:% = address, objects = list.objects.len(),
        reason = mirror_use.label(), elapsed_ms = sent.elapsed().as_millis() as u64;
        "mirror: starting from the last copy of another process"
    );
    Some(list)
}

async fn fetch_copy(address: SocketAddr, kind: Kind, mirror_use: MirrorUse) -> Option<ObjectList> {
    let query = match mirror_use {
        MirrorUse::LargeCopy => format!("?{LARGE_ONLY}"),
        MirrorUse::StoreLost | MirrorUse::LargeList => String::new(),
    };
    let request = Request::get(format!("{ROOT}{}{query}", kind.path()))
        .header(header::HOST, "mirror")
        .body(Body::empty())
        .ok()?;
    let pool = Pool::new(address).with_connect_timeout(CONNECT_TIMEOUT);
    let idle_timeout = match mirror_use {
        MirrorUse::StoreLost => IDLE_TIMEOUT,
        MirrorUse::LargeCopy | MirrorUse::LargeList => LARGE_IDLE_TIMEOUT,
    };
    let limits = FetchLimits::new(idle_timeout, MAX_BYTES);
    let fetched = pool.fetch(request, limits).await.ok()?;
    if fetched.status != StatusCode::OK {
        return None;
    }
    let answer: MirroredKind = serde_json::from_slice(&fetched.body).ok()?;
    let objects = answer.objects.into_iter().map(|it| Stored {
        name: it.name,
        version: Version(it.version),
        labels: Labels::new(),
        value: it.value.into_bytes().into(),
    });
    Some(ObjectList { objects: objects.collect(), version: Version(answer.version) })
}
