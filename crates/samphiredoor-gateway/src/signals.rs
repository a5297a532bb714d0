//! Signals of the operating system that a process waits for.

use std::pin::pin;

use futures_util::future::{Either, select};

/// Reload of the settings.
pub const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;

/// Waits for one signal; waits forever if the signal handler cannot be installed.
pub async fn wait_for(signal: i32) {
    if let Err(err) = compio::signal::unix::signal(signal).await {
        log::error!(signal, problem:% = err; "gateway: cannot wait for signal");
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
