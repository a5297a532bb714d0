//! Queries to the other gateways through the store, for the time in which few of them are heard.
//!
//! The rule which groups of gateways may treat the others as gone is in [`samphiredoor_core::presence`]. Queries and answers are
//! fields of the gateways' own entries, so that each gateway gets them with its watch of these.

use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use samphiredoor_core::{
    Name,
    presence::{Finding, OtherGateway, evaluate, must_answer},
    store::{Kind, Labels, ObjectKey, StoreAnswer, StoreOp, Stored, Version},
};
use serde_json::{Value as Json, json};

use super::Roster;
use crate::{
    lists::list_all,
    metrics::Metrics,
    platform_api::{Freshness, ObjectStore},
};

/// Time that gateways have to answer a query. It covers the delay of a watch, that of the answer, and a slow store.
const ANSWER_TIME: Duration = Duration::from_millis(3_000);
/// Longest wait before an answer. It is random, so that one gateway answers for all that it hears.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(600);
/// Attempts to write a query or an answer; another writer of the entry, or a lost answer, fails one.
const WRITE_ATTEMPTS: u32 = 3;
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a query that found this process cut off. It doubles with each further one, up to the maximum.
const FIRST_PAUSE: Duration = Duration::from_millis(2_000);
const MAX_PAUSE: Duration = Duration::from_secs(30);

/// Field of an entry with the last query or answer.
const FIELD: &str = "presence";
/// Field of these with their number in this entry. A write that changes nothing has no version and no event in the store.
const NUMBER: &str = "number";

/// Query or answer in the entry of a gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Presence {
    /// Whether it is a query, which others answer.
    pub is_query: bool,
    /// Number of gateways that the writer hears, itself among them.
    pub group_size: usize,
}

impl Presence {
    /// The last query or answer in an entry, if there is one.
    pub fn in_entry(value: &[u8]) -> Option<Presence> {
        let entry: Json = serde_json::from_slice(value).ok()?;
        let field = entry.get(FIELD)?;
        let group_size = field.get("group_size")?.as_u64()? as usize;
        Some(Presence { is_query: field.get("is_query")?.as_bool()?, group_size })
    }

    /// An entry with this in place of the last query or answer; `None` if the entry is invalid.
    pub fn set_in(self, value: &[u8]) -> Option<Vec<u8>> {
        let mut entry: Json = serde_json::from_slice(value).ok()?;
        let last = entry.get(FIELD).and_then(|it| it.get(NUMBER)).and_then(Json::as_u64);
        let number = last.unwrap_or(0).wrapping_add(1);
        let field =
            json!({ "is_query": self.is_query, "group_size": self.group_size, NUMBER: number });
        entry.as_object_mut()?.insert(FIELD.to_owned(), field);
        Some(entry.to_string().into_bytes())
    }
}

/// Writes a query or an answer into this process's entry, and returns the version of that write; `None` if it failed.
async fn write(store: &dyn ObjectStore, roster: &Roster, is_query: bool) -> Option<Version> {
    let key = ObjectKey::new(Kind::Door, Name::clone(&roster.local().name));
    for _ in 0..WRITE_ATTEMPTS {
        let StoreAnswer::Object(found) = store.call(StoreOp::Get { key: key.clone() }).await else {
            compio::time::sleep(WRITE_RETRY_PAUSE).await;
            continue;
        };
        let presence = Presence { is_query, group_size: roster.group_size() };
        let value = presence.set_in(&found.value)?.into();
        let (key, version) = (key.clone(), found.version);
        let update = StoreOp::Update { key, version, labels: Labels::new(), value };
        if let StoreAnswer::Object(written) = store.call(update).await {
            return Some(written.version);
        }
        compio::time::sleep(WRITE_RETRY_PAUSE).await;
    }
    None
}

/// Answers the query of another gateway unless one that this process hears has answered it meanwhile.
pub async fn answer(store: Rc<dyn ObjectStore>, roster: Roster, asking: Name, query: Presence) {
    compio::time::sleep(MAX_ANSWER_DELAY.mul_f64(rand::random())).await;
    let asking_gateway =
        OtherGateway { is_heard: roster.is_heard(&asking), group_size: Some(query.group_size) };
    if !must_answer(roster.group_size(), asking_gateway)
        || roster.has_answered_since(&asking, query.group_size)
    {
        return;
    }
    let answered = write(&*store, &roster, false).await.is_some();
    log::info!(
        peer = &*asking, group = query.group_size, own_group = roster.group_size(), answered;
        "peers: query of a gateway that hears few others"
    );
}

/// Asks the other gateways while fewer than half of the expected ones are heard.
pub struct PresenceCheck {
    roster: Roster,
    store: Rc<dyn ObjectStore>,
    metrics: Rc<Metrics>,
    next_at: Option<Instant>,
    pause: Duration,
}

impl PresenceCheck {
    /// Check that has not asked yet.
    pub fn new(roster: Roster, store: Rc<dyn ObjectStore>, metrics: Rc<Metrics>) -> PresenceCheck {
        PresenceCheck { roster, store, metrics, next_at: None, pause: FIRST_PAUSE }
    }

    /// Finds out which of the gateways that are not heard are gone, if fewer than half of the expected ones are heard, and
    /// marks these in the roster. Takes some seconds then.
    pub async fn run(&mut self) {
        if self.roster.at_least_half_live() {
            (self.next_at, self.pause) = (None, FIRST_PAUSE);
            return;
        }
        let is_early = self.next_at.is_some_and(|it| Instant::now() < it);
        if is_early || !self.roster.has_heard_live_gateways() {
            return;
        }
        let Some((finding, written)) = self.ask().await else {
            self.metrics.presence_check("failed");
            return;
        };
        self.metrics.presence_check(finding.label());
        let group = self.roster.group_size();
        log::info!(finding = finding.label(), group; "peers: asked which gateways are live");
        match finding {
            Finding::OthersGone => self.roster.mark_gone(|it| !written.contains_key(it)),
            Finding::CutOff => {
                self.next_at = Some(Instant::now() + self.pause);
                self.pause = (self.pause * 2).min(MAX_PAUSE);
            }
        }
    }

    /// Sends a query and evaluates the answers; also returns the gateways that have written their entries meanwhile. `None` if
    /// the store did not take the query, or did not answer.
    async fn ask(&self) -> Option<(Finding, HashMap<Name, Option<Presence>>)> {
        let asked = write(&*self.store, &self.roster, true).await?;
        compio::time::sleep(ANSWER_TIME).await;
        let list = list_all(&*self.store, Kind::Door, Freshness::Current).await?;
        let own = &self.roster.local().name;
        let is_answer = |it: &&Stored| it.version > asked && it.name != *own;
        let written: HashMap<Name, Option<Presence>> = list
            .objects
            .iter()
            .filter(is_answer)
            .map(|it| (Name::clone(&it.name), Presence::in_entry(&it.value)))
            .collect();
        let others = written.iter().map(|(name, presence)| OtherGateway {
            is_heard: self.roster.is_heard(name),
            group_size: presence.map(|it| it.group_size),
        });
        Some((evaluate(self.roster.group_size(), others), written))
    }
}
