//! A gateway on a host with little memory, and the watch over its memory.

use std::{
    collections::HashSet,
    net::SocketAddr,
    process::Command,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use samphiredoor_standin::{
    fleet::{Platform, metrics_address},
    platform_target::PlatformTarget,
};

/// The `samphiredoor` program.
pub const BINARY: &str = env!("CARGO_BIN_EXE_samphiredoor");
const TARGETS: usize = 3;
/// Pause of a target after each event of an answer.
const EVENT_PAUSE: Duration = Duration::from_millis(2);
const MB: u64 = 1_000_000;
/// Time between two looks at a process.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);
/// Tests that play at the same time; crowds of more would measure the machine.
const MAX_PLAYS: usize = 2;

/// Settings of a host, as deployments have them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostKind {
    /// 260 MB, without overload control.
    Usual,
    /// 120 MB, with overload control.
    Small,
}

impl HostKind {
    fn memory_bytes(self) -> u64 {
        match self {
            HostKind::Usual => 260 * MB,
            HostKind::Small => 120 * MB,
        }
    }

    fn settings(self) -> String {
        let control = match self {
            HostKind::Usual => "overload.control = \"auto\"",
            HostKind::Small => "overload.control = \"on\"\noverload.min_used_percent = 100",
        };
        format!("{control}\noverload.memory_limit_bytes = {}", self.memory_bytes())
    }
}

/// A gateway, its targets, and the watch over the gateway's memory.
pub struct Host {
    pub platform: Platform,
    pub targets: Vec<PlatformTarget>,
    watch: MemoryWatch,
    _turn: Turn,
}

impl Host {
    pub fn start(kind: HostKind) -> Host {
        Host::start_with(kind, Platform::new(BINARY))
    }

    /// Starts a gateway on a platform that has routes.
    pub fn start_with(kind: HostKind, mut platform: Platform) -> Host {
        let turn = Turn::wait();
        let metrics = metrics_address();
        platform.more_settings = format!("metrics.address = \"{metrics}\"\n{}", kind.settings());
        let targets: Vec<PlatformTarget> = (0..TARGETS)
            .map(|number| platform.start_target(&format!("t-{number}"), EVENT_PAUSE))
            .collect();
        platform.start_gateway();
        let ports = [platform.callers(0), platform.readiness(0), metrics].map(|it| it.port());
        let pid = platform.gateway(0).0.id();
        let watch = MemoryWatch::start(pid, ports, kind.memory_bytes());
        Host { platform, targets, watch, _turn: turn }
    }

    pub fn callers(&self) -> SocketAddr {
        self.platform.callers(0)
    }

    pub fn readiness(&self) -> SocketAddr {
        self.platform.readiness(0)
    }

    /// Ids of all requests that have run.
    pub fn ran(&self) -> HashSet<String> {
        self.targets.iter().flat_map(PlatformTarget::runs).map(|it| it.id).collect()
    }

    /// Most memory that was seen, unread bytes included.
    pub fn highest_bytes(&self) -> u64 {
        self.watch.highest_bytes()
    }

    /// Asserts that the gateway is running, and has used no more memory than its host has.
    pub fn assert_alive(&mut self) {
        self.watch.assert_within_limit();
        assert!(!self.platform.gateway(0).has_ended(), "the gateway has ended");
    }
}

/// Kills a process that uses more memory than allowed. Bytes that have arrived for it and are not read count.
pub struct MemoryWatch {
    highest_bytes: Arc<AtomicU64>,
    is_over_limit: Arc<AtomicBool>,
    is_done: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl MemoryWatch {
    /// Watches a process that listens at these ports.
    pub fn start(pid: u32, ports: [u16; 3], limit_bytes: u64) -> MemoryWatch {
        let highest_bytes = Arc::<AtomicU64>::default();
        let (is_over_limit, is_done) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let (highest, is_over, done) =
            (Arc::clone(&highest_bytes), Arc::clone(&is_over_limit), Arc::clone(&is_done));
        let thread = thread::spawn(move || {
            while !done.load(Ordering::Relaxed) {
                let Some(resident) = resident_bytes(pid) else { return };
                let used = resident + unread_bytes(&ports);
                highest.fetch_max(used, Ordering::Relaxed);
                if used > limit_bytes {
                    is_over.store(true, Ordering::Relaxed);
                    let _ = Command::new("kill").args(["-s", "KILL", &pid.to_string()]).status();
                    return;
                }
                thread::sleep(WATCH_INTERVAL);
            }
        });
        MemoryWatch { highest_bytes, is_over_limit, is_done, thread: Some(thread) }
    }
}

impl MemoryWatch {
    /// Most memory that was seen.
    pub fn highest_bytes(&self) -> u64 {
        self.highest_bytes.load(Ordering::Relaxed)
    }

    /// Asserts that the process has used no more memory than allowed.
    pub fn assert_within_limit(&self) {
        let highest = self.highest_bytes() / MB;
        let is_over = self.is_over_limit.load(Ordering::Relaxed);
        assert!(!is_over, "the process has used {highest} MB, its host has less");
    }
}

impl Drop for MemoryWatch {
    fn drop(&mut self) {
        self.is_done.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Resident memory of a process; `None` if it has ended.
fn resident_bytes(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    let kilobytes = line.trim().strip_suffix("kB")?.trim().parse::<u64>().ok()?;
    Some(kilobytes * 1_024)
}

/// Bytes that have arrived at connections to these ports and are not read.
fn unread_bytes(ports: &[u16]) -> u64 {
    const LISTENING: &str = "0A";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, port) = fields.get(1)?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let (_, queued) = fields.get(4)?.split_once(':')?;
        let is_counted = ports.contains(&port) && *fields.get(3)? != LISTENING;
        is_counted.then(|| u64::from_str_radix(queued, 16).ok())?
    });
    unread.sum()
}

/// Turn of a test among those that may play at once.
pub struct Turn;

static PLAYS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

impl Turn {
    pub fn wait() -> Turn {
        let (plays, changed) = &PLAYS;
        let mut playing = plays.lock().unwrap_or_else(|it| it.into_inner());
        while *playing >= MAX_PLAYS {
            playing = changed.wait(playing).unwrap_or_else(|it| it.into_inner());
        }
        *playing += 1;
        Turn
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let (plays, changed) = &PLAYS;
        *plays.lock().unwrap_or_else(|it| it.into_inner()) -= 1;
        changed.notify_one();
    }
}
