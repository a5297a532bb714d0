//! The manifest: the declared services, targets and workspaces, validated and indexed by name.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    sync::Arc,
};

use samphiredoor_schema::manifest as declared;

use crate::{
    Name,
    access::{self, KeyDigest, Workspaces},
};

const MAX_WEIGHT_NAME_BYTES: usize = 128;

/// Protocol that a service's targets use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// A model engine: completions and streams, which are cancelled by closing the connection.
    Engine,
    /// A plain HTTP service: one request, one answer.
    Plain,
}

/// How much of a target's `loan_limit` batch requests may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Lending {
    /// The capacity that online requests leave free, as measured.
    #[default]
    Measured,
    /// All of it, regardless of online load.
    Fixed,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Unique name; the model that callers request.
    pub name: Name,
    /// Protocol that its targets use.
    pub kind: ServiceKind,
    /// Whether a request may run more than once, so that it can be retried after an unknown outcome.
    pub repeatable: bool,
    /// Timeout of requests without a deadline of their own.
    pub deadline_ms: u64,
    /// Capacity reserved for bursts of online requests, in percent of the standard reserve, which follows from their
    /// measured growth; 0 reserves none.
    pub headroom_percent: u32,
    /// How much of the capacity batch requests may use.
    pub lending: Lending,
    /// Whether its engines can continue a completion from a given token.
    pub resumable: bool,
}

/// A declared target.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Unique name.
    pub name: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address where it listens for requests.
    pub address: SocketAddr,
    /// Region that it runs in.
    pub region: Name,
    /// Availability zone that it runs in.
    pub availability_zone: Name,
    /// Team that owns it.
    pub owner: Name,
    /// Limit of concurrent requests, online and batch together.
    pub concurrency_limit: u32,
    /// Limit of concurrent batch requests.
    pub loan_limit: u32,
    /// Whether it refuses orders with outdated fencing tokens.
    pub checks_fencing: bool,
    /// Whether an operator has drained it.
    pub drained: bool,
    /// Whether its owner has reclaimed the capacity that batch requests may use.
    pub reclaimed: bool,
    /// Weights that it is to have loaded; `None` if no orders are to be sent to it.
    pub weights: Option<BTreeSet<Name>>,
}

/// Limits of orders to load weights.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightStore {
    /// Limit of concurrent loads, over all targets.
    pub loads_at_once: usize,
    /// Longest time after its sending in which an order may still take effect.
    pub longest_order_ms: u64,
}

impl Default for WeightStore {
    fn default() -> WeightStore {
        WeightStore { loads_at_once: 4, longest_order_ms: 120_000 }
    }
}

/// Limits of a workspace.
#[derive(Debug, Clone, PartialEq)]
pub struct Workspace {
    /// Unique name.
    pub name: Name,
    /// Weight of its share when workspaces compete for capacity.
    pub weight: u32,
    /// Limit of concurrent online requests in one process; 0 for no limit of its own.
    pub max_in_flight: u32,
    /// Digests of its API keys.
    pub key_digests: Vec<KeyDigest>,
}

/// One revision of the declarations.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Manifest {
    /// Revision number; a process applies only a higher one than that of its active manifest.
    pub revision: u64,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Targets by name.
    pub targets: BTreeMap<Name, Target>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, Workspace>,
    /// Workspaces by API key; `None` if no workspace has one, and callers need no key.
    pub access: Option<Workspaces>,
    /// Limits of orders to load weights.
    pub weight_store: WeightStore,
}

/// An invalid field of a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestError {
    /// Path of the field, such as `targets[2].address`.
    pub field: String,
    /// Why its value is invalid, and how to correct it.
    pub problem: String,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for ManifestError {}

impl Manifest {
    /// Validates declarations and builds the manifest of this revision.
    ///
    /// # Errors
    ///
    /// The first invalid field.
    pub fn new(revision: u64, declared: &declared::Manifest) -> Result<Manifest, ManifestError> {
        let mut manifest = Manifest { revision, ..Manifest::default() };
        for (index, service) in declared.services.iter().enumerate() {
            manifest.add_service(index, service)?;
        }
        for (index, target) in declared.targets.iter().enumerate() {
            manifest.add_target(index, target)?;
        }
        for (index, workspace) in declared.workspaces.iter().enumerate() {
            manifest.add_workspace(index, workspace)?;
        }
        manifest.access = manifest.checked_access()?;
        if let Some(bounds) = &declared.weight_store {
            manifest.weight_store = WeightStore {
                loads_at_once: bounds.loads_at_once.get() as usize,
                longest_order_ms: bounds.longest_order_ms.get(),
            };
        }
        Ok(manifest)
    }

