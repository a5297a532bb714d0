//! A reader that watches through a cache has the state of the store at its version, whatever versions both start from.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use samphiredoor_core::{
    Name,
    store::{Labels, Stored, Version},
    watch_cache::{Delta, WatchCache},
};

const SEED: [u8; 32] = *b"samphiredoor-watch-cache-seed-xx";
const NAMES: u8 = 5;

#[derive(Debug, Clone)]
enum Step {
    Write(u8),
    Delete(u8),
    /// The cache receives all changes so far.
    Watch,
    /// The cache is replaced by a list of all objects.
    List,
    /// A reader lists the store itself.
    Direct(usize),
    /// A reader asks the cache for changes.
    Relayed(usize),
}

#[derive(Default)]
struct Store {
    version: u64,
    objects: BTreeMap<Name, Stored>,
    history: Vec<(u64, Name, Option<Stored>)>,
}

impl Store {
    fn write(&mut self, name: Name, exists: bool) {
        self.version += 1;
        let version = Version(self.version);
        let stored = Stored {
            name: Name::clone(&name),
            version,
            labels: Labels::new(),
            value: self.version.to_string().into_bytes().into(),
        };
        let state = exists.then_some(stored);
        match &state {
            Some(stored) => self.objects.insert(Name::clone(&name), stored.clone()),
            None => self.objects.remove(&name),
        };
        self.history.push((self.version, name, state));
    }

    fn at(&self, version: u64) -> BTreeMap<Name, u64> {
        let mut objects = BTreeMap::new();
        for (_, name, state) in self.history.iter().filter(|(it, ..)| *it <= version) {
            match state {
                Some(stored) => objects.insert(Name::clone(name), stored.version.0),
                None => objects.remove(name),
            };
        }
        objects
    }
}

#[derive(Default)]
struct Reader {
    version: Option<Version>,
    objects: BTreeMap<Name, u64>,
}

impl Reader {
    fn apply(&mut self, changes: Delta) {
        let version = match changes {
            Delta::None => return,
            Delta::Snapshot { objects, version } => {
                let all = objects.into_iter().map(|it| (it.name, it.version.0));
                self.objects = all.collect();
                version
            }
            Delta::Changed { objects, version } => {
                for (name, state) in objects {
                    match state {
                        Some(stored) => self.objects.insert(name, stored.version.0),
                        None => self.objects.remove(&name),
                    };
                }
                version
            }
        };
        assert!(
            self.version.is_none_or(|it| it < version),
            "changes must not lead to an older version"
        );
        self.version = Some(version);
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..NAMES).prop_map(Step::Write),
        3 => (0..NAMES).prop_map(Step::Delete),
        3 => Just(Step::Watch),
        1 => Just(Step::List),
        1 => (0..3_usize).prop_map(Step::Direct),
        4 => (0..3_usize).prop_map(Step::Relayed),
    ]
}

fn run_steps(steps: Vec<Step>) {
    let mut store = Store::default();
    let mut cache = WatchCache::default();
    let mut cached: Option<u64> = None;
    let mut readers: [Reader; 3] = Default::default();
    for step in steps {
        match step {
            Step::Write(name) => store.write(format!("object-{name}").into(), true),
            Step::Delete(name) => {
                let name: Name = format!("object-{name}").into();
                if store.objects.contains_key(&name) {
                    store.write(name, false);
                }
            }
            Step::Watch => {
                let Some(since) = cached else { continue };
                for (version, name, state) in store.history.iter().filter(|it| it.0 > since) {
                    match state {
                        Some(stored) => cache.insert(stored.clone()),
                        // The store does not report the version of a deletion, which is at most that of its response.
                        None => cache.remove(Name::clone(name), Version(store.version)),
                    }
                    assert!(*version <= store.version);
                }
                cache.advance_to(Version(store.version));
                cached = Some(store.version);
            }
            Step::List => {
                let all: Vec<Stored> = store.objects.values().cloned().collect();
                cache.replace_all(&all, Version(store.version));
                cached = Some(store.version);
            }
            Step::Direct(reader) => {
                readers[reader].version = Some(Version(store.version));
                readers[reader].objects = store.at(store.version);
            }
            Step::Relayed(reader) => {
                let reader = &mut readers[reader];
                let changes = cache.changes_since(reader.version);
                let has_changes = changes != Delta::None;
                reader.apply(changes);
                if has_changes {
                    assert_eq!(reader.version, cached.map(Version));
                }
                if let Some(version) = reader.version {
                    assert_eq!(reader.objects, store.at(version.0));
                }
            }
        }
    }
}

#[test]
fn a_reader_has_the_state_of_the_store_at_its_version() {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&prop::collection::vec(step(), 1..80), |steps| {
            run_steps(steps);
            Ok(())
        })
        .unwrap();
}

// There are more changes than the log holds. A reader that asks for older ones must not miss those that were evicted.
#[test]
fn a_reader_older_than_the_log_gets_all_objects() {
    let mut store = Store::default();
    let mut cache = WatchCache::default();
    cache.replace_all(&[], Version(0));
    for number in 0..5_000 {
        store.write(format!("object-{}", number % 7).into(), true);
        cache.insert(store.history.last().unwrap().2.clone().unwrap());
    }
    cache.advance_to(Version(store.version));
    let mut reader = Reader { version: Some(Version(3)), objects: store.at(3) };
    reader.apply(cache.changes_since(reader.version));
    assert_eq!(reader.objects, store.at(store.version));
}
