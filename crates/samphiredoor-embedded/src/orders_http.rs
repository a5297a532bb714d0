//! Orders to an engine to load or unload weights, with or without a check of fencing tokens.
//!
//! `POST /v1/orders` takes `{"fence": 3, "action": "load", "weight": "menus"}`. An engine that checks fencing answers
//! 409 if the token is lower than the highest one received so far. `GET /v1/orders` returns the loaded weights and all
//! orders that took effect.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use samphiredoor_net::Body;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::json;

const MAX_BODY_BYTES: usize = 64 * 1024;

/// Body of an order.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the sender.
    pub fence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// Name of the weight.
    pub weight: String,
}

#[derive(Default)]
struct State {
    loaded: BTreeSet<String>,
    effects: Vec<Order>,
    loading: usize,
    max_loading: usize,
}

/// HTTP handler for the weights of one engine; clones share its state.
#[derive(Clone)]
pub struct Weights {
    checks_fencing: bool,
    load_time: Duration,
    highest_fence: Rc<Cell<u64>>,
    state: Rc<RefCell<State>>,
}

impl Weights {
    /// Engine without loaded weights; a load takes `load_time`.
    pub fn new(checks_fencing: bool, load_time: Duration) -> Weights {
        Weights { checks_fencing, load_time, highest_fence: Rc::default(), state: Rc::default() }
    }

    /// Handles one request to `/v1/orders`.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET {
            let state = self.state.borrow();
            let value = json!({
                "held": state.loaded,
                "effects": state.effects,
                "most_loading": state.max_loading,
            });
            return json::answer(StatusCode::OK, &value);
        }
        let body = json::read_body(request.into_body(), MAX_BODY_BYTES).await;
        match body.and_then(|it| json::parse(&it)) {
            Ok(order) => self.execute(order).await,
            Err(response) => response,
        }
    }

    async fn execute(&self, order: Order) -> Response<Body> {
        if self.checks_fencing && order.fence < self.highest_fence.get() {
            return json::status(
                StatusCode::CONFLICT,
                "Fenced",
                "a higher fencing token was received",
            );
        }
        self.highest_fence.set(order.fence.max(self.highest_fence.get()));
        if order.action == "load" {
            self.run_load().await;
        }
        let state = &mut *self.state.borrow_mut();
        match order.action.as_str() {
            "load" => state.loaded.insert(order.weight.clone()),
            _ => state.loaded.remove(&order.weight),
        };
        state.effects.push(order);
        json::status(StatusCode::OK, "Done", "done")
    }

    async fn run_load(&self) {
        {
            let state = &mut *self.state.borrow_mut();
            state.loading += 1;
            state.max_loading = state.max_loading.max(state.loading);
        }
        compio::time::sleep(self.load_time).await;
        self.state.borrow_mut().loading -= 1;
    }
}
