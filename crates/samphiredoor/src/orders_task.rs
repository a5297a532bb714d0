//! The task that orders targets to load and drop weights.
//!
//! What the declarations say a target is to hold is compared with what its orders have made it hold; each door looks
//! after the targets that the ring gives it.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use hyper::{HeaderMap, Method, StatusCode, Uri, header};
use samphiredoor_core::{
    Name,
    manifest::Manifest,
    membership::{Member, MemberState},
    orders::{Order, OrderEnd, Orders, OrdersAction, OrdersConfig, OrdersInput, Ring, Wanted},
};
use samphiredoor_net::{
    body::read_whole,
    clock::Clock,
    pool::{SendError, within},
    timed_inbox::{InboxEvent, TimedInbox},
};
use serde_json::json;

use crate::{
    config::DoorConfig,
    manifest_task::ManifestHandle,
    peers::Peers,
    store_client::StoreClient,
    targets::{Call, TargetPools},
};

const TICK: Duration = Duration::from_millis(100);
// Part of the lease that is left unused, for clocks that run differently.
const LEASE_MARGIN_PART: u64 = 10;
const ORDERS_PATH: &str = "/v1/orders";
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Handle to the orders' task.
#[derive(Clone)]
pub struct OrdersHandle {
    messages: flume::Sender<OrdersInput>,
}

/// Inbox of the orders' task, before the task starts.
pub struct OrdersInbox(flume::Receiver<OrdersInput>);

impl OrdersHandle {
    /// Handle and inbox.
    pub fn new() -> (OrdersHandle, OrdersInbox) {
        let (messages, inbox) = flume::unbounded();
        (OrdersHandle { messages }, OrdersInbox(inbox))
    }

    /// Says until when this process holds its lease.
    pub fn lease(&self, valid_until_ms: u64) {
        self.input(OrdersInput::Lease { valid_until_ms });
    }

    /// Says that the lease of a process has lapsed.
    pub fn lapsed(&self, process: Name, incarnation: u64) {
        self.input(OrdersInput::LeaseExpired { process, incarnation });
    }

    fn input(&self, input: OrdersInput) {
        let _ = self.messages.send(input);
    }
}

/// What the orders' task uses.
pub struct OrdersEnv {
    /// Decided options.
    pub config: Rc<DoorConfig>,
    /// Start of the process.
    pub incarnation: u64,
    /// Clock of the process.
    pub clock: Clock,
    /// The task's own handle.
    pub handle: OrdersHandle,
    /// Declarations in force.
    pub manifest: ManifestHandle,
    /// Other doors, some of which look after targets of their own.
    pub peers: Peers,
    /// The object API.
    pub store: StoreClient,
    /// Connections to targets.
    pub targets: TargetPools,
}

/// Gives orders until the process ends.
pub async fn run(env: OrdersEnv, inbox: OrdersInbox) {
    let env = Rc::new(env);
    let mut orders = Orders::new(config(&env));
    let mut seen = Seen::default();
    let mut actions = Vec::new();
    let mut inbox = TimedInbox::new(inbox.0, TICK);
    loop {
        let input = match inbox.next().await {
            InboxEvent::Message(input) => input,
            InboxEvent::Closed => return,
            InboxEvent::Tick => OrdersInput::Tick,
        };
        let now = env.clock.now();
        for input in seen.changes(&env) {
            orders.handle(now, input, &mut actions);
        }
        orders.handle(now, input, &mut actions);
        for action in actions.drain(..) {
            act(&env, action);
        }
    }
}

fn config(env: &OrdersEnv) -> OrdersConfig {
    let bounds = Manifest::default().weight_store;
    let lease_ms = env.config.lease.as_millis() as u64;
    OrdersConfig {
        process: env.config.name(),
        incarnation: env.incarnation,
        lease_ms,
        margin_ms: lease_ms / LEASE_MARGIN_PART,
        longest_order_ms: bounds.longest_order_ms,
        loads_at_once: bounds.loads_at_once,
    }
}

