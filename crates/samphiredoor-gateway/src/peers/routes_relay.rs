//! Fetching routes from peers when the store does not respond.
//!
//! Statuses report the version of each gateway's active routes. A process that remains behind fetches the routes from
//! the nearest gateway that is ahead. The response is the same object that the store holds, and only a higher version
//! becomes active.
//!
//! Many processes may be behind at once, such as after the loss of a whole region, and the routes may be large. A
//! process therefore fetches from other regions with a probability at which about one process of its region does so per
//! check. Each gateway serves only a few requests per check interval; processes that have received the routes then
//! serve them as well.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, header};
use samphiredoor_core::{
    placement::Distance,
    store::{Labels, Stored, Version},
};
use samphiredoor_net::{Body, Pool, fetch::FetchLimits};

use super::{Roster, roster::RoutesHolder};
use crate::{
    front::json_message, lists::received_within, platform_api::ObjectStore, routes::Routes,
};

/// Path at which peers serve their routes.
pub const PATH: &str = "/routes";
/// How often a process checks whether it is behind. Each gateway receives a change through its own watch within this
/// time, so only gateways to which the store does not respond ask a peer.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the connection to a peer, for the start of its response, and for each pause within the response.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest accepted response; a configuration fits into one object of the store.
const MAX_BYTES: usize = 2 * 1024 * 1024;
/// Most requests served within one check interval; a small host's link carries a few large configurations in that time.
const SERVED_PER_INTERVAL: u32 = 3;

/// Fetches newer routes from peers until the process ends.
pub async fn run(
    roster: Roster,
    routes: Routes,
    store: Rc<dyn ObjectStore>,
    relayed: flume::Sender<Stored>,
) {
    let mut behind_version = 0;
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let holder = roster.newest_routes().filter(|it| it.version > routes.version());
        let Some(holder) = holder else {
            behind_version = 0;
            continue;
        };
        // Only a process that is behind at two checks in a row asks; a change may arrive slightly later than at the
        // peer.
        if std::mem::replace(&mut behind_version, routes.version().max(1))
            != routes.version().max(1)
        {
            continue;
        }
        if holder.distance == Distance::OtherRegion && !may_ask_other_region(&roster, &*store) {
            continue;
        }
        fetch_from(&holder, &relayed).await;
    }
}

/// Whether this process asks a gateway of another region at this check. A process that is receiving a response of the
/// store does not, as the two transfers would share the link; of the others in the region about one does.
fn may_ask_other_region(roster: &Roster, store: &dyn ObjectStore) -> bool {
    let chance = 1.0 / roster.live_in_region() as f64;
    !received_within(store, CHECK_INTERVAL) && rand::random_bool(chance)
}

async fn fetch_from(holder: &RoutesHolder, relayed: &flume::Sender<Stored>) {
    let RoutesHolder { version, address, .. } = *holder;
    match request_routes(address).await {
        Some(stored) => {
            log::info!(version, peer:% = address; "routes: received from another gateway");
            // Fails only when the process ends.
            let _ = relayed.send(stored);
        }
        None => {
            log::info!(version, peer:% = address; "routes: cannot be fetched from another gateway");
        }
    }
}

async fn request_routes(address: SocketAddr) -> Option<Stored> {
    let request = Request::get(PATH).header(header::HOST, "gateway").body(Body::empty()).ok()?;
    let limits = FetchLimits::new(READ_TIMEOUT, MAX_BYTES);
    let pool = Pool::new(address).with_connect_timeout(READ_TIMEOUT);
    let fetched = pool.fetch(request, limits).await.ok()?;
    let name = fetched.headers.get(header::CONTENT_LOCATION)?.to_str().ok()?.into();
    if fetched.status != StatusCode::OK {
        return None;
    }
    Some(Stored {
        name,
        version: Version::default(),
        labels: Labels::new(),
        value: fetched.body[..].into(),
    })
}

/// Serves the active routes to peers, at a limited rate.
#[derive(Clone)]
pub struct RoutesRelay {
    routes: Routes,
    /// Start of the current interval, and the requests in it.
    served: Rc<Cell<(Instant, u32)>>,
}

impl RoutesRelay {
    /// Relay that serves these routes.
    pub fn new(routes: Routes) -> RoutesRelay {
        RoutesRelay { routes, served: Rc::new(Cell::new((Instant::now(), 0))) }
    }

    /// Response to a peer: the stored object that the active routes were read from, with its name as the content
    /// location.
    pub fn answer(&self) -> Response<Body> {
        let Some(source) = self.routes.source() else {
            return json_message(StatusCode::NOT_FOUND, "no routes yet");
        };
        if !self.is_within_limit() {
            return json_message(StatusCode::SERVICE_UNAVAILABLE, "others are being told");
        }
        let mut response = Response::new(Body::full(Bytes::copy_from_slice(&source.value)));
        if let Ok(name) = header::HeaderValue::from_str(&source.name) {
            response.headers_mut().insert(header::CONTENT_LOCATION, name);
        }
        response
    }

    /// Counts a request; returns whether it is within the limit of the current interval.
    fn is_within_limit(&self) -> bool {
        let (began, count) = match self.served.get() {
            (began, _) if began.elapsed() >= CHECK_INTERVAL => (Instant::now(), 0),
            served => served,
        };
        self.served.set((began, count + 1));
        count < SERVED_PER_INTERVAL
    }
}
