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
//! If a whole region restarts at once, its mirrors have no copy either. If each gateway then read the lists itself, they would
//! fill the link to the store for many seconds before any of them could serve. Gateways therefore wait for a mirror of their
//! region while it reads its first copies, and a mirror reads what they need to serve first: the routes, then the first page
//! of targets, which it offers at once. Gateways ask the store themselves, spread out over time, if no mirror of the region
//! answers or it gets nothing from the store.
//!
//! If all gateways are killed within seconds of an outage, callers are served nevertheless. The cost is a few calls a
//! minute for each storage host, at a tenth of a call's price.

use std::{
    cell::{Cell, OnceCell, RefCell},
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
use samphiredoor_net::{Body, Pool, fetch::FetchLimits, pool::within};
use serde::{Deserialize, Serialize};

use crate::{
    front::json_message,
    lists::{ObjectList, PagedList, list_all, received_within},
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
/// How long a mirror that starts may receive nothing from the store before gateways ask the store themselves.
const STORE_IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// The same once it offers the first part of the targets, with which gateways serve. If all of a region then read the store
/// themselves because its link was full for a moment, their lists would keep it full.
const REST_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause of a mirror that starts before it requests a page again.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long a mirror that reads its first copies holds a call for one, and how often it checks for it. Less than
/// [`LARGE_IDLE_TIMEOUT`].
const READING_WAIT: Duration = Duration::from_millis(1_000);
const READING_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time since the start of a mirror in which it also offers small copies: gateways of its region may have started with it.
const START_PERIOD: Duration = Duration::from_secs(5);
/// How long a gateway that starts looks for a mirror of its region while some mirrors do not answer, as they may start at the
/// same moment, and the pause between two attempts.
const MIRROR_START_TIMEOUT: Duration = Duration::from_millis(500);
const MIRROR_START_PAUSE: Duration = Duration::from_millis(100);
/// Longest random delay before a gateway asks the store because the mirrors of its region do not answer.
const MAX_STORE_DELAY: Duration = Duration::from_millis(500);
/// The same if the gateway has the first part of the list, and serves with it.
const MAX_REST_DELAY: Duration = Duration::from_secs(4);
/// Size of a copy from which on a gateway takes it before it asks the store.
const LARGE_COPY_BYTES: usize = 32 * 1024;
/// Query with which a gateway asks for a copy of at least that size.
const LARGE_ONLY: &str = "large";
/// Query with which a gateway also takes the first part of such a copy.
const FIRST_PART: &str = "first";
/// Longest wait for the whole answer with the region of a mirror, which fits into one packet.
const REGION_TIMEOUT: Duration = Duration::from_millis(600);
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
    /// Whether more objects follow.
    #[serde(default)]
    is_partial: bool,
}

/// Last copy of one kind.
struct KindCopy {
    objects: BTreeMap<Name, Stored>,
    version: Version,
    /// Whether the rest of the kind is still to be read.
    is_partial: bool,
    /// The copy as gateways get it; empty after a change.
    encoded: OnceCell<Bytes>,
}

impl KindCopy {
    fn new(list: ObjectList) -> KindCopy {
        let objects = list.objects.into_iter().map(|it| (Name::clone(&it.name), it)).collect();
        KindCopy { objects, version: list.version, is_partial: false, encoded: OnceCell::new() }
    }

    fn partial(list: ObjectList) -> KindCopy {
        KindCopy { is_partial: true, ..KindCopy::new(list) }
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
            let answer = MirroredKind {
                version: self.version.0,
                objects: objects.collect(),
                is_partial: self.is_partial,
            };
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
    store: Rc<dyn ObjectStore>,
    kinds: Rc<RefCell<BTreeMap<&'static str, KindCopy>>>,
    started_at: Instant,
    /// Whether the first copies have been read, or cannot be.
    is_started: Rc<Cell<bool>>,
}

impl Mirror {
    /// Mirror of a store in a region, without copies.
    pub fn new(region: Name, store: Rc<dyn ObjectStore>) -> Mirror {
        let (kinds, is_started) = (Rc::default(), Rc::default());
        Mirror { region, store, kinds, started_at: Instant::now(), is_started }
    }

    /// Copies all kinds regularly, for as long as the process runs.
    pub async fn run(self) {
        self.copy_first().await;
        self.is_started.set(true);
        loop {
            compio::time::sleep(COPY_INTERVAL).await;
            for kind in KINDS {
                if !self.refresh(kind).await {
                    self.copy(kind).await;
                }
            }
        }
    }

    /// Copies all kinds in the order in which gateways need them. The first page of targets lets them serve, and the list of
    /// gateways tells them their cell, from which they watch the targets.
    async fn copy_first(&self) {
        let new_list = |kind| PagedList::new(kind, Freshness::MayBeStale);
        self.read_rest(Kind::Routes, new_list(Kind::Routes)).await;
        let mut targets = new_list(Kind::Targets);
        if self.read_page(&mut targets).await && targets.has_more() {
            self.insert(Kind::Targets, KindCopy::partial(targets.objects_read()));
        }
        self.read_rest(Kind::Door, new_list(Kind::Door)).await;
        self.read_rest(Kind::Targets, targets).await;
    }

    /// Reads the remaining pages of a list, and copies it.
    async fn read_rest(&self, kind: Kind, mut list: PagedList) {
        while list.has_more() {
            if !self.read_page(&mut list).await {
                return;
            }
        }
        self.insert(kind, KindCopy::new(list.into_list()));
    }

    /// Reads the next page of a list, with retries while the store sends anything; returns whether it was read.
    async fn read_page(&self, list: &mut PagedList) -> bool {
        while list.read_page(&*self.store).await.is_none() {
            if !self.is_reading() {
                return false;
            }
            compio::time::sleep(PAGE_RETRY_PAUSE).await;
        }
        true
    }

    fn insert(&self, kind: Kind, copy: KindCopy) {
        self.kinds.borrow_mut().insert(kind.path(), copy);
    }

    /// Adds the changes since the last copy to a large one; returns whether it is up to date.
    async fn refresh(&self, kind: Kind) -> bool {
        let Some(since) = self.large_copy_version(kind) else { return false };
        match self.store.watch(kind, since, CHANGES_WAIT).await {
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
        let copy = kinds.get(kind.path()).filter(|it| !it.is_partial);
        copy.filter(|it| it.objects.len() >= LARGE_COPY).map(|it| it.version)
    }

    async fn copy(&self, kind: Kind) {
        if let Some(list) = list_all(&*self.store, kind, Freshness::MayBeStale).await {
            self.insert(kind, KindCopy::new(list));
        }
    }

    /// Answers a gateway with the copy of one kind, or with the region of this process.
    pub async fn answer(&self, uri: &Uri) -> Response<Body> {
        if uri.path() == REGION_PATH {
            return Response::new(Body::full(self.region.to_string()));
        }
        let kind = uri.path().strip_prefix(ROOT);
        let Some(kind) = KINDS.into_iter().find(|it| Some(it.path()) == kind) else {
            return json_message(StatusCode::NOT_FOUND, "this kind is not copied");
        };
        let query = uri.query();
        if query.is_some() && !self.wait_for_copy(kind, query).await {
            return json_message(StatusCode::SERVICE_UNAVAILABLE, "this kind is being read");
        }
        let kinds = self.kinds.borrow();
        match kinds.get(kind.path()).filter(|it| !it.is_partial || query == Some(FIRST_PART)) {
            Some(copy) if query.is_some() && !self.is_offered(copy) => {
                json_message(StatusCode::NOT_FOUND, "this kind is small")
            }
            Some(copy) => Response::new(Body::full(copy.encoded())),
            None => json_message(StatusCode::BAD_GATEWAY, "the store has not sent this kind"),
        }
    }

    /// Waits for the first copy of a kind while it is being read; returns whether there is nothing more to wait for.
    async fn wait_for_copy(&self, kind: Kind, query: Option<&str>) -> bool {
        let until = Instant::now() + READING_WAIT;
        while !self.has_copy(kind, query) && self.is_reading() {
            if Instant::now() >= until {
                return false;
            }
            compio::time::sleep(READING_CHECK_INTERVAL).await;
        }
        true
    }

    fn has_copy(&self, kind: Kind, query: Option<&str>) -> bool {
        let kinds = self.kinds.borrow();
        kinds.get(kind.path()).is_some_and(|it| !it.is_partial || query == Some(FIRST_PART))
    }

    /// Whether the first copies are being read, and the store has not been silent for long.
    fn is_reading(&self) -> bool {
        let idle_timeout = match self.has_copy(Kind::Targets, Some(FIRST_PART)) {
            true => REST_IDLE_TIMEOUT,
            false => STORE_IDLE_TIMEOUT,
        };
        let is_silent = self.started_at.elapsed() >= idle_timeout
            && !received_within(&*self.store, idle_timeout);
        !self.is_started.get() && !is_silent
    }

    /// Whether gateways take a copy before they ask the store.
    fn is_offered(&self, copy: &KindCopy) -> bool {
        copy.is_large() || self.started_at.elapsed() < START_PERIOD
    }
}

/// Why a gateway starts from a mirror.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MirrorUse {
    /// It is the first source, if the copy is large.
    LargeCopy,
    /// The same, also if the mirror has read only a part of the list.
    FirstPart,
    /// It is the source of the whole list after its first part.
    Rest,
    /// The store does not answer.
    StoreLost,
    /// The store has so many objects that they are fetched within the region.
    LargeList,
}

impl MirrorUse {
    fn label(self) -> &'static str {
        match self {
            MirrorUse::LargeCopy => "large_copy",
            MirrorUse::FirstPart => "first_part",
            MirrorUse::Rest => "rest",
            MirrorUse::StoreLost => "store_lost",
            MirrorUse::LargeList => "large_list",
        }
    }
}

/// Copy that a mirror has sent.
#[derive(Debug, Clone)]
pub struct MirrorCopy {
    /// Objects of the copy.
    pub list: ObjectList,
    /// Whether the mirror is still reading the rest of the objects; only with [`MirrorUse::FirstPart`].
    pub is_partial: bool,
}

/// Answer of a mirror to a call for a copy.
enum CopyAnswer {
    Copy(MirrorCopy),
    /// The mirror is reading its first copy.
    Reading,
    /// The copy is smaller than what gateways take before they ask the store.
    Small,
    /// The mirror has no copy, or did not answer.
    None,
}

impl CopyAnswer {
    fn copy(self) -> Option<MirrorCopy> {
        match self {
            CopyAnswer::Copy(copy) => Some(copy),
            CopyAnswer::Reading | CopyAnswer::Small | CopyAnswer::None => None,
        }
    }
}

/// A search for a mirror of the own region.
enum RegionSearch {
    Found(SocketAddr),
    /// All mirrors are in other regions.
    NoneInRegion,
    /// Some mirrors did not answer; the others are in other regions.
    NoAnswer,
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
    pub async fn list(&self, kind: Kind, mirror_use: MirrorUse) -> Option<MirrorCopy> {
        match mirror_use {
            MirrorUse::LargeCopy | MirrorUse::FirstPart | MirrorUse::Rest => {
                self.first_copy(kind, mirror_use).await
            }
            MirrorUse::StoreLost => self.fetch_any(&self.addresses, kind, mirror_use).await,
            MirrorUse::LargeList => {
                let addresses = self.in_own_region().await;
                let until = Instant::now() + FIRST_COPY_TIMEOUT;
                while !addresses.is_empty() && Instant::now() < until {
                    if let Some(copy) = self.fetch_any(&addresses, kind, mirror_use).await {
                        return Some(copy);
                    }
                    compio::time::sleep(FIRST_COPY_PAUSE).await;
                }
                None
            }
        }
    }

    /// Fetches a copy from the mirror of the own region that answers first, and waits for it while that mirror reads it. If
    /// the mirror fails, returns after a random delay, so that the gateways of the region do not all ask the store at once.
    async fn first_copy(&self, kind: Kind, mirror_use: MirrorUse) -> Option<MirrorCopy> {
        let is_mirror_expected = match self.search_own_region().await {
            RegionSearch::Found(address) => {
                match fetch_when_read(address, kind, mirror_use).await {
                    CopyAnswer::Copy(copy) => return Some(copy),
                    CopyAnswer::Small => false,
                    CopyAnswer::Reading | CopyAnswer::None => true,
                }
            }
            RegionSearch::NoneInRegion => false,
            RegionSearch::NoAnswer => true,
        };
        if is_mirror_expected {
            let max_delay = match mirror_use {
                MirrorUse::Rest => MAX_REST_DELAY,
                _ => MAX_STORE_DELAY,
            };
            compio::time::sleep(max_delay.mul_f64(rand::random())).await;
        }
        None
    }

    async fn fetch_any(
        &self,
        addresses: &[SocketAddr],
        kind: Kind,
        mirror_use: MirrorUse,
    ) -> Option<MirrorCopy> {
        let mut addresses = addresses.to_vec();
        addresses.shuffle(&mut rand::rng());
        for address in addresses {
            match fetch(address, kind, mirror_use).await.copy() {
                Some(copy) => return Some(copy),
                None => {
                    log::info!(kind = kind.path(), mirror:% = address; "mirror: no answer");
                }
            }
        }
        None
    }

    /// Searches for a mirror of the own region, for a while if some mirrors do not answer.
    async fn search_own_region(&self) -> RegionSearch {
        let until = Instant::now() + MIRROR_START_TIMEOUT;
        loop {
            let search = self.first_in_own_region().await;
            if !matches!(search, RegionSearch::NoAnswer) || Instant::now() >= until {
                return search;
            }
            compio::time::sleep(MIRROR_START_PAUSE).await;
        }
    }

    /// The mirror of the own region that answers first.
    async fn first_in_own_region(&self) -> RegionSearch {
        let ask = async |address: &SocketAddr| (*address, fetch_region(*address).await);
        let mut answers: FuturesUnordered<_> = self.addresses.iter().map(ask).collect();
        let mut search = RegionSearch::NoneInRegion;
        while let Some((address, region)) = answers.next().await {
            match region {
                Some(region) if *region == *self.region.as_bytes() => {
                    return RegionSearch::Found(address);
                }
                Some(_) => {}
                None => search = RegionSearch::NoAnswer,
            }
        }
        search
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
    let limits = FetchLimits::new(IDLE_TIMEOUT, MAX_REGION_BYTES);
    let fetched = within(REGION_TIMEOUT, pool.fetch(request, limits)).await?.ok()?;
    (fetched.status == StatusCode::OK).then_some(fetched.body)
}

/// Fetches a copy, and waits for it while the mirror reads it.
async fn fetch_when_read(address: SocketAddr, kind: Kind, mirror_use: MirrorUse) -> CopyAnswer {
    let until = Instant::now() + FIRST_COPY_TIMEOUT;
    loop {
        let answer = fetch(address, kind, mirror_use).await;
        if !matches!(answer, CopyAnswer::Reading) || Instant::now() >= until {
            return answer;
        }
    }
}

/// Fetches a copy, and logs that this process starts from it.
async fn fetch(address: SocketAddr, kind: Kind, mirror_use: MirrorUse) -> CopyAnswer {
    let sent = Instant::now();
    let answer = fetch_copy(address, kind, mirror_use).await.unwrap_or(CopyAnswer::None);
    if let CopyAnswer::Copy(copy) = &answer {
        log::info!(
            kind = kind.path(), mirror:% = address, objects = copy.list.objects.len(),
            reason = mirror_use.label(), partial = copy.is_partial,
            elapsed_ms = sent.elapsed().as_millis() as u64;
            "mirror: starting from the last copy of another process"
        );
    }
    answer
}

async fn fetch_copy(address: SocketAddr, kind: Kind, mirror_use: MirrorUse) -> Option<CopyAnswer> {
    let query = match mirror_use {
        MirrorUse::LargeCopy | MirrorUse::Rest => format!("?{LARGE_ONLY}"),
        MirrorUse::FirstPart => format!("?{FIRST_PART}"),
        MirrorUse::StoreLost | MirrorUse::LargeList => String::new(),
    };
    let request = Request::get(format!("{ROOT}{}{query}", kind.path()))
        .header(header::HOST, "mirror")
        .body(Body::empty())
        .ok()?;
    let pool = Pool::new(address).with_connect_timeout(CONNECT_TIMEOUT);
    let idle_timeout = match mirror_use {
        MirrorUse::StoreLost => IDLE_TIMEOUT,
        MirrorUse::LargeCopy | MirrorUse::FirstPart | MirrorUse::Rest | MirrorUse::LargeList => {
            LARGE_IDLE_TIMEOUT
        }
    };
    let limits = FetchLimits::new(idle_timeout, MAX_BYTES);
    let fetched = pool.fetch(request, limits).await.ok()?;
    match fetched.status {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Some(CopyAnswer::Reading),
        StatusCode::NOT_FOUND => return Some(CopyAnswer::Small),
        _ => return None,
    }
    let answer: MirroredKind = serde_json::from_slice(&fetched.body).ok()?;
    let objects = answer.objects.into_iter().map(|it| Stored {
        name: it.name,
        version: Version(it.version),
        labels: Labels::new(),
        value: it.value.into_bytes().into(),
    });
    let list = ObjectList { objects: objects.collect(), version: Version(answer.version) };
    Some(CopyAnswer::Copy(MirrorCopy { list, is_partial: answer.is_partial }))
}