/// Declarations and members that the present wishes were worked out from.
#[derive(Default)]
struct Seen {
    revision: u64,
    live: Option<Arc<[Member]>>,
}

impl Seen {
    fn changes(&mut self, env: &OrdersEnv) -> Vec<OrdersInput> {
        let (manifest, live) = (env.manifest.current(), env.peers.live());
        let same_members = self.live.as_ref().is_some_and(|it| Arc::ptr_eq(it, &live));
        if manifest.revision == self.revision && same_members {
            return Vec::new();
        }
        let wanted = wanted(&env.config.name, &manifest, &live);
        self.revision = manifest.revision;
        self.live = Some(live);
        let bounds = OrdersInput::Bounds {
            loads_at_once: manifest.weight_store.loads_at_once,
            longest_order_ms: manifest.weight_store.longest_order_ms,
        };
        vec![bounds, OrdersInput::Wanted(wanted)]
    }
}

fn wanted(own: &Name, manifest: &Manifest, live: &[Member]) -> BTreeMap<Name, Wanted> {
    let processes = live.iter().filter(|it| it.state == MemberState::Live).map(|it| &it.name);
    let ring = Ring::new(processes);
    let mut wanted = BTreeMap::new();
    for (name, target) in &manifest.targets {
        let Some(weights) = &target.weights else { continue };
        if ring.leader(name).is_some_and(|it| it == own) {
            let checks_fencing = target.checks_fencing;
            let weights = weights.clone();
            wanted.insert(Arc::clone(name), Wanted { weights, checks_fencing });
        }
    }
    wanted
}

fn act(env: &Rc<OrdersEnv>, action: OrdersAction) {
    match action {
        OrdersAction::Store { call, op } => {
            let handle = env.handle.clone();
            env.store.call_and_tell(op, move |answer| {
                handle.input(OrdersInput::Stored { call, answer });
            });
        }
        OrdersAction::Send { target, fence, order } => {
            let env = Rc::clone(env);
            compio::runtime::spawn(async move {
                let end = send(&env, &target, fence, &order).await;
                log::info!("orders: {order:?} to {target} under {fence}: {end:?}");
                env.handle.input(OrdersInput::Ended { target, fence, end });
            })
            .detach();
        }
    }
}

async fn send(env: &OrdersEnv, target: &Name, fence: u64, order: &Order) -> OrderEnd {
    let manifest = env.manifest.current();
    let Some(declared) = manifest.targets.get(target) else { return OrderEnd::NotDone };
    let call = call(fence, order);
    let limit = Duration::from_millis(manifest.weight_store.longest_order_ms);
    let sent = within(limit, env.targets.send(declared.address, &call)).await;
    match sent {
        Some(Ok(response)) => {
            let status = response.status();
            match read_whole(response.into_body(), MAX_ANSWER_BYTES).await {
                Ok(_) => end(status),
                Err(_) => OrderEnd::Unknown,
            }
        }
        Some(Err(SendError::NotSent(_))) => OrderEnd::NotDone,
        Some(Err(SendError::MayHaveRun(_))) | None => OrderEnd::Unknown,
    }
}

fn call(fence: u64, order: &Order) -> Call {
    let action = match order {
        Order::Load(_) => "load",
        Order::Unload(_) => "unload",
    };
    let body = json!({ "fence": fence, "action": action, "weight": &**order.weight() });
    let content_type = header::HeaderValue::from_static("application/json");
    Call {
        method: Method::POST,
        uri: Uri::from_static(ORDERS_PATH),
        headers: HeaderMap::from_iter([(header::CONTENT_TYPE, content_type)]),
        body: body.to_string().into(),
    }
}

fn end(status: StatusCode) -> OrderEnd {
    match status {
        StatusCode::CONFLICT => OrderEnd::Fenced,
        it if it.is_success() => OrderEnd::Done,
        it if it.is_client_error() => OrderEnd::NotDone,
        StatusCode::SERVICE_UNAVAILABLE => OrderEnd::NotDone,
        _ => OrderEnd::Unknown,
    }
}
