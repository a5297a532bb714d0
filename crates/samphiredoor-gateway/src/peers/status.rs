//! The datagram by which gateways tell each other their state.

use capnp::{message, serialize_packed};
use samphiredoor_core::{
    ordered::JobName,
    placement::{DoorLoad, DoorState, WaitingItems},
    store::Version,
};
use samphiredoor_schema::peer_capnp::gateway_status;

use crate::sightings::SeenChanges;

/// Bytes of the largest datagram; one packet on common links.
pub const MAX_BYTES: usize = 1_400;
/// Targets in one datagram: eight to ten bytes each, packed.
const MAX_LOADS: usize = 100;
/// Services in one datagram for which items wait.
const MAX_SERVICES: usize = 8;

/// Jobs in one datagram.
const MAX_JOBS: usize = 8;

/// A job that a gateway has come to own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedJob {
    /// Its name.
    pub name: JobName,
    /// Number of its items.
    pub items: u32,
}

/// State of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// Which start of it.
    pub incarnation: u64,
    /// Version of the routes that it has in force.
    pub routes_version: u64,
    /// Whether the store answers it.
    pub store_reached: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
    /// Its requests at targets, and its items that wait.
    pub requests: DoorState,
    /// Jobs that it has come to own lately.
    pub jobs: Vec<OwnedJob>,
    /// Newest changes that it has seen in the store.
    pub seen: SeenChanges,
    /// Time since the store last answered it; `u32::MAX` if it never did.
    pub store_silent_ms: u32,
}

impl Status {
    /// Bytes of the datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut message = message::Builder::new_default();
        let mut root = message.init_root::<gateway_status::Builder<'_>>();
        root.set_name(&self.name);
        root.set_incarnation(self.incarnation);
        root.set_routes_version(self.routes_version);
        root.set_store_reached(self.store_reached);
        root.set_stopping(self.stopping);
        root.set_store_silent_ms(self.store_silent_ms);
        let mut seen = root.reborrow().init_seen();
        seen.set_routes(self.seen.routes.0);
        seen.set_targets(self.seen.targets.0);
        seen.set_gateways(self.seen.gateways.0);
        let told = self.jobs.len().min(MAX_JOBS);
        let mut jobs = root.reborrow().init_jobs(told as u32);
        for (index, job) in self.jobs.iter().take(told).enumerate() {
            let mut it = jobs.reborrow().get(index as u32);
            it.set_name(&*job.name);
            it.set_items(job.items);
        }
        let services = self.requests.waiting.len().min(MAX_SERVICES);
        let mut waiting = root.reborrow().init_waiting(services as u32);
        for (index, of_service) in self.requests.waiting.iter().take(services).enumerate() {
            let mut it = waiting.reborrow().get(index as u32);
            it.set_service(of_service.service);
            it.set_items(of_service.items.min(u32::from(u16::MAX)) as u16);
        }
        let shown = self.requests.loads.len().min(MAX_LOADS);
        let mut loads = root.init_loads(shown as u32);
        for (index, load) in self.requests.loads.iter().take(shown).enumerate() {
            let mut it = loads.reborrow().get(index as u32);
            it.set_target(load.target);
            it.set_online(load.online.min(u32::from(u16::MAX)) as u16);
            it.set_batch(load.batch.min(u32::from(u16::MAX)) as u16);
        }
        let mut bytes = Vec::with_capacity(MAX_BYTES);
        // Writing to a vector cannot fail.
        let _ = serialize_packed::write_message(&mut bytes, &message);
        bytes
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// It is no status.
    pub fn decode(bytes: &[u8]) -> capnp::Result<Status> {
        let options = message::ReaderOptions::new();
        let message = serialize_packed::read_message(bytes, options)?;
        let root = message.get_root::<gateway_status::Reader<'_>>()?;
        let loads = root.get_loads()?.iter().map(|it| DoorLoad {
            target: it.get_target(),
            online: u32::from(it.get_online()),
            batch: u32::from(it.get_batch()),
        });
        let waiting = root
            .get_waiting()?
            .iter()
            .map(|it| WaitingItems { service: it.get_service(), items: u32::from(it.get_items()) });
        let requests = DoorState { loads: loads.collect(), waiting: waiting.collect() };
        let mut jobs = Vec::new();
        for job in root.get_jobs()? {
            let name = job.get_name()?.to_str()?.into();
            jobs.push(OwnedJob { name, items: job.get_items() });
        }
        let seen = root.get_seen()?;
        let seen = SeenChanges {
            routes: Version(seen.get_routes()),
            targets: Version(seen.get_targets()),
            gateways: Version(seen.get_gateways()),
        };
        Ok(Status {
            jobs,
            seen,
            store_silent_ms: root.get_store_silent_ms(),
            name: root.get_name()?.to_str()?.to_owned(),
            incarnation: root.get_incarnation(),
            routes_version: root.get_routes_version(),
            store_reached: root.get_store_reached(),
            stopping: root.get_stopping(),
            requests,
        })
    }
}
