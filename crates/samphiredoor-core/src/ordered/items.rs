//! Which items of a job wait, run and are over, and what a failure means.

use std::{collections::BTreeMap, sync::Arc};

use super::job::{Item, ItemResult, Outcome};

/// First pause before an item is tried again; doubles with each try.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause between two tries: an item is due in tens of seconds.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemEnd {
    /// All events arrived; their data in order, separated by line feeds.
    Completed {
        /// The output.
        text: Arc<str>,
    },
    /// The target ran it and failed.
    Failed,
    /// The target says that it can never be done.
    Impossible,
    /// It did not run, or its answer was lost.
    NoAnswer,
    /// No route allows it any more.
    NoRoute,
}

/// What follows from the end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemStep {
    /// The item is over.
    Record(ItemResult),
    /// Run it again after a pause.
    Retry {
        /// Length of the pause.
        backoff_ms: u64,
    },
}

#[derive(Debug, Default)]
struct Tries {
    failed: u32,
    unanswered: u32,
}

/// The items of one job and their tries.
#[derive(Debug)]
pub struct Items {
    items: Vec<Arc<Item>>,
    attempts: u32,
    tries: BTreeMap<u32, Tries>,
}

impl Items {
    /// Items, each of which may fail this many times at targets.
    pub fn new(items: Vec<Item>, attempts: u32) -> Items {
        let items = items.into_iter().map(Arc::new).collect();
        Items { items, attempts: attempts.max(1), tries: BTreeMap::new() }
    }

    /// One item.
    pub fn get(&self, item: u32) -> Option<&Arc<Item>> {
        self.items.get(item as usize)
    }

    /// Number of items.
    pub fn len(&self) -> u32 {
        self.items.len() as u32
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Item of a name.
    pub fn find(&self, id: &str) -> Option<(u32, &Arc<Item>)> {
        let at = self.items.iter().position(|it| &*it.id == id)?;
        Some((at as u32, &self.items[at]))
    }

    /// Takes the end of a run. Only answers of targets count as tries: what was lost on the way says nothing about the
    /// item.
    pub fn run_ended(&mut self, item: u32, end: ItemEnd) -> ItemStep {
        let tries = self.tries.entry(item).or_default();
        match end {
            ItemEnd::Completed { text } => self.record(item, Outcome::Completed, text),
            ItemEnd::Impossible | ItemEnd::NoRoute => self.give_up(item),
            ItemEnd::Failed => {
                tries.failed += 1;
                match tries.failed >= self.attempts {
                    true => self.give_up(item),
                    false => ItemStep::Retry { backoff_ms: pause_ms(tries.failed) },
                }
            }
            ItemEnd::NoAnswer => {
                tries.unanswered += 1;
                ItemStep::Retry { backoff_ms: pause_ms(tries.unanswered) }
            }
        }
    }

    /// Result of an item that is given up.
    pub fn give_up(&self, item: u32) -> ItemStep {
        self.record(item, Outcome::Failed, Arc::from(""))
    }

    fn record(&self, item: u32, outcome: Outcome, text: Arc<str>) -> ItemStep {
        let id = self.items.get(item as usize).map_or_else(|| Arc::from(""), |it| it.id.clone());
        ItemStep::Record(ItemResult { item, id, outcome, text })
    }
}

fn pause_ms(tries: u32) -> u64 {
    (FIRST_PAUSE_MS << tries.saturating_sub(1).min(5)).min(LONGEST_PAUSE_MS)
}
