//! Lists of all objects of a kind in the store, read page by page.

use std::time::Duration;

use samphiredoor_core::{
    Name,
    store::{Kind, Stored, Version},
};

use crate::platform_api::{Freshness, ObjectStore};

/// Greater than all names of objects.
const AFTER_ALL_NAMES: &str = "~";

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

/// Reads the pages of a kind, up to a limit; `None` if a page could not be read.
///
/// The version of the list is the one of the oldest page, so that a watch also reports changes between the pages; pages
/// of a stale list can be of any age.
pub async fn list_pages(
    store: &dyn ObjectStore,
    kind: Kind,
    freshness: Freshness,
    max_pages: usize,
) -> Option<Listed> {
    let first = store.list(kind, None, freshness).await?;
    let (mut objects, mut version, mut has_more) = (first.items, first.version, first.has_more);
    let mut pages = 1;
    while has_more && let Some(last) = objects.last() {
        if pages >= max_pages {
            return Some(Listed::TooLarge);
        }
        let page = store.list(kind, Some(Name::clone(&last.name)), freshness).await?;
        pages += 1;
        has_more = page.has_more && !page.items.is_empty();
        version = version.min(page.version);
        objects.extend(page.items);
    }
    Some(Listed::All(ObjectList { objects, version }))
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
