//! A service in simulated time: gateways with the real placement, targets that run what they are sent, online requests in
//! waves, and batch jobs.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
};

use samphiredoor_core::{
    Name,
    dispatch::{Class, Location, RequestId},
    overload::{
        Activation, OverloadPolicy,
        batch_admission::{JobDemand, JobVerdict},
    },
    placement::{
        Action, AttemptEnd, CallerTerms, Input, Placement, RequestSpec, TargetEntry, TargetState,
    },
};
use smallvec::SmallVec;

use super::{
    Rule,
    load::{DUE_MS, GIVE_UP_MS, Load, OnlineRequest},
};

/// Gateways of the service.
pub const GATEWAYS: usize = 4;
/// Slots of all targets.
pub const SLOTS: u32 = TARGETS * TARGET_SLOTS;
const TARGETS: u32 = 12;
const TARGET_SLOTS: u32 = 8;
const SERVICE: &str = "reader";
/// Interval at which gateways exchange their statuses.
const EXCHANGE_MS: u64 = 50;
/// Pause before an item is sent again that its target refused.
const RETRY_PAUSE_MS: u64 = 60;
const OBJECTIVE_MS: u64 = 300;
const ONLINE_DEADLINE_MS: u64 = 5_000;
/// Longest wait of an online request in the queue.
const ONLINE_QUEUE_MS: u64 = 60;
/// Bits of a request id that hold the number of the attempt; the rest is the index of the work.
const ATTEMPT_BITS: u32 = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Exchange,
    Job(usize),
    Online(usize),
    Resend(usize),
    Ended(RequestId),
    GiveUp(usize),
}

/// An online request or an item.
#[derive(Debug)]
struct Work {
    gateway: usize,
    job: Option<usize>,
    arrived_ms: u64,
    run_ms: u64,
    done_ms: u64,
    attempts: u64,
    /// When the attempt started, and its target.
    running: Option<(u64, Name)>,
    ended_ms: Option<u64>,
    is_given_up: bool,
}

/// What became of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct JobFate {
    /// Whether it was accepted.
    pub is_accepted: bool,
    /// Items completed by the due time.
    pub in_time: u32,
    /// Items completed later.
    pub late: u32,
    /// Items given up.
    pub never: u32,
}

/// State of a run.
pub struct Fleet<'a> {
    load: &'a Load,
    rule: &'a Rule,
    now_ms: u64,
    placements: Vec<Placement>,
    taken: HashMap<Name, u32>,
    works: Vec<Work>,
    accepted: Vec<bool>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
}

