//! Other gateways: how they find each other, and what they tell each other all the time.
//!
//! Each gateway registers its address in the store and follows the others' entries. Its state goes to all of them as
//! datagrams: to those of its own availability zone at once, as they share their targets, to others a little later.
//! Everything here is a hint; a datagram that is lost is made good by the next one.

pub mod relay;
mod roster;
mod status;

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::net::UdpSocket;
use samphiredoor_core::{
    Name,
    dispatch::Place,
    placement::DoorLoad,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value},
};
use samphiredoor_net::pool::within;
use serde_json::json;

pub use roster::{Liveness, Roster};
use status::{MAX_BYTES, Status};

use crate::{
    discovery::StoreHealth,
    edge::{Change, ObjectStore},
    metrics::Metrics,
    placement::Placer,
    routes::Routes,
    watch::{Follower, Seen},
};

/// Shortest time between two datagrams beyond the own availability zone, where bytes are paid for.
const FAR_PAUSE: Duration = Duration::from_millis(100);
const FOREVER: Duration = Duration::from_secs(3_600);
/// Pause before registering is tried again.
const REGISTER_PAUSE: Duration = Duration::from_millis(500);
/// How long the store may be silent before others are told that this process does not reach it.
const STORE_LOST: Duration = Duration::from_millis(1_000);

/// This process, as others know it.
#[derive(Debug, Clone)]
pub struct Own {
    /// Name.
    pub name: Name,
    /// Which start.
    pub incarnation: u64,
    /// Where it stands.
    pub place: Place,
    /// Where it listens for others.
    pub address: SocketAddr,
}

/// Registers this process until the store has it.
pub async fn register(own: Own, store: Rc<dyn ObjectStore>) {
    let key = ObjectKey::new(Kind::Door, Name::clone(&own.name));
    let value: Value = entry(&own);
    loop {
        let create =
            StoreOp::Create { key: key.clone(), labels: Labels::new(), value: value.clone() };
        let answer = match store.call(create).await {
            StoreAnswer::Taken => replace(&*store, &key, &value).await,
            answer => answer,
        };
        match answer {
            StoreAnswer::Object(_) => return,
            answer => log::warn!(answer:? = answer; "peers: not registered yet"),
        }
        compio::time::sleep(REGISTER_PAUSE).await;
    }
}

async fn replace(store: &dyn ObjectStore, key: &ObjectKey, value: &Value) -> StoreAnswer {
    let found = store.call(StoreOp::Get { key: key.clone() }).await;
    let StoreAnswer::Object(stored) = found else { return found };
    let (key, version) = (key.clone(), stored.version);
    store.call(StoreOp::Update { key, version, labels: Labels::new(), value: value.clone() }).await
}

fn entry(own: &Own) -> Value {
    let entry = json!({
        "address": own.address.to_string(),
        "region": &*own.place.region,
        "availability_zone": &*own.place.availability_zone,
    });
    entry.to_string().into_bytes().into()
}

/// Follows the entries of all gateways.
pub async fn follow(own: Name, roster: Roster, mut follower: Follower) {
    loop {
        match follower.next().await {
            Seen::All(all) => all.iter().for_each(|it| take_entry(&own, &roster, it)),
            Seen::Changes(changes) => changes.iter().for_each(|it| match it {
                Change::Written(stored) => take_entry(&own, &roster, stored),
                Change::Deleted(name) => roster.remove(name),
            }),
            Seen::Lost | Seen::Regained => {}
        }
    }
}

fn take_entry(own: &Name, roster: &Roster, stored: &Stored) {
    if stored.name == *own {
        return;
    }
    match read_entry(&stored.value) {
        Some((address, place)) => roster.register(Name::clone(&stored.name), address, place),
        None => log::warn!(peer = &*stored.name; "peers: entry ignored"),
    }
}

fn read_entry(value: &[u8]) -> Option<(SocketAddr, Place)> {
    let entry: serde_json::Value = serde_json::from_slice(value).ok()?;
    let text = |key: &str| entry.get(key)?.as_str();
    let place = Place {
        region: text("region")?.into(),
        availability_zone: text("availability_zone")?.into(),
    };
    Some((text("address")?.parse().ok()?, place))
}

/// Takes the statuses of other gateways.
pub async fn listen(socket: Rc<UdpSocket>, roster: Roster, placer: Placer, metrics: Rc<Metrics>) {
    loop {
        let compio::BufResult(received, buffer) =
            socket.recv_from(Vec::with_capacity(MAX_BYTES)).await;
        match received {
            Ok(_) => take_status(&buffer, &roster, &placer, &metrics),
            Err(err) => log::warn!(problem:% = err; "peers: datagram lost"),
        }
    }
}

fn take_status(bytes: &[u8], roster: &Roster, placer: &Placer, metrics: &Metrics) {
    match Status::decode(bytes) {
        Ok(status) => {
            if roster.heard(&status) {
                metrics.peers(roster.heard_count());
                placer.peer(status.name.into(), status.loads);
            }
        }
        Err(err) => {
            metrics.foreign("status");
            log::warn!(problem:% = err; "peers: datagram ignored");
        }
    }
}

/// Tells other gateways the state of this one.
pub struct Teller {
    /// This process.
    pub own: Own,
    /// Socket to send from.
    pub socket: Rc<UdpSocket>,
    /// Other gateways.
    pub roster: Roster,
    /// Routes in force.
    pub routes: Routes,
    /// Whether the store answers.
    pub health: StoreHealth,
    /// Whether a planned stop is under way.
    pub stopping: Rc<Cell<bool>>,
}

impl Teller {
    /// Sends a status for each change of the own loads.
    pub async fn run(self, told: flume::Receiver<Vec<DoorLoad>>) {
        let mut far_at = Instant::now();
        let mut for_far = None;
        loop {
            let pause = match for_far {
                Some(_) => FAR_PAUSE.saturating_sub(far_at.elapsed()),
                None => FOREVER,
            };
            match within(pause, told.recv_async()).await {
                Some(Ok(loads)) => {
                    let bytes = self.status(loads).encode();
                    self.send(&bytes, true).await;
                    for_far = Some(bytes);
                }
                Some(Err(_)) => return,
                None => {}
            }
            if far_at.elapsed() >= FAR_PAUSE
                && let Some(bytes) = for_far.take()
            {
                far_at = Instant::now();
                self.send(&bytes, false).await;
            }
        }
    }

    fn status(&self, loads: Vec<DoorLoad>) -> Status {
        Status {
            name: self.own.name.to_string(),
            incarnation: self.own.incarnation,
            routes_version: self.routes.version(),
            store_reached: !self.health.is_lost_for(STORE_LOST),
            stopping: self.stopping.get(),
            loads,
        }
    }

    async fn send(&self, bytes: &[u8], near: bool) {
        for (address, is_near) in self.roster.addresses(&self.own.place) {
            if is_near == near {
                let compio::BufResult(sent, _) = self.socket.send_to(bytes.to_vec(), address).await;
                if let Err(err) = sent {
                    log::debug!(peer:% = address, problem:% = err; "peers: status not sent");
                }
            }
        }
    }
}
