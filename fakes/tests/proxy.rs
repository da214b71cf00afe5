//! The proxy's faults, which other tests rely on.

use emberturn_fakes::http;
use emberturn_fakes::proxy::{Fault, Proxy};
use emberturn_fakes::service::Service;
use serde_json::json;
use std::time::Duration;

async fn proxied() -> (Service, Proxy) {
    let (service, addr) = Service::start(Duration::ZERO).await.unwrap();
    (service, Proxy::start(Some(addr)).await.unwrap())
}

#[tokio::test]
async fn forwards_both_ways() {
    let (service, proxy) = proxied().await;
    let answer = http::call(proxy.addr, http::post("/x", &[], &json!({ "a": 1 }))).await.unwrap();
    assert_eq!(answer.json()["number"], 1);
    assert_eq!(service.journal().len(), 1);
    let (towards, back) = proxy.bytes();
    assert!(towards > 0 && back > 0);
}

#[tokio::test]
async fn cut_request_never_arrives_whole() {
    let (service, proxy) = proxied().await;
    proxy.set(Fault::CutRequest(40));
    let result = http::call(proxy.addr, http::post("/x", &[], &json!({ "a": 1 }))).await;
    assert!(result.is_err());
    assert!(service.journal().iter().all(String::is_empty));
}

#[tokio::test]
async fn cut_answer_breaks_after_the_service_ran() {
    let (service, proxy) = proxied().await;
    proxy.set(Fault::CutAnswer(0));
    let result = http::call(proxy.addr, http::post("/x", &[], &json!({ "a": 1 }))).await;
    assert!(result.is_err());
    assert_eq!(service.journal().len(), 1);
}

#[tokio::test]
async fn refused_connection_is_broken() {
    let (service, proxy) = proxied().await;
    proxy.set(Fault::Refuse);
    assert!(http::call(proxy.addr, http::get("/x", &[])).await.is_err());
    assert!(service.journal().is_empty());
}
