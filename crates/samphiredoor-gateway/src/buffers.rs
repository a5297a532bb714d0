//! Memory of what a gateway holds for its callers, shared by all requests.
//!
//! Data that is counted carries its account along, and releases its bytes when it is dropped, wherever that is.

use std::{
    cell::Cell,
    collections::HashMap,
    future::poll_fn,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body as HttpBody;
use samphiredoor_core::overload::buffer_budget::{
    Abort, BufferBudget, BufferUse, Holder, HolderId, Verdict,
};
use samphiredoor_net::{
    BoxError,
    clock::Clock,
    pool::{within, within_or_ready},
    read_ahead::ReadAheadLimit,
};

use crate::segments::Segments;

/// Limit of the kernel's buffers of each connection to a target while streams are read ahead: the kernel counts them as memory
/// of the process, and by default holds up to some megabytes for each. Enough for 2 MB/s over a round trip of 24 ms between
/// regions.
pub const SOCKET_BUFFER_BYTES: usize = 48 * 1024;
/// Size of the pieces for which a stream asks; the connections to targets read no more at once.
const PIECE_BYTES: u64 = 4_096;
/// Waiting holders are woken when this part of the limit has been released: waking all of them for each piece that a slow
/// caller takes would use up a small gateway's processor.
const WAKE_DIVISOR: u64 = 32;
/// Longest time for which a whole answer waits in all for memory beyond the length that it has announced. Sound answers that
/// are read meanwhile release theirs in this time; one that never ends must not keep its memory until its deadline.
const UNANNOUNCED_WAIT: Duration = Duration::from_millis(250);
/// Longest wait of a request body or whole answer before it asks again.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Budget for buffered data. Clones share it.
#[derive(Clone)]
pub struct Buffers {
    state: Arc<Mutex<State>>,
    clock: Clock,
}

/// Tasks that wait for memory, or for the abort of their stream. They are woken and dropped while the state is not locked:
/// the drop of a task may drop its account.
type Wakers = HashMap<HolderId, Waker>;

struct State {
    budget: BufferBudget,
    waiting: Wakers,
    /// Tasks whose request bodies arrive. They are woken only if their own body is aborted.
    arriving: Wakers,
    /// Bytes released since the last wake-up.
    released_bytes: u64,
}

/// Why a body was not read whole.
#[derive(Debug)]
pub enum UnreadReason {
    /// It has more bytes than allowed.
    TooLarge,
    /// The connection failed or was closed before its end.
    Cut(BoxError),
    /// There is no memory for it: it is an answer that has announced no length, or a request body that can never fit or
    /// was aborted for another one.
    NoMemory,
}

impl UnreadReason {
    /// Label in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            UnreadReason::TooLarge => "too_large",
            UnreadReason::Cut(_) => "connection_failed",
            UnreadReason::NoMemory => "no_memory",
        }
    }
}

/// Account of one holder; closed when dropped.
struct Account {
    buffers: Buffers,
    id: HolderId,
}

/// Data that releases its bytes when dropped.
struct CountedData {
    data: Bytes,
    account: Arc<Account>,
}

/// Limit of one stream that is read ahead.
pub struct StreamLimit {
    buffers: Buffers,
    request: String,
    is_repeatable: bool,
    /// `None` until data was held, which it never is for a caller who keeps up.
    account: Option<Arc<Account>>,
}

/// Memory that is held until it is dropped.
pub struct HeldMemory {
    _account: Account,
}

/// Output of a batch item that is counted until it is stored; releases its bytes when dropped.
pub struct HeldOutput {
    account: Account,
    bytes: u64,
}

impl Buffers {
    /// Budget of `limit_bytes`.
    pub fn new(limit_bytes: u64, clock: Clock) -> Buffers {
        let budget = BufferBudget::new(limit_bytes);
        let state =
            State { budget, waiting: Wakers::new(), arriving: Wakers::new(), released_bytes: 0 };
        Buffers { state: Arc::new(Mutex::new(state)), clock }
    }

    /// Current use of the budget.
    pub fn usage(&self) -> BufferUse {
        self.state().budget.usage()
    }

