//! Objects with versions, conditional updates and watches.
//!
//! One version counter orders all writes. A watch starts after a version and gets every later event; a version that
//! has fallen out of the bounded history is answered with [`StoreError::Expired`], and the watcher lists again.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::Value;

const HISTORY_LEN: usize = 4_096;
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Labels that a list can select by.
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
    /// Content; opaque to the store.
    #[serde(default)]
    pub spec: Value,
}

/// What happened to an object.
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
    /// What happened.
    #[serde(rename = "type")]
    pub kind: EventKind,
    /// The object after it happened.
    pub object: Object,
}

/// Why the store refused a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// No such object.
    NotFound,
    /// Create of a name that stands.
    AlreadyExists,
    /// Update against another version.
    Conflict,
    /// Value above the limit of a megabyte.
    TooLarge,
    /// The watch's version has left the history.
    Expired,
}

/// One page of a list.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// Objects in order of their names.
    pub items: Vec<Object>,
    /// Version of the store when the page was read.
    pub version: u64,
    /// Name to continue after, if there is more.
    pub next: Option<String>,
}

/// What a list selects.
#[derive(Debug, Clone, Default)]
pub struct Selector {
    /// Names start with this.
    pub prefix: String,
    /// Labels that must be equal.
    pub labels: Labels,
    /// Names after this one.
    pub after: Option<String>,
    /// Most objects in a page; 0 for the default.
    pub limit: usize,
}

const DEFAULT_PAGE: usize = 500;

/// All objects, by kind and name.
#[derive(Debug, Default)]
pub struct Objects {
    kinds: BTreeMap<String, BTreeMap<String, Object>>,
    history: VecDeque<(u64, String, Event)>,
    version: u64,
}

impl Objects {
    /// Empty store.
    pub fn new() -> Objects {
        Objects::default()
    }

    /// Version of the last write.
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

    /// Creates an object if its name is free.
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

    /// Replaces an object if its version is still the one named in `object`.
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
        self.remember(kind, EventKind::Deleted, current.clone());
        Ok(current)
    }

    /// Lists one page.
    pub fn list(&self, kind: &str, selector: &Selector) -> Page {
        let limit = if selector.limit == 0 { DEFAULT_PAGE } else { selector.limit };
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

    /// Events of a kind after `version`.
    ///
    /// # Errors
    ///
    /// [`StoreError::Expired`] if events after `version` have left the history.
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
        self.remember(kind, event, object.clone());
        object
    }

    fn remember(&mut self, kind: &str, event: EventKind, object: Object) {
        if self.history.len() == HISTORY_LEN {
            self.history.pop_front();
        }
        self.history.push_back((self.version, kind.to_owned(), Event { kind: event, object }));
    }
}

fn check_size(object: &Object) -> Result<(), StoreError> {
    let size = serde_json::to_vec(&object.spec).map_or(0, |it| it.len());
    if size > MAX_VALUE_BYTES { Err(StoreError::TooLarge) } else { Ok(()) }
}
