//! `emberturn drain`: has a node finish what it has and stop.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use eyre::Result;

use super::exit;
use super::operator::{Contact, contact, exit_with};
use crate::peer::method;

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// The node; the first that answers drains.
    pub contact: Contact,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("drain").help("Have a node finish what it has and stop")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact();
    construct!(Arguments { contact }).to_options().descr("Have a node finish what it has and stop")
}

/// Asks the node to drain.
///
/// # Errors
/// When it does not answer.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let (): () = arguments.contact.ask(method::DRAIN, &()).await?;
    println!("draining");
    exit_with(exit::DONE)
}
