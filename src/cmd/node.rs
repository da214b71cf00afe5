//! `emberturn node`: runs a node.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

use super::exit;
use super::operator::exit_with;
use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry::logs;

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
    logs::start(&settings.log.level)?;
    let node = Node::start(settings).await?;
    tokio::spawn(stop_on_signal(node.clone()));
    node.serve().await?;
    exit_with(exit::DONE)
}

async fn stop_on_signal(node: std::sync::Arc<Node>) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("watch SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("watch SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    node.stop.notify_one();
    Ok(())
}
