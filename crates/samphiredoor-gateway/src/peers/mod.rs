//! Other gateways: how they find each other, and what they tell each other all the time.
//!
//! Each gateway registers its address in the store and follows the others' entries. Its state goes to all of them as
//! datagrams: to those of its own availability zone at once, as they share their targets, to others more seldom.
//! Everything here is a hint; a datagram that is lost is made good by the next one.

mod owners;
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
    placement::{Distance, DoorState},
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value},
};
use samphiredoor_net::pool::within;
use serde_json::json;

pub use owners::{Owner, Owners};
pub use roster::{Liveness, Roster};
pub use status::OwnedJob;
use status::{MAX_BYTES, Status};

use crate::{
    edge::{Change, ObjectStore},
    metrics::Metrics,
    placement::{Placer, Told},
    routes::Routes,
    store_health::StoreHealth,
    watch::{Follower, Seen},
};

/// Shortest time between two datagrams to gateways of the own region, whose targets are used when the own ones are full.
const REGION_PAUSE: Duration = Duration::from_millis(100);
/// Shortest time between two datagrams beyond the region, where bytes are dear and targets are the last choice.
const FAR_PAUSE: Duration = Duration::from_millis(450);
/// Datagrams at each distance that name a job; one of them arrives even where some are lost.
const JOB_REPEATS: u32 = 3;
/// Wait of the first list of all gateways: those that start together have registered by then, and are not seen one by
/// one.
const FOLLOW_PAUSE: Duration = Duration::from_millis(1_200);
const FOREVER: Duration = Duration::from_secs(3_600);
/// Pause before registering is tried again.
const REGISTER_PAUSE: Duration = Duration::from_millis(500);
/// How long the store may be silent before others are told that this process does not reach it. They may take its jobs
/// from then on, so it holds its runs back from then on as well.
pub const STORE_LOST: Duration = Duration::from_millis(1_000);

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

