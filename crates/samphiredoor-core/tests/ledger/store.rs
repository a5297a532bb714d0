//! In-memory model of the object store, with versions and conditional updates.

use std::{collections::BTreeMap, sync::Arc};

use samphiredoor_core::store::{
    Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Value, Version,
};

/// Whether a call writes the results object of a chunk.
pub fn is_results_write(op: &StoreOp) -> bool {
    op.is_write()
        && matches!(op, StoreOp::Create { key, .. } | StoreOp::Update { key, .. }
            if key.kind == Kind::Results)
}

#[derive(Debug, Default)]
pub struct ModelStore {
    objects: BTreeMap<ObjectKey, Stored>,
    version: u64,
    /// Objects written since the last check of the invariants.
    pub changed: Vec<ObjectKey>,
    /// Number of writes that took effect.
    pub writes: u64,
    /// Number of calls.
    pub calls: u64,
}

impl ModelStore {
    pub fn get(&self, key: &ObjectKey) -> Option<&Stored> {
        self.objects.get(key)
    }

    /// Replaces an object's value with `text`, as a faulty writer or one of another version would.
    pub fn replace_value(&mut self, key: &ObjectKey, text: &str) {
        let value: Value = text.as_bytes().into();
        self.put(key, &Labels::new(), &value);
        self.changed.clear();
    }

    pub fn apply(&mut self, op: &StoreOp) -> StoreAnswer {
        self.calls += 1;
        match op {
            StoreOp::Get { key } => match self.objects.get(key) {
                Some(stored) => StoreAnswer::Object(stored.clone()),
                None => StoreAnswer::Absent,
            },
            StoreOp::Create { key, labels, value } => match self.objects.contains_key(key) {
                true => StoreAnswer::Taken,
                false => self.put(key, labels, value),
            },
            StoreOp::Update { key, version, labels, value } => match self.objects.get(key) {
                None => StoreAnswer::Absent,
                Some(stored) if stored.version != *version => StoreAnswer::Conflict,
                Some(_) => self.put(key, labels, value),
            },
            StoreOp::Delete { key, version } => match self.objects.get(key) {
                None => StoreAnswer::Absent,
                Some(stored) if version.is_some_and(|it| it != stored.version) => {
                    StoreAnswer::Conflict
                }
                Some(_) => {
                    self.objects.remove(key);
                    StoreAnswer::Deleted
                }
            },
            StoreOp::List { kind, labels, after, limit, .. } => {
                let has_labels =
                    |it: &Stored| labels.iter().all(|(k, v)| it.labels.get(k) == Some(v));
                let is_after = |it: &Stored| after.as_ref().is_none_or(|after| it.name > *after);
                let of_kind = self.objects.iter().filter(|(key, _)| key.kind == *kind);
                let mut items: Vec<Stored> = of_kind
                    .map(|(_, it)| it)
                    .filter(|it| has_labels(it) && is_after(it))
                    .take(limit + 1)
                    .cloned()
                    .collect();
                let has_more = items.len() > *limit;
                items.truncate(*limit);
                let next = items.last().filter(|_| has_more).map(|it| Arc::clone(&it.name));
                StoreAnswer::Page { items, next, version: Version(self.version) }
            }
        }
    }

    fn put(&mut self, key: &ObjectKey, labels: &Labels, value: &Value) -> StoreAnswer {
        self.version += 1;
        self.writes += 1;
        let version = Version(self.version);
        let name = Arc::clone(&key.name);
        let stored = Stored { name, version, labels: labels.clone(), value: Arc::clone(value) };
        self.objects.insert(key.clone(), stored.clone());
        self.changed.push(key.clone());
        StoreAnswer::Object(stored)
    }
}
