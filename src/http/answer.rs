//! Writes answers to callers.

use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{Value, json};

use crate::error::{Failure, Kind, RunState};
use crate::http::status::answer_status;
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

/// An answer as the ledger or kept work holds it. One with a status that no answer may have, as a box of another
/// version records it, leaves open what became of the request.
pub fn recorded(answer: &RecordedAnswer) -> Response<Body> {
    let status = match answer_status(answer.status) {
        Ok(status) => status,
        Err(error) => return failed(&Failure::new(Kind::BackendInvalid, error.to_string())),
    };
    let body = answer.body.clone().unwrap_or_default();
    let mut response = Response::new(whole(body));
    *response.status_mut() = status;
    if let Ok(content) = HeaderValue::from_str(&answer.content) {
        response.headers_mut().insert(CONTENT_TYPE, content);
    }
    if answer.body.is_none() {
        let value = HeaderValue::from_static("omitted");
        response.headers_mut().insert("emberturn-recorded-body", value);
    }
    with_run(response, RunState::Done)
}

/// A recorded answer for a caller that asked for a stream: one chunk with all of it. What holds no result is given as it
/// was recorded.
pub fn recorded_stream(answer: &RecordedAnswer) -> Response<Body> {
    let value = answer.body.as_ref().and_then(|body| serde_json::from_str(body).ok());
    let is_success = answer_status(answer.status).is_ok_and(|status| status.is_success());
    let Some(mut value) = value.filter(|_: &Value| is_success) else {
        return recorded(answer);
    };
    if let Some(choice) = value.pointer_mut("/choices/0").and_then(Value::as_object_mut)
        && let Some(message) = choice.remove("message")
    {
        choice.insert("delta".to_owned(), message);
    }
    event_stream(whole(format!("data: {value}\n\ndata: [DONE]\n\n")))
}

/// A stream's answer. Its head only says that the request runs; its closing event says the outcome.
pub fn event_stream(body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
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
