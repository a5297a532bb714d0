//! Summary of a cell's state, which is sent to every other cell.

use samphiredoor_core::{ordered::JobName, overload::OverloadNews, placement::GatewayState};
use samphiredoor_schema::peer_capnp::cell_summary;

use super::{
    overload_news::{read_news, write_news},
    status::{read_requests, read_seen, write_loads, write_seen, write_waiting},
};
use crate::seen_versions::SeenChanges;

/// Most targets in one datagram. A cell has about a dozen targets, and requests at some targets of other cells.
const MAX_LOADS: usize = 50;
/// Most services with waiting items in one datagram.
const MAX_SERVICES: usize = 8;
/// Most jobs in one datagram; each takes about thirty bytes.
const MAX_JOBS: usize = 12;

/// State of one gateway of the cell, as its summary sender last received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Hash of its name, see [`samphiredoor_core::placement::name_hash`].
    pub key: u64,
    /// Incarnation of the gateway; a restart has a higher one.
    pub incarnation: u64,
    /// Version of its active routes.
    pub routes_version: u64,
    /// Age of its last status when the summary was made.
    pub status_age_ms: u16,
    /// Whether it reaches the store.
    pub store_reached: bool,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
}

/// A job whose ownership a member has acquired recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberJob {
    /// Index of the owner in [`Summary::members`].
    pub member: u16,
    /// Name of the job.
    pub name: JobName,
}

/// State of a cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Summary {
    /// Name of the cell.
    pub cell: String,
    /// Whether the receiver forwards the summary to the other gateways of its own cell.
    pub forward: bool,
    /// Live gateways of the cell.
    pub members: Vec<Member>,
    /// Sums of the members' requests at targets and of their waiting items.
    pub requests: GatewayState,
    /// Jobs whose ownership the members have acquired recently.
    pub jobs: Vec<MemberJob>,
    /// Newest store versions that any member has seen.
    pub seen: SeenChanges,
    /// Shortest time since the store responded to a member; `u32::MAX` if it never did.
    pub store_silent_ms: u32,
    /// What the members' overload control shares.
    pub overload: OverloadNews,
}

impl Summary {
    /// Writes the summary into a datagram, up to the limits of its lists, which is `max_news` for those of overload control.
    pub fn write(&self, mut root: cell_summary::Builder<'_>, max_news: usize) {
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
            it.set_heard_ms(member.status_age_ms);
            it.set_store_reached(member.store_reached);
            it.set_stopping(member.stopping);
        }
        let count = self.jobs.len().min(MAX_JOBS);
        let mut jobs = root.reborrow().init_jobs(count as u32);
        for (index, job) in self.jobs.iter().take(count).enumerate() {
            let mut it = jobs.reborrow().get(index as u32);
            it.set_member(job.member);
            it.set_name(&*job.name);
        }
        let count = self.requests.waiting.len().min(MAX_SERVICES) as u32;
        write_waiting(&self.requests.waiting, root.reborrow().init_waiting(count));
        let count = self.requests.loads.len().min(MAX_LOADS) as u32;
        write_loads(&self.requests.loads, root.reborrow().init_loads(count));
        if !self.overload.is_empty() {
            write_news(&self.overload, max_news, root.init_overload());
        }
    }

    /// Reads a summary from a datagram.
    ///
    /// # Errors
    ///
    /// The message is malformed.
    pub fn read(root: cell_summary::Reader<'_>) -> capnp::Result<Summary> {
        let members = root.get_members()?.iter().map(|it| Member {
            key: it.get_name(),
            incarnation: it.get_incarnation(),
            routes_version: it.get_routes_version(),
            status_age_ms: it.get_heard_ms(),
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
            overload: read_news(root.get_overload()?)?,
        })
    }
}
