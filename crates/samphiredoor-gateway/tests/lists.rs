//! Lists that are read page by page.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use futures_util::future::{FutureExt, LocalBoxFuture, ready};
use samphiredoor_core::{
    Name,
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version},
};
use samphiredoor_gateway::{
    lists::list_all,
    platform_api::{Freshness, ObjectStore, Page, WatchAnswer},
};

/// Pages after which a list counts as one without end.
const MAX_PAGES: usize = 1_000;

/// A store that always has one more page.
struct EndlessStore {
    has_new_names: bool,
    value: Value,
    pages: Cell<usize>,
}

impl EndlessStore {
    fn page(&self) -> Page {
        self.pages.set(self.pages.get() + 1);
        assert!(self.pages.get() < MAX_PAGES, "the list does not end");
        let number = if self.has_new_names { self.pages.get() } else { 0 };
        let stored = Stored {
            name: format!("object-{number:06}").into(),
            version: Version(1),
            labels: Labels::new(),
            value: Value::clone(&self.value),
        };
        Page { items: vec![stored], has_more: true, version: Version(1) }
    }
}

impl ObjectStore for EndlessStore {
    fn call(&self, _: StoreOp) -> LocalBoxFuture<'_, StoreAnswer> {
        ready(StoreAnswer::Unavailable).boxed_local()
    }

    fn list(&self, _: Kind, _: Option<Name>, _: Freshness) -> LocalBoxFuture<'_, Option<Page>> {
        ready(Some(self.page())).boxed_local()
    }

    fn last_received_at(&self) -> Option<Instant> {
        None
    }

    fn watch(&self, _: Kind, _: Version, _: Duration) -> LocalBoxFuture<'_, WatchAnswer> {
        ready(WatchAnswer::NoAnswer).boxed_local()
    }

    fn set_status(&self, _: ObjectKey, _: Value) -> LocalBoxFuture<'_, StoreAnswer> {
        ready(StoreAnswer::Unavailable).boxed_local()
    }
}

fn list_of(store: &EndlessStore) -> bool {
    let list = list_all(store, Kind::Targets, Freshness::Current);
    list.now_or_never().expect("the store answers at once").is_some()
}

/// Guards against a list that repeats its last page until the memory is full.
#[test]
fn a_list_that_does_not_go_on_fails() {
    let store =
        EndlessStore { has_new_names: false, value: Value::from(*b"{}"), pages: Cell::new(0) };
    assert!(!list_of(&store));
}

/// Guards against a list that grows until the memory is full.
#[test]
fn a_list_without_end_fails() {
    // All objects of the test share their value.
    let value = Value::from(vec![b'1'; 1_000_000]);
    assert!(!list_of(&EndlessStore { has_new_names: true, value, pages: Cell::new(0) }));
}