    /// Whether items may start that hold nothing yet.
    pub fn may_start_items(&self) -> bool {
        self.state().budget.may_start_items()
    }

    /// Holds memory, if there is enough at the moment.
    pub fn try_hold(&self, holder: Holder, bytes: usize) -> Option<HeldMemory> {
        let account = self.open(holder);
        account.try_hold(bytes).then_some(HeldMemory { _account: account })
    }

    /// Holds memory whether there is enough or not.
    pub fn hold(&self, holder: Holder, bytes: usize) -> HeldMemory {
        let account = self.open(holder);
        account.hold(bytes as u64);
        HeldMemory { _account: account }
    }

    /// Makes an answer of about `bytes` to a reader of a job, and counts it until it is dropped; `None` if there is no memory
    /// for it at the moment.
    pub fn count_answer(&self, bytes: usize, make: impl FnOnce() -> Bytes) -> Option<Bytes> {
        let account = Arc::new(self.open(Holder::JobAnswer));
        account.try_hold(bytes).then(|| account.attach(make()))
    }

    /// Account of output that is not stored yet.
    pub fn item_output(&self) -> HeldOutput {
        HeldOutput { account: self.open(Holder::ItemOutput), bytes: 0 }
    }

    /// Limit of the stream that answers a request.
    pub fn stream_limit(&self, request: &str, is_repeatable: bool) -> StreamLimit {
        let (buffers, request) = (self.clone(), request.to_owned());
        StreamLimit { buffers, request, is_repeatable, account: None }
    }

    /// Reads a complete body of at most `max_bytes`, and waits while there is no memory for it. A body whose length is
    /// known waits before its first byte: if many were read in parts, none might get the memory for its rest. `is_waiting`
    /// tells whether it waits for memory. The body is counted until it is dropped.
    ///
    /// # Errors
    ///
    /// See [`UnreadReason`].
    pub async fn read_whole<B>(
        &self,
        holder: Holder,
        body: B,
        max_bytes: usize,
        is_waiting: &Cell<bool>,
    ) -> Result<Bytes, UnreadReason>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: Into<BoxError>,
    {
        let (read, account) = self.read(holder, body, max_bytes, is_waiting).await?;
        Ok(account.attach(read))
    }

    async fn read<B>(
        &self,
        holder: Holder,
        body: B,
        max_bytes: usize,
        is_waiting: &Cell<bool>,
    ) -> Result<(Bytes, Arc<Account>), UnreadReason>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: Into<BoxError>,
    {
        let expected = body.size_hint().lower();
        if expected > max_bytes as u64 {
            return Err(UnreadReason::TooLarge);
        }
        let account = Arc::new(self.open(holder));
        let reading = account.read(holder, body, expected, max_bytes, is_waiting);
        let read = match holder {
            Holder::RequestBody if !self.state().budget.fits_alone(expected) => {
                return Err(UnreadReason::NoMemory);
            }
            Holder::RequestBody => account.unless_aborted(reading).await?,
            _ => reading.await?,
        };
        account.complete();
        Ok((read, account))
    }

