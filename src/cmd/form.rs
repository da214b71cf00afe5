//! `emberturn form`: makes the replicated group, once, from replicas that are all empty.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use eyre::{Result, WrapErr, eyre};

use super::exit;
use super::operator::{CALL_TIME, Contact, contact, exit_with};
use crate::group::message::Members;
use crate::peer::method::{self, GroupStatus};

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Every replica.
    pub contact: Contact,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("form").help("Make the replicated group, once")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact();
    construct!(Arguments { contact })
        .to_options()
        .descr("Make the replicated group of the replicas named with --node, all of them empty")
}

/// Asks every replica who it is, and gives all of them the same first members.
///
/// # Errors
/// When a replica does not answer. Running the command again is safe.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let peers = arguments.contact.peers();
    let mut members = Members::default();
    let mut formed = None;
    for addr in &arguments.contact.nodes {
        let status: GroupStatus = peers
            .call(*addr, method::GROUP_STATUS, &(), CALL_TIME)
            .await
            .wrap_err_with(|| format!("ask {addr}"))?;
        if status.formed {
            formed = Some((status.box_id.clone(), status.members));
        }
        members.voters.insert(status.box_id, status.life);
    }
    // A command that was cut short may have formed some of them, with these same members.
    if let Some((box_id, held)) = formed.filter(|(_, held)| *held != members) {
        let voters: Vec<_> = held.voters.keys().map(ToString::to_string).collect();
        eprintln!("box {box_id} belongs to a group already, of {}", voters.join(", "));
        return exit_with(exit::REFUSED);
    }
    for addr in &arguments.contact.nodes {
        let result: Result<(), String> = peers
            .call(*addr, method::FORM, &members, CALL_TIME)
            .await
            .wrap_err_with(|| format!("form {addr}"))?;
        result.map_err(|text| eyre!("{addr}: {text}"))?;
    }
    println!("formed of {} replicas", members.voters.len());
    exit_with(exit::DONE)
}