    /// Targets of a service.
    pub fn targets_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        self.targets.values().filter(move |it| &*it.service == service)
    }

    fn checked_access(&self) -> Result<Option<Workspaces>, ManifestError> {
        if self.workspaces.values().all(|it| it.key_digests.is_empty()) {
            return Ok(None);
        }
        let workspaces = self.workspaces.values().map(|it| {
            let name = Name::clone(&it.name);
            let workspace = access::Workspace { name, priority: None, rate_limit: None };
            (workspace, it.key_digests.clone())
        });
        let access = Workspaces::new(workspaces);
        access.map(Some).map_err(|err| ManifestError {
            field: "workspaces".to_owned(),
            problem: err.to_string(),
        })
    }

    fn add_service(
        &mut self,
        index: usize,
        service: &declared::Service,
    ) -> Result<(), ManifestError> {
        let name = validate_name(&format!("services[{index}].name"), &service.name)?;
        let checked = Service {
            name: Arc::clone(&name),
            kind: match service.kind {
                declared::ServiceKind::Engine => ServiceKind::Engine,
                declared::ServiceKind::Plain => ServiceKind::Plain,
            },
            repeatable: service.repeatable,
            deadline_ms: service.deadline_ms.get(),
            headroom_percent: service.headroom_percent,
            resumable: service.resumable,
            lending: match service.lending.unwrap_or_default() {
                declared::Lending::Measured => Lending::Measured,
                declared::Lending::Fixed => Lending::Fixed,
            },
        };
        match self.services.insert(name, checked) {
            None => Ok(()),
            Some(_) => Err(duplicate(format!("services[{index}].name"), &service.name)),
        }
    }

    fn add_target(&mut self, index: usize, target: &declared::Target) -> Result<(), ManifestError> {
        let name = validate_name(&format!("targets[{index}].name"), &target.name)?;
        let address = target.address.parse().map_err(|_| ManifestError {
            field: format!("targets[{index}].address"),
            problem: format!("`{}` is not an IP address with a port", target.address),
        })?;
        if !self.services.contains_key(target.service.as_str()) {
            return Err(ManifestError {
                field: format!("targets[{index}].service"),
                problem: format!(
                    "service `{}` is not declared; add it to services",
                    target.service
                ),
            });
        }
        if target.loan_limit > target.concurrency_limit.get() {
            return Err(ManifestError {
                field: format!("targets[{index}].loan_limit"),
                problem: "is above concurrency_limit; use at most that value".to_owned(),
            });
        }
        let checked = Target {
            name: Arc::clone(&name),
            service: target.service.as_str().into(),
            address,
            region: target.region.as_str().into(),
            availability_zone: target.availability_zone.as_str().into(),
            owner: target.owner.as_str().into(),
            concurrency_limit: target.concurrency_limit.get(),
            loan_limit: target.loan_limit,
            checks_fencing: target.checks_fencing,
            drained: target.drained,
            reclaimed: target.reclaimed,
            weights: checked_weights(index, target)?,
        };
        match self.targets.insert(name, checked) {
            None => Ok(()),
            Some(_) => Err(duplicate(format!("targets[{index}].name"), &target.name)),
        }
    }

    fn add_workspace(
        &mut self,
        index: usize,
        workspace: &declared::Workspace,
    ) -> Result<(), ManifestError> {
        let name = validate_name(&format!("workspaces[{index}].name"), &workspace.name)?;
        let checked = Workspace {
            name: Arc::clone(&name),
            weight: workspace.weight.get(),
            max_in_flight: workspace.max_in_flight,
            key_digests: checked_digests(index, workspace)?,
        };
        match self.workspaces.insert(name, checked) {
            None => Ok(()),
            Some(_) => Err(duplicate(format!("workspaces[{index}].name"), &workspace.name)),
        }
    }
}

fn checked_digests(
    index: usize,
    workspace: &declared::Workspace,
) -> Result<Vec<KeyDigest>, ManifestError> {
    let digests = workspace.key_digests.iter().enumerate();
    let checked = digests.map(|(position, digest)| {
        KeyDigest::parse(digest).ok_or_else(|| ManifestError {
            field: format!("workspaces[{index}].key_digests[{position}]"),
            problem: "is not 32 hexadecimal digits; use the output of `samphiredoor digest`"
                .to_owned(),
        })
    });
    checked.collect()
}

/// Checks that a name is safe in paths, metric labels and logs.
///
/// # Errors
///
/// The name is empty, longer than 63 bytes, or contains other characters than `a-z`, `0-9`, `-`, `_` and `.`.
pub fn validate_name(field: &str, name: &str) -> Result<Name, ManifestError> {
    let allowed = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || "-_.".contains(it);
    if name.is_empty() || name.len() > 63 || !name.chars().all(allowed) {
        return Err(ManifestError {
            field: field.to_owned(),
            problem: format!(
                "`{name}` is not a valid name; use 1 to 63 characters of a-z, 0-9, `-`, `_` and `.`"
            ),
        });
    }
    Ok(name.into())
}

fn checked_weights(
    index: usize,
    target: &declared::Target,
) -> Result<Option<BTreeSet<Name>>, ManifestError> {
    let weights = &target.weights;
    if weights.is_empty() {
        return Ok(None);
    }
    let mut checked = BTreeSet::new();
    for (position, weight) in weights.iter().enumerate() {
        let field = format!("targets[{index}].weights[{position}]");
        if weight.is_empty() || weight.len() > MAX_WEIGHT_NAME_BYTES {
            let problem = format!("use 1 to {MAX_WEIGHT_NAME_BYTES} bytes");
            return Err(ManifestError { field, problem });
        }
        if !checked.insert(Name::from(weight.as_str())) {
            return Err(duplicate(field, weight));
        }
    }
    Ok(Some(checked))
}

fn duplicate(field: String, name: &str) -> ManifestError {
    ManifestError { field, problem: format!("`{name}` is declared twice") }
}
