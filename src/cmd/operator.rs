//! What the operators' subcommands share: whom they ask, and how.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use eyre::{Result, eyre};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::peer::{PeerError, Peers};

/// How long a node is waited for.
pub const CALL_TIME: Duration = Duration::from_secs(5);

/// Whom an operator's command asks.
#[derive(Debug, Clone)]
pub struct Contact {
    /// Peer addresses of nodes; the first that answers is taken.
    pub nodes: Vec<SocketAddr>,
    /// The shared secret.
    pub secret: String,
}

/// Reads `--node ADDR ... [--secret TEXT]`.
pub fn contact() -> impl Parser<Contact> {
    let nodes = long("node")
        .help("Peer address of a node; may stand several times, the first that answers is taken")
        .env("EMBERTURN_NODE")
        .argument::<SocketAddr>("ADDR")
        .some("name at least one node with --node ADDR, or in EMBERTURN_NODE");
    let secret = long("secret")
        .help("The secret nodes and operators share")
        .env("EMBERTURN_SECRET")
        .argument::<String>("TEXT")
        .fallback(String::new());
    construct!(Contact { nodes, secret })
}

/// Reads `--json`.
pub fn json() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

impl Contact {
    /// Connections with the contact's secret.
    pub fn peers(&self) -> Peers {
        Peers::patient(&self.secret)
    }

    /// Asks the first node that answers.
    ///
    /// # Errors
    /// When none answers, or the one that does refuses.
    pub async fn ask<T, R>(&self, method: &str, body: &T) -> Result<R>
    where
        T: Serialize + Sync,
        R: DeserializeOwned,
    {
        let peers = self.peers();
        let mut last = None;
        for addr in &self.nodes {
            match peers.call(*addr, method, body, CALL_TIME).await {
                Ok(reply) => return Ok(reply),
                Err(PeerError::Refused(text)) => return Err(eyre!("{addr}: {text}")),
                Err(error) => last = Some(error),
            }
        }
        Err(last.map_or_else(|| eyre!("no node named"), |error| eyre!(error)))
    }
}

/// Prints a value as JSON.
///
/// # Errors
/// When it cannot be encoded.
pub fn print_json<T: Serialize>(value: &T) -> Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// The exit code `code`.
pub fn exit_with(code: u8) -> Result<ExitCode> {
    Ok(ExitCode::from(code))
}
