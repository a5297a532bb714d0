//! The whole door: its listeners, its tasks, and its planned stop.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use samphiredoor_core::{Name, dispatch::Place, manifest::Manifest};
use samphiredoor_net::{ServeLimits, Server};

use crate::{
    batch_window::BatchWindow,
    callers,
    config::DoorConfig,
    dispatch_task::{Clock, Dispatch},
    exit_codes::Exit,
    jobs_task::{self, Jobs},
    lease_task, load_task, manifest_task,
    metrics::Metrics,
    operators,
    store_client::StoreClient,
    targets::TargetPools,
};

/// Everything that the tasks of a door share: handles, no state of their own.
pub struct Door {
    /// Decided options.
    pub config: DoorConfig,
    /// Clock of the process.
    pub clock: Clock,
    /// Start of the process, to tell it from an earlier one of the same name.
    pub incarnation: u64,
    /// The dispatcher's task.
    pub dispatch: Dispatch,
    /// The ledger's task.
    pub jobs: Jobs,
    /// Bound on the items of a job that ask for a slot.
    pub batch_window: BatchWindow,
    /// The object API.
    pub store: StoreClient,
    /// Connections to targets.
    pub targets: TargetPools,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Manifest in force; written by the manifest's task alone.
    pub manifest: RefCell<Arc<Manifest>>,
    /// Doors that are known to live, this one among them; written by the lease's task alone.
    pub live_doors: RefCell<Vec<Name>>,
    /// Revision of the manifest in force; 0 before the first.
    pub revision: Cell<u64>,
    /// Whether a planned stop is under way.
    pub stopping: Cell<bool>,
    next_unique: Cell<u64>,
}

impl Door {
    /// Name that no other door, and no other call, gives.
    pub fn unique_name(&self, prefix: &str) -> String {
        let number = self.next_unique.get();
        self.next_unique.set(number + 1);
        format!("{prefix}-{}-{:x}-{number}", self.config.name, self.incarnation)
    }
}

/// Runs a door until it is told to stop.
pub fn run(config: DoorConfig) -> anyhow::Result<Exit> {
    let runtime = compio::runtime::Runtime::new().context("the runtime cannot start")?;
    runtime.block_on(serve(config))
}

async fn serve(config: DoorConfig) -> anyhow::Result<Exit> {
    let limits = ServeLimits { max_connections: config.max_connections, ..Default::default() };
    let mut callers = Server::bind(config.callers, limits)
        .await
        .with_context(|| format!("callers.address: {} cannot be listened on", config.callers))?;
    let operators =
        Server::bind(config.operators, ServeLimits::default()).await.with_context(|| {
            format!("operators.address: {} cannot be listened on", config.operators)
        })?;
    log::info!("door: callers on {}", callers.local_addr()?);
    log::info!("door: operators on {}", operators.local_addr()?);
    let stop_callers = callers.stop_handle();
    let (door, inbox) = new_door(config);
    compio::runtime::spawn(jobs_task::run(Rc::clone(&door), inbox)).detach();
    compio::runtime::spawn(lease_task::run(Rc::clone(&door))).detach();
    compio::runtime::spawn(manifest_task::run(Rc::clone(&door))).detach();
    compio::runtime::spawn(load_task::run(Rc::clone(&door))).detach();
    let for_operators = Rc::clone(&door);
    let answer_operator = move |request| operators::answer(Rc::clone(&for_operators), request);
    compio::runtime::spawn(operators.run(answer_operator)).detach();
    let for_callers = Rc::clone(&door);
    let serving = compio::runtime::spawn(
        callers.run(move |request| callers::answer(Rc::clone(&for_callers), request)),
    );
    wait_for_signal().await;
    log::info!("door: stopping");
    door.stopping.set(true);
    compio::time::sleep(door.config.unready).await;
    drop(stop_callers);
    let finished = compio::time::timeout(door.config.finish, serving).await.is_ok();
    log::info!("door: stopped, all requests finished: {finished}");
    Ok(Exit::Success)
}

fn new_door(config: DoorConfig) -> (Rc<Door>, jobs_task::JobsInbox) {
    let clock = Clock::new();
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let incarnation = since.as_micros() as u64;
    let (jobs, inbox) = Jobs::new();
    let place = Place {
        region: Name::clone(&config.region),
        availability_zone: Name::clone(&config.availability_zone),
    };
    let door = Door {
        clock,
        incarnation,
        dispatch: Dispatch::start(clock, place, incarnation),
        jobs,
        batch_window: BatchWindow::default(),
        store: StoreClient::new(config.store, config.store_timeout),
        targets: TargetPools::default(),
        metrics: Metrics::new(),
        manifest: RefCell::default(),
        live_doors: RefCell::default(),
        revision: Cell::new(0),
        stopping: Cell::new(false),
        next_unique: Cell::new(0),
        config,
    };
    (Rc::new(door), inbox)
}

async fn wait_for_signal() {
    use futures_util::future::{Either, select};
    let terminate = std::pin::pin!(compio::signal::unix::signal(15));
    let interrupt = std::pin::pin!(compio::signal::ctrl_c());
    match select(terminate, interrupt).await {
        Either::Left((result, _)) | Either::Right((result, _)) => {
            if let Err(err) = result {
                log::error!("door: signals cannot be waited for: {err}");
            }
        }
    }
}
