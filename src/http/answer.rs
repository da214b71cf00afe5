//! Writes answers to callers.

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use crate::error::{Failure, RunState};
pub use crate::http::{Body, whole};
use crate::state::ledger::RecordedAnswer;

/// Says what is known of the request: `done`, `not_run` or `unknown`.
pub const RUN_HEADER: HeaderName = HeaderName::from_static("emberturn-run");

/// The trace's id, for `emberturn trace`.
pub const TRACE_HEADER: HeaderName = HeaderName::from_static("emberturn-trace");

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// A JSON answer to a request that ran.
pub fn done(value: &Value) -> Response<Body> {
    with_run(json_answer(StatusCode::OK, value), RunState::Done)
}

/// A JSON answer that is not about a request that ran.
pub fn json_answer(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(whole(value.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, JSON);
    response
}

/// The body of a failure.
pub fn failure_value(failure: &Failure) -> Value {
    let row = failure.kind.answer();
    json!({ "error": {
        "code": row.code, "message": failure.detail, "run": row.run, "retryable": row.again,
    }})
}

/// A failure's answer.
pub fn failed(failure: &Failure) -> Response<Body> {
    let row = failure.kind.answer();
    let mut response = with_run(json_answer(row.status, &failure_value(failure)), row.run);
    if let Some(wait) = failure.retry_after {
        let seconds = wait.as_secs_f64().ceil().max(1.0) as u64;
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// An answer as the ledger or kept work holds it.
pub fn recorded(answer: &RecordedAnswer) -> Response<Body> {
    let body = answer.body.clone().unwrap_or_default();
    let mut response = Response::new(whole(body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Ok(content) = HeaderValue::from_str(&answer.content) {
        response.headers_mut().insert(CONTENT_TYPE, content);
    }
    if answer.body.is_none() {
        let value = HeaderValue::from_static("omitted");
        response.headers_mut().insert("emberturn-recorded-body", value);
    }
    with_run(response, RunState::Done)
}

/// Adds what is known of the request.
pub fn with_run(mut response: Response<Body>, run: RunState) -> Response<Body> {
    let value = match run {
        RunState::Done => HeaderValue::from_static("done"),
        RunState::NotRun => HeaderValue::from_static("not_run"),
        RunState::Unknown => HeaderValue::from_static("unknown"),
    };
    response.headers_mut().insert(RUN_HEADER, value);
    response
}
