//! Reads of jobs from the store, with a cache, for gateways that do not own them.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    sync::Arc,
};

use samphiredoor_core::{
    ordered::{
        Item, ItemResult, JobHeader, JobName, PART_BYTES, part_key, read_part, read_segment,
        segment_key,
    },
    overload::buffer_budget::Holder,
    store::{StoreAnswer, StoreOp, Version},
};

use super::{JobEnv, job_task::page_of};
use crate::platform_api::ResultsPage;

/// Cached bytes of results beyond which the jobs that were cached first are evicted.
const CACHE_BYTES: usize = 1_500_000;
/// Number of cached jobs beyond which the ones that were cached first are evicted.
const CACHE_JOBS: usize = 512;

/// Why a read of a job failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The job or item does not exist.
    NotFound,
    /// The store gave no usable answer; a later read may succeed.
    Unavailable,
}

#[derive(Default)]
struct CachedJob {
    header: Option<JobHeader>,
    results: Vec<ItemResult>,
    segments: u32,
    bytes: usize,
}

#[derive(Default)]
struct Cache {
    jobs: HashMap<JobName, CachedJob>,
    insertion_order: VecDeque<JobName>,
    bytes: usize,
}

impl Cache {
    fn entry(&mut self, job: &JobName) -> &mut CachedJob {
        if !self.jobs.contains_key(job) {
            self.insertion_order.push_back(JobName::clone(job));
        }
        while self.bytes > CACHE_BYTES || self.insertion_order.len() > CACHE_JOBS {
            let Some(oldest) = self.insertion_order.pop_front() else { break };
            if oldest == *job {
                self.insertion_order.push_back(oldest);
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
        // Another reader may have added the segment meanwhile.
        if cached.segments == segment {
            cached.results.extend(results);
            cached.segments += 1;
            cached.bytes += bytes;
            self.bytes += bytes;
        }
    }
}

/// Shared handle for reading jobs from the store.
#[derive(Clone)]
pub struct StoredJobs {
    env: Rc<JobEnv>,
    cache: Rc<RefCell<Cache>>,
}

impl StoredJobs {
    /// Creates a handle with an empty cache.
    pub fn new(env: Rc<JobEnv>) -> StoredJobs {
        StoredJobs { env, cache: Rc::default() }
    }

    /// A job's header, from the cache if possible, so that its owner may be outdated.
    ///
    /// # Errors
    ///
    /// If the job does not exist or the store gives no usable answer.
    pub async fn header(&self, job: &JobName) -> Result<JobHeader, ReadError> {
        let cached = self.cache.borrow_mut().entry(job).header.clone();
        match cached {
            Some(header) => Ok(header),
            None => Ok(self.current_header(job).await?.0),
        }
    }

    /// Reads a job's current header, with its version, from the store.
    ///
    /// # Errors
    ///
    /// If the job does not exist or the store gives no usable answer.
    pub async fn current_header(&self, job: &JobName) -> Result<(JobHeader, Version), ReadError> {
        let (header, version) = self.env.current_header(job).await?;
        self.cache.borrow_mut().entry(job).header = Some(header.clone());
        Ok((header, version))
    }

    /// Committed results from a position on.
    ///
    /// # Errors
    ///
    /// If the job does not exist or the store gives no usable answer.
    pub async fn results(&self, job: &JobName, after: usize) -> Result<ResultsPage, ReadError> {
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
                        return Err(ReadError::Unavailable);
                    };
                    self.cache.borrow_mut().add(job, segment, read.results);
                }
                StoreAnswer::Absent => {
                    return Ok(ResultsPage { total, next: after, results: Vec::new() });
                }
                _ => return Err(ReadError::Unavailable),
            }
        }
    }

    /// Items of a job as they were submitted.
    ///
    /// # Errors
    ///
    /// [`ReadError::NotFound`] for a job that is not accepted yet, as parts of it are missing.
    pub async fn items(&self, job: &JobName, header: &JobHeader) -> Result<Vec<Item>, ReadError> {
        // A job of one part is read in any case: it must not wait for memory to be taken over.
        let most_bytes = header.parts.saturating_sub(1) as usize * PART_BYTES;
        let memory = match most_bytes {
            0 => Some(None),
            bytes => self.env.client_memory.try_hold(Holder::Job, bytes).map(Some),
        };
        let Some(_memory) = memory else {
            log::info!(job = &**job, most_bytes; "job: no memory to read its items");
            return Err(ReadError::Unavailable);
        };
        let mut text = String::new();
        for part in 0..header.parts {
            let key = part_key(job, &header.digest, part);
            match self.env.call(StoreOp::Get { key }).await {
                StoreAnswer::Object(stored) => {
                    text.push_str(&read_part(&stored).map_err(|_| ReadError::Unavailable)?);
                }
                StoreAnswer::Absent => return Err(ReadError::NotFound),
                _ => return Err(ReadError::Unavailable),
            }
        }
        // The limits under which it was accepted may have been others.
        self.env.platform.dialect.submission(text.as_bytes(), usize::MAX).map_err(|problem| {
            log::error!(job = &**job, problem; "job: stored submission cannot be read");
            ReadError::Unavailable
        })
    }

    /// One item as it was submitted, unless its result is committed.
    ///
    /// # Errors
    ///
    /// [`ReadError::NotFound`] if there is no such item, or if it has a result.
    pub async fn item(&self, job: &JobName, id: &str) -> Result<Arc<Item>, ReadError> {
        let header = self.header(job).await?;
        // Loads all committed results into the cache.
        self.results(job, header.items as usize).await?;
        let decided = self.cache.borrow_mut().entry(job).results.iter().any(|it| &*it.id == id);
        if decided {
            return Err(ReadError::NotFound);
        }
        // A job that is not accepted yet may be accepted soon, so a missing part does not mean that the item does not
        // exist.
        let items = self.items(job, &header).await.map_err(|_| ReadError::Unavailable)?;
        items.into_iter().find(|it| &*it.id == id).map(Arc::new).ok_or(ReadError::NotFound)
    }
}
