//! `emberturn rollout`: orders a roll-out, shows one, takes one back.

use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, positional};
use eyre::Result;

use super::exit;
use super::operator::{Contact, contact, exit_with, json, print_json};
use crate::error::{Failure, Kind};
use crate::ids::{Release, ServiceName};
use crate::peer::method::{self, RolloutAnswer, RolloutAsk};
use crate::state::rollout::Rollout;
use crate::units::Millis;

/// What is asked for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Order a roll-out.
    Start {
        /// The service.
        service: ServiceName,
        /// The release that is to serve it.
        release: Release,
        /// The time for it.
        time: Millis,
    },
    /// Show the last one.
    Show {
        /// The service.
        service: ServiceName,
    },
    /// Take the one under way back.
    Abort {
        /// The service.
        service: ServiceName,
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
    options().command("rollout").help("Order, show or take back a roll-out of a service's release")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact();
    let json = json();
    let action = construct!([start(), show(), abort()]);
    construct!(Arguments { contact, json, action })
        .to_options()
        .descr("Order, show or take back a roll-out of a service's release")
}

fn service() -> impl Parser<ServiceName> {
    positional::<ServiceName>("SERVICE").help("The service")
}

fn start() -> impl Parser<Action> {
    let service = service();
    let release = positional::<Release>("RELEASE").help("The release that is to serve it");
    let time = positional::<Millis>("TIME").help("The time for it, such as 10m");
    construct!(Action::Start { service, release, time })
        .to_options()
        .descr("Order a roll-out")
        .command("start")
        .help("Order a roll-out")
}

fn show() -> impl Parser<Action> {
    let service = service();
    construct!(Action::Show { service })
        .to_options()
        .descr("Show a service's last roll-out")
        .command("show")
        .help("Show a service's last roll-out")
}

fn abort() -> impl Parser<Action> {
    let service = service();
    construct!(Action::Abort { service })
        .to_options()
        .descr("Take a service's roll-out back")
        .command("abort")
        .help("Take a service's roll-out back")
}

impl Action {
    fn ask(self) -> RolloutAsk {
        match self {
            Self::Start { service, release, time } => RolloutAsk::Order { service, release, time },
            Self::Show { service } => RolloutAsk::Show(service),
            Self::Abort { service } => RolloutAsk::Abort(service),
        }
    }
}

/// Asks a replica and prints the roll-out as the group has it.
///
/// # Errors
/// When no replica answers.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let ask = arguments.action.ask();
    let answer: RolloutAnswer = arguments.contact.ask(method::ROLLOUT, &ask).await?;
    match answer {
        Ok(rollout) => {
            print(&rollout, arguments.json)?;
            exit_with(exit::DONE)
        }
        Err((kind, detail)) => {
            eprintln!("{}", Failure::new(kind, detail));
            let failed = matches!(kind, Kind::NoGroup | Kind::Unacknowledged);
            exit_with(if failed { exit::FAILED } else { exit::REFUSED })
        }
    }
}

fn print(rollout: &Rollout, json: bool) -> Result<()> {
    if json {
        return print_json(rollout);
    }
    let former = rollout.former.as_ref().map_or("-", Release::as_str);
    println!(
        "service={} release={} former={former} phase={} time={} exposed={}",
        rollout.order.service,
        rollout.order.release,
        rollout.phase,
        rollout.order.time,
        rollout.exposed,
    );
    Ok(())
}