impl<'a> Fleet<'a> {
    /// Creates a run of a load with a rule that decides which jobs are accepted.
    pub fn new(load: &'a Load, rule: &'a Rule) -> Fleet<'a> {
        let policy = OverloadPolicy::new(Activation::Always);
        let placement = |index: usize| {
            let placement = Placement::new(gateway_name(index), location(), index as u64);
            placement.with_overload(policy)
        };
        let mut fleet = Fleet {
            load,
            rule,
            now_ms: 0,
            placements: (0..GATEWAYS).map(placement).collect(),
            taken: HashMap::new(),
            works: Vec::new(),
            accepted: vec![false; load.jobs.len()],
            events: BinaryHeap::new(),
            scheduled: 0,
        };
        let entries: Vec<TargetEntry> = (0..TARGETS).map(entry).collect();
        for gateway in 0..GATEWAYS {
            fleet.input(gateway, Input::Targets(entries.clone()));
        }
        fleet.schedule(0, Event::Exchange);
        for (index, job) in load.jobs.iter().enumerate() {
            fleet.schedule(job.arrives_ms, Event::Job(index));
        }
        for (index, request) in load.online.iter().enumerate() {
            fleet.schedule(request.arrives_ms, Event::Online(index));
        }
        fleet
    }

    /// Runs until all items have ended, and returns the fate of each job.
    pub fn run(mut self) -> Vec<JobFate> {
        let until_ms = self.load.last_arrival_ms() + GIVE_UP_MS;
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms > until_ms {
                break;
            }
            self.now_ms = at_ms;
            self.process(event);
        }
        let mut fates: Vec<JobFate> = self
            .accepted
            .iter()
            .map(|it| JobFate { is_accepted: *it, ..JobFate::default() })
            .collect();
        for work in &self.works {
            let Some(job) = work.job else { continue };
            match work.ended_ms {
                Some(ended_ms) if ended_ms <= work.arrived_ms + DUE_MS => fates[job].in_time += 1,
                Some(_) => fates[job].late += 1,
                None => fates[job].never += 1,
            }
        }
        fates
    }

    /// Items that wait for a slot at any gateway.
    pub fn waiting_items(&self) -> usize {
        self.placements.iter().map(|it| it.waiting().1).sum()
    }

    /// Time for which the oldest item has waited that was not sent to a target yet; 0 without any.
    pub fn oldest_wait_ms(&self) -> u64 {
        let is_waiting = |it: &&Work| {
            it.job.is_some() && it.attempts == 1 && it.running.is_none() && it.is_open()
        };
        let oldest = self.works.iter().find(is_waiting);
        oldest.map_or(0, |it| self.now_ms - it.arrived_ms)
    }

    /// Verdict of the gateway that received a job.
    pub fn predicts_in_time(&mut self, job: usize) -> bool {
        let job = &self.load.jobs[job];
        let demand = JobDemand {
            service: SERVICE.into(),
            workspace: 0,
            items: job.item_ms.len() as u32,
            due_in_ms: DUE_MS,
        };
        let verdict = self.placements[job.gateway].admit_job(self.now_ms, &demand);
        !matches!(verdict, JobVerdict::Reject { .. })
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_ms, self.scheduled, event)));
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Exchange => self.exchange(),
            Event::Job(index) => self.submit(index),
            Event::Online(index) => {
                let OnlineRequest { gateway, run_ms, .. } = self.load.online[index];
                self.add_work(gateway, None, run_ms);
            }
            Event::Resend(work) => self.send(work),
            Event::Ended(request) => self.attempt_ended(request),
            Event::GiveUp(job) => self.give_up(job),
        }
    }

    fn exchange(&mut self) {
        for sender in 0..GATEWAYS {
            let placement = &self.placements[sender];
            let (state, news) = (placement.state(), placement.news(self.now_ms));
            for receiver in (0..GATEWAYS).filter(|it| *it != sender) {
                let peer = gateway_name(sender);
                self.input(
                    receiver,
                    Input::Peer { peer: Name::clone(&peer), state: state.clone() },
                );
                self.input(receiver, Input::PeerNews { peer, news: news.clone() });
            }
        }
        self.schedule(self.now_ms + EXCHANGE_MS, Event::Exchange);
    }

    fn submit(&mut self, index: usize) {
        let rule = self.rule;
        if !rule.accepts(self, index) {
            return;
        }
        self.accepted[index] = true;
        let job = &self.load.jobs[index];
        for run_ms in &job.item_ms {
            self.add_work(job.gateway, Some(index), *run_ms);
        }
        self.schedule(self.now_ms + GIVE_UP_MS, Event::GiveUp(index));
    }

    fn add_work(&mut self, gateway: usize, job: Option<usize>, run_ms: u64) {
        let work = Work {
            gateway,
            job,
            arrived_ms: self.now_ms,
            run_ms,
            done_ms: 0,
            attempts: 0,
            running: None,
            ended_ms: None,
            is_given_up: false,
        };
        self.works.push(work);
        self.send(self.works.len() - 1);
    }

    fn send(&mut self, index: usize) {
        let work = &mut self.works[index];
        if !work.is_open() {
            return;
        }
        work.attempts += 1;
        let (gateway, spec) = (work.gateway, work.spec(index));
        self.input(gateway, Input::Request(spec));
    }

    fn input(&mut self, gateway: usize, input: Input) {
        let mut actions = Vec::new();
        self.placements[gateway].handle(self.now_ms, input, &mut actions);
        for action in actions {
            match action {
                Action::Dispatch { request, target, .. } => self.dispatch(request, target),
                Action::Preempt { request } => self.cut(request),
                // Callers of rejected requests do not return, as the online load is only there to take slots.
                Action::Refuse { request, .. } => self.works[work_of(request)].is_given_up = true,
            }
        }
    }

    fn dispatch(&mut self, request: RequestId, target: Name) {
        let (index, now_ms) = (work_of(request), self.now_ms);
        let taken = self.taken.entry(Name::clone(&target)).or_default();
        if *taken >= TARGET_SLOTS {
            self.schedule(now_ms + RETRY_PAUSE_MS, Event::Resend(index));
            let gateway = self.works[index].gateway;
            return self.input(gateway, Input::Ended { request, end: AttemptEnd::Refused });
        }
        *taken += 1;
        let work = &mut self.works[index];
        work.running = Some((now_ms, target));
        let ends_ms = now_ms + work.run_ms - work.done_ms;
        self.schedule(ends_ms, Event::Ended(request));
    }

    /// Frees the slot of a running attempt.
    fn stop(&mut self, index: usize) {
        let Some((started_ms, target)) = self.works[index].running.take() else { return };
        self.works[index].done_ms += self.now_ms - started_ms;
        if let Some(taken) = self.taken.get_mut(&target) {
            *taken -= 1;
        }
    }

    fn cut(&mut self, request: RequestId) {
        let index = work_of(request);
        self.stop(index);
        let gateway = self.works[index].gateway;
        self.input(gateway, Input::Ended { request, end: AttemptEnd::Cut });
        self.schedule(self.now_ms, Event::Resend(index));
    }

    fn attempt_ended(&mut self, request: RequestId) {
        let index = work_of(request);
        let work = &self.works[index];
        if work.running.is_none() || work.request(index) != request {
            return;
        }
        let gateway = work.gateway;
        self.stop(index);
        self.works[index].ended_ms = Some(self.now_ms);
        self.input(gateway, Input::Ended { request, end: AttemptEnd::Answered });
    }

    fn give_up(&mut self, job: usize) {
        for index in 0..self.works.len() {
            let work = &mut self.works[index];
            if work.job != Some(job) || !work.is_open() {
                continue;
            }
            work.is_given_up = true;
            let (gateway, request) = (work.gateway, work.request(index));
            self.stop(index);
            self.input(gateway, Input::Cancelled { request });
        }
    }
}

