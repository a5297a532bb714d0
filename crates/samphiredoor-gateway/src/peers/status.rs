//! Status of one gateway, which it sends to its peers.

use samphiredoor_core::{
    ordered::JobName,
    overload::OverloadNews,
    placement::{GatewayLoad, GatewayState, WaitingItems},
    store::Version,
};
use samphiredoor_schema::peer_capnp::{
    gateway_status, requests_at_target, seen_changes, waiting_items,
};

use super::overload_news::{read_news, write_news};
use crate::seen_versions::SeenChanges;

/// Most targets in one datagram; each takes eight to ten bytes when packed.
const MAX_LOADS: usize = 100;
/// Most services with waiting items in one datagram.
const MAX_SERVICES: usize = 8;
/// Most jobs in one datagram.
const MAX_JOBS: usize = 8;

/// A job whose ownership a gateway has acquired recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnedJob {
    /// Name of the job.
    pub name: JobName,
    /// Number of items in the job.
    pub items: u32,
}

/// State of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Name of the gateway.
    pub name: String,
    /// Incarnation of the gateway; a restart has a higher one.
    pub incarnation: u64,
    /// Version of its active routes.
    pub routes_version: u64,
    /// Whether it reaches the store.
    pub store_reached: bool,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
    /// Its requests at targets and its waiting items.
    pub requests: GatewayState,
    /// Jobs whose ownership it has acquired recently.
    pub jobs: Vec<OwnedJob>,
    /// Newest store versions that it has seen.
    pub seen: SeenChanges,
    /// Time since the store last responded to it; `u32::MAX` if it never did.
    pub store_silent_ms: u32,
    /// What its overload control shares.
    pub overload: OverloadNews,
}

impl Status {
    /// Whether its sender has read the list of gateways.
    pub fn knows_gateways(&self) -> bool {
        self.seen.gateways != Version::default()
    }

    /// Writes the status into a datagram, up to the limits of its lists, which is `max_news` for those of overload control.
    pub fn write(&self, mut root: gateway_status::Builder<'_>, max_news: usize) {
        root.set_name(&self.name);
        root.set_incarnation(self.incarnation);
        root.set_routes_version(self.routes_version);
        root.set_store_reached(self.store_reached);
        root.set_stopping(self.stopping);
        root.set_store_silent_ms(self.store_silent_ms);
        write_seen(&self.seen, root.reborrow().init_seen());
        let count = self.jobs.len().min(MAX_JOBS);
        let mut jobs = root.reborrow().init_jobs(count as u32);
        for (index, job) in self.jobs.iter().take(count).enumerate() {
            let mut it = jobs.reborrow().get(index as u32);
            it.set_name(&*job.name);
            it.set_items(job.items);
        }
        let count = self.requests.waiting.len().min(MAX_SERVICES) as u32;
        write_waiting(&self.requests.waiting, root.reborrow().init_waiting(count));
        let count = self.requests.loads.len().min(MAX_LOADS) as u32;
        write_loads(&self.requests.loads, root.reborrow().init_loads(count));
        if !self.overload.is_empty() {
            write_news(&self.overload, max_news, root.init_overload());
        }
    }

    /// Reads a status from a datagram.
    ///
    /// # Errors
    ///
    /// The message is malformed.
    pub fn read(root: gateway_status::Reader<'_>) -> capnp::Result<Status> {
        let mut jobs = Vec::new();
        for job in root.get_jobs()? {
            let name = job.get_name()?.to_str()?.into();
            jobs.push(OwnedJob { name, items: job.get_items() });
        }
        Ok(Status {
            jobs,
            seen: read_seen(root.get_seen()?),
            store_silent_ms: root.get_store_silent_ms(),
            name: root.get_name()?.to_str()?.to_owned(),
            incarnation: root.get_incarnation(),
            routes_version: root.get_routes_version(),
            store_reached: root.get_store_reached(),
            stopping: root.get_stopping(),
            requests: read_requests(root.get_loads()?, root.get_waiting()?),
            overload: read_news(root.get_overload()?)?,
        })
    }
}

/// Fills a list with loads; those beyond its length are left out.
pub(super) fn write_loads(
    loads: &[GatewayLoad],
    mut list: capnp::struct_list::Builder<'_, requests_at_target::Owned>,
) {
    for (index, load) in loads.iter().take(list.len() as usize).enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_target(load.target);
        it.set_online(load.online.min(u32::from(u16::MAX)) as u16);
        it.set_batch(load.batch.min(u32::from(u16::MAX)) as u16);
    }
}

/// Fills a list with counts of waiting items; services beyond its length are left out.
pub(super) fn write_waiting(
    waiting: &[WaitingItems],
    mut list: capnp::struct_list::Builder<'_, waiting_items::Owned>,
) {
    for (index, of_service) in waiting.iter().take(list.len() as usize).enumerate() {
        let mut it = list.reborrow().get(index as u32);
        it.set_service(of_service.service);
        it.set_items(of_service.items.min(u32::from(u16::MAX)) as u16);
    }
}

pub(super) fn read_requests(
    loads: capnp::struct_list::Reader<'_, requests_at_target::Owned>,
    waiting: capnp::struct_list::Reader<'_, waiting_items::Owned>,
) -> GatewayState {
    let loads = loads.iter().map(|it| GatewayLoad {
        target: it.get_target(),
        online: u32::from(it.get_online()),
        batch: u32::from(it.get_batch()),
    });
    let waiting = waiting
        .iter()
        .map(|it| WaitingItems { service: it.get_service(), items: u32::from(it.get_items()) });
    GatewayState { loads: loads.collect(), waiting: waiting.collect() }
}

pub(super) fn write_seen(seen: &SeenChanges, mut root: seen_changes::Builder<'_>) {
    root.set_routes(seen.routes.0);
    root.set_targets(seen.targets.0);
    root.set_gateways(seen.gateways.0);
}

pub(super) fn read_seen(root: seen_changes::Reader<'_>) -> SeenChanges {
    SeenChanges {
        routes: Version(root.get_routes()),
        targets: Version(root.get_targets()),
        gateways: Version(root.get_gateways()),
    }
}
