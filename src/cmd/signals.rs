//! Signals to a node.

use std::io;
use std::time::Instant;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::obstacle::Wait;

/// Sent when a file would grow beyond the limit of the process; the write that it is sent for fails as well.
const FILE_SIZE_EXCEEDED: i32 = 25;

/// The signals that a node takes. None of them ends the process once this exists.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    ignored: [Signal; 3],
    wait: Wait,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Request {
    /// To drain and end.
    Stop,
    /// To read the settings again.
    Reload,
}

impl Signals {
    /// Takes the signals from now on.
    ///
    /// # Errors
    /// When a handler cannot be set.
    pub(super) fn take() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            ignored: [
                signal(SignalKind::user_defined1())?,
                signal(SignalKind::user_defined2())?,
                signal(SignalKind::from_raw(FILE_SIZE_EXCEEDED))?,
            ],
            wait: Wait::begin(Instant::now()),
        })
    }

    /// Waits for the next request.
    pub(super) async fn next(&mut self) -> Request {
        let [user1, user2, file_size] = &mut self.ignored;
        loop {
            let ignored = tokio::select! {
                _ = self.terminate.recv() => return Request::Stop,
                _ = self.interrupt.recv() => return Request::Stop,
                _ = self.hangup.recv() => return Request::Reload,
                _ = user1.recv() => "SIGUSR1",
                _ = user2.recv() => "SIGUSR2",
                _ = file_size.recv() => "SIGXFSZ",
            };
            if self.wait.is_due(Instant::now()) {
                tracing::warn!(event = "signal_ignored", signal = ignored);
            }
        }
    }

    /// Waits until the node is to stop; nothing is to be read again yet.
    pub(super) async fn stop(&mut self) {
        while self.next().await != Request::Stop {}
    }
}
