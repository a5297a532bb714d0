//! What a cell tells each other cell.

use samphiredoor_core::{ordered::JobName, placement::GatewayState};
use samphiredoor_schema::peer_capnp::cell_summary;

use super::status::{read_requests, read_seen, write_loads, write_seen, write_waiting};
use crate::seen_versions::SeenChanges;

/// Targets in one datagram; a cell has a dozen, and some requests at those of others.
const MAX_LOADS: usize = 50;
/// Services in one datagram for which items wait.
const MAX_SERVICES: usize = 8;
/// Jobs in one datagram, about thirty bytes each.
const MAX_JOBS: usize = 12;

/// A gateway of a cell, as the cell hears it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name, by [`samphiredoor_core::placement::name_hash`].
    pub key: u64,
    /// Which start of it.
    pub incarnation: u64,
    /// Version of the routes that it has in force.
    pub routes_version: u64,
    /// Time since the cell heard it.
    pub heard_ms: u16,
    /// Whether the store answers it.
    pub store_reached: bool,
    /// Whether a planned stop is under way.
    pub stopping: bool,
}

/// A job that a member has come to own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberJob {
    /// Place of its owner among the members.
    pub member: u16,
    /// Its name.
    pub name: JobName,
}

/// State of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Its name.
    pub cell: String,
    /// Whether the receiver passes it on to the other gateways of its own cell.
    pub forward: bool,
    /// Its gateways that are heard.
    pub members: Vec<Member>,
    /// Their requests at targets, and their items that wait.
    pub requests: GatewayState,
    /// Jobs that they have come to own lately.
    pub jobs: Vec<MemberJob>,
    /// Newest changes that one of them has seen in the store.
    pub seen: SeenChanges,
    /// Least time since the store answered one of them; `u32::MAX` if it never did.
    pub store_silent_ms: u32,
}

impl Summary {
    /// Writes it into a datagram.
    pub fn write(&self, mut root: cell_summary::Builder<'_>) {
        root.set_cell(&self.cell);
        root.set_forward(self.forward);
        root.set_store_silent_ms(self.store_silent_ms);
        write_seen(&self.seen, root.reborrow().init_seen());
        let mut members = root.reborrow().init_members(self.members.len() as u32);
        for (index, member) in self.members.iter().enumerate() {
            let mut it = members.reborrow().get(index as u32);
            it.set_name(member.key);
            it.set_incarnation(member.incarnation);
            it.set_routes_version(member.routes_version);
            it.set_heard_ms(member.heard_ms);
            it.set_store_reached(member.store_reached);
            it.set_stopping(member.stopping);
        }
        let told = self.jobs.len().min(MAX_JOBS);
        let mut jobs = root.reborrow().init_jobs(told as u32);
        for (index, job) in self.jobs.iter().take(told).enumerate() {
            let mut it = jobs.reborrow().get(index as u32);
            it.set_member(job.member);
            it.set_name(&*job.name);
        }
        let shown = self.requests.waiting.len().min(MAX_SERVICES) as u32;
        write_waiting(&self.requests.waiting, root.reborrow().init_waiting(shown));
        let shown = self.requests.loads.len().min(MAX_LOADS) as u32;
        write_loads(&self.requests.loads, root.init_loads(shown));
    }

    /// Reads it from a datagram.
    ///
    /// # Errors
    ///
    /// It is no summary.
    pub fn read(root: cell_summary::Reader<'_>) -> capnp::Result<Summary> {
        let members = root.get_members()?.iter().map(|it| Member {
            key: it.get_name(),
            incarnation: it.get_incarnation(),
            routes_version: it.get_routes_version(),
            heard_ms: it.get_heard_ms(),
            store_reached: it.get_store_reached(),
            stopping: it.get_stopping(),
        });
        let mut jobs = Vec::new();
        for job in root.get_jobs()? {
            let name = job.get_name()?.to_str()?.into();
            jobs.push(MemberJob { member: job.get_member(), name });
        }
        Ok(Summary {
            cell: root.get_cell()?.to_str()?.to_owned(),
            forward: root.get_forward(),
            members: members.collect(),
            requests: read_requests(root.get_loads()?, root.get_waiting()?),
            jobs,
            seen: read_seen(root.get_seen()?),
            store_silent_ms: root.get_store_silent_ms(),
        })
    }
}
