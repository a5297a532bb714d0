//! The work on one job by its owner.
//!
//! A few chunks are open at a time, so that memory does not grow with the job. Each open chunk hands out its undecided
//! items, takes their ends, and commits results in groups. When all chunks are complete the header is closed.

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_schema::objects::{Chunk, Item, ItemOutcome, ItemResult, JobHeader, JobState};

use super::{
    CallId, Calls, Event, ItemEnd, ItemRef, ItemWork, JobId, LedgerAction, Progress, chunk_key,
    commit::Commit, header_key, outcome_counts, results_key,
};
use crate::{
    Name,
    store::{Labels, StoreAnswer, StoreOp, Value, Version},
    time::Now,
};

const OPEN_CHUNKS: usize = 2;
const GROUP: usize = 250;
const LINGER_MS: u64 = 200;
const MAX_TRIES: u32 = 4;
const RETRY_MS: u64 = 500;

#[derive(Debug)]
struct OpenChunk {
    items: Option<Vec<Item>>,
    loading: Option<CallId>,
    retry_at_ms: u64,
    commit: Commit,
    running: BTreeMap<u32, u32>,
    tries: BTreeMap<u32, u32>,
}

#[derive(Debug)]
enum Closing {
    No,
    Writing(CallId),
    Waiting { at_ms: u64 },
    Reading(CallId),
    Closed,
}

/// One job at work.
#[derive(Debug)]
pub(super) struct JobRun {
    job: JobId,
    header: JobHeader,
    version: Version,
    writer: Name,
    open: BTreeMap<u32, OpenChunk>,
    next_chunk: u32,
    closing: Closing,
    completed: u32,
    failed: u32,
}

impl JobRun {
    pub(super) fn new(job: JobId, header: JobHeader, version: Version, writer: Name) -> JobRun {
        JobRun {
            job,
            header,
            version,
            writer,
            open: BTreeMap::new(),
            next_chunk: 0,
            closing: Closing::No,
            completed: 0,
            failed: 0,
        }
    }

    pub(super) fn ended(&self) -> bool {
        matches!(self.closing, Closing::Closed)
    }

    pub(super) fn progress(&self) -> Progress {
        let mut progress = Progress { completed: self.completed, failed: self.failed, running: 0 };
        for chunk in self.open.values() {
            let (completed, failed) = outcome_counts(chunk.commit.standing().values());
            progress.completed += completed;
            progress.failed += failed;
            progress.running += chunk.running.len() as u32;
        }
        progress
    }

    pub(super) fn step(
        &mut self,
        now: Now,
        event: Option<Event>,
        calls: &mut Calls<'_>,
        out: &mut Vec<LedgerAction>,
    ) {
        match event {
            Some(Event::Stored(call, answer)) => self.stored(now, call, &answer, calls),
            Some(Event::Ended(item, end)) => self.item_ended(now, &item, end),
            None => {}
        }
        self.open_chunks();
        let chunks: Vec<u32> = self.open.keys().copied().collect();
        for chunk in chunks {
            self.step_chunk(now, chunk, calls, out);
        }
        self.close_if_complete(now, calls);
    }

    fn open_chunks(&mut self) {
        while self.open.len() < OPEN_CHUNKS && self.next_chunk < self.header.chunks {
            let chunk = self.next_chunk;
            self.next_chunk += 1;
            let key = results_key(&self.job, chunk);
            let epoch = self.header.owner.epoch;
            let open = OpenChunk {
                items: None,
                loading: None,
                retry_at_ms: 0,
                commit: Commit::new(key, epoch, Arc::clone(&self.writer)),
                running: BTreeMap::new(),
                tries: BTreeMap::new(),
            };
            self.open.insert(chunk, open);
        }
    }

    fn step_chunk(
        &mut self,
        now: Now,
        number: u32,
        calls: &mut Calls<'_>,
        out: &mut Vec<LedgerAction>,
    ) {
        let Some(chunk) = self.open.get_mut(&number) else { return };
        if chunk.items.is_none() {
            if chunk.loading.is_none() && now.mono_ms >= chunk.retry_at_ms {
                let key = chunk_key(&self.header.upload, number);
                chunk.loading = Some(calls.add(StoreOp::Get { key }));
            }
            return;
        }
        let undecided = chunk.undecided();
        let group = GROUP.min(undecided + chunk.commit.pending_len());
        chunk.commit.step(now, group.max(1), LINGER_MS, calls);
        if chunk.commit.is_read() {
            chunk.hand_out(number, &self.job, &self.header, out);
        }
        if chunk.is_complete() {
            let (completed, failed) = outcome_counts(chunk.commit.standing().values());
            self.completed += completed;
            self.failed += failed;
            self.open.remove(&number);
            self.open_chunks();
        }
    }

    fn stored(&mut self, now: Now, call: CallId, answer: &StoreAnswer, calls: &mut Calls<'_>) {
        for chunk in self.open.values_mut() {
            if chunk.loading == Some(call) {
                chunk.loaded(now, answer);
                return;
            }
            if chunk.commit.stored(now, call, answer) {
                return;
            }
        }
        self.header_answered(now, call, answer, calls);
    }

    fn item_ended(&mut self, now: Now, item: &ItemRef, end: ItemEnd) {
        let repeatable = self.header.repeatable;
        if let Some(chunk) = self.open.get_mut(&item.chunk) {
            chunk.item_ended(now, item.index, end, repeatable);
        }
    }

