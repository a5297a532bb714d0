//! Versioned objects in memory, with conditional updates and watches.
//!
//! One version counter orders all writes. A watch starts after a given version and receives every later event. If the
//! version is older than the bounded history, it gets [`StoreError::Expired`] and the watcher has to list again.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::Value;

const HISTORY_LEN: usize = 4_096;
const MAX_SPEC_BYTES: usize = 1_000_000;

/// Labels of an object; lists can select by them.
pub type Labels = BTreeMap<String, String>;

/// Name, version and labels of an object.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Metadata {
    /// Name, unique within its kind.
    pub name: String,
    /// Version of the last write, as decimal text; empty in a create.
    pub resource_version: String,
    /// Labels, for selection in lists.
    pub labels: Labels,
}

/// One object.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Object {
    /// Name, version and labels.
    pub metadata: Metadata,
    /// Content; not interpreted by the store.
    #[serde(default)]
    pub spec: Value,
}

/// Kind of a change to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// Created.
    Added,
    /// Updated.
    Modified,
    /// Deleted.
    Deleted,
}

/// One event of a watch.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// Kind of change.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// Object after the change; of a deleted object, its last content with the version of the deletion.
    pub object: Object,
}

/// Reason for which the store rejected a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// No such object.
    NotFound,
    /// Create with the name of an existing object.
    AlreadyExists,
    /// Update or delete with a version that is not the current one.
    Conflict,
    /// Content larger than 1 MB.
    TooLarge,
    /// Version of a watch that is older than the history.
    Expired,
}

/// One page of a list.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// Objects in the order of their names.
    pub items: Vec<Object>,
    /// Version of the store at the time of the read.
    pub version: u64,
    /// Name after which the next page continues; none on the last page.
    pub next: Option<String>,
}

/// Filter and paging parameters of a list.
#[derive(Debug, Clone, Default)]
pub struct Selector {
    /// Prefix of the names.
    pub prefix: String,
    /// Labels that objects must have.
    pub labels: Labels,
    /// Name after which the list continues.
    pub after: Option<String>,
    /// Maximum number of objects in a page; 0 for the default.
    pub limit: usize,
}

const DEFAULT_PAGE_LEN: usize = 500;

/// Store of objects by kind and name, with a bounded history of events.
#[derive(Debug, Default)]
pub struct Objects {
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: VecDeque<(u64, String, Event)>,
    version: u64,
}

impl Objects {
    /// Empty store at version 0.
    pub fn new() -> Objects {
        Objects::default()
    }

    /// Version of the last write to any object.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotFound`].
    pub fn get(&self, kind: &str, name: &str) -> Result<Object, StoreError> {
        let object = self.kinds.get(kind).and_then(|it| it.get(name));
        object.cloned().ok_or(StoreError::NotFound)
    }

    /// Creates an object if none of this name exists.
    ///
    /// # Errors
    ///
    /// [`StoreError::AlreadyExists`], [`StoreError::TooLarge`].
    pub fn create(&mut self, kind: &str, object: Object) -> Result<Object, StoreError> {
        check_size(&object)?;
        if self.get(kind, &object.metadata.name).is_ok() {
            return Err(StoreError::AlreadyExists);
        }
        Ok(self.put(kind, EventKind::Added, object))
    }

    /// Replaces an object if its current version is the one in `object`.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotFound`], [`StoreError::Conflict`], [`StoreError::TooLarge`].
    pub fn update(&mut self, kind: &str, object: Object) -> Result<Object, StoreError> {
        check_size(&object)?;
        let current = self.get(kind, &object.metadata.name)?;
        if current.metadata.resource_version != object.metadata.resource_version {
            return Err(StoreError::Conflict);
        }
        Ok(self.put(kind, EventKind::Modified, object))
    }

    /// Deletes an object, if `version` is empty or still the object's.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotFound`], [`StoreError::Conflict`].
    pub fn delete(&mut self, kind: &str, name: &str, version: &str) -> Result<Object, StoreError> {
        let mut current = self.get(kind, name)?;
        if !version.is_empty() && current.metadata.resource_version != version {
            return Err(StoreError::Conflict);
        }
        if let Some(objects) = self.kinds.get_mut(kind) {
            objects.remove(name);
        }
        self.version += 1;
        current.metadata.resource_version = self.version.to_string();
        self.append_event(kind, EventKind::Deleted, current.clone());
        Ok(current)
    }

    /// Returns one page of the objects that a selector matches.
    pub fn list(&self, kind: &str, selector: &Selector) -> Page {
        let limit = if selector.limit == 0 { DEFAULT_PAGE_LEN } else { selector.limit };
        let mut page = Page { version: self.version, ..Page::default() };
        let Some(objects) = self.kinds.get(kind) else { return page };
        let start = match &selector.after {
            Some(after) => std::ops::Bound::Excluded(after.as_str()),
            None => std::ops::Bound::Included(selector.prefix.as_str()),
        };
        for (name, object) in objects.range::<str, _>((start, std::ops::Bound::Unbounded)) {
            if !name.starts_with(&selector.prefix) {
                break;
            }
            if !selector.labels.iter().all(|(k, v)| object.metadata.labels.get(k) == Some(v)) {
                continue;
            }
            if page.items.len() == limit {
                page.next = page.items.last().map(|it| it.metadata.name.clone());
                break;
            }
            page.items.push(object.clone());
        }
        page
    }

    /// Events of a kind with versions above `version`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Expired`] if the history no longer contains all events after `version`.
    pub fn events_after(&self, kind: &str, version: u64) -> Result<Vec<(u64, Event)>, StoreError> {
        let oldest = self.history.front().map_or(self.version + 1, |(it, _, _)| *it);
        if version + 1 < oldest {
            return Err(StoreError::Expired);
        }
        let skipped = self.history.partition_point(|(it, _, _)| *it <= version);
        let later = self.history.iter().skip(skipped);
        let of_kind = later.filter(|(_, event_kind, _)| event_kind == kind);
        Ok(of_kind.map(|(version, _, event)| (*version, event.clone())).collect())
    }

    fn put(&mut self, kind: &str, event: EventKind, mut object: Object) -> Object {
        self.version += 1;
        object.metadata.resource_version = self.version.to_string();
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(object.metadata.name.clone(), object.clone());
        self.append_event(kind, event, object.clone());
        object
    }

    fn append_event(&mut self, kind: &str, event: EventKind, object: Object) {
        if self.history.len() == HISTORY_LEN {
            self.history.pop_front();
        }
        self.history.push_back((self.version, kind.to_owned(), Event { kind: event, object }));
    }
}

fn check_size(object: &Object) -> Result<(), StoreError> {
    let size = serde_json::to_vec(&object.spec).map_or(0, |it| it.len());
    if size > MAX_SPEC_BYTES { Err(StoreError::TooLarge) } else { Ok(()) }
}
