use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT, both of which request a graceful shutdown.
pub async fn wait_for_signal() {
    let (Ok(mut term), Ok(mut int)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        // A signal without a handler keeps its default action, which ends the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}
