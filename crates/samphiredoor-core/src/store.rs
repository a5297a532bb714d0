//! Calls to the platform's object store, independent of its protocol.
//!
//! Answers distinguish two kinds of failure: a call with [`StoreAnswer::Unavailable`] had no effect, one with
//! [`StoreAnswer::Unknown`] may have taken effect. After the latter, the object is read before it is written again.

use std::{collections::BTreeMap, sync::Arc};

/// Kind of a stored object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
    /// The active manifest.
    Manifest,
    /// Header of a job.
    Job,
    /// Chunk of a job's items.
    Chunk,
    /// Results of one chunk.
    Results,
    /// Lease of a process.
    Process,
    /// Shard of the idempotency keys.
    Keys,
    /// Requests that are suspected of crashing targets.
    Suspects,
    /// Orders to one target.
    Orders,
    /// Slots for concurrent loads from the weight store.
    Pace,
    /// The platform's list of hosts, which the gateways only read.
    Hosts,
    /// Address of a gateway, for its peers.
    Door,
    /// Header of an ordered job.
    OrderedJob,
    /// Part of the submission of an ordered job.
    JobPart,
    /// Segment of the results of an ordered job.
    JobSegment,
    /// Cancellation of an ordered job by its caller.
    JobEnd,
    /// Routes, as the operators write them.
    Routes,
    /// Entry with which a target registers itself.
    Targets,
    /// Request to empty a storage host.
    Retirement,
    /// Software versions of the targets of each service.
    TargetVersions,
    /// What is quarantined as it crashes targets of a service.
    Quarantines,
}

impl Kind {
    /// Name of the kind in paths of the object API.
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
            Kind::TargetVersions => "targetversions",
            Kind::Quarantines => "quarantines",
        }
    }
}

/// Identity of a stored object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectKey {
    /// Kind of the object, which is its namespace.
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

/// Version of a stored object or of the whole store, assigned by the store; it grows with each write.
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
    /// Labels of the last write.
    pub labels: Labels,
    /// Content of the last write.
    pub value: Value,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreOp {
    /// Reads an object.
    Get {
        /// Identity of the object.
        key: ObjectKey,
    },
    /// Creates an object if its name is not taken.
    Create {
        /// Identity of the new object.
        key: ObjectKey,
        /// Labels of the new object.
        labels: Labels,
        /// Content of the new object.
        value: Value,
    },
    /// Replaces an object if it still has `version`.
    Update {
        /// Identity of the object.
        key: ObjectKey,
        /// Version that the object must still have.
        version: Version,
        /// New labels.
        labels: Labels,
        /// New content.
        value: Value,
    },
    /// Deletes an object.
    Delete {
        /// Identity of the object.
        key: ObjectKey,
        /// Version that the object must still have; `None` for any.
        version: Option<Version>,
    },
    /// Reads one page of objects in order of their names.
    List {
        /// Kind of the objects.
        kind: Kind,
        /// Prefix of their names.
        prefix: Arc<str>,
        /// Labels that they must have.
        labels: Labels,
        /// Name after which the page starts; `None` for the first page.
        after: Option<Arc<str>>,
        /// Most objects in the page.
        limit: usize,
    },
}

impl StoreOp {
    /// Writes an object that was read with this version, or creates it if there was none.
    pub fn write(
        key: ObjectKey,
        version: Option<Version>,
        labels: Labels,
        value: Value,
    ) -> StoreOp {
        match version {
            Some(version) => StoreOp::Update { key, version, labels, value },
            None => StoreOp::Create { key, labels, value },
        }
    }

    /// Whether the call changes the store.
    pub fn is_write(&self) -> bool {
        match self {
            StoreOp::Create { .. } | StoreOp::Update { .. } | StoreOp::Delete { .. } => true,
            StoreOp::Get { .. } | StoreOp::List { .. } => false,
        }
    }
}

/// Answer of the store to a call.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreAnswer {
    /// The object as read, or as it is after a create or update.
    Object(Stored),
    /// One page of a list.
    Page {
        /// Objects in order of their names.
        items: Vec<Stored>,
        /// Name to continue after if there are more objects.
        next: Option<Arc<str>>,
        /// Version of the store at the time of the read, from which a watch can continue.
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
    /// The value exceeds the size limit of the store.
    TooLarge,
    /// The call had no effect: it was refused, or never sent.
    Unavailable,
    /// The call may have taken effect; its answer was lost.
    Unknown,
}
