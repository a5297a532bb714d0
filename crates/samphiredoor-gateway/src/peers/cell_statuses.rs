//! Latest statuses of the gateways of the own cell, including this one, and the summary of them for other cells.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    ordered::JobName,
    overload::merge_news,
    placement::{CellId, name_hash, sum_states},
};

use super::{
    Roster,
    roster::DEAD_AFTER,
    status::Status,
    summary::{Member, MemberJob, Summary},
};
use crate::seen_versions::SeenChanges;

/// How long summaries announce a job after its owner first reported it. Several summaries are sent in that time, as
/// some datagrams are lost.
const JOB_ANNOUNCE_TIME: Duration = Duration::from_millis(1_800);
/// Most jobs that are announced at a time.
const MAX_JOBS: usize = 64;

struct ReceivedStatus {
    at: Instant,
    status: Status,
}

struct AnnouncedJob {
    at: Instant,
    owner: Name,
    job: JobName,
}

#[derive(Default)]
struct State {
    statuses: BTreeMap<Name, ReceivedStatus>,
    jobs: VecDeque<AnnouncedJob>,
}

/// Handle to the latest statuses of the own cell's gateways.
#[derive(Clone, Default)]
pub struct CellStatuses {
    state: Rc<RefCell<State>>,
}

impl CellStatuses {
    /// Stores a status that was received, or this gateway's own one when it is sent.
    pub fn record(&self, status: &Status) {
        let mut state = self.state.borrow_mut();
        let (name, at) = (Name::from(&*status.name), Instant::now());
        for job in &status.jobs {
            if state.jobs.iter().any(|it| it.job == job.name) {
                continue;
            }
            if state.jobs.len() == MAX_JOBS {
                state.jobs.pop_front();
            }
            let (owner, job) = (Name::clone(&name), JobName::clone(&job.name));
            state.jobs.push_back(AnnouncedJob { at, owner, job });
        }
        state.statuses.insert(name, ReceivedStatus { at, status: status.clone() });
        state.statuses.retain(|_, it| it.at.elapsed() < DEAD_AFTER);
        state.jobs.retain(|it| it.at.elapsed() < JOB_ANNOUNCE_TIME);
    }

    /// Summary of the own cell for the gateways of another cell; `None` before the first status.
    ///
    /// Requests at targets of the receiving cell are left out, as its gateways receive them directly in statuses.
    pub fn summary(&self, roster: &Roster, receiver: CellId) -> Option<Summary> {
        let cells = roster.cells();
        let own = roster.own_cell()?;
        let state = self.state.borrow();
        let gateways = cells.gateways(own).iter();
        let received: Vec<&ReceivedStatus> =
            gateways.filter_map(|it| state.statuses.get(it)).collect();
        if received.is_empty() {
            return None;
        }
        let requests = received.iter().map(|it| &it.status.requests);
        let requests =
            sum_states(requests, |target| cells.cell_of_target(target) == Some(receiver));
        let members: Vec<Member> = received.iter().map(|it| member(it)).collect();
        let index_of = |owner: &Name| received.iter().position(|it| *it.status.name == **owner);
        let jobs = state.jobs.iter().filter_map(|it| {
            Some(MemberJob { member: index_of(&it.owner)? as u16, name: JobName::clone(&it.job) })
        });
        Some(Summary {
            cell: cells.name(own)?.to_string(),
            forward: true,
            members,
            requests,
            jobs: jobs.collect(),
            seen: newest(received.iter().map(|it| it.status.seen)),
            store_silent_ms: received.iter().map(|it| store_silent_ms(it)).min()?,
            overload: merge_news(received.iter().map(|it| &it.status.overload)),
        })
    }
}

fn member(received: &ReceivedStatus) -> Member {
    let status = &received.status;
    Member {
        key: name_hash(&status.name),
        incarnation: status.incarnation,
        routes_version: status.routes_version,
        status_age_ms: received.at.elapsed().as_millis().try_into().unwrap_or(u16::MAX),
        store_reached: status.store_reached,
        stopping: status.stopping,
    }
}

/// Time since the store last responded to a gateway, including the age of its status.
fn store_silent_ms(received: &ReceivedStatus) -> u32 {
    let age_ms = received.at.elapsed().as_millis().try_into().unwrap_or(u32::MAX);
    received.status.store_silent_ms.saturating_add(age_ms)
}

fn newest(seen: impl Iterator<Item = SeenChanges>) -> SeenChanges {
    seen.fold(SeenChanges::default(), |newest, it| SeenChanges {
        routes: newest.routes.max(it.routes),
        targets: newest.targets.max(it.targets),
        gateways: newest.gateways.max(it.gateways),
    })
}
