//! What the gateways of the own cell last told, this one among them, and its sum for other cells.

use std::{
    cell::RefCell,
    collections::{BTreeMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    ordered::JobName,
    placement::{CellId, name_hash, sum_states},
};

use super::{
    Roster,
    roster::GONE,
    status::Status,
    summary::{Member, MemberJob, Summary},
};
use crate::seen_versions::SeenChanges;

/// How long a job that a gateway has come to own is told; some summaries are sent in that time, and some are lost.
const JOB_TOLD_FOR: Duration = Duration::from_millis(1_800);
/// Jobs that are remembered meanwhile.
const MAX_JOBS: usize = 64;

struct Told {
    at: Instant,
    status: Status,
}

struct ToldJob {
    at: Instant,
    owner: Name,
    job: JobName,
}

#[derive(Default)]
struct State {
    told: BTreeMap<Name, Told>,
    jobs: VecDeque<ToldJob>,
}

/// Handle to what the gateways of the own cell last told.
#[derive(Clone, Default)]
pub struct CellStatuses {
    state: Rc<RefCell<State>>,
}

impl CellStatuses {
    /// Takes the status of a gateway, be it this one's own.
    pub fn told(&self, status: &Status) {
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
            state.jobs.push_back(ToldJob { at, owner, job });
        }
        state.told.insert(name, Told { at, status: status.clone() });
        state.told.retain(|_, it| it.at.elapsed() < GONE);
        state.jobs.retain(|it| it.at.elapsed() < JOB_TOLD_FOR);
    }

    /// Sum of what the own cell's gateways told, for the gateways of another cell; `None` before anybody told anything.
    ///
    /// Requests at targets of the receiving cell are left out: its gateways are told of them directly.
    pub fn summary(&self, roster: &Roster, receiver: CellId) -> Option<Summary> {
        let cells = roster.cells();
        let own = roster.own_cell()?;
        let state = self.state.borrow();
        let doors = cells.gateways(own).iter();
        let told: Vec<&Told> = doors.filter_map(|it| state.told.get(it)).collect();
        if told.is_empty() {
            return None;
        }
        let requests = told.iter().map(|it| &it.status.requests);
        let requests =
            sum_states(requests, |target| cells.cell_of_target(target) == Some(receiver));
        let members: Vec<Member> = told.iter().map(|it| member(it)).collect();
        let place_of = |owner: &Name| told.iter().position(|it| *it.status.name == **owner);
        let jobs = state.jobs.iter().filter_map(|it| {
            Some(MemberJob { member: place_of(&it.owner)? as u16, name: JobName::clone(&it.job) })
        });
        Some(Summary {
            cell: cells.name(own)?.to_string(),
            forward: true,
            members,
            requests,
            jobs: jobs.collect(),
            seen: newest(told.iter().map(|it| it.status.seen)),
            store_silent_ms: told.iter().map(|it| store_silent_ms(it)).min()?,
        })
    }
}

fn member(told: &Told) -> Member {
    let status = &told.status;
    Member {
        key: name_hash(&status.name),
        incarnation: status.incarnation,
        routes_version: status.routes_version,
        heard_ms: told.at.elapsed().as_millis().try_into().unwrap_or(u16::MAX),
        store_reached: status.store_reached,
        stopping: status.stopping,
    }
}

fn store_silent_ms(told: &Told) -> u32 {
    let since = told.at.elapsed().as_millis().try_into().unwrap_or(u32::MAX);
    told.status.store_silent_ms.saturating_add(since)
}

fn newest(seen: impl Iterator<Item = SeenChanges>) -> SeenChanges {
    seen.fold(SeenChanges::default(), |newest, it| SeenChanges {
        routes: newest.routes.max(it.routes),
        targets: newest.targets.max(it.targets),
        gateways: newest.gateways.max(it.gateways),
    })
}
