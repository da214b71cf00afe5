//! Extra answers of servers before which an entry node stands: their answers name no request, so that only the
//! connection shows whose one is.

#[path = "support/platform.rs"]
#[allow(dead_code, reason = "each test takes what it needs")]
mod platform;
mod support;

use platform::read_request;
use serde_json::json;
use support::{BoxPlan, Cluster, base_change, call};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// A server that answers each request with its body, and writes each answer a second time before the next one on its
/// connection.
async fn echo_twice(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut copy = String::new();
            while let Ok(Some(request)) = read_request(&mut stream).await {
                let body = match request.line.starts_with("POST ") {
                    true => String::from_utf8(request.body).unwrap(),
                    false => "{\"running\":0,\"waiting\":0}".to_owned(),
                };
                let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
                let answer = format!("{head}{}\r\n\r\n{body}", body.len());
                if stream.write_all(format!("{copy}{answer}").as_bytes()).await.is_err() {
                    return;
                }
                copy = answer;
            }
        });
    }
}

/// Guards against a caller that gets the answer to another one's request: the copy of an earlier answer was taken for
/// that of the next request on its connection.
#[tokio::test]
async fn copy_of_another_answer_is_not_given_to_the_next_caller_of_a_repeatable_service() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(echo_twice(listener));
    let cluster = Cluster::start(&[BoxPlan::replica("a")]).await;
    let settings = "[service notes]\nkind = plain\nrepeatable = true\n";
    cluster.apply(&format!("{settings}{}", base_change(&[("n1", "notes", addr)]))).await;
    cluster.wait_revision("a", 1).await;
    for note in ["first", "second", "third"] {
        let body = json!({ "note": note });
        let answer = call(cluster.entry("a"), "/services/notes/x", &[], &body).await.unwrap();
        match answer.status.as_u16() {
            200 => assert_eq!(answer.json(), body),
            status => assert_eq!(status, 502, "{}", answer.text()),
        }
    }
}
