//! `emberturn members`: shows and changes who belongs to the replicated group.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::{OptionParser, Parser, construct, positional};
use eyre::{Result, WrapErr, eyre};

use super::exit;
use super::operator::{CALL_TIME, Contact, contact, exit_with, json, print_json};
use crate::group::driver::Unanswered;
use crate::group::message::MemberChange;
use crate::ids::BoxId;
use crate::peer::method::GroupStatus;
use crate::peer::{Peers, method};

/// How long a change may take.
const CHANGE_TIME: Duration = Duration::from_secs(20);

/// Pause before asking again.
const PAUSE: Duration = Duration::from_millis(100);

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Replicas to ask.
    pub contact: Contact,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub action: Action,
}

/// What to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Show the members.
    List,
    /// Remove a member, which need not be reachable.
    Remove(BoxId),
    /// Add the replica that answers at an address: as a learner, then, once level, as a voter.
    Add(SocketAddr),
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("members").help("Show or change who belongs to the replicated group")
}

fn options() -> OptionParser<Arguments> {
    let list = bpaf::pure(Action::List).to_options().command("list").help("Show the members");
    let remove = positional("BOX")
        .map(Action::Remove)
        .to_options()
        .command("remove")
        .help("Remove a member, which need not be reachable");
    let add = positional("ADDR")
        .map(Action::Add)
        .to_options()
        .command("add")
        .help("Add the empty replica at this peer address");
    let contact = contact();
    let json = json();
    let action = construct!([list, remove, add]);
    construct!(Arguments { contact, json, action })
        .to_options()
        .descr("Show or change who belongs to the replicated group")
}

/// Shows or changes the members.
///
/// # Errors
/// When no replica answers, or the change is not taken in time.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    match &arguments.action {
        Action::List => list(&arguments).await,
        Action::Remove(box_id) => {
            change(&arguments, MemberChange::Remove(box_id.clone())).await?;
            println!("removed {box_id}");
            exit_with(exit::DONE)
        }
        Action::Add(addr) => add(&arguments, *addr).await,
    }
}

async fn list(arguments: &Arguments) -> Result<ExitCode> {
    let status: GroupStatus = arguments.contact.ask(method::GROUP_STATUS, &()).await?;
    if arguments.json {
        print_json(&status)?;
        return exit_with(exit::DONE);
    }
    for (box_id, life) in &status.members.voters {
        let leads = status.leader.as_ref() == Some(box_id);
        println!("{box_id} votes life={life}{}", if leads { " leader" } else { "" });
    }
    for (box_id, life) in &status.members.learners {
        println!("{box_id} learns life={life}");
    }
    exit_with(exit::DONE)
}

async fn add(arguments: &Arguments, addr: SocketAddr) -> Result<ExitCode> {
    let peers = arguments.contact.peers();
    let status: GroupStatus = peers
        .call(addr, method::GROUP_STATUS, &(), CALL_TIME)
        .await
        .wrap_err_with(|| format!("ask {addr}"))?;
    let learner = MemberChange::AddLearner(status.box_id.clone(), status.life);
    change(arguments, learner).await?;
    change(arguments, MemberChange::Promote(status.box_id.clone())).await?;
    println!("added {}", status.box_id);
    exit_with(exit::DONE)
}

/// Asks the replicas in turn until the leader has taken the change. A change that a lost answer
/// hid is found done.
async fn change(arguments: &Arguments, change: MemberChange) -> Result<()> {
    let peers = arguments.contact.peers();
    let deadline = Instant::now() + CHANGE_TIME;
    let mut last = eyre!("no replica leads");
    while Instant::now() < deadline {
        for addr in &arguments.contact.nodes {
            match try_change(&peers, *addr, &change).await {
                Ok(()) => return Ok(()),
                Err(error) => last = error.wrap_err(format!("{addr}")),
            }
        }
        tokio::time::sleep(PAUSE).await;
    }
    Err(last)
}

async fn try_change(peers: &Peers, addr: SocketAddr, change: &MemberChange) -> Result<()> {
    let status: GroupStatus = peers.call(addr, method::GROUP_STATUS, &(), CALL_TIME).await?;
    if status.role != "leader" {
        return Err(eyre!("does not lead"));
    }
    if is_done(&status, change) {
        return Ok(());
    }
    let reply: Result<(), Unanswered> =
        peers.call(addr, method::CHANGE_MEMBERS, change, CALL_TIME).await?;
    Ok(reply?)
}

fn is_done(status: &GroupStatus, change: &MemberChange) -> bool {
    let members = &status.members;
    match change {
        MemberChange::AddLearner(box_id, life) => members.learners.get(box_id) == Some(life),
        MemberChange::Promote(box_id) => members.voters.contains_key(box_id),
        MemberChange::Remove(box_id) => members.incarnation(box_id).is_none(),
    }
}
