//! `emberturn status`: shows nodes, the revision in force on each, and who lags.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use eyre::Result;
use serde::Serialize;

use super::exit;
use super::operator::{CALL_TIME, Contact, contact, exit_with, json, print_json};
use crate::peer::method::{self, NodeStatus};

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// The nodes to show.
    pub contact: Contact,
    /// Whether to print JSON.
    pub json: bool,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("status").help("Show nodes and the revision in force on each")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact();
    let json = json();
    construct!(Arguments { contact, json })
        .to_options()
        .descr("Show every node named with --node, and which of them lag")
}

#[derive(Serialize)]
struct Line {
    addr: SocketAddr,
    #[serde(flatten)]
    status: Option<NodeStatus>,
    error: Option<String>,
}

/// Shows the nodes. One that does not answer is shown as such and makes the exit code
/// [`exit::FAILED`].
///
/// # Errors
/// Never for a node that does not answer.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let peers = arguments.contact.peers();
    let mut lines = Vec::new();
    for addr in &arguments.contact.nodes {
        let result = peers.call::<_, NodeStatus>(*addr, method::STATUS, &(), CALL_TIME).await;
        let (status, error) = match result {
            Ok(status) => (Some(status), None),
            Err(error) => (None, Some(error.to_string())),
        };
        lines.push(Line { addr: *addr, status, error });
    }
    let newest = lines.iter().filter_map(|line| line.status.as_ref()).map(|it| it.revision).max();
    if arguments.json {
        print_json(&lines)?;
    } else {
        for line in &lines {
            println!("{}", describe(line, newest));
        }
    }
    let silent = lines.iter().any(|line| line.error.is_some());
    exit_with(if silent { exit::FAILED } else { exit::DONE })
}

fn describe(line: &Line, newest: Option<crate::ids::Revision>) -> String {
    let Some(status) = &line.status else {
        return format!("addr={} error={:?}", line.addr, line.error.as_deref().unwrap_or(""));
    };
    let age = status.age.map_or("unknown".to_owned(), |age| format!("{age}ms"));
    let lags = if Some(status.revision) < newest { " lags" } else { "" };
    let leaving = status.backends.iter().filter(|(_, it)| it.state != "open").count();
    let distances: Vec<_> =
        status.distances.iter().map(|(name, time)| format!("{name}:{time:.1}ms")).collect();
    let distances = match distances.is_empty() {
        true => String::new(),
        false => format!(" distances={}", distances.join(",")),
    };
    let group = status.group.as_ref().map_or(String::new(), |group| {
        let leader = group.leader.as_ref().map_or("none".to_owned(), ToString::to_string);
        format!(" role={} leader={leader} term={} commit={}", group.role, group.term, group.commit)
    });
    format!(
        "box={} data_centre={} phase={} revision={}{lags} age={age} requests={} \
         backend_servers={} not_open={leaving}{distances}{group}",
        status.box_id,
        status.data_centre,
        status.phase,
        status.revision,
        status.requests,
        status.backends.len(),
    )
}