/// Registers this process until the store has it. `known` is told if it was registered before, as after a restart.
pub async fn register(own: Own, store: Rc<dyn ObjectStore>, known: flume::Sender<()>) {
    let key = ObjectKey::new(Kind::Door, Name::clone(&own.name));
    let value: Value = entry(&own);
    loop {
        let create =
            StoreOp::Create { key: key.clone(), labels: Labels::new(), value: value.clone() };
        let answer = match store.call(create).await {
            StoreAnswer::Taken => {
                // Nobody waits for it any more if the other entries are followed already.
                let _ = known.try_send(());
                replace(&*store, &key, &value).await
            }
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
    if stored.value == *value {
        return StoreAnswer::Object(stored);
    }
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

/// Follows the entries of all gateways: at once after a restart, when the others are registered already.
pub async fn follow(own: Name, roster: Roster, mut follower: Follower, known: flume::Receiver<()>) {
    if let Some(Err(_)) = within(FOLLOW_PAUSE, known.recv_async()).await {
        compio::time::sleep(FOLLOW_PAUSE).await;
    }
    loop {
        match follower.next().await {
            Seen::All(all) => {
                all.iter().for_each(|it| take_entry(&own, &roster, it));
                roster.listed();
            }
            Seen::Changes(changes) => changes.iter().for_each(|it| match it {
                Change::Written(stored) => take_entry(&own, &roster, stored),
                Change::Deleted(name) => roster.remove(name),
            }),
            Seen::Lost | Seen::Regained => {}
        }
    }
}

/// Where a gateway listens, as it has registered in the store.
pub async fn registered_address(store: &dyn ObjectStore, name: &Name) -> Option<SocketAddr> {
    let key = ObjectKey::new(Kind::Door, Name::clone(name));
    match store.call(StoreOp::Get { key }).await {
        StoreAnswer::Object(stored) => Some(read_entry(&stored.value)?.0),
        _ => None,
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
pub struct Listener {
    /// Socket to receive from.
    pub socket: Rc<UdpSocket>,
    /// Other gateways.
    pub roster: Roster,
    /// Where their loads are told.
    pub placer: Placer,
    /// Where the owners of jobs are told.
    pub owners: Owners,
    /// Whether the store answers.
    pub health: StoreHealth,
    /// Counters.
    pub metrics: Rc<Metrics>,
}

impl Listener {
    /// Listens for as long as the process runs.
    pub async fn run(self) {
        loop {
            let buffer = Vec::with_capacity(MAX_BYTES);
            let compio::BufResult(received, buffer) = self.socket.recv_from(buffer).await;
            match received {
                Ok(_) => self.take(&buffer),
                Err(err) => log::warn!(problem:% = err; "peers: datagram lost"),
            }
        }
    }

    fn take(&self, bytes: &[u8]) {
        let status = match Status::decode(bytes) {
            Ok(status) => status,
            Err(err) => {
                self.metrics.foreign("status");
                log::warn!(problem:% = err; "peers: datagram ignored");
                return;
            }
        };
        let name = Name::from(&*status.name);
        if self.roster.heard(&status) {
            self.metrics.peers(self.roster.heard_count());
            let silent = Duration::from_millis(status.store_silent_ms.into());
            if let Some(answered) = Instant::now().checked_sub(silent) {
                self.health.others_heard(answered);
            }
            for job in &status.jobs {
                let owner = Owner { process: Name::clone(&name), incarnation: status.incarnation };
                self.owners.learn(&job.name, owner);
            }
        }
        // Also of gateways whose entries were not read yet: a process that has just started would take their places for
        // free and fill targets that are full.
        self.placer.peer(name, status.requests);
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

/// What is told to the gateways at one distance.
struct Audience {
    distance: Distance,
    pause: Duration,
    told_at: Instant,
    /// Whether there is something that they were not told.
    behind: bool,
    /// Whether they hold places that are waited for, so that they are told without a pause.
    urgent: bool,
    jobs: Vec<(OwnedJob, u32)>,
}

impl Audience {
    fn new(distance: Distance, pause: Duration) -> Audience {
        Audience {
            distance,
            pause,
            told_at: Instant::now(),
            behind: false,
            urgent: false,
            jobs: Vec::new(),
        }
    }

    /// Notes that there is something to tell.
    fn behind(&mut self, urgent: bool) {
        self.behind = true;
        self.urgent |= urgent;
    }

    /// Time until they may be told.
    fn left(&self) -> Duration {
        match self.behind {
            true if self.urgent => Duration::ZERO,
            true => self.pause.saturating_sub(self.told_at.elapsed()),
            false => FOREVER,
        }
    }

    /// Jobs to name this time; each is named a few times.
    fn take_jobs(&mut self) -> Vec<OwnedJob> {
        let named: Vec<OwnedJob> = self.jobs.iter().map(|(job, _)| job.clone()).collect();
        for (_, left) in &mut self.jobs {
            *left -= 1;
        }
        self.jobs.retain(|(_, left)| *left > 0);
        named
    }
}

impl Teller {
    /// Sends a status for each change of the own loads, and for each job that this process comes to own.
    pub async fn run(self, told: flume::Receiver<Told>, owned: flume::Receiver<OwnedJob>) {
        let mut audiences = [
            Audience::new(Distance::Zone, Duration::ZERO),
            Audience::new(Distance::Region, REGION_PAUSE),
            Audience::new(Distance::Far, FAR_PAUSE),
        ];
        let mut requests = DoorState::default();
        loop {
            let left = audiences.iter().map(Audience::left).min().unwrap_or(FOREVER);
            match within(left, told.recv_async()).await {
                Some(Ok(new)) => {
                    requests = new.state;
                    audiences.iter_mut().for_each(|it| it.behind(new.urgent));
                }
                Some(Err(_)) => return,
                None => {}
            }
            for job in owned.try_iter() {
                audiences.iter_mut().for_each(|it| it.jobs.push((job.clone(), JOB_REPEATS)));
            }
            for audience in audiences.iter_mut().filter(|it| it.left().is_zero()) {
                audience.behind = false;
                audience.urgent = false;
                audience.told_at = Instant::now();
                let jobs = audience.take_jobs();
                let bytes = self.status(&requests, jobs).encode();
                self.send(bytes, audience.distance).await;
            }
        }
    }

    fn status(&self, requests: &DoorState, jobs: Vec<OwnedJob>) -> Status {
        Status {
            name: self.own.name.to_string(),
            incarnation: self.own.incarnation,
            routes_version: self.routes.version(),
            store_reached: !self.health.is_lost_for(STORE_LOST),
            stopping: self.stopping.get(),
            requests: requests.clone(),
            jobs,
            seen: self.roster.sightings().own(),
            store_silent_ms: self
                .health
                .silent()
                .map_or(u32::MAX, |it| it.as_millis().try_into().unwrap_or(u32::MAX)),
        }
    }

    async fn send(&self, mut bytes: Vec<u8>, distance: Distance) {
        for address in self.roster.addresses(&self.own.place, distance) {
            let compio::BufResult(sent, back) = self.socket.send_to(bytes, address).await;
            bytes = back;
            if let Err(err) = sent {
                log::debug!(peer:% = address, problem:% = err; "peers: status not sent");
            }
        }
    }
}
