//! Orders to an engine: weights that it loads and drops, with or without a check of the fencing number.
//!
//! `POST /v1/orders` takes `{"fence": 3, "action": "load", "weight": "menus"}`; an engine that checks answers 409 to a
//! number below the highest it has seen. `GET /v1/orders` shows what it holds and every order that took effect.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::Duration,
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use samphiredoor_net::{Body, body::read_whole};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::json;

const MAX_BODY_BYTES: usize = 64 * 1024;

/// One order as it arrives.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Fencing number.
    pub fence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// Weight.
    pub weight: String,
}

#[derive(Default)]
struct State {
    held: BTreeSet<String>,
    effects: Vec<Order>,
    loading: usize,
    most_loading: usize,
}

/// Weights of one engine, as a handler.
#[derive(Clone)]
pub struct Weights {
    checks_fencing: bool,
    load_time: Duration,
    highest_fence: Rc<Cell<u64>>,
    state: Rc<RefCell<State>>,
}

impl Weights {
    /// Engine without weights; a load takes `load_time`.
    pub fn new(checks_fencing: bool, load_time: Duration) -> Weights {
        Weights { checks_fencing, load_time, highest_fence: Rc::default(), state: Rc::default() }
    }

    /// Answers one request to `/v1/orders`.
    pub async fn handle(self, request: Request<Incoming>) -> Response<Body> {
        if request.method() == Method::GET {
            let state = self.state.borrow();
            let value = json!({
                "held": state.held,
                "effects": state.effects,
                "most_loading": state.most_loading,
            });
            return json::answer(StatusCode::OK, &value);
        }
        let Ok(body) = read_whole(request.into_body(), MAX_BODY_BYTES).await else {
            return json::status(StatusCode::BAD_REQUEST, "BadRequest", "no body");
        };
        match serde_json::from_slice::<Order>(&body) {
            Ok(order) => self.carry_out(order).await,
            Err(err) => json::status(StatusCode::BAD_REQUEST, "BadRequest", &err.to_string()),
        }
    }

    async fn carry_out(&self, order: Order) -> Response<Body> {
        if self.checks_fencing && order.fence < self.highest_fence.get() {
            return json::status(StatusCode::CONFLICT, "Fenced", "a higher number was seen");
        }
        self.highest_fence.set(order.fence.max(self.highest_fence.get()));
        if order.action == "load" {
            self.load().await;
        }
        let state = &mut *self.state.borrow_mut();
        match order.action.as_str() {
            "load" => state.held.insert(order.weight.clone()),
            _ => state.held.remove(&order.weight),
        };
        state.effects.push(order);
        json::status(StatusCode::OK, "Done", "done")
    }

    async fn load(&self) {
        {
            let state = &mut *self.state.borrow_mut();
            state.loading += 1;
            state.most_loading = state.most_loading.max(state.loading);
        }
        compio::time::sleep(self.load_time).await;
        self.state.borrow_mut().loading -= 1;
    }
}
