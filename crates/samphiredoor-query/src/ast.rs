//! Syntax tree of statements, and the words and fields that the language has.

/// One statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// Reads rows.
    Query(Query),
    /// Changes the state of the system.
    Command(Command),
}

/// Table that a query reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noun {
    /// Batch jobs.
    Jobs,
    /// Items of one job.
    Items,
    /// Declared services.
    Services,
    /// Declared targets, with their load as seen by the gateway that runs the query.
    Targets,
    /// Gateway processes that hold or held a lease.
    Doors,
    /// Declared workspaces.
    Workspaces,
    /// Requests that are suspected of crashing targets.
    Suspects,
}

impl Noun {
    /// All nouns.
    pub const ALL: [Noun; 7] = [
        Noun::Jobs,
        Noun::Items,
        Noun::Services,
        Noun::Targets,
        Noun::Doors,
        Noun::Workspaces,
        Noun::Suspects,
    ];

    /// Keyword of the noun.
    pub fn word(self) -> &'static str {
        match self {
            Noun::Jobs => "jobs",
            Noun::Items => "items",
            Noun::Services => "services",
            Noun::Targets => "targets",
            Noun::Doors => "doors",
            Noun::Workspaces => "workspaces",
            Noun::Suspects => "suspects",
        }
    }

    /// Fields of the rows, in the order of the columns.
    pub fn fields(self) -> &'static [&'static str] {
        match self {
            Noun::Jobs => &[
                "id",
                "state",
                "workspace",
                "service",
                "items",
                "completed",
                "failed",
                "owner",
                "due_unix_ms",
                "accepted_unix_ms",
            ],
            Noun::Items => &["job", "custom_id", "state", "status", "tries", "reason"],
            Noun::Services => &["name", "kind", "repeatable", "deadline_ms", "headroom_percent"],
            Noun::Targets => &[
                "name",
                "service",
                "state",
                "owner",
                "host",
                "region",
                "availability_zone",
                "concurrency_limit",
                "loan_limit",
                "online",
                "batch",
            ],
            Noun::Doors => &[
                "name",
                "state",
                "incarnation",
                "region",
                "availability_zone",
                "peer_address",
                "renewals",
            ],
            Noun::Workspaces => &["name", "weight", "max_in_flight", "keys"],
            Noun::Suspects => &["fingerprint", "state", "deaths"],
        }
    }
}

/// Selection of rows.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// Table to read.
    pub noun: Noun,
    /// Whether only the number of rows is returned.
    pub count: bool,
    /// Conditions that all must hold.
    pub conditions: Vec<Condition>,
    /// Order of the rows.
    pub order: Option<Order>,
    /// Maximum number of rows.
    pub limit: Option<usize>,
}

impl Query {
    /// Query for all rows of a noun.
    pub fn new(noun: Noun) -> Query {
        Query { noun, count: false, conditions: Vec::new(), order: None, limit: None }
    }

    /// Value that `field` must equal, if there is such a condition.
    pub fn equal_to(&self, field: &str) -> Option<&str> {
        let of_field = self.conditions.iter().filter(|it| it.field == field);
        of_field.filter(|it| it.op == Op::Equal).map(|it| it.value.as_str()).next()
    }
}

/// One condition on a field.
#[derive(Debug, Clone, PartialEq)]
pub struct Condition {
    /// Field of the noun.
    pub field: &'static str,
    /// Comparison operator.
    pub op: Op,
    /// Value to compare with. The comparison is numeric if both sides are numbers.
    pub value: String,
}

/// Comparison operator of a condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Op {
    /// `=`
    Equal,
    /// `!=`
    NotEqual,
    /// `<`
    Less,
    /// `<=`
    LessOrEqual,
    /// `>`
    Greater,
    /// `>=`
    GreaterOrEqual,
    /// `~`: contains the text.
    Contains,
}

/// Order of rows by one field.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Field of the noun.
    pub field: &'static str,
    /// Whether the largest value comes first.
    pub descending: bool,
}

/// Change to the state of the system.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Cancels a job.
    Cancel {
        /// Id of the job.
        job: String,
    },
    /// Stops sending new work to a target.
    Drain {
        /// Name of the target.
        target: String,
    },
    /// Sends work to a drained target again.
    Undrain {
        /// Name of the target.
        target: String,
    },
    /// Reclaims a target's batch capacity for its owner.
    Reclaim {
        /// Name of the target.
        target: String,
    },
    /// Allows batch work at a reclaimed target again.
    Release {
        /// Name of the target.
        target: String,
    },
    /// Changes one field of a declaration.
    Set {
        /// Kind of the declaration.
        object: Settable,
        /// Its name.
        name: String,
        /// Its field.
        field: &'static str,
        /// New value.
        value: String,
    },
    /// Allows a request that is suspected of crashing targets to run again.
    Lift {
        /// Fingerprint of the request, in hexadecimal digits.
        suspect: String,
    },
    /// Restores the declarations from before the last change, as a new revision.
    Rollback,
}

/// Kind of a declaration that `set` can change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settable {
    /// A service.
    Service,
    /// A target.
    Target,
    /// A workspace.
    Workspace,
}

impl Settable {
    /// All kinds.
    pub const ALL: [Settable; 3] = [Settable::Service, Settable::Target, Settable::Workspace];

    /// Keyword of the kind.
    pub fn word(self) -> &'static str {
        match self {
            Settable::Service => "service",
            Settable::Target => "target",
            Settable::Workspace => "workspace",
        }
    }

    /// Fields that can be set.
    pub fn fields(self) -> &'static [&'static str] {
        match self {
            Settable::Service => &["deadline_ms", "headroom_percent"],
            Settable::Target => &["concurrency_limit", "loan_limit"],
            Settable::Workspace => &["weight", "max_in_flight"],
        }
    }
}
