//! What may happen in the model, how often, and what gateways do by their rules.

/// How often each event may happen.
#[derive(Debug, Clone, Copy, Default, Hash)]
pub struct Bounds {
    /// Steps of time.
    pub ticks: u8,
    /// Ends of items at any owner.
    pub results: u8,
    /// Calls whose answers are lost.
    pub lost: u8,
    /// Calls that are refused.
    pub refused: u8,
    /// Periods in which others may take a process's jobs over.
    pub gaps: u8,
    /// Restarts of processes.
    pub restarts: u8,
    /// Handovers.
    pub handovers: u8,
    /// Cancellations.
    pub cancellations: u8,
    /// Takeovers that take effect late.
    pub late_takeovers: u8,
    /// Reads at processes that hold results in memory.
    pub reads: u8,
    /// Reads of the store by a gateway with a cache.
    pub store_reads: u8,
}

/// What the gateways do beside the decisions of the core.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Rules {
    /// Whether the header names all former owners, or the last one.
    pub names_all_formers: bool,
    /// Whether a closed task reads its log on.
    pub reads_on_after_close: bool,
    /// Whether an owner rewrites its header after a gap, so that no earlier takeover takes effect, or only reads it.
    pub rewrites_after_gap: bool,
    /// Whether an owner is in doubt after a gap until no earlier takeover can take effect any more.
    pub waits_for_late_takeovers: bool,
}

/// What becomes of the write of the header that marks a job as finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishWrite {
    /// It is answered.
    Answered,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// It never takes effect.
    Lost,
}

/// A step of the model; numbers are those of processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Time passes.
    Tick,
    /// An item ends.
    Produce(usize),
    /// The log's next call is sent; a read takes effect at once.
    Send(usize),
    /// A create takes effect.
    Apply(usize),
    /// The call is answered.
    Answer(usize),
    /// The call is not answered; a create may take effect later.
    LoseAnswer(usize),
    /// The call is refused.
    Refuse(usize),
    /// A create without an answer takes effect.
    ApplyLate(usize),
    /// Others may take the process's jobs over from now on.
    BeginGap(usize),
    /// Others may no longer do so.
    EndGap(usize),
    /// The process reads the header to find out whether it still owns the job.
    CheckHeader(usize),
    /// The process is killed and starts again.
    Restart(usize),
    /// The process takes the job over.
    TakeOver(usize),
    /// The process sends a takeover that is not answered.
    SendTakeover(usize),
    /// That takeover takes effect.
    ApplyTakeover,
    /// The process hands the job over.
    HandOver(usize),
    /// The caller cancels the job.
    Cancel,
    /// The process closes the job, as it is finished or cancelled.
    Close(usize, FinishWrite),
    /// The process reads on in the log.
    Reread(usize),
    /// A reader arrives at the process, with some number of results.
    Arrive(usize, usize),
    /// The process answers its reader, whose wait is over.
    Reply(usize),
    /// A reader arrives at the gateway that reads the store.
    ArriveAtStoreReader,
    /// That gateway reads the next segment.
    ReadSegment,
}