    fn open(&self, holder: Holder) -> Account {
        let id = self.state().budget.open(self.now_ms(), holder);
        Account { buffers: self.clone(), id }
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().mono_ms
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl State {
    /// Tasks to wake after a release: all that wait, once enough memory was released for it to make a difference.
    fn released(&mut self, bytes: u64) -> Wakers {
        self.released_bytes += bytes;
        let enough = self.budget.limit_bytes() / WAKE_DIVISOR;
        let is_enough = self.released_bytes >= enough || self.budget.usage().held_bytes == 0;
        if is_enough { self.take_waiting() } else { Wakers::new() }
    }

    /// Tasks whose request bodies were aborted.
    fn take_aborted(&mut self) -> Wakers {
        let State { budget, arriving, .. } = self;
        arriving.extract_if(|id, _| budget.aborted(*id).is_some()).collect()
    }

    fn take_waiting(&mut self) -> Wakers {
        self.released_bytes = 0;
        std::mem::take(&mut self.waiting)
    }
}

fn wake_all(wakers: Wakers) {
    wakers.into_values().for_each(Waker::wake);
}

impl Account {
    fn ask(&self, bytes: u64, cx: &mut Context<'_>) -> Verdict {
        let mut state = self.buffers.state();
        let before = state.budget.usage();
        let verdict = state.budget.may_hold(self.buffers.now_ms(), self.id, bytes);
        let usage = state.budget.usage();
        let woken =
            if usage.aborted > before.aborted { state.take_waiting() } else { Wakers::new() };
        let aborted = if usage.aborted_bodies > before.aborted_bodies {
            state.take_aborted()
        } else {
            Wakers::new()
        };
        drop(state);
        wake_all(woken);
        wake_all(aborted);
        if verdict != Verdict::Allowed {
            self.wait(cx);
        }
        verdict
    }

    fn wait(&self, cx: &mut Context<'_>) {
        let mut state = self.buffers.state();
        let replaced = match state.waiting.get(&self.id) {
            Some(waker) if waker.will_wake(cx.waker()) => None,
            _ => state.waiting.insert(self.id, cx.waker().clone()),
        };
        drop(state);
        drop(replaced);
    }

    fn try_hold(&self, bytes: usize) -> bool {
        let (bytes, now_ms) = (bytes as u64, self.buffers.now_ms());
        let mut state = self.buffers.state();
        let is_allowed = state.budget.may_hold(now_ms, self.id, bytes) == Verdict::Allowed;
        if is_allowed {
            state.budget.hold(now_ms, self.id, bytes);
        }
        is_allowed
    }

    fn hold(&self, bytes: u64) {
        self.buffers.state().budget.hold(self.buffers.now_ms(), self.id, bytes);
    }

    /// Reads a body, and holds its bytes as they arrive.
    async fn read<B>(
        &self,
        holder: Holder,
        body: B,
        expected: u64,
        max_bytes: usize,
        is_waiting: &Cell<bool>,
    ) -> Result<Bytes, UnreadReason>
    where
        B: HttpBody<Data = Bytes> + Unpin,
        B::Error: Into<BoxError>,
    {
        let mut body = http_body_util::Limited::new(body, max_bytes);
        self.reserve(expected, is_waiting).await;
        let (mut held, mut read) = (expected, Segments::new(expected as usize));
        let mut wait_left = UNANNOUNCED_WAIT;
        while let Some(frame) = body.frame().await {
            let frame =
                frame.map_err(|err| match err.is::<http_body_util::LengthLimitError>() {
                    true => UnreadReason::TooLarge,
                    false => UnreadReason::Cut(err),
                })?;
            let Ok(piece) = frame.into_data() else { continue };
            let missing = ((read.len_bytes() + piece.len()) as u64).saturating_sub(held);
            if missing > 0 {
                let (reserving, begun) = (self.reserve(missing, is_waiting), Instant::now());
                match holder {
                    Holder::WholeAnswer => {
                        let reserved = within_or_ready(wait_left, reserving).await;
                        reserved.ok_or(UnreadReason::NoMemory)?;
                    }
                    _ => reserving.await,
                }
                wait_left = wait_left.saturating_sub(begun.elapsed());
                held += missing;
            }
            read.push(piece);
        }
        Ok(read.into_bytes())
    }

    /// Reads a request body until it is aborted for another one.
    async fn unless_aborted(
        &self,
        reading: impl Future<Output = Result<Bytes, UnreadReason>>,
    ) -> Result<Bytes, UnreadReason> {
        let mut reading = pin!(reading);
        poll_fn(|cx| {
            if let Poll::Ready(read) = reading.as_mut().poll(cx) {
                return Poll::Ready(read);
            }
            let mut state = self.buffers.state();
            let abort = state.budget.aborted(self.id);
            let replaced = match state.arriving.get(&self.id) {
                Some(waker) if waker.will_wake(cx.waker()) => None,
                _ => state.arriving.insert(self.id, cx.waker().clone()),
            };
            drop(state);
            drop(replaced);
            let Some(abort) = abort else { return Poll::Pending };
            log_aborted_body(&abort);
            Poll::Ready(Err(UnreadReason::NoMemory))
        })
        .await
    }

    /// Notes that a request body has arrived whole.
    fn complete(&self) {
        let mut state = self.buffers.state();
        state.budget.complete(self.id);
        let own = state.arriving.remove(&self.id);
        drop(state);
        drop(own);
    }

    /// Waits until there is memory for `bytes`, and holds them.
    async fn reserve(&self, bytes: u64, is_waiting: &Cell<bool>) {
        if bytes == 0 {
            return;
        }
        is_waiting.set(true);
        let allowed = || {
            poll_fn(|cx| match self.ask(bytes, cx) {
                Verdict::Allowed => Poll::Ready(()),
                Verdict::Wait | Verdict::Aborted(_) => Poll::Pending,
            })
        };
        while within(ASK_AGAIN, allowed()).await.is_none() {}
        is_waiting.set(false);
        self.hold(bytes);
    }

    /// Makes `data` release its bytes when it is dropped.
    fn attach(self: Arc<Account>, data: Bytes) -> Bytes {
        match data.is_empty() {
            true => data,
            false => Bytes::from_owner(CountedData { data, account: self }),
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.buffers.state();
        let before = state.budget.usage().held_bytes;
        state.budget.close(self.id);
        let own = (state.waiting.remove(&self.id), state.arriving.remove(&self.id));
        let released = before - state.budget.usage().held_bytes;
        let woken = state.released(released);
        drop(state);
        drop(own);
        wake_all(woken);
    }
}

impl HeldOutput {
    /// Counts output that has grown to a length. It never waits: a running item holds a slot, and an abort would lose work.
    pub fn grow_to(&mut self, bytes: usize) {
        let grown = (bytes as u64).saturating_sub(self.bytes);
        if grown > 0 {
            self.account.hold(grown);
            self.bytes += grown;
        }
    }
}

impl AsRef<[u8]> for CountedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for CountedData {
    fn drop(&mut self) {
        let (buffers, bytes) = (&self.account.buffers, self.data.len() as u64);
        let mut state = buffers.state();
        state.budget.release(buffers.now_ms(), self.account.id, bytes);
        let woken = state.released(bytes);
        drop(state);
        wake_all(woken);
    }
}

impl StreamLimit {
    fn account(&mut self) -> &Arc<Account> {
        let (buffers, is_repeatable) = (&self.buffers, self.is_repeatable);
        let open = || Arc::new(buffers.open(Holder::Stream { is_repeatable }));
        self.account.get_or_insert_with(open)
    }

    fn log_abort(&self, abort: &Abort) {
        log::warn!(
            request = self.request, held_bytes = abort.held_bytes, stalled_ms = abort.stalled_ms,
            total_bytes = abort.total_bytes, limit_bytes = abort.limit_bytes,
            wanted_bytes = abort.wanted_bytes, wanted_by = abort.wanted_by.label(),
            repeatable = self.is_repeatable;
            "front: stream aborted for memory"
        );
    }
}

fn log_aborted_body(abort: &Abort) {
    log::info!(
        held_bytes = abort.held_bytes, arriving_ms = abort.stalled_ms, total_bytes = abort.total_bytes,
        limit_bytes = abort.limit_bytes, wanted_bytes = abort.wanted_bytes;
        "front: request body aborted for another one"
    );
}

impl ReadAheadLimit for StreamLimit {
    fn poll_abort(&mut self, cx: &mut Context<'_>) -> Poll<BoxError> {
        let Some(account) = &self.account else { return Poll::Pending };
        let abort = account.buffers.state().budget.aborted(account.id);
        let Some(abort) = abort else {
            account.wait(cx);
            return Poll::Pending;
        };
        self.log_abort(&abort);
        Poll::Ready("the stream was aborted for memory".into())
    }

    fn poll_allowed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        match self.account().ask(PIECE_BYTES, cx) {
            Verdict::Allowed => Poll::Ready(()),
            Verdict::Wait | Verdict::Aborted(_) => Poll::Pending,
        }
    }

    fn hold(&mut self, bytes: usize) {
        self.account().hold(bytes as u64);
    }

    fn release_when_dropped(&mut self, data: Bytes) -> Bytes {
        Arc::clone(self.account()).attach(data)
    }
}