impl Work {
    fn is_open(&self) -> bool {
        self.ended_ms.is_none() && !self.is_given_up
    }

    fn request(&self, index: usize) -> RequestId {
        RequestId((index as u64) << ATTEMPT_BITS | self.attempts)
    }

    fn spec(&self, index: usize) -> RequestSpec {
        let (class, deadline_ms) = match self.job {
            Some(_) => (Class::Batch, self.arrived_ms + DUE_MS),
            None => (Class::Online, self.arrived_ms + ONLINE_QUEUE_MS),
        };
        RequestSpec {
            request: self.request(index),
            class,
            service: SERVICE.into(),
            priority: 0,
            affinity: 0,
            tried_targets: SmallVec::new(),
            deadline_ms,
            prior_run_ms: self.done_ms,
            resumes: None,
            terms: CallerTerms {
                arrived_ms: self.arrived_ms,
                objective_ms: OBJECTIVE_MS,
                deadline_ms: self.arrived_ms + ONLINE_DEADLINE_MS,
                full_wait_ms: ONLINE_DEADLINE_MS,
                is_repeatable: true,
                ..CallerTerms::default()
            },
        }
    }
}

fn work_of(request: RequestId) -> usize {
    (request.0 >> ATTEMPT_BITS) as usize
}

fn gateway_name(index: usize) -> Name {
    format!("gateway-{index}").into()
}

fn location() -> Location {
    Location { region: "brisbane".into(), availability_zone: "north".into() }
}

fn entry(index: u32) -> TargetEntry {
    TargetEntry {
        name: format!("t-{index}").into(),
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 80).into(),
        location: location(),
        slots: TARGET_SLOTS,
        state: TargetState::Ready,
        software_version: "v1".into(),
        started_unix_ms: 1,
    }
}
