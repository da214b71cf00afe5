//! Exit codes of the command line: what its help promises.

mod support;

use std::process::Command;

use support::{BoxPlan, Cluster, binary};
use yare::parameterized;

#[parameterized(
    help = { &["--help"], 0 },
    help_of_a_command = { &["apply", "--help"], 0 },
    version = { &["--version"], 0 },
    unknown_command = { &["sing"], 2 },
    unknown_argument = { &["status", "--loud"], 2 },
    missing_argument = { &["apply", "--node", "127.0.0.1:1"], 2 },
    malformed_argument = { &["apply", "--node", "here", "x.ini"], 2 },
    missing_settings = { &["node", "no-such-file.ini"], 2 },
    nobody_answers = { &["get", "--node", "127.0.0.1:1"], 1 },
)]
fn exit_code_means_what_the_help_says(words: &[&str], code: i32) {
    let mut command = Command::new(binary("emberturn"));
    command.env_remove("EMBERTURN_NODE").args(words);
    let output = command.output().unwrap();
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    let said = output.stdout.len() + output.stderr.len();
    assert!(said > 0, "it said nothing");
}

#[parameterized(
    get = { "get", "Print the configuration in force on a replica, as JSON" },
    history = { "history", "Print the accepted changes" },
    json = { "status", "Print JSON" },
)]
fn help_says_what_a_command_prints(command: &str, text: &str) {
    let output = Command::new(binary("emberturn")).args([command, "--help"]).output().unwrap();
    let help = String::from_utf8_lossy(&output.stdout);
    assert!(help.contains(text), "{help}");
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_secret_and_unknown_trace_are_refused() {
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    let addr = cluster.boxes["a"].peer.addr.to_string();
    let wrong = tokio::process::Command::new(binary("emberturn"))
        .args(["status", "--node", &addr, "--secret", "wrong"])
        .output()
        .await
        .unwrap();
    assert_eq!(wrong.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&wrong.stdout).contains("the secret is wrong"), "{wrong:?}");
    let names = ["a".to_owned()];
    let trace = cluster.operator(&["trace", "00000000000000000000000000000001"], &names).await;
    assert_eq!(trace.status.code(), Some(3));
}
