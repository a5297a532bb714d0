//! What a process needs of the store to serve, from whoever saw it last.
//!
//! A gateway that starts while the store is lost knows neither routes nor targets nor other gateways, and refuses every
//! caller until the store is back; where many are killed at once no gateway is left that could tell it. So the processes
//! on storage hosts look at these kinds now and then and tell what they saw last. It is a hint as old as the outage: routes
//! are put in force by their version only, and a target at an address that is used again refuses by its name. What has
//! changed since is watched for from the version at which the store stood then, as after any list that may be stale, so
//! that a large list does not come over the line once more.
//!
//! Gain: where all gateways are killed within seconds of an outage, callers are served meanwhile; it costs a few calls a minute for
//! each storage host, at a tenth of a call's price.

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

/// Kinds that a process needs to serve.
pub const KINDS: [Kind; 3] = [Kind::Routes, Kind::Targets, Kind::Door];
/// Time between two looks, by lists that may be stale and cost a tenth of a call: a start during an outage is rare, and what is
/// told then is older by as much.
const LOOK_PAUSE: Duration = Duration::from_secs(3);
const ROOT: &str = "/mirror/";
/// Longest wait for a connection; a round trip between regions takes 24 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Longest wait for an answer to begin, and longest silence within it.
const SILENCE: Duration = Duration::from_millis(300);
/// Entries of a few thousand targets take less than a megabyte, a configuration up to one.
const MAX_BYTES: usize = 8 * 1024 * 1024;

/// One object, as it is told.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Told {
    name: Name,
    version: u64,
    value: String,
}

/// All objects of a kind, as they are told.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct ToldList {
    version: u64,
    objects: Vec<Told>,
}

/// All objects of a kind, and the version of the store from which a watch goes on.
#[derive(Debug, Clone)]
pub struct MirroredList {
    /// The objects.
    pub objects: Vec<Stored>,
    /// Where a watch goes on.
    pub version: Version,
}

/// Objects of the kinds above, as they stood when the store was last heard.
#[derive(Clone, Default)]
pub struct Mirror {
    kinds: Rc<RefCell<BTreeMap<&'static str, MirroredList>>>,
}

impl Mirror {
    /// Looks at all kinds for as long as the process runs.
    pub async fn run(self, store: Rc<dyn ObjectStore>) {
        loop {
            for kind in KINDS {
                let listed = list_all(&*store, kind, Freshness::MayBeStale).await;
                if let Some((objects, version)) = listed {
                    let list = MirroredList { objects, version };
                    self.kinds.borrow_mut().insert(kind.path(), list);
                }
            }
            compio::time::sleep(LOOK_PAUSE).await;
        }
    }

    /// Answers another process.
    pub fn answer(&self, uri: &Uri) -> Response<Body> {
        let kinds = self.kinds.borrow();
        let kind = uri.path().strip_prefix(ROOT).and_then(|it| kinds.get(it));
        let Some(list) = kind else {
            return json_message(StatusCode::NOT_FOUND, "nothing is known of this kind");
        };
        let told = list.objects.iter().map(|it| Told {
            name: Name::clone(&it.name),
            version: it.version.0,
            value: String::from_utf8_lossy(&it.value).into_owned(),
        });
        let told = ToldList { version: list.version.0, objects: told.collect() };
        // Plain structs of numbers and text: writing them as JSON cannot fail.
        Response::new(Body::full(serde_json::to_vec(&told).unwrap_or_default()))
    }
}

/// The mirrors that a process may ask.
#[derive(Debug, Clone)]
pub struct Mirrors {
    addresses: Rc<[SocketAddr]>,
}

impl Mirrors {
    /// Mirrors at these addresses.
    pub fn new(addresses: &[SocketAddr]) -> Mirrors {
        Mirrors { addresses: addresses.into() }
    }

    /// Whether there is none to ask.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// All objects of a kind, from the first mirror that answers.
    pub async fn list(&self, kind: Kind) -> Option<MirroredList> {
        let mut addresses = self.addresses.to_vec();
        addresses.shuffle(&mut rand::rng());
        for address in addresses {
            let asked = Instant::now();
            match fetch(address, kind).await {
                Some(list) => {
                    log::info!(
                        kind = kind.path(), mirror:% = address, objects = list.objects.len(),
                        elapsed_ms = asked.elapsed().as_millis() as u64;
                        "mirror: the store does not answer, taken what another process saw last"
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
    let limits = FetchLimits::new(SILENCE, MAX_BYTES);
    let fetched = pool.fetch(request, limits).await.ok()?;
    if fetched.status != StatusCode::OK {
        return None;
    }
    let told: ToldList = serde_json::from_slice(&fetched.body).ok()?;
    let objects = told.objects.into_iter().map(|it| Stored {
        name: it.name,
        version: Version(it.version),
        labels: Labels::new(),
        value: it.value.into_bytes().into(),
    });
    Some(MirroredList { objects: objects.collect(), version: Version(told.version) })
}
