//! What a box must hear before it serves, over the link that it has.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
#[path = "support/system.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod system;

use std::time::Duration;

use emberturn_fakes::cluster::binary;
use platform::{Act, StandIn, document, usual_routes};
use system::System;
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;

/// Bytes a second of a link of 10 Mbit/s.
const THIN: f64 = 10e6 / 8.0;

/// What a replica under load takes to accept a connection.
const SLOW_CONNECT: Duration = Duration::from_millis(700);

/// A box without anything serves before 5,200 engines although all that it hears comes over 10 Mbit/s. A
/// list of all engines is some 900 KB there: it takes longer than a word to the leader waits for its answer,
/// so it would never come whole.
#[tokio::test(flavor = "multi_thread")]
async fn box_behind_a_thin_link_serves_before_thousands_of_engines() {
    let mut system = System::start(0).await;
    let server = StandIn::start("i-1", &[Act::Answer]).await;
    system.cloud.list_engines(5_200, "engines");
    system.cloud.list(&server, "svc");
    system.publish(1, &document(1, &usual_routes())).await;
    let proxies = system.proxies().await;
    proxies.values().for_each(|proxy| proxy.thin(THIN));
    system.launch_behind(11, &proxies).await;
    system.wait_status(11, "once", 200).await;
    let heard: u64 = proxies.values().map(|proxy| proxy.bytes().1).sum();
    assert!(heard < 400_000, "{heard} bytes before it served");
    // After a restart it serves again.
    system.kill(11).await;
    system.launch_behind(11, &proxies).await;
    system.wait_status(11, "once", 200).await;
}

/// Guards against an operator's command that ends as a replica under load takes half a second to accept it.
#[tokio::test(flavor = "multi_thread")]
async fn operators_command_waits_for_a_connection_that_takes_long() {
    let system = System::start(0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (addr, upstream) = (listener.local_addr().unwrap(), system.addr(1, "peer"));
    tokio::spawn(async move {
        let (mut caller, _) = listener.accept().await.unwrap();
        tokio::time::sleep(SLOW_CONNECT).await;
        let mut replica = TcpStream::connect(upstream).await.unwrap();
        let _ = tokio::io::copy_bidirectional(&mut caller, &mut replica).await;
    });
    let mut command = Command::new(binary("emberturn"));
    let output = command.args(["status", "--node", &addr.to_string()]).output().await.unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success() && text.contains("role="), "{output:?}");
}
