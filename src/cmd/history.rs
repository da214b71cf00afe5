//! `emberturn history`: prints the accepted changes.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use eyre::Result;

use super::operator::{Contact, contact, exit_with, json, print_json};
use super::{exit, get};

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Replicas to ask.
    pub contact: Contact,
    /// Whether to print JSON.
    pub json: bool,
    /// How many changes, the newest last.
    pub count: usize,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("history").help("Print the accepted changes")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact();
    let json = json();
    let count = long("count")
        .help("How many, the newest last")
        .argument("N")
        .fallback(20)
        .display_fallback();
    construct!(Arguments { contact, json, count }).to_options().descr("Print the accepted changes")
}

/// Prints the newest accepted changes.
///
/// # Errors
/// When no replica answers.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let configuration = get::fetch(&arguments.contact).await?;
    let skipped = configuration.history.len().saturating_sub(arguments.count);
    let shown: Vec<_> = configuration.history.iter().skip(skipped).collect();
    if arguments.json {
        print_json(&shown)?;
        return exit_with(exit::DONE);
    }
    for accepted in shown {
        let change = &accepted.change;
        println!(
            "revision={} change={} edits={}",
            accepted.revision,
            change.id,
            change.edits.len()
        );
    }
    exit_with(exit::DONE)
}
