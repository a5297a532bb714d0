//! Lists of all objects of a kind in the store, read page by page.

use std::time::Duration;

use samphiredoor_core::{
    Name,
    store::{Kind, Stored, Version},
};

use crate::platform_api::{Freshness, ObjectStore};

/// Greater than all names of objects.
const AFTER_ALL_NAMES: &str = "~";

/// Size of all objects of a list above which it fails: five hundred pages of the largest size.
const MAX_LIST_BYTES: usize = 512 * 1024 * 1024;

/// All objects of a kind, at one version of the store.
#[derive(Debug, Clone)]
pub struct ObjectList {
    /// Objects, ordered by name.
    pub objects: Vec<Stored>,
    /// Version from which a watch has to start.
    pub version: Version,
}

/// Result of reading a limited number of pages.
#[derive(Debug, Clone)]
pub enum Listed {
    /// All objects.
    All(ObjectList),
    /// There are more pages than the limit.
    TooLarge,
}

/// Reads all pages of a kind; `None` if a page could not be read.
pub async fn list_all(
    store: &dyn ObjectStore,
    kind: Kind,
    freshness: Freshness,
) -> Option<ObjectList> {
    match list_pages(store, kind, freshness, usize::MAX).await? {
        Listed::All(list) => Some(list),
        Listed::TooLarge => None,
    }
}

/// List of a kind of which some pages have been read.
///
/// The version of the list is the one of the oldest page, so that a watch also reports changes between the pages; pages
/// of a stale list can be of any age.
#[derive(Debug)]
pub struct PagedList {
    kind: Kind,
    freshness: Freshness,
    objects: Vec<Stored>,
    /// `None` before the first page.
    version: Option<Version>,
    pages: usize,
    bytes: usize,
    has_more: bool,
}

impl PagedList {
    /// List of which no page has been read.
    pub fn new(kind: Kind, freshness: Freshness) -> PagedList {
        let (objects, version) = (Vec::new(), None);
        PagedList { kind, freshness, objects, version, pages: 0, bytes: 0, has_more: true }
    }

    /// Whether pages remain to be read.
    pub fn has_more(&self) -> bool {
        self.has_more
    }

    /// Reads the next page; `None` if it could not be read, or if the list has no end.
    pub async fn read_page(&mut self, store: &dyn ObjectStore) -> Option<()> {
        let after = self.objects.last().map(|it| Name::clone(&it.name));
        let page = store.list(self.kind, after.clone(), self.freshness).await?;
        self.bytes += page.items.iter().map(|it| it.value.len()).sum::<usize>();
        let last = page.items.last().map(|it| &it.name);
        let is_repeated = page.has_more && last.is_some() && last == after.as_ref();
        if is_repeated || self.bytes > MAX_LIST_BYTES {
            log::warn!(kind = self.kind.path(), pages = self.pages, bytes = self.bytes; "store: list has no end");
            return None;
        }
        self.pages += 1;
        self.has_more = page.has_more && !page.items.is_empty();
        self.version = Some(self.version.map_or(page.version, |it| it.min(page.version)));
        self.objects.extend(page.items);
        Some(())
    }

    /// Objects of the pages that have been read.
    pub fn objects_read(&self) -> ObjectList {
        let version = self.version.unwrap_or_default();
        ObjectList { objects: self.objects.clone(), version }
    }

    /// The list, once no page remains to be read.
    pub fn into_list(self) -> ObjectList {
        ObjectList { objects: self.objects, version: self.version.unwrap_or_default() }
    }
}

/// Reads the pages of a kind, up to a limit; `None` if a page could not be read.
pub async fn list_pages(
    store: &dyn ObjectStore,
    kind: Kind,
    freshness: Freshness,
    max_pages: usize,
) -> Option<Listed> {
    let mut list = PagedList::new(kind, freshness);
    while list.has_more {
        if list.pages >= max_pages {
            return Some(Listed::TooLarge);
        }
        list.read_page(store).await?;
    }
    Some(Listed::All(list.into_list()))
}

/// Version of the store, by a read without objects: a page after all names.
pub async fn current_version(store: &dyn ObjectStore, kind: Kind) -> Option<Version> {
    let page = store.list(kind, Some(AFTER_ALL_NAMES.into()), Freshness::Current).await;
    page.map(|it| it.version)
}

/// Whether bytes of an answer of the store have arrived within the last `lately`.
pub fn received_within(store: &dyn ObjectStore, lately: Duration) -> bool {
    store.last_received_at().is_some_and(|it| it.elapsed() < lately)
}
