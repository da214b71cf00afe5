//! `emberturn node`: runs a node.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bpaf::{OptionParser, Parser, construct, long, positional};
use eyre::{Result, WrapErr};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::exit;
use super::operator::exit_with;
use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry::logs;

/// Time between two looks at whether the settings file has changed.
const CHANGE_LOOK: Duration = Duration::from_secs(2);

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Threads that serve.
    pub threads: usize,
    /// The settings file.
    pub settings: PathBuf,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("node").help("Run a node")
}

fn options() -> OptionParser<Arguments> {
    let threads = long("threads")
        .help("Threads that serve")
        .argument("N")
        .fallback(1)
        .display_fallback()
        .guard(|threads| *threads > 0, "at least one thread serves");
    let settings = positional("SETTINGS").help("Settings file, in INI");
    construct!(Arguments { threads, settings }).to_options().descr("Run a node until SIGTERM")
}

/// Runs a node until SIGTERM or SIGINT, then drains.
///
/// # Errors
/// When the node cannot start.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let settings = match Settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return exit_with(exit::INVALID);
        }
    };
    let _logs = logs::start(&settings.log.level)?;
    tokio::spawn(logs::tell_dropped());
    let roles: Vec<_> = settings.node.roles.iter().map(ToString::to_string).collect();
    tracing::info!(
        event = "started", version = env!("CARGO_PKG_VERSION"), roles = roles.join("+"),
        box_id = %settings.node.box_id, data_centre = %settings.node.data_centre,
    );
    // Watched before the node can be seen to run: until then a hangup would end the process.
    let hangup = signal(SignalKind::hangup()).wrap_err("watch SIGHUP")?;
    let node = Node::start(settings).await?;
    tokio::spawn(stop_on_signal(node.clone()));
    tokio::spawn(reload_on_change(node.clone(), arguments.settings, hangup));
    node.serve().await?;
    tracing::info!(event = "stopped");
    exit_with(exit::DONE)
}

async fn stop_on_signal(node: Arc<Node>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("watch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("watch SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop.notify_one();
    Ok(())
}

/// Reads the settings again on SIGHUP, and when the file has changed without one.
async fn reload_on_change(node: Arc<Node>, path: PathBuf, mut hangup: Signal) {
    let mut held = stamp(&path);
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = tokio::time::sleep(CHANGE_LOOK) => {
                if stamp(&path) == held {
                    continue;
                }
            }
        }
        held = stamp(&path);
        match Settings::load(&path) {
            Ok(settings) => node.reload(&settings),
            Err(error) => {
                tracing::error!(event = "settings_refused", faults = error.faults.join("; "));
            }
        }
    }
}

/// What changes with a file: its time and length.
fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
