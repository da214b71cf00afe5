//! One node and a small fake engine in one process on loopback: sends a request and prints the
//! tokens as they come.
//!
//! Run it with `cargo run --example quickstart`.

use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use emberturn::group::driver::GroupMessage;
use emberturn::group::message::Members;
use emberturn::ids::Revision;
use emberturn::node::Node;
use emberturn::peer::method::GroupStatus;
use emberturn::settings::Settings;
use emberturn::state::{Command, change_file};
use emberturn_fakes::engine::{Engine, Options};
use emberturn_fakes::http;
use eyre::{Result, eyre};
use http_body_util::BodyExt;
use serde_json::json;

const KEY: &str = "quickstart-key";

/// How long the replica may take to answer.
const CALL_TIME: Duration = Duration::from_secs(5);

#[tokio::main]
async fn main() -> Result<()> {
    let folder = tempfile::tempdir()?;
    let peer = free_address()?;
    let settings = Settings::parse("embedded settings", &settings_text(folder.path(), peer))?;
    let node = Node::start(settings).await?;
    let serving = node.clone();
    let server = tokio::spawn(async move { serving.serve().await });

    form_alone(&node).await?;
    let decode = Duration::from_millis(30);
    let (_engine, addr) = Engine::start(Options { decode, ..Options::default() }).await?;
    let text = format!(
        "[team demo]\nkey = {KEY}\n[service small]\nkind = engine\n\
         [backend_server engine-1]\nservice = small\naddr = {addr}\ndata_centre = here\n"
    );
    let change =
        change_file::parse("embedded change", &text, Path::new("."), "first".parse()?, None)?;
    node.access.propose(Command::Change(change), Duration::from_secs(10)).await?;
    let mut configuration = node.board.follow_configuration();
    configuration.wait_for(|it| it.configuration.revision >= Revision(1)).await?;
    let mut phase = node.board.follow_phase();
    phase.wait_for(|phase| phase.to_string() == "serving").await?;

    let entry = *node.entry_addr.get().ok_or_else(|| eyre!("the node does not listen"))?;
    println!("entry node on {entry}, fake engine on {addr}");
    let body = json!({
        "model": "small", "prompt": "Is the link to the harbour down?",
        "max_tokens": 24, "stream": true,
    });
    let bearer = format!("Bearer {KEY}");
    let request = http::post("/v1/completions", &[("authorization", &bearer)], &body);
    let response = http::open(entry, request).await?;
    println!("status {}, trace {:?}", response.status(), response.headers().get("emberturn-trace"));
    let mut body = response.into_body();
    while let Some(frame) = body.frame().await {
        if let Some(bytes) = frame?.data_ref() {
            std::io::stdout().write_all(bytes)?;
            std::io::stdout().flush()?;
        }
    }
    node.stop.notify_one();
    server.await??;
    Ok(())
}

/// A loopback address nobody listens on at the moment: the node has to be told its own.
fn free_address() -> Result<SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    Ok(listener.local_addr()?)
}

fn settings_text(folder: &Path, peer: SocketAddr) -> String {
    format!(
        "[node]\nbox_id = demo\ndata_centre = here\nroles = entry, replica\ndata_folder = {}\n\
         [entry]\nlisten = 127.0.0.1:0\nbalancer_time = 0\n[peer]\nlisten = {peer}\n\
         [metrics]\nlisten = 127.0.0.1:0\n[replicas]\ndemo = {peer}\n",
        folder.display()
    )
}

/// Makes a group of this one replica.
async fn form_alone(node: &Node) -> Result<()> {
    let replica = node.access.local().ok_or_else(|| eyre!("the node is no replica"))?;
    replica.opened().await;
    let status: GroupStatus = replica.ask(GroupMessage::Status, CALL_TIME).await?;
    let mut members = Members::default();
    members.voters.insert(status.box_id, status.life);
    let form = |port| GroupMessage::Form(members, port);
    let formed = replica.ask(form, CALL_TIME).await?;
    formed.map_err(|text| eyre!(text))
}