    fn close_if_complete(&mut self, now: Now, calls: &mut Calls<'_>) {
        if !self.open.is_empty() || self.next_chunk < self.header.chunks {
            return;
        }
        match self.closing {
            Closing::No => self.close(calls),
            Closing::Waiting { at_ms } if now.mono_ms >= at_ms => {
                let call = calls.add(StoreOp::Get { key: header_key(&self.job) });
                self.closing = Closing::Reading(call);
            }
            _ => {}
        }
    }

    fn close(&mut self, calls: &mut Calls<'_>) {
        let mut header = self.header.clone();
        header.state = JobState::Finished;
        header.completed = self.completed;
        header.failed = self.failed;
        let value: Value = serde_json::to_vec(&header).unwrap_or_default().into();
        let labels = header_labels(&header);
        let key = header_key(&self.job);
        let call = calls.add(StoreOp::Update { key, version: self.version, labels, value });
        self.closing = Closing::Writing(call);
    }

    fn header_answered(
        &mut self,
        now: Now,
        call: CallId,
        answer: &StoreAnswer,
        calls: &mut Calls<'_>,
    ) {
        match (&self.closing, answer) {
            (Closing::Writing(own), StoreAnswer::Object(_)) if *own == call => {
                self.closing = Closing::Closed;
            }
            (Closing::Writing(own), _) if *own == call => {
                self.closing = Closing::Waiting { at_ms: now.mono_ms + RETRY_MS };
            }
            (Closing::Reading(own), StoreAnswer::Object(stored)) if *own == call => {
                match serde_json::from_slice::<JobHeader>(&stored.value) {
                    Ok(header) if header.state == JobState::Running => {
                        self.version = stored.version;
                        self.close(calls);
                    }
                    _ => self.closing = Closing::Closed,
                }
            }
            (Closing::Reading(own), _) if *own == call => {
                self.closing = Closing::Waiting { at_ms: now.mono_ms + RETRY_MS };
            }
            _ => {}
        }
    }
}

impl OpenChunk {
    fn loaded(&mut self, now: Now, answer: &StoreAnswer) {
        self.loading = None;
        self.retry_at_ms = now.mono_ms + RETRY_MS;
        let StoreAnswer::Object(stored) = answer else { return };
        if let Ok(chunk) = serde_json::from_slice::<Chunk>(&stored.value) {
            self.items = Some(chunk.items);
        }
    }

    fn len(&self) -> u32 {
        self.items.as_ref().map_or(0, |it| it.len() as u32)
    }

    fn undecided(&self) -> usize {
        (0..self.len()).filter(|it| !self.commit.is_decided(*it)).count()
    }

    fn is_complete(&self) -> bool {
        self.items.is_some() && self.commit.standing().len() as u32 == self.len()
    }

    fn hand_out(
        &mut self,
        number: u32,
        job: &JobId,
        header: &JobHeader,
        out: &mut Vec<LedgerAction>,
    ) {
        let Some(items) = &self.items else { return };
        for (index, item) in (0..).zip(items) {
            if self.running.contains_key(&index) || self.commit.is_decided(index) {
                continue;
            }
            self.running.insert(index, 0);
            let work = ItemWork {
                item: ItemRef { job: Arc::clone(job), chunk: number, index },
                service: header.service.as_str().into(),
                workspace: header.workspace.as_str().into(),
                url: item.url.clone(),
                body: item.body.clone(),
                repeatable: header.repeatable,
                due_unix_ms: header.due_unix_ms,
            };
            out.push(LedgerAction::Run(Box::new(work)));
        }
    }

    fn item_ended(&mut self, now: Now, index: u32, end: ItemEnd, repeatable: bool) {
        if self.running.remove(&index).is_none() {
            return;
        }
        let custom_id = match self.items.as_ref().and_then(|it| it.get(index as usize)) {
            Some(item) => item.custom_id.clone(),
            None => return,
        };
        let tries = self.tries.entry(index).or_default();
        let (outcome, status, body) = match end {
            ItemEnd::NotRun => return,
            ItemEnd::Answered { status, body } => {
                *tries += 1;
                match status {
                    200..=299 => (ItemOutcome::Answered, status, Some(body)),
                    400..=499 => (ItemOutcome::Failed, status, Some(body)),
                    _ if *tries < MAX_TRIES && repeatable => return,
                    _ => (ItemOutcome::Failed, status, Some(body)),
                }
            }
            ItemEnd::MayHaveRun => {
                *tries += 1;
                match repeatable {
                    true if *tries < MAX_TRIES => return,
                    true => (ItemOutcome::Failed, 0, None),
                    false => (ItemOutcome::MayHaveRun, 0, None),
                }
            }
        };
        let tries = *tries;
        let result = ItemResult { custom_id, outcome, status, body, tries };
        self.commit.add(now, index, result);
    }
}

/// Labels by which headers are found.
pub(super) fn header_labels(header: &JobHeader) -> Labels {
    let state = match header.state {
        JobState::Running => "running",
        JobState::Cancelling => "cancelling",
        JobState::Cancelled => "cancelled",
        JobState::Finished => "finished",
    };
    let pairs = [
        ("owner", header.owner.process.as_str()),
        ("state", state),
        ("workspace", header.workspace.as_str()),
    ];
    pairs.into_iter().map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}
