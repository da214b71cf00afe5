//! `emberturn apply`: changes the configuration.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use eyre::{Result, eyre};

use super::exit;
use super::operator::{Contact, contact, exit_with, json, print_json};
use crate::group::driver::Unanswered;
use crate::ids::{ChangeId, Revision};
use crate::peer::method;
use crate::state::config::ChangeReply;
use crate::state::{Command, Reply, change_file};

/// Times the change is sent again while no replica leads.
const TRIES: usize = 40;

/// Pause before sending again.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(100);

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Replicas to ask.
    pub contact: Contact,
    /// The change's id.
    pub id: Option<ChangeId>,
    /// The revision it was made against.
    pub expect: Option<Revision>,
    /// Whether to print JSON.
    pub json: bool,
    /// The change file.
    pub file: PathBuf,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("apply").help("Change the configuration")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact();
    let id = long("id")
        .help("The change's id; sending the same id again is safe. Made up when absent")
        .argument("ID")
        .optional();
    let expect = long("expect")
        .help("The revision the change was made against; another in force is a conflict")
        .argument("REVISION")
        .optional();
    let json = json();
    let file = positional("FILE").help("Change file, in INI");
    construct!(Arguments { contact, id, expect, json, file })
        .to_options()
        .descr("Change the configuration; accepted means on a majority of disks")
}

/// Sends the change until it has an answer.
///
/// # Errors
/// When no replica gives an answer: the change may be accepted, and the same id asks again.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let id = match &arguments.id {
        Some(id) => id.clone(),
        None => uuid::Uuid::new_v4().simple().to_string().parse()?,
    };
    let change = match change_file::load(&arguments.file, id.clone(), arguments.expect) {
        Ok(change) => change,
        Err(error) => {
            eprintln!("{error}");
            return exit_with(exit::INVALID);
        }
    };
    let reply = send(&arguments.contact, &Command::Change(change)).await;
    let reply = reply.map_err(|error| error.wrap_err(format!("change {id} has no answer")))?;
    if arguments.json {
        print_json(&serde_json::json!({ "id": id, "answer": reply }))?;
    }
    report(&reply, &id, arguments.json)
}

fn report(reply: &ChangeReply, id: &ChangeId, quiet: bool) -> Result<ExitCode> {
    let (code, text) = match reply {
        ChangeReply::Accepted(revision) => {
            (exit::DONE, format!("change {id} accepted as revision {revision}"))
        }
        ChangeReply::Conflict { current, winner } => {
            let winner = winner.as_ref().map_or("unknown".to_owned(), ToString::to_string);
            let text =
                format!("conflict: revision {current} is in force; change {winner} came first");
            (exit::REFUSED, text)
        }
        ChangeReply::Invalid(text) => (exit::REFUSED, format!("invalid: {text}")),
    };
    if !quiet {
        println!("{text}");
    }
    exit_with(code)
}

async fn send(contact: &Contact, command: &Command) -> Result<ChangeReply> {
    let peers = contact.peers();
    let mut last = eyre!("no replica leads");
    for _ in 0..TRIES {
        for addr in &contact.nodes {
            let call = peers.call::<_, Result<Reply, Unanswered>>(
                *addr,
                method::PROPOSE,
                command,
                super::operator::CALL_TIME,
            );
            match call.await {
                Ok(Ok(Reply::Change(reply))) => return Ok(reply),
                Ok(Ok(_)) => return Err(eyre!("{addr} gave another answer")),
                Ok(Err(error)) => last = eyre!("{addr}: {error}"),
                Err(error) => last = eyre!(error),
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(last)
}
