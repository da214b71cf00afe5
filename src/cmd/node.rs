//! `emberturn node`: runs a node.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bpaf::{OptionParser, Parser, construct, long, positional};
use eyre::{Result, WrapErr};

use super::exit;
use super::operator::exit_with;
use super::signals::{Request, Signals};
use crate::node::Node;
use crate::obstacle::{Obstacle, Remedy, Wait};
use crate::settings::{Settings, SettingsError};
use crate::telemetry::logs;

/// Time between two looks at whether the settings file has changed.
const CHANGE_LOOK: Duration = Duration::from_secs(2);

/// Pause between two attempts to read the settings of a node that starts.
const SETTINGS_PAUSE: Duration = Duration::from_millis(100);

/// How long a file has to stay as it is before its faults count: until then somebody may still write it.
const SETTLE_TIME: Duration = Duration::from_secs(3);

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
/// When the node cannot start or has failed.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let mut signals = Signals::take().wrap_err("take signals")?;
    let loaded = tokio::select! {
        loaded = load_at_start(&arguments.settings) => loaded,
        () = signals.stop() => return exit_with(exit::DONE),
    };
    let settings = match loaded {
        Ok(settings) => settings,
        Err(error) => {
            say(&error.to_string());
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
    if let Err(error) = run(settings, signals, arguments.settings).await {
        tracing::error!(event = "node_failed", error = format!("{error:#}"));
        return Err(error);
    }
    tracing::info!(event = "stopped");
    exit_with(exit::DONE)
}

/// Writes a line to standard error before there is a log. Nobody may read it, or its disk may be full.
fn say(text: &str) {
    let _ = writeln!(std::io::stderr(), "{text}");
}

async fn run(settings: Settings, mut signals: Signals, path: PathBuf) -> Result<()> {
    let node = tokio::select! {
        node = Node::start(settings) => node?,
        () = signals.stop() => return Ok(()),
    };
    tokio::spawn(follow_requests(node.clone(), signals, path));
    node.serve().await
}

/// Reads the settings. A file that lacks its end, or that has faults while it still changes, is read again.
async fn load_at_start(path: &Path) -> Result<Settings, SettingsError> {
    let mut wait = Wait::begin(Instant::now());
    let (mut seen, mut seen_at) = (stamp(path), Instant::now());
    loop {
        let error = match load(path).await {
            Ok(settings) => return Ok(settings),
            Err(error) => error,
        };
        let now = stamp(path);
        if now != seen {
            (seen, seen_at) = (now, Instant::now());
        }
        let is_settled = is_old(now) || seen_at.elapsed() >= SETTLE_TIME;
        if error.obstacle().remedy() == Remedy::End && is_settled {
            return Err(error);
        }
        if wait.is_due(Instant::now()) {
            say(&format!("emberturn: waiting for the settings ({}): {error}", error.obstacle()));
        }
        tokio::time::sleep(SETTINGS_PAUSE).await;
    }
}

/// Reads the settings, beside the task that takes signals.
async fn load(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.to_owned();
    let loading = tokio::task::spawn_blocking(move || Settings::load(&file)).await;
    loading.unwrap_or_else(|error| Err(SettingsError::invalid(vec![error.to_string()])))
}

/// Whether a file was written long ago. One whose time lies ahead was not, as far as can be said.
fn is_old(stamp: Option<(SystemTime, u64)>) -> bool {
    let age = stamp.and_then(|(changed, _)| SystemTime::now().duration_since(changed).ok());
    age.is_some_and(|age| age >= SETTLE_TIME)
}

/// Stops the node, or reads its settings again, when a signal asks for it, and when the file has changed without one.
async fn follow_requests(node: Arc<Node>, mut signals: Signals, path: PathBuf) {
    let mut held = stamp(&path);
    loop {
        tokio::select! {
            request = signals.next() => match request {
                Request::Stop => node.stop.notify_one(),
                Request::Reload => {
                    held = stamp(&path);
                    reload(&node, &path).await;
                }
            },
            () = tokio::time::sleep(CHANGE_LOOK) => {
                let now = stamp(&path);
                if now != held {
                    held = now;
                    reload(&node, &path).await;
                }
            }
        }
    }
}

async fn reload(node: &Node, path: &Path) {
    match load(path).await {
        Ok(settings) => node.reload(&settings),
        Err(error) => {
            let obstacle: Obstacle = error.obstacle();
            let faults = error.faults.join("; ");
            tracing::error!(event = "settings_refused", %obstacle, faults);
        }
    }
}

/// What changes with a file: its time and length.
fn stamp(path: &Path) -> Option<(SystemTime, u64)> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
