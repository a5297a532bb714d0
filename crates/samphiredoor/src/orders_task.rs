//! The task that orders targets to load and unload weights.
//!
//! It compares the weights that the manifest declares for a target with those that earlier orders have loaded there.
//! Each gateway leads the targets that the consistent-hash ring assigns to it.

use std::{collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use hyper::{HeaderMap, Method, StatusCode, Uri, header};
use samphiredoor_core::{
    Name,
    manifest::Manifest,
    membership::{Member, MemberState},
    orders::{
        DesiredState, Order, OrderEnd, Orders, OrdersAction, OrdersConfig, OrdersInput, Ring,
    },
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
/// One tenth of the lease is a safety margin, for clocks that run at different rates.
const LEASE_MARGIN_DIVISOR: u64 = 10;
const ORDERS_PATH: &str = "/v1/orders";
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Handle to the orders task.
#[derive(Clone)]
pub struct OrdersHandle {
    messages: flume::Sender<OrdersInput>,
}

/// Receiver of the orders task's messages; passed to the task when it starts.
pub struct OrdersInbox(flume::Receiver<OrdersInput>);

impl OrdersHandle {
    /// Creates the handle and the inbox.
    pub fn new() -> (OrdersHandle, OrdersInbox) {
        let (messages, inbox) = flume::unbounded();
        (OrdersHandle { messages }, OrdersInbox(inbox))
    }

    /// Reports until when this process holds its lease; 0 if the lease is lost.
    pub fn set_lease(&self, valid_until_ms: u64) {
        self.input(OrdersInput::Lease { valid_until_ms });
    }

    /// Reports that the lease of another process has expired.
    pub fn lease_expired(&self, process: Name, incarnation: u64) {
        self.input(OrdersInput::LeaseExpired { process, incarnation });
    }

    fn input(&self, input: OrdersInput) {
        let _ = self.messages.send(input);
    }
}

/// Dependencies of the orders task.
pub struct OrdersEnv {
    /// Checked settings.
    pub config: Rc<DoorConfig>,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Clock of the process.
    pub clock: Clock,
    /// The task's own handle.
    pub handle: OrdersHandle,
    /// The active manifest.
    pub manifest: ManifestHandle,
    /// Peers, among which the ring divides the targets.
    pub peers: Peers,
    /// Client of the object API.
    pub store: StoreClient,
    /// Connections to targets.
    pub targets: TargetPools,
}

/// Runs the orders task until the process ends.
pub async fn run(env: OrdersEnv, inbox: OrdersInbox) {
    let env = Rc::new(env);
    let mut orders = Orders::new(config(&env));
    let mut source = DesiredStateSource::default();
    let mut actions = Vec::new();
    let mut inbox = TimedInbox::new(inbox.0, TICK);
    loop {
        let input = match inbox.next().await {
            InboxEvent::Message(input) => input,
            InboxEvent::Closed => return,
            InboxEvent::Tick => OrdersInput::Tick,
        };
        let now = env.clock.now();
        for input in source.changed_inputs(&env) {
            orders.handle(now, input, &mut actions);
        }
        orders.handle(now, input, &mut actions);
        for action in actions.drain(..) {
            execute(&env, action);
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
        margin_ms: lease_ms / LEASE_MARGIN_DIVISOR,
        longest_order_ms: bounds.longest_order_ms,
        loads_at_once: bounds.loads_at_once,
    }
}

/// Manifest revision and live members from which the desired state was last computed.
#[derive(Default)]
struct DesiredStateSource {
    revision: u64,
    live: Option<Arc<[Member]>>,
}

impl DesiredStateSource {
    /// Recomputes the desired state if the manifest or the live members have changed; empty otherwise.
    fn changed_inputs(&mut self, env: &OrdersEnv) -> Vec<OrdersInput> {
        let (manifest, live) = (env.manifest.current(), env.peers.live());
        let same_members = self.live.as_ref().is_some_and(|it| Arc::ptr_eq(it, &live));
        if manifest.revision == self.revision && same_members {
            return Vec::new();
        }
        let desired = desired_states(&env.config.name, &manifest, &live);
        self.revision = manifest.revision;
        self.live = Some(live);
        let bounds = OrdersInput::Bounds {
            loads_at_once: manifest.weight_store.loads_at_once,
            longest_order_ms: manifest.weight_store.longest_order_ms,
        };
        vec![bounds, OrdersInput::DesiredStates(desired)]
    }
}

/// Desired state of the targets that `own` leads.
fn desired_states(
    own: &Name,
    manifest: &Manifest,
    live: &[Member],
) -> BTreeMap<Name, DesiredState> {
    let processes = live.iter().filter(|it| it.state == MemberState::Live).map(|it| &it.name);
    let ring = Ring::new(processes);
    let mut desired = BTreeMap::new();
    for (name, target) in &manifest.targets {
        let Some(weights) = &target.weights else { continue };
        if ring.leader(name).is_some_and(|it| it == own) {
            let checks_fencing = target.checks_fencing;
            let weights = weights.clone();
            desired.insert(Arc::clone(name), DesiredState { weights, checks_fencing });
        }
    }
    desired
}

fn execute(env: &Rc<OrdersEnv>, action: OrdersAction) {
    match action {
        OrdersAction::Store { call, op } => {
            let handle = env.handle.clone();
            env.store.spawn_call(op, move |answer| {
                handle.input(OrdersInput::Stored { call, answer });
            });
        }
        OrdersAction::Send { target, fence, order } => {
            let env = Rc::clone(env);
            compio::runtime::spawn(async move {
                let end = send_order(&env, &target, fence, &order).await;
                log::info!("orders: {order:?} to {target} under {fence}: {end:?}");
                env.handle.input(OrdersInput::Ended { target, fence, end });
            })
            .detach();
        }
    }
}

async fn send_order(env: &OrdersEnv, target: &Name, fence: u64, order: &Order) -> OrderEnd {
    let manifest = env.manifest.current();
    let Some(declared) = manifest.targets.get(target) else { return OrderEnd::NotDone };
    let call = order_call(fence, order);
    let limit = Duration::from_millis(manifest.weight_store.longest_order_ms);
    let exchange = async {
        let response = match env.targets.send(declared.address, &call).await {
            Ok(response) => response,
            Err(SendError::NotSent(_)) => return OrderEnd::NotDone,
            Err(SendError::MayHaveRun(_)) => return OrderEnd::Unknown,
        };
        let status = response.status();
        match read_whole(response.into_body(), MAX_ANSWER_BYTES).await {
            Ok(_) => order_end(status),
            Err(_) => OrderEnd::Unknown,
        }
    };
    within(limit, exchange).await.unwrap_or(OrderEnd::Unknown)
}

fn order_call(fence: u64, order: &Order) -> Call {
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

fn order_end(status: StatusCode) -> OrderEnd {
    match status {
        StatusCode::CONFLICT => OrderEnd::Fenced,
        it if it.is_success() => OrderEnd::Done,
        it if it.is_client_error() => OrderEnd::NotDone,
        StatusCode::SERVICE_UNAVAILABLE => OrderEnd::NotDone,
        _ => OrderEnd::Unknown,
    }
}
