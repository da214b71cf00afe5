//! Asks backend servers for a report when they may have restarted since their incarnation became
//! known. Which servers are asked, and when, is decided in [`crate::decide::lives`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};

use super::Relay;
use super::call::ServerReport;
use super::known::KnownServer;
use super::reach;
use crate::backend::{Reuse, SendFault};
use crate::decide::lives::IncarnationUpdate;

/// How long a server may take to answer. A report needs no request slot, so a healthy server
/// answers at once.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The largest report accepted, in bytes. A report lists the server's requests, up to some hundred.
const MAX_REPORT_BYTES: usize = 256 << 10;

/// Asks suspect servers for reports until the task is dropped.
pub async fn run(relay: Arc<Relay>) {
    loop {
        for known in relay.servers.next_suspects().await {
            if relay.reports_incarnation(&known) {
                tokio::spawn(request_report(relay.clone(), known));
            }
        }
    }
}

async fn request_report(relay: Arc<Relay>, known: Arc<KnownServer>) {
    match fetch_report(&relay, &known).await {
        Ok(Some(report)) => {
            let update = relay.servers.apply_report(&known, &report);
            relay.context.metrics.count_report("read");
            // The next heartbeat passes the restart on to the other boxes; send it now.
            if update == IncarnationUpdate::Restarted {
                relay.heartbeat_requested.notify_one();
            }
        }
        Ok(None) => {
            relay.context.metrics.count_report("unreadable");
            tracing::debug!(event = "report_unreadable", backend_server = %known.server.id);
        }
        Err(fault) => {
            relay.context.metrics.count_report("unanswered");
            tracing::debug!(event = "report_unanswered", backend_server = %known.server.id, %fault);
        }
    }
}

async fn fetch_report(
    relay: &Relay,
    known: &Arc<KnownServer>,
) -> Result<Option<ServerReport>, SendFault> {
    let addr = known.server.addr;
    let (path, mut headers) = relay.context.dialect.write_report(&known.server.id);
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        headers.insert(HOST, host);
    }
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    *request.headers_mut() = headers;
    let mut exchange = reach::send(relay, known, request, REPORT_TIMEOUT, Reuse::Any).await?;
    let status = exchange.status;
    if !status.is_success() {
        exchange.close_after();
    }
    let body = exchange.read_whole(MAX_REPORT_BYTES, REPORT_TIMEOUT).await?;
    Ok(if status.is_success() { relay.context.dialect.read_report(&body) } else { None })
}
