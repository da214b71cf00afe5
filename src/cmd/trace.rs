//! `emberturn trace`: shows the hops of one request.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, positional};
use eyre::Result;

use super::exit;
use super::operator::{CALL_TIME, Contact, contact, exit_with, json, print_json};
use crate::peer::method;
use crate::telemetry::Hop;

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// The nodes to ask; all of them are.
    pub contact: Contact,
    /// Whether to print JSON.
    pub json: bool,
    /// The trace's id, as the answer's `emberturn-trace` header has it.
    pub id: String,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("trace").help("Show the hops of one request")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact();
    let json = json();
    let id = positional("ID").help("The trace's id, from the answer's emberturn-trace header");
    construct!(Arguments { contact, json, id }).to_options().descr("Show the hops of one request")
}

/// Collects the hops from every node named and prints them in order of time.
///
/// # Errors
/// Never; nodes that do not answer are named on standard error.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let peers = arguments.contact.peers();
    let mut hops: Vec<Hop> = Vec::new();
    for addr in &arguments.contact.nodes {
        match peers.call::<_, Vec<Hop>>(*addr, method::TRACE, &arguments.id, CALL_TIME).await {
            Ok(found) => hops.extend(found),
            Err(error) => eprintln!("{error}"),
        }
    }
    hops.sort_by_key(|hop| hop.began);
    if arguments.json {
        print_json(&hops)?;
    } else {
        for hop in &hops {
            println!(
                "began={} span={} parent={} name={} place={} outcome={} micros={}",
                hop.began, hop.span, hop.parent, hop.name, hop.place, hop.outcome, hop.micros
            );
        }
    }
    exit_with(if hops.is_empty() { exit::REFUSED } else { exit::DONE })
}
