//! `emberturn quarantine`: shows the requests and prompt segments that no server gets any more, and lets one through again.

use std::process::ExitCode;

use bpaf::{Parser, construct, positional};
use eyre::Result;

use super::exit;
use super::operator::{Contact, contact, exit_with, json, print_json};
use crate::error::{Failure, Kind};
use crate::ids::Suspect;
use crate::peer::method::{self, QuarantineAnswer, QuarantineAsk};

/// What is asked for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Show all.
    Show,
    /// Let one through.
    Lift {
        /// The request or segment, as lines name it.
        suspect: Suspect,
    },
}

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Replicas to ask.
    pub contact: Contact,
    /// Whether to print JSON.
    pub json: bool,
    /// What is asked for.
    pub action: Action,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    let text =
        "Show requests and prompt segments that no server gets any more, or let one through again";
    let (contact, json) = (contact(), json());
    let action = construct!([show(), lift()]);
    let options = construct!(Arguments { contact, json, action }).to_options().descr(text);
    options.command("quarantine").help(text)
}

fn show() -> impl Parser<Action> {
    bpaf::pure(Action::Show).to_options().descr("Show all").command("show").help("Show all")
}

fn lift() -> impl Parser<Action> {
    let text = "The request or segment, as lines name it";
    let suspect = positional::<Suspect>("SUSPECT").help(text);
    construct!(Action::Lift { suspect })
        .to_options()
        .descr("Let one through again")
        .command("lift")
        .help("Let one through again")
}

/// Asks a replica and prints what the group holds.
///
/// # Errors
/// When no replica answers.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let ask = match arguments.action {
        Action::Show => QuarantineAsk::Show,
        Action::Lift { suspect } => QuarantineAsk::Lift(suspect),
    };
    let answer: QuarantineAnswer = arguments.contact.ask(method::QUARANTINE, &ask).await?;
    match answer {
        Ok(book) if arguments.json => print_json(&book).and_then(|()| exit_with(exit::DONE)),
        Ok(book) => {
            for (suspect, until) in &book {
                let kind = match suspect {
                    Suspect::Request(_) => "request",
                    Suspect::Segment(_) => "segment",
                    Suspect::Combination(_) => "segments",
                };
                println!("{kind}={suspect} until_unix_ms={}", until.0);
            }
            let requests = book.keys().filter_map(Suspect::request).count();
            println!("requests={requests} segments={}", book.len() - requests);
            exit_with(exit::DONE)
        }
        Err((kind, detail)) => {
            eprintln!("{}", Failure::new(kind, detail));
            let refused = kind == Kind::NotFound;
            exit_with(if refused { exit::REFUSED } else { exit::FAILED })
        }
    }
}
