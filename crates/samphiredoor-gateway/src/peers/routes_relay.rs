//! Routes from other gateways, for a process that the store does not answer.
//!
//! Statuses tell the version that each gateway has in force. A process that stays behind asks the nearest gateway that is
//! ahead; the routes are the same object that the store holds, and only a higher version is put in force.
//!
//! Many processes may be behind at once, as after the loss of a whole region, and the routes may be large. So a process
//! asks beyond its region only now and then, such that about one of the region's begins at each look, and tells a few
//! others at once, who then have the routes to tell as well.

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
    front::json_message, platform_api::ObjectStore, routes::Routes, watch::received_within,
};

/// Path of the call.
pub const PATH: &str = "/routes";
/// How often a process looks whether it is behind. Each gateway hears of a change by its own watch within this time, so
/// only those that the store does not answer ask another one.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for another gateway to begin its answer, and longest silence within it.
const SILENCE: Duration = Duration::from_millis(500);
/// A configuration fits into one object of the store.
const MAX_BYTES: usize = 2 * 1024 * 1024;
/// Processes that are told the routes within the time of one look; a small host's link carries a few large configurations in that time.
const TOLD_IN_A_LOOK: u32 = 3;

/// Asks others for newer routes for as long as the process runs.
pub async fn run(
    roster: Roster,
    routes: Routes,
    store: Rc<dyn ObjectStore>,
    relayed: flume::Sender<Stored>,
) {
    let mut behind = 0;
    loop {
        compio::time::sleep(LOOK_PAUSE).await;
        let holder = roster.newest_routes().filter(|it| it.version > routes.version());
        let Some(holder) = holder else {
            behind = 0;
            continue;
        };
        // Behind at two looks: not just a little later than the other.
        if std::mem::replace(&mut behind, routes.version().max(1)) != routes.version().max(1) {
            continue;
        }
        if holder.distance == Distance::OtherRegion && !may_ask_beyond(&roster, &*store) {
            continue;
        }
        ask(&holder, &relayed).await;
    }
}

/// Whether this process asks beyond its region now. One to which the store's answer is coming does not, as both would share
/// the line, and of the others about one at each look.
fn may_ask_beyond(roster: &Roster, store: &dyn ObjectStore) -> bool {
    let chance = 1.0 / roster.heard_in_region() as f64;
    !received_within(store, LOOK_PAUSE) && rand::random_bool(chance)
}

async fn ask(holder: &RoutesHolder, relayed: &flume::Sender<Stored>) {
    let RoutesHolder { version, address, .. } = *holder;
    match fetch(address).await {
        Some(stored) => {
            log::info!(version, peer:% = address; "routes: taken from another gateway");
            // Fails only when the process ends.
            let _ = relayed.send(stored);
        }
        None => {
            log::info!(version, peer:% = address; "routes: another gateway did not tell them");
        }
    }
}

async fn fetch(address: SocketAddr) -> Option<Stored> {
    let request = Request::get(PATH).header(header::HOST, "gateway").body(Body::empty()).ok()?;
    let limits = FetchLimits::new(SILENCE, MAX_BYTES);
    let pool = Pool::new(address).with_connect_timeout(SILENCE);
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

/// What others are told of the routes in force.
#[derive(Clone)]
pub struct RoutesRelay {
    routes: Routes,
    /// When the present count began, and the count.
    told: Rc<Cell<(Instant, u32)>>,
}

impl RoutesRelay {
    /// Relay of these routes.
    pub fn new(routes: Routes) -> RoutesRelay {
        RoutesRelay { routes, told: Rc::new(Cell::new((Instant::now(), 0))) }
    }

    /// Answer to the call: the object that the routes in force were read from, and its name.
    pub fn answer(&self) -> Response<Body> {
        let Some(source) = self.routes.source() else {
            return json_message(StatusCode::NOT_FOUND, "no routes yet");
        };
        if !self.may_tell() {
            return json_message(StatusCode::SERVICE_UNAVAILABLE, "others are being told");
        }
        let mut response = Response::new(Body::full(Bytes::copy_from_slice(&source.value)));
        if let Ok(name) = header::HeaderValue::from_str(&source.name) {
            response.headers_mut().insert(header::CONTENT_LOCATION, name);
        }
        response
    }

    fn may_tell(&self) -> bool {
        let (began, count) = match self.told.get() {
            (began, _) if began.elapsed() >= LOOK_PAUSE => (Instant::now(), 0),
            told => told,
        };
        self.told.set((began, count + 1));
        count < TOLD_IN_A_LOOK
    }
}
