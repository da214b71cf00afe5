//! Metrics by OpenTelemetry, read in the Prometheus text format.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::{Result, WrapErr};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use tokio::net::TcpListener;

use super::gauges::Gauges;
use crate::decide::completeness::Framing;
use crate::decide::sends::{NamedRequest, NotRunProof};
use crate::http::listen::accept;
use crate::node::Node;

/// Bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.75, 1.0, 2.5, 5.0, 10.0];

/// Every instrument of a node.
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    first_token: Histogram<f64>,
    allowance_wait: Histogram<f64>,
    demands: Counter<u64>,
    tokens: Counter<u64>,
    attempts: Counter<u64>,
    resumes: Counter<u64>,
    policy_faults: Counter<u64>,
    reports: Counter<u64>,
    ends: Counter<u64>,
    connects: Counter<u64>,
    answer_ends: Counter<u64>,
    foreign_answers: Counter<u64>,
    proofs: Counter<u64>,
    forwards: Counter<u64>,
    returns: Counter<u64>,
    proxied: Counter<u64>,
    unread_entries: Counter<u64>,
    late: Counter<u64>,
    gauges: Gauges,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// When the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("build the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("emberturn");
        let first_token = meter
            .f64_histogram("emberturn_first_token_seconds")
            .with_description("Time from a request's head to the first token given to the caller")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build();
        let allowance_wait = meter
            .f64_histogram("emberturn_allowance_wait_seconds")
            .with_description("Time that requests waited for their team's allowance")
            .with_boundaries(LATENCY_BOUNDS.to_vec())
            .build();
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Ok(Self {
            requests: counter("emberturn_requests", "Requests by team and how they ended"),
            tokens: counter("emberturn_tokens", "Tokens given to callers, by team"),
            attempts: counter("emberturn_attempts", "Attempts by backend server and outcome"),
            resumes: counter("emberturn_resumes", "Streams moved to another engine, by way"),
            policy_faults: counter("emberturn_policy_faults", "Policy runs that failed"),
            reports: counter("emberturn_reports", "Backend servers asked for a report, by outcome"),
            ends: counter(
                "emberturn_backend_servers_ended",
                "Backend servers that ended under requests of this box, by whether they were leaving",
            ),
            returns: counter(
                "emberturn_returns",
                "Callers that came back for the rest of a stream, by whether its origin was known",
            ),
            forwards: counter(
                "emberturn_forwards",
                "Requests of other boxes that this one was asked to send, by outcome",
            ),
            proxied: counter(
                "emberturn_proxied",
                "Requests that this box handed to another one, by outcome",
            ),
            connects: counter(
                "emberturn_server_connects",
                "Sends to backend servers that needed a connection, by service and outcome",
            ),
            answer_ends: counter(
                "emberturn_answer_ends",
                "Answers of backend servers whose bytes have ended, by framing and outcome",
            ),
            foreign_answers: counter(
                "emberturn_foreign_answers",
                "Answers of backend servers that came in the place of another one, by the request they name",
            ),
            proofs: counter(
                "emberturn_sends_not_run",
                "Sends to backend servers that did not run, by what proves it",
            ),
            late: counter(
                "emberturn_late_requests",
                "Requests that could not be answered before the box stopped, by outcome",
            ),
            unread_entries: counter(
                "emberturn_list_entries_unread",
                "Entries of the list of backend servers that name none, by reason",
            ),
            demands: counter(
                "emberturn_demands",
                "Demands for allowances, by whether they were answered",
            ),
            first_token,
            allowance_wait,
            gauges: Gauges::new(&meter),
            registry,
            _provider: provider,
        })
    }

    /// Counts a finished request.
    pub fn count_request(&self, team: &str, outcome: &str) {
        let labels = [KeyValue::new("team", team.to_owned()), outcome_label(outcome)];
        self.requests.add(1, &labels);
    }

    /// Records the time to a first token, in seconds.
    pub fn record_first_token(&self, team: &str, seconds: f64) {
        self.first_token.record(seconds, &[KeyValue::new("team", team.to_owned())]);
    }

    /// Records how long a request waited for its team's allowance.
    pub fn record_allowance_wait(&self, waited: Duration) {
        self.allowance_wait.record(waited.as_secs_f64(), &[]);
    }

    /// Counts a demand for allowances.
    pub fn count_demand(&self, outcome: &str) {
        self.demands.add(1, &[outcome_label(outcome)]);
    }

    /// Counts tokens given to callers.
    pub fn count_tokens(&self, team: &str, tokens: u64) {
        self.tokens.add(tokens, &[KeyValue::new("team", team.to_owned())]);
    }

    /// Counts an attempt at a backend server.
    pub fn count_attempt(&self, backend: &str, outcome: &str) {
        let labels = [KeyValue::new("backend", backend.to_owned()), outcome_label(outcome)];
        self.attempts.add(1, &labels);
    }

    /// Counts a stream moved to another engine.
    pub fn count_resume(&self, way: &'static str) {
        self.resumes.add(1, &[KeyValue::new("way", way)]);
    }

    /// Counts a policy that failed and was passed over.
    pub fn count_policy_fault(&self, policy: &str) {
        self.policy_faults.add(1, &[KeyValue::new("policy", policy.to_owned())]);
    }

    /// Counts a backend server that was asked for a report on itself.
    pub fn count_report(&self, outcome: &str) {
        self.reports.add(1, &[outcome_label(outcome)]);
    }

    /// Counts a backend server that ended under requests.
    pub fn count_end(&self, leaving: bool) {
        self.ends.add(1, &[KeyValue::new("leaving", leaving)]);
    }

    /// Counts a send that needed a new connection to a server of `service`.
    pub fn count_connect(&self, service: &str, outcome: &'static str) {
        let labels = [KeyValue::new("service", service.to_owned()), outcome_label(outcome)];
        self.connects.add(1, &labels);
    }

    /// Counts an answer of a backend server whose bytes have ended.
    pub fn count_answer_end(&self, framing: Framing, outcome: &'static str) {
        let labels = [KeyValue::new("framing", framing.name()), outcome_label(outcome)];
        self.answer_ends.add(1, &labels);
    }

    /// Counts an answer that came in the place of another one.
    pub fn count_foreign_answer(&self, named: NamedRequest) {
        self.foreign_answers.add(1, &[KeyValue::new("named", named.name())]);
    }

    /// Counts a send that did not run.
    pub fn count_proof(&self, proof: NotRunProof) {
        self.proofs.add(1, &[KeyValue::new("proof", proof.name())]);
    }

    /// Counts a request of another box.
    pub fn count_forward(&self, outcome: &'static str) {
        self.forwards.add(1, &[outcome_label(outcome)]);
    }

    /// Counts a caller that came back for the rest of a stream.
    pub fn count_return(&self, outcome: &'static str) {
        self.returns.add(1, &[outcome_label(outcome)]);
    }

    /// Counts a request that was handed to another box.
    pub fn count_proxied(&self, outcome: &'static str) {
        self.proxied.add(1, &[outcome_label(outcome)]);
    }

    /// Counts a request that could not be answered before the box stopped.
    pub fn count_late(&self, outcome: &'static str) {
        self.late.add(1, &[outcome_label(outcome)]);
    }

    /// Counts an entry of the list of backend servers that names none.
    pub fn count_unread_entry(&self, reason: &'static str) {
        self.unread_entries.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    /// When they cannot be encoded.
    pub fn render(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).wrap_err("encode metrics")?;
        Ok(text)
    }
}

fn outcome_label(outcome: &str) -> KeyValue {
    KeyValue::new("outcome", outcome.to_owned())
}

/// Serves `/metrics` until the task is dropped.
pub(crate) async fn run(node: Arc<Node>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let node = node.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let answer = answer(&node, request.uri().path());
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            let _ = connection.await;
        });
    }
}

fn answer(node: &Node, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        "/metrics" => {
            node.metrics.gauges.record(node);
            match node.metrics.render() {
                Ok(text) => (StatusCode::OK, text),
                Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes()),
            }
        }
        _ => (StatusCode::NOT_FOUND, b"only /metrics is here".to_vec()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
