//! `emberturn ask`: sends a request as a caller does and prints the tokens as they come.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::{OptionParser, Parser, construct, long, positional};
use bytes::Bytes;
use eyre::{Result, eyre};
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use super::exit;
use super::operator::exit_with;
use crate::backend::sse::EventReader;
use crate::backend::{Pool, Reuse};

/// How long a node may be silent.
const SILENCE: Duration = Duration::from_secs(120);

/// Bytes of a refusal at most.
const REFUSAL_LIMIT: usize = 64 << 10;

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// Where the entry node takes callers.
    pub entry: SocketAddr,
    /// The team's key.
    pub key: String,
    /// The model.
    pub model: String,
    /// The most tokens to generate.
    pub tokens: u64,
    /// The prompt.
    pub prompt: String,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("ask").help("Send a request and print its tokens as they come")
}

fn options() -> OptionParser<Arguments> {
    let entry = long("entry")
        .help("Where the entry node takes callers")
        .env("EMBERTURN_ENTRY")
        .argument("ADDR");
    let key = long("key").help("The team's key").env("EMBERTURN_KEY").argument("KEY");
    let model = long("model").help("The model, which is the service's name").argument("NAME");
    let tokens =
        long("tokens").help("The most tokens").argument("N").fallback(64).display_fallback();
    let prompt = positional("PROMPT");
    construct!(Arguments { entry, key, model, tokens, prompt })
        .to_options()
        .descr("Send a request as a caller does")
}

/// Sends the request and prints its answer.
///
/// # Errors
/// When the node cannot be reached, or breaks off.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    let body = json!({
        "model": arguments.model, "prompt": arguments.prompt,
        "max_tokens": arguments.tokens, "stream": true,
    });
    let request = Request::post("/v1/completions")
        .header("host", arguments.entry.to_string())
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", arguments.key))
        .body(Full::new(Bytes::from(body.to_string())))?;
    let mut exchange =
        Pool::default().send(arguments.entry, request, SILENCE, Reuse::Never).await?;
    if !exchange.status.is_success() {
        let body = exchange.read_whole(REFUSAL_LIMIT, SILENCE).await?;
        eprintln!("{}", String::from_utf8_lossy(&body));
        return exit_with(exit::REFUSED);
    }
    let trace = exchange.headers.get("emberturn-trace").cloned();
    let mut events = EventReader::default();
    while let Some(piece) = exchange.next(SILENCE).await? {
        events.push(&piece);
        while let Some(data) = events.next_event()? {
            if data == "[DONE]" {
                println!();
                let id = trace.as_ref().and_then(|value| value.to_str().ok()).unwrap_or("");
                eprintln!("trace {id}");
                return exit_with(exit::DONE);
            }
            print_piece(&data)?;
        }
    }
    Err(eyre!("the answer broke off"))
}

fn print_piece(data: &str) -> Result<()> {
    let value: Value = serde_json::from_str(data)?;
    if let Some(error) = value.get("error") {
        return Err(eyre!("{error}"));
    }
    let text = value.pointer("/choices/0/text").and_then(Value::as_str).unwrap_or("");
    print!("{text}");
    std::io::stdout().flush()?;
    Ok(())
}
