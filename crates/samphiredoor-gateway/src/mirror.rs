//! Copies of the store's objects from which a gateway can start during an outage of the store.
//!
//! A gateway that starts during an outage has no routes, targets or peers, and refuses every caller until the store is
//! reachable again; if many gateways are killed at once, no peer is left that could send them. The processes on storage
//! hosts therefore list the needed kinds regularly and serve the last copy. A copy is as old as the outage, which is safe:
//! routes are activated only if their version is newer, and a target at a reused address refuses requests that name
//! another target. The gateway then watches for changes from the store version of the copy, as after any stale list, so
//! that a large list is not transferred again.
//!
//! If all gateways are killed within seconds of an outage, callers are served nevertheless. The cost is a few calls a
//! minute for each storage host, at a tenth of a call's price.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

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
    platform_api::{Freshness, ObjectStore},
    watch::list_all,
};

/// Kinds of objects that a gateway needs before it can serve callers.
pub const KINDS: [Kind; 3] = [Kind::Routes, Kind::Targets, Kind::Door];
/// Time between two copies. They are made by lists that may be stale and cost a tenth of a call. A gateway rarely starts
/// during an outage, and then gets a copy that is older by at most this.
const COPY_INTERVAL: Duration = Duration::from_secs(3);
const ROOT: &str = "/mirror/";
/// Connect timeout; a round trip between regions takes 24 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for the start of an answer, and between two parts of it.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
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

/// All objects of a kind, at one version of the store.
#[derive(Debug, Clone)]
pub struct MirroredList {
    /// Objects, ordered by name.
    pub objects: Vec<Stored>,
    /// Version of the store, from which a watch can start.
    pub version: Version,
}

/// Last copy of the objects of all [`KINDS`].
#[derive(Clone, Default)]
pub struct Mirror {
    kinds: Rc<RefCell<BTreeMap<&'static str, MirroredList>>>,
}

impl Mirror {
    /// Copies all kinds regularly, for as long as the process runs.
    pub async fn run(self, store: Rc<dyn ObjectStore>) {
        loop {
            for kind in KINDS {
                let listed = list_all(&*store, kind, Freshness::MayBeStale).await;
                if let Some((objects, version)) = listed {
                    let list = MirroredList { objects, version };
                    self.kinds.borrow_mut().insert(kind.path(), list);
                }
            }
            compio::time::sleep(COPY_INTERVAL).await;
        }
    }

    /// Answers a gateway with the copy of one kind.
    pub fn answer(&self, uri: &Uri) -> Response<Body> {
        let kinds = self.kinds.borrow();
        let kind = uri.path().strip_prefix(ROOT).and_then(|it| kinds.get(it));
        let Some(list) = kind else {
            return json_message(StatusCode::NOT_FOUND, "nothing is known of this kind");
        };
        let objects = list.objects.iter().map(|it| MirroredObject {
            name: Name::clone(&it.name),
            version: it.version.0,
            value: String::from_utf8_lossy(&it.value).into_owned(),
        });
        let answer = MirroredKind { version: list.version.0, objects: objects.collect() };
        // Structs of numbers and text can always be serialised as JSON.
        Response::new(Body::full(serde_json::to_vec(&answer).unwrap_or_default()))
    }
}

/// Addresses of the mirrors from which a gateway may start.
#[derive(Debug, Clone)]
pub struct Mirrors {
    addresses: Rc<[SocketAddr]>,
}

impl Mirrors {
    /// Creates a client for the mirrors at these addresses.
    pub fn new(addresses: &[SocketAddr]) -> Mirrors {
        Mirrors { addresses: addresses.into() }
    }

    /// Whether no mirror is configured.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Fetches all objects of a kind from the first mirror that answers, in random order.
    pub async fn list(&self, kind: Kind) -> Option<MirroredList> {
        let mut addresses = self.addresses.to_vec();
        addresses.shuffle(&mut rand::rng());
        for address in addresses {
            let sent = Instant::now();
            match fetch(address, kind).await {
                Some(list) => {
                    log::info!(
                        kind = kind.path(), mirror:% = address, objects = list.objects.len(),
                        elapsed_ms = sent.elapsed().as_millis() as u64;
                        "mirror: store does not answer, starting from the last copy of another process"
                    );
                    return Some(list);
                }
                None => {
                    log::info!(kind = kind.path(), mirror:% = address; "mirror: no answer");
                }
            }
        }
        None
    }
}

async fn fetch(address: SocketAddr, kind: Kind) -> Option<MirroredList> {
    let request = Request::get(format!("{ROOT}{}", kind.path()))
        .header(header::HOST, "mirror")
        .body(Body::empty())
        .ok()?;
    let pool = Pool::new(address).with_connect_timeout(CONNECT_TIMEOUT);
    let limits = FetchLimits::new(IDLE_TIMEOUT, MAX_BYTES);
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
    Some(MirroredList { objects: objects.collect(), version: Version(answer.version) })
}
