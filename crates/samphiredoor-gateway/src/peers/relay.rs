//! Routes from other gateways, for a process that the store does not answer.
//!
//! Statuses tell the version that each gateway has in force. A process that stays behind asks the gateway that is ahead;
//! the routes are the same object that the store holds, and only a higher version is put in force.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use hyper::{Request, StatusCode, header};
use samphiredoor_core::store::{Labels, Stored, Version};
use samphiredoor_net::{Body, Pool, body::read_whole, pool::within};

use super::Roster;
use crate::routes::Routes;

/// Path of the call.
pub const PATH: &str = "/routes";
/// How often a process looks whether it is behind. Each gateway hears of a change by its own watch within this time, so
/// only those that the store does not answer ask another one.
const LOOK_PAUSE: Duration = Duration::from_millis(500);
/// Longest wait for another gateway.
const TIMEOUT: Duration = Duration::from_millis(500);
/// A configuration fits into one object of the store.
const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Asks others for newer routes for as long as the process runs.
pub async fn run(roster: Roster, routes: Routes, relayed: flume::Sender<Stored>) {
    let mut behind = 0;
    loop {
        compio::time::sleep(LOOK_PAUSE).await;
        let ahead = roster.newest_routes().filter(|(version, _)| *version > routes.version());
        let Some((version, address)) = ahead else {
            behind = 0;
            continue;
        };
        // Behind at two looks: not just a little later than the other.
        if std::mem::replace(&mut behind, routes.version().max(1)) != routes.version().max(1) {
            continue;
        }
        match within(TIMEOUT, fetch(address)).await.flatten() {
            Some(stored) => {
                log::info!(version, peer:% = address; "routes: taken from another gateway");
                // Fails only when the process ends.
                let _ = relayed.send(stored);
            }
            None => {
                log::info!(version, peer:% = address; "routes: another gateway did not tell them")
            }
        }
    }
}

async fn fetch(address: SocketAddr) -> Option<Stored> {
    let request = Request::get(PATH).header(header::HOST, "gateway").body(Body::empty()).ok()?;
    let response = Pool::new(address).with_connect_timeout(TIMEOUT).send(request).await.ok()?;
    let name = response.headers().get(header::CONTENT_LOCATION)?.to_str().ok()?.into();
    if response.status() != StatusCode::OK {
        return None;
    }
    let value = read_whole(response.into_body(), MAX_BYTES).await.ok()?;
    Some(Stored {
        name,
        version: Version::default(),
        labels: Labels::new(),
        value: value[..].into(),
    })
}

/// Answer to the call: the object that the routes in force were read from, and its name.
pub fn answer(routes: &Routes) -> hyper::Response<Body> {
    let Some(source) = routes.source() else {
        let mut response = hyper::Response::new(Body::empty());
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    };
    let mut response = hyper::Response::new(Body::full(Bytes::copy_from_slice(&source.value)));
    if let Ok(name) = header::HeaderValue::from_str(&source.name) {
        response.headers_mut().insert(header::CONTENT_LOCATION, name);
    }
    response
}
