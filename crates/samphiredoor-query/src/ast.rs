//! Statements of the language.

/// One statement.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// Asks for rows.
    Query(Query),
    /// Changes something.
    Command(Command),
}

/// What a query is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noun {
    /// Batch jobs.
    Jobs,
    /// Items of one job.
    Items,
    /// Declared services.
    Services,
    /// Declared targets, with the load that the asked door sees.
    Targets,
    /// Processes that hold or held a lease.
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

    /// Word of the noun.
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

    /// Fields of the noun's rows, in the order of a table's columns.
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
            Noun::Workspaces => &["name", "weight", "max_in_flight"],
            Noun::Suspects => &["fingerprint", "state", "deaths"],
        }
    }
}

/// Asks for rows.
#[derive(Debug, Clone, PartialEq)]
pub struct Query {
    /// What about.
    pub noun: Noun,
    /// Whether only the number of rows is wanted.
    pub count: bool,
    /// Conditions that all must hold.
    pub conditions: Vec<Condition>,
    /// Order of the rows.
    pub order: Option<Order>,
    /// Most rows.
    pub limit: Option<usize>,
}

impl Query {
    /// Query for all rows of a noun.
    pub fn new(noun: Noun) -> Query {
        Query { noun, count: false, conditions: Vec::new(), order: None, limit: None }
    }

    /// Text that `field` must be equal to, if a condition says so.
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
    /// Comparison.
    pub op: Op,
    /// Value compared with; numbers compare as numbers where both sides are.
    pub value: String,
}

/// Comparison of a condition.
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
    /// `~`: holds the text.
    Contains,
}

/// Order of rows by one field.
#[derive(Debug, Clone, PartialEq)]
pub struct Order {
    /// Field of the noun.
    pub field: &'static str,
    /// Largest first.
    pub descending: bool,
}

/// Changes something.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Cancels a job.
    Cancel {
        /// Which job.
        job: String,
    },
    /// Lets a target take no new work.
    Drain {
        /// Which target.
        target: String,
    },
    /// Lets a drained target take work again.
    Undrain {
        /// Which target.
        target: String,
    },
    /// Takes lent capacity back for the target's owner.
    Reclaim {
        /// Which target.
        target: String,
    },
    /// Lends capacity of a reclaimed target again.
    Release {
        /// Which target.
        target: String,
    },
    /// Changes one declared value.
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
    /// Lets a request run again that is suspected of crashing targets.
    Lift {
        /// Fingerprint of the request, in hexadecimal digits.
        suspect: String,
    },
    /// Goes back to the declarations before the last change, as a new revision.
    Rollback,
}

/// Declarations that `set` changes.
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
    /// All of them.
    pub const ALL: [Settable; 3] = [Settable::Service, Settable::Target, Settable::Workspace];

    /// Word of the kind.
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
