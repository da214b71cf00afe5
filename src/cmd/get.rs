//! `emberturn get`: prints the configuration in force on a node.

use std::process::ExitCode;
use std::sync::Arc;

use bpaf::{OptionParser, Parser, construct};
use eyre::Result;

use super::exit;
use super::operator::{Contact, contact, exit_with, print_json};
use crate::ids::{Revision, Version};
use crate::peer::method::{self, Poll, PollReply, Update};
use crate::state::config::Configuration;

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Replicas to ask.
    pub contact: Contact,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("get").help("Print the configuration in force, as JSON")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact();
    construct!(Arguments { contact })
        .to_options()
        .descr("Print the configuration in force on a replica, as JSON")
}

/// Prints the configuration without its history.
///
/// # Errors
/// When no replica answers.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let configuration = fetch(&arguments.contact).await?;
    let mut shown = (*configuration).clone();
    shown.history.clear();
    print_json(&shown)?;
    exit_with(exit::DONE)
}

/// Fetches the configuration in force on a replica, whole.
///
/// # Errors
/// When no replica answers.
pub(super) async fn fetch(contact: &Contact) -> Result<Arc<Configuration>> {
    // A revision no replica has yet makes it answer with all of its configuration at once.
    let poll =
        Poll { from: Revision(u64::MAX), document: Version(u64::MAX), wait: 0, unsure: false };
    let reply: PollReply = contact.ask(method::POLL, &poll).await?;
    match reply.news {
        Update::Whole(configuration) => Ok(configuration),
        Update::Changes(_) => Err(eyre::eyre!("the replica sent changes where all was asked for")),
    }
}
