//! Asks backend servers for a report on themselves when something makes doubt whether they are still in the
//! life that is known. Which are asked, and when, is in [`crate::decide::lives`].

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Uri};

use super::Relay;
use super::call::ServerReport;
use super::known::Known;
use crate::backend::{Reuse, SendFault};
use crate::decide::lives::IncarnationUpdate;

/// How long a server may take. It needs no place for this, so one that is well answers at once.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);

/// Bytes of a report at most: it names what runs there, some hundred requests.
const REPORT_LIMIT: usize = 256 << 10;

/// Asks what is doubtful until the task is dropped.
pub async fn run(relay: Arc<Relay>) {
    loop {
        for known in relay.servers.doubtful().await {
            if relay.reports_incarnation(&known) {
                tokio::spawn(ask(relay.clone(), known));
            }
        }
    }
}

async fn ask(relay: Arc<Relay>, known: Arc<Known>) {
    match report(&relay, &known).await {
        Ok(Some(report)) => {
            let heard = relay.servers.apply_report(&known, &report);
            relay.context.metrics.count_report("read");
            // The others hear it with this box's next word.
            if heard == IncarnationUpdate::Restarted {
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

async fn report(relay: &Relay, known: &Known) -> Result<Option<ServerReport>, SendFault> {
    let addr = known.server.addr;
    let (path, mut headers) = relay.context.dialect.write_report(&known.server.id);
    if let Ok(host) = HeaderValue::from_str(&addr.to_string()) {
        headers.insert(HOST, host);
    }
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    *request.headers_mut() = headers;
    let exchange = relay.context.pool.send(addr, request, ANSWER_TIME, Reuse::Any).await?;
    let status = exchange.status;
    let body = exchange.read_whole(REPORT_LIMIT, ANSWER_TIME).await?;
    Ok(if status.is_success() { relay.context.dialect.read_report(&body) } else { None })
}
