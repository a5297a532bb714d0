//! What the store has of a job, for readers at processes that do not own it.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
};

use samphiredoor_core::{
    ordered::{
        Item, ItemResult, JobHeader, JobName, part_key, read_part, read_segment, segment_key,
    },
    store::{StoreAnswer, StoreOp, Version},
};

use super::{JobEnv, job_task::page_of};
use crate::platform_api::ResultsPage;

/// Bytes of results that are kept for readers; beyond it the jobs that were read first are forgotten.
const CACHE_BYTES: usize = 1_500_000;
/// Headers that are kept.
const CACHE_JOBS: usize = 512;

/// Why something of a job cannot be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// There is no such job or item.
    Absent,
    /// The store is of no help now.
    Unavailable,
}

#[derive(Default)]
struct Cached {
    header: Option<JobHeader>,
    results: Vec<ItemResult>,
    segments: u32,
    bytes: usize,
}

#[derive(Default)]
struct Cache {
    jobs: HashMap<JobName, Cached>,
    order: VecDeque<JobName>,
    bytes: usize,
}

impl Cache {
    fn entry(&mut self, job: &JobName) -> &mut Cached {
        if !self.jobs.contains_key(job) {
            self.order.push_back(JobName::clone(job));
        }
        while self.bytes > CACHE_BYTES || self.order.len() > CACHE_JOBS {
            let Some(oldest) = self.order.pop_front() else { break };
            if oldest == *job {
                self.order.push_back(oldest);
                break;
            }
            let removed = self.jobs.remove(&oldest);
            self.bytes -= removed.map_or(0, |it| it.bytes);
        }
        self.jobs.entry(JobName::clone(job)).or_default()
    }

    fn add(&mut self, job: &JobName, segment: u32, results: Vec<ItemResult>) {
        let bytes: usize = results.iter().map(|it| it.text.len()).sum();
        let cached = self.entry(job);
        // Another reader may have added it meanwhile.
        if cached.segments == segment {
            cached.results.extend(results);
            cached.segments += 1;
            cached.bytes += bytes;
            self.bytes += bytes;
        }
    }
}

/// Handle to what the store has of jobs.
#[derive(Clone)]
pub struct StoredJobs {
    env: Rc<JobEnv>,
    cache: Rc<RefCell<Cache>>,
}

impl StoredJobs {
    /// Handle with an empty cache.
    pub fn new(env: Rc<JobEnv>) -> StoredJobs {
        StoredJobs { env, cache: Rc::default() }
    }

    /// A job's header; the owner in it may be an earlier one.
    ///
    /// # Errors
    ///
    /// Why it cannot be told.
    pub async fn header(&self, job: &JobName) -> Result<JobHeader, Unread> {
        let cached = self.cache.borrow_mut().entry(job).header.clone();
        match cached {
            Some(header) => Ok(header),
            None => Ok(self.current_header(job).await?.0),
        }
    }

    /// A job's header as it stands now, with its version.
    ///
    /// # Errors
    ///
    /// Why it cannot be told.
    pub async fn current_header(&self, job: &JobName) -> Result<(JobHeader, Version), Unread> {
        let (header, version) = self.env.current_header(job).await?;
        self.cache.borrow_mut().entry(job).header = Some(header.clone());
        Ok((header, version))
    }

    /// Results from a position on, as they stand.
    ///
    /// # Errors
    ///
    /// Why they cannot be told.
    pub async fn results(&self, job: &JobName, after: usize) -> Result<ResultsPage, Unread> {
        let total = self.header(job).await?.items as usize;
        loop {
            let segment = {
                let mut cache = self.cache.borrow_mut();
                let cached = cache.entry(job);
                if after < cached.results.len() || cached.results.len() >= total {
                    let results = page_of(cached.results.get(after..).unwrap_or_default());
                    return Ok(ResultsPage { total, next: after + results.len(), results });
                }
                cached.segments
            };
            match self.env.call(StoreOp::Get { key: segment_key(job, segment) }).await {
                StoreAnswer::Object(stored) => {
                    let Ok(read) = read_segment(&stored) else {
                        log::error!(job = &**job, segment; "job: segment cannot be read");
                        return Err(Unread::Unavailable);
                    };
                    self.cache.borrow_mut().add(job, segment, read.results);
                }
                StoreAnswer::Absent => {
                    return Ok(ResultsPage { total, next: after, results: Vec::new() });
                }
                _ => return Err(Unread::Unavailable),
            }
        }
    }

    /// Items of a job as they were submitted.
    ///
    /// # Errors
    ///
    /// Why they cannot be told; [`Unread::Absent`] for a job that is not accepted yet.
    pub async fn items(&self, job: &JobName, header: &JobHeader) -> Result<Vec<Item>, Unread> {
        let mut text = String::new();
        for part in 0..header.parts {
            let key = part_key(job, &header.digest, part);
            match self.env.call(StoreOp::Get { key }).await {
                StoreAnswer::Object(stored) => {
                    text.push_str(&read_part(&stored).map_err(|_| Unread::Unavailable)?);
                }
                StoreAnswer::Absent => return Err(Unread::Absent),
                _ => return Err(Unread::Unavailable),
            }
        }
        self.env.platform.dialect.submission(text.as_bytes()).map_err(|problem| {
            log::error!(job = &**job, problem; "job: stored submission cannot be read");
            Unread::Unavailable
        })
    }

    /// One item, unless its result stands.
    ///
    /// # Errors
    ///
    /// Why it cannot be told.
    pub async fn item(&self, job: &JobName, id: &str) -> Result<Arc<Item>, Unread> {
        let header = self.header(job).await?;
        // Reads all results that stand.
        self.results(job, header.items as usize).await?;
        let decided = self.cache.borrow_mut().entry(job).results.iter().any(|it| &*it.id == id);
        if decided {
            return Err(Unread::Absent);
        }
        // A job that is not accepted yet may be soon: nothing says that it has no such item.
        let items = self.items(job, &header).await.map_err(|_| Unread::Unavailable)?;
        items.into_iter().find(|it| &*it.id == id).map(Arc::new).ok_or(Unread::Absent)
    }
}
