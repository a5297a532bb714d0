//! The declarations in force, checked and ready for lookups.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    sync::Arc,
};

use samphiredoor_schema::manifest as declared;

use crate::Name;

const MAX_WEIGHT_BYTES: usize = 128;

/// How a service's targets are spoken to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// A model engine: completions, streams, cancel by closing.
    Engine,
    /// A plain service: one call, one answer.
    Plain,
}

/// How much of a target's loan limit is lent to batch work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Lending {
    /// What online requests leave free, by measurement.
    #[default]
    Measured,
    /// All of it, always.
    Fixed,
}

/// A declared service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name; the model that callers ask for.
    pub name: Name,
    /// How its targets are spoken to.
    pub kind: ServiceKind,
    /// Whether a call may run more than once.
    pub repeatable: bool,
    /// Deadline of a request that names none.
    pub deadline_ms: u64,
    /// Room for online bursts, in hundredths of their envelope.
    pub headroom_percent: u32,
    /// How much is lent to batch work.
    pub lending: Lending,
    /// Whether its engines go on from a given token.
    pub resumable: bool,
}

/// A declared target.
#[derive(Debug, Clone, PartialEq)]
pub struct Target {
    /// Name.
    pub name: Name,
    /// Service that it serves.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Region.
    pub region: Name,
    /// Availability zone.
    pub availability_zone: Name,
    /// Team that owns it.
    pub owner: Name,
    /// Most requests at once, online and batch.
    pub concurrency_limit: u32,
    /// Most batch requests at once.
    pub loan_limit: u32,
    /// Whether it refuses orders with old fencing numbers.
    pub checks_fencing: bool,
    /// Whether an operator has drained it.
    pub drained: bool,
    /// Whether its owner has reclaimed the lent capacity.
    pub reclaimed: bool,
    /// Weights that it is to hold; `None` where no orders are to be given.
    pub weights: Option<BTreeSet<Name>>,
}

/// Bounds on orders to load weights.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightStore {
    /// Loads at once, over all targets.
    pub loads_at_once: usize,
    /// Longest time from the sending of an order until it has no effect any more.
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
    /// Name.
    pub name: Name,
    /// Share under contention.
    pub weight: u32,
    /// Most online requests at once at one process; 0 for no limit of its own.
    pub max_in_flight: u32,
}

/// One revision of the declarations.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Manifest {
    /// Revision; a process applies only higher ones.
    pub revision: u64,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Targets by name.
    pub targets: BTreeMap<Name, Target>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<Name, Workspace>,
    /// Bounds on orders to load weights.
    pub weight_store: WeightStore,
}

/// What is wrong with a manifest, with the place in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ManifestError {
    /// Path of the field, as `targets[2].address`.
    pub field: String,
    /// What is wrong, with a hint.
    pub problem: String,
}

impl fmt::Display for ManifestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for ManifestError {}

impl Manifest {
    /// Checks declarations and takes them as `revision`.
    ///
    /// # Errors
    ///
    /// The first field that is wrong.
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
                problem: format!("no service `{}` is declared; add it to services", target.service),
            });
        }
        if target.loan_limit > target.concurrency_limit.get() {
            return Err(ManifestError {
                field: format!("targets[{index}].loan_limit"),
                problem: "is above concurrency_limit; lend at most what the target takes"
                    .to_owned(),
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
        };
        match self.workspaces.insert(name, checked) {
            None => Ok(()),
            Some(_) => Err(duplicate(format!("workspaces[{index}].name"), &workspace.name)),
        }
    }
}

/// Checks that a name can stand in paths, labels and logs.
///
/// # Errors
///
/// The name is empty, longer than 63 bytes, or holds other characters than `a-z`, `0-9`, `-`, `_` and `.`.
pub fn validate_name(field: &str, name: &str) -> Result<Name, ManifestError> {
    let allowed = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || "-_.".contains(it);
    if name.is_empty() || name.len() > 63 || !name.chars().all(allowed) {
        return Err(ManifestError {
            field: field.to_owned(),
            problem: format!("`{name}` is no name; use 1 to 63 of a-z, 0-9, `-`, `_` and `.`"),
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
    for (place, weight) in weights.iter().enumerate() {
        let field = format!("targets[{index}].weights[{place}]");
        if weight.is_empty() || weight.len() > MAX_WEIGHT_BYTES {
            let problem = format!("use 1 to {MAX_WEIGHT_BYTES} bytes");
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
