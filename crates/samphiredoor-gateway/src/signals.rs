//! Signals of the operating system that a process waits for.

use std::pin::pin;

use futures_util::{
    FutureExt,
    future::{Either, select},
};

/// Reload of the settings.
pub const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Keeps a signal from ending the process from now on. [`wait_for`] installs a handler only while it waits, so that without
/// this a signal that arrives before or between two waits ends the process.
pub fn keep_from_ending(signal: i32) {
    let mut kept = Box::pin(wait_for(signal));
    if kept.as_mut().now_or_never().is_none() {
        // Dropping the future would uninstall the handler.
        std::mem::forget(kept);
    }
}

/// Waits for one signal; waits forever if the signal handler cannot be installed.
pub async fn wait_for(signal: i32) {
    if let Err(err) = compio::signal::unix::signal(signal).await {
        log::error!(signal, problem:% = err; "process: cannot wait for signal");
        std::future::pending::<()>().await;
    }
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop() {
    let terminate = pin!(wait_for(SIGTERM));
    let interrupt = pin!(compio::signal::ctrl_c());
    if let Either::Right((Err(err), _)) = select(terminate, interrupt).await {
        log::error!(problem:% = err; "process: cannot wait for SIGINT");
    }
}
