//! The command line: one file a subcommand, each with its parser and one `execute`.

pub mod apply;
pub mod ask;
pub mod check;
pub mod drain;
pub mod form;
pub mod get;
pub mod history;
pub mod members;
pub mod node;
pub mod operator;
pub mod quarantine;
pub mod rollout;
mod signals;
pub mod status;
pub mod trace;

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use eyre::{Result, WrapErr};

/// What the exit codes mean.
pub mod exit {
    /// Done.
    pub const DONE: u8 = 0;
    /// The command failed; nothing can be said of what it asked for.
    pub const FAILED: u8 = 1;
    /// A file or argument is at fault; nothing was asked for.
    pub const INVALID: u8 = 2;
    /// The system refused: a conflict, or something that does not exist.
    pub const REFUSED: u8 = 3;
}

/// A subcommand with its arguments.
#[derive(Debug, Clone)]
pub enum Command {
    /// `node`
    Node(node::Arguments),
    /// `check`
    Check(check::Arguments),
    /// `form`
    Form(form::Arguments),
    /// `members`
    Members(members::Arguments),
    /// `apply`
    Apply(apply::Arguments),
    /// `get`
    Get(get::Arguments),
    /// `history`
    History(history::Arguments),
    /// `status`
    Status(status::Arguments),
    /// `rollout`
    Rollout(rollout::Arguments),
    /// `quarantine`
    Quarantine(quarantine::Arguments),
    /// `drain`
    Drain(drain::Arguments),
    /// `trace`
    Trace(trace::Arguments),
    /// `ask`
    Ask(ask::Arguments),
}

/// The whole command line.
pub fn command() -> OptionParser<Command> {
    let node = node::parser().map(Command::Node);
    let check = check::parser().map(Command::Check);
    let form = form::parser().map(Command::Form);
    let members = members::parser().map(Command::Members);
    let apply = apply::parser().map(Command::Apply);
    let get = get::parser().map(Command::Get);
    let history = history::parser().map(Command::History);
    let status = status::parser().map(Command::Status);
    let rollout = rollout::parser().map(Command::Rollout);
    let quarantine = quarantine::parser().map(Command::Quarantine);
    let drain = drain::parser().map(Command::Drain);
    let trace = trace::parser().map(Command::Trace);
    let ask = ask::parser().map(Command::Ask);
    construct!([
        node, check, form, members, apply, get, history, status, rollout, quarantine, drain, trace,
        ask
    ])
    .to_options()
    .descr("Serves language models on reclaimable machines")
    .footer("Exit codes: 0 done, 1 failed, 2 a file or argument is at fault, 3 refused.")
    .version(env!("CARGO_PKG_VERSION"))
}

/// Carries a subcommand out.
///
/// # Errors
/// When it fails; the exit code is [`exit::FAILED`] then.
pub fn execute(command: Command) -> Result<ExitCode> {
    let threads = match &command {
        Command::Node(arguments) => arguments.threads,
        _ => 1,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    let result = runtime.block_on(async {
        match command {
            Command::Node(arguments) => node::execute(arguments).await,
            Command::Check(arguments) => check::execute(&arguments),
            Command::Form(arguments) => form::execute(arguments).await,
            Command::Members(arguments) => members::execute(arguments).await,
            Command::Apply(arguments) => apply::execute(arguments).await,
            Command::Get(arguments) => get::execute(arguments).await,
            Command::History(arguments) => history::execute(arguments).await,
            Command::Status(arguments) => status::execute(arguments).await,
            Command::Rollout(arguments) => rollout::execute(arguments).await,
            Command::Quarantine(arguments) => quarantine::execute(arguments).await,
            Command::Drain(arguments) => drain::execute(arguments).await,
            Command::Trace(arguments) => trace::execute(arguments).await,
            Command::Ask(arguments) => ask::execute(arguments).await,
        }
    });
    // A write that a disk holds up does not keep the process.
    runtime.shutdown_background();
    result
}
