//! Calls to the platform's object store, as the decisions make them.
//!
//! A call's answer tells two kinds of failure apart: [`StoreAnswer::Unavailable`] is known to have had no effect,
//! [`StoreAnswer::Unknown`] may have taken effect. After the second, the object is read before it is written again.

use std::{collections::BTreeMap, sync::Arc};

/// Kind of a stored object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The manifest in force.
    Manifest,
    /// Job headers.
    Job,
    /// Chunks of a job's items.
    Chunk,
    /// Results of chunks.
    Results,
    /// Process leases.
    Process,
    /// Shards of idempotency keys.
    Keys,
    /// Suspected requests.
    Suspects,
    /// Orders to targets.
    Orders,
    /// Pace of loads from the weight store.
    Pace,
    /// The platform's list of hosts, which the doors only read.
    Hosts,
    /// Addresses of doors, for each other.
    Door,
    /// Headers of ordered jobs.
    OrderedJob,
    /// Parts of the submissions of ordered jobs.
    JobPart,
    /// Segments of the results of ordered jobs.
    JobSegment,
    /// Ends of ordered jobs by their callers.
    JobEnd,
    /// Routes, as the operators write them.
    Routes,
    /// Targets, as they register themselves.
    Targets,
    /// Requests to empty a storage host.
    Retirement,
}

impl Kind {
    /// Name of the kind in the object API's paths.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Manifest => "manifests",
            Kind::Job => "jobs",
            Kind::Chunk => "chunks",
            Kind::Results => "results",
            Kind::Process => "processes",
            Kind::Keys => "keys",
            Kind::Suspects => "suspects",
            Kind::Orders => "orders",
            Kind::Pace => "paces",
            Kind::Hosts => "hosts",
            Kind::Door => "doors",
            Kind::OrderedJob => "orderedjobs",
            Kind::JobPart => "jobparts",
            Kind::JobSegment => "jobsegments",
            Kind::JobEnd => "jobends",
            Kind::Routes => "routes",
            Kind::Targets => "targets",
            Kind::Retirement => "retirements",
        }
    }
}

/// Identity of a stored object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Kind.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: Arc<str>,
}

impl ObjectKey {
    /// Key of the object `name` of `kind`.
    pub fn new(kind: Kind, name: impl Into<Arc<str>>) -> ObjectKey {
        ObjectKey { kind, name: name.into() }
    }
}

/// Version of a stored object, as the store gives it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct Version(pub u64);

/// Labels that lists select by.
pub type Labels = BTreeMap<String, String>;

/// Content of an object, as JSON text.
pub type Value = Arc<[u8]>;

/// A stored object as read.
#[derive(Debug, Clone, PartialEq)]
pub struct Stored {
    /// Name within its kind.
    pub name: Arc<str>,
    /// Version of the last write.
    pub version: Version,
    /// Labels.
    pub labels: Labels,
    /// Content.
    pub value: Value,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOp {
    /// Reads an object.
    Get {
        /// Which object.
        key: ObjectKey,
    },
    /// Creates an object if its name is free.
    Create {
        /// Which object.
        key: ObjectKey,
        /// Labels.
        labels: Labels,
        /// Content.
        value: Value,
    },
    /// Replaces an object if it still has `version`.
    Update {
        /// Which object.
        key: ObjectKey,
        /// Version that must still stand.
        version: Version,
        /// Labels.
        labels: Labels,
        /// Content.
        value: Value,
    },
    /// Deletes an object.
    Delete {
        /// Which object.
        key: ObjectKey,
        /// Version that must still stand; `None` for any.
        version: Option<Version>,
    },
    /// Reads one page of objects in order of their names.
    List {
        /// Kind.
        kind: Kind,
        /// Names start with this.
        prefix: Arc<str>,
        /// Labels that must be equal.
        labels: Labels,
        /// Names after this one.
        after: Option<Arc<str>>,
        /// Most objects in the page.
        limit: usize,
    },
}

impl StoreOp {
    /// Whether the call changes the store.
    pub fn is_write(&self) -> bool {
        match self {
            StoreOp::Create { .. } | StoreOp::Update { .. } | StoreOp::Delete { .. } => true,
            StoreOp::Get { .. } | StoreOp::List { .. } => false,
        }
    }
}

/// Answer to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreAnswer {
    /// The object as read, or as it stands after a create or update.
    Object(Stored),
    /// One page of a list.
    Page {
        /// Objects in order of their names.
        items: Vec<Stored>,
        /// Name to continue after, if there is more.
        next: Option<Arc<str>>,
        /// Version of the store at the read, from which a watch can go on.
        version: Version,
    },
    /// The object was deleted.
    Deleted,
    /// There is no such object.
    Absent,
    /// A create found the name taken.
    Taken,
    /// An update or delete found another version.
    Conflict,
    /// The value is larger than the store holds.
    TooLarge,
    /// The call had no effect: it was refused, or never sent.
    Unavailable,
    /// The call may have taken effect; its answer was lost.
    Unknown,
}
