//! The items of a job: what follows from the outcome of each run, and when a failed item is tried again.

use std::{collections::BTreeMap, sync::Arc};

use super::job::{Item, ItemResult, Outcome};

/// First backoff before an item is tried again; it doubles with each retry.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest backoff between two tries. Nothing but the backoff bounds the runs without an answer: with this one, an item is
/// sent eight times in the first half minute, and twice a minute after that.
const MAX_BACKOFF_MS: u64 = 30_000;
/// Doublings after which the backoff is above [`MAX_BACKOFF_MS`].
const MAX_DOUBLINGS: u32 = 9;

/// Runs without an answer, of which a former owner counts as one, after which the next one is not preempted before its answer.
/// An item may be sent three times in all if its target says each time that it can never be done.
const HELD_UNTIL_ANSWERED_FROM: u32 = 2;

/// Outcome of a run of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemEnd {
    /// All events arrived; their data in order, separated by line feeds.
    Completed {
        /// Whole output of the item.
        text: Arc<str>,
    },
    /// The target ran the item and failed.
    Failed,
    /// The target reported that the item can never succeed.
    Impossible,
    /// The item did not run, or its answer was lost before any new event.
    NoAnswer,
    /// The answer was lost after at least one new event.
    Interrupted,
    /// The run was preempted before its target had answered: it may have failed there.
    Preempted,
    /// No route allows the item any more.
    NoRoute,
    /// The run was stopped on request, and its target has not failed.
    Stopped,
}

/// What follows from the end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemStep {
    /// The item has its final result.
    Record(ItemResult),
    /// Run the item again after a backoff.
    Retry {
        /// Length of the backoff.
        backoff_ms: u64,
    },
}

/// For how long the next run of an item is not preempted. After the answer of its target it may always be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PreemptionHold {
    /// It may be preempted at once.
    None,
    /// For the time in which most targets answer.
    Moment,
    /// Until its target has answered.
    UntilAnswered,
}

/// The items of one job, and how often each was tried.
#[derive(Debug)]
pub struct Items {
    items: Vec<Arc<Item>>,
    /// Number of failures at targets after which an item fails permanently.
    attempts: u32,
    /// Number of runs without an answer in this process, by item.
    unanswered: BTreeMap<u32, u32>,
    /// Whether an earlier owner may have run any of the items.
    had_former_owner: bool,
}

impl Items {
    /// Creates the state of these items, each of which fails permanently after this many failures at targets.
    pub fn new(items: Vec<Item>, attempts: u32) -> Items {
        let items = items.into_iter().map(Arc::new).collect();
        let (attempts, unanswered) = (attempts.max(1), BTreeMap::new());
        Items { items, attempts, unanswered, had_former_owner: false }
    }

    /// Notes that an earlier owner may have run any of the items.
    pub fn with_former_owner(mut self) -> Items {
        self.had_former_owner = true;
        self
    }

    /// Item with an index.
    pub fn get(&self, item: u32) -> Option<&Arc<Item>> {
        self.items.get(item as usize)
    }

    /// Drops what only runs need, once no item is run any more.
    pub fn drop_requests(&mut self) {
        for item in &mut self.items {
            let (id, path) = (Arc::clone(&item.id), String::new());
            let (encoded_headers, encoded_body) = (Box::default(), String::new());
            *item = Arc::new(Item { id, path, encoded_headers, encoded_body });
        }
    }

    /// Number of items.
    pub fn len(&self) -> u32 {
        self.items.len() as u32
    }

    /// Whether the job has no item.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Index of an item by its name, and the item.
    pub fn find(&self, id: &str) -> Option<(u32, &Arc<Item>)> {
        let at = self.items.iter().position(|it| &*it.id == id)?;
        Some((at as u32, &self.items[at]))
    }

    /// Number of runs of an item without an answer in this process.
    pub fn unanswered(&self, item: u32) -> u32 {
        self.unanswered.get(&item).copied().unwrap_or_default()
    }

    /// For how long the next run of an item is not preempted. It may have failed in runs whose answers nobody read, and an item
    /// that always fails would be sent again and again. A slow target may take longer than a moment each time.
    pub fn preemption_hold(&self, item: u32) -> PreemptionHold {
        match self.unanswered(item) + u32::from(self.had_former_owner) {
            0 => PreemptionHold::None,
            unread if unread < HELD_UNTIL_ANSWERED_FROM => PreemptionHold::Moment,
            _ => PreemptionHold::UntilAnswered,
        }
    }

    /// Records the outcome of a run. `failures` is the number of failures that targets reported of the item, by any owner
    /// and with this run. Only these count against the limit: a lost answer is no evidence about the item.
    pub fn run_ended(&mut self, item: u32, end: ItemEnd, failures: u32) -> ItemStep {
        match end {
            ItemEnd::Completed { text } => self.record(item, Outcome::Completed, text),
            ItemEnd::Impossible | ItemEnd::NoRoute => self.give_up(item),
            ItemEnd::Failed if failures >= self.attempts => self.give_up(item),
            ItemEnd::Failed => ItemStep::Retry { backoff_ms: backoff_ms(failures) },
            ItemEnd::Stopped => ItemStep::Retry { backoff_ms: 0 },
            ItemEnd::NoAnswer => {
                ItemStep::Retry { backoff_ms: backoff_ms(self.count_unanswered(item)) }
            }
            // Most interruptions have causes outside of the item, which another target does not share.
            ItemEnd::Interrupted | ItemEnd::Preempted => match self.count_unanswered(item) {
                1 => ItemStep::Retry { backoff_ms: 0 },
                unanswered => ItemStep::Retry { backoff_ms: backoff_ms(unanswered) },
            },
        }
    }

    fn count_unanswered(&mut self, item: u32) -> u32 {
        let unanswered = self.unanswered.entry(item).or_default();
        *unanswered += 1;
        *unanswered
    }

    /// Result of an item that has failed as often as allowed, whichever owners saw that; `None` if it may be run.
    pub fn failed_result(&self, item: u32, failures: u32) -> Option<ItemResult> {
        (failures >= self.attempts).then(|| self.result(item, Outcome::Failed, Arc::from("")))
    }

    /// Failed result of an item that is given up, with an empty text.
    pub fn give_up(&self, item: u32) -> ItemStep {
        self.record(item, Outcome::Failed, Arc::from(""))
    }

    fn record(&self, item: u32, outcome: Outcome, text: Arc<str>) -> ItemStep {
        ItemStep::Record(self.result(item, outcome, text))
    }

    fn result(&self, item: u32, outcome: Outcome, text: Arc<str>) -> ItemResult {
        let id = self.items.get(item as usize).map_or_else(|| Arc::from(""), |it| it.id.clone());
        ItemResult { item, id, outcome, text }
    }
}

fn backoff_ms(tries: u32) -> u64 {
    (FIRST_BACKOFF_MS << tries.saturating_sub(1).min(MAX_DOUBLINGS)).min(MAX_BACKOFF_MS)
}
