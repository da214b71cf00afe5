//! A stand-in for the platform's interface.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};

use emberturn_fakes::http;
use hyper::StatusCode;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::platform::StandIn;

/// What the platform is asked: the calls by path, with their bodies.
type Calls = Arc<Mutex<Vec<(String, Value, Option<u64>)>>>;

/// A stand-in for the platform's interface.
pub struct Cloud {
    /// Where it listens.
    pub addr: SocketAddr,
    servers: Arc<Mutex<Vec<Value>>>,
    calls: Calls,
}

impl Cloud {
    /// Starts one that lists nothing.
    pub async fn start(ip: IpAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let servers: Arc<Mutex<Vec<Value>>> = Arc::default();
        let calls = Calls::default();
        let (listed, heard) = (servers.clone(), calls.clone());
        tokio::spawn(http::serve(listener, move |request| {
            let (listed, heard) = (listed.clone(), heard.clone());
            async move {
                let path = request.uri().path().to_owned();
                if path == "/instances" {
                    let page =
                        json!({ "instances": *listed.lock().unwrap(), "next_page_token": null });
                    return http::json(StatusCode::OK, &page);
                }
                let fence = request.headers().get("fencing-token");
                let fence = fence.and_then(|value| value.to_str().ok()?.parse().ok());
                let body = http::read_body(request).await;
                let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                heard.lock().unwrap().push((path, body, fence));
                http::json(StatusCode::OK, &json!({}))
            }
        }));
        Self { addr, servers, calls }
    }

    /// Lists engines of a service at which nobody listens.
    pub fn list_engines(&self, count: u32, service: &str) {
        let engine = |number: u32| {
            json!({
                "id": format!("i-{:08x}", number.wrapping_mul(0x9e37_79b1)), "service": service,
                "address": format!("127.0.0.1:{}", 1 + number % 9), "version": "v1", "slots": 12,
                "zone": format!("zone-{}", number % 7), "state": "ready", "cold_remaining_ms": 0,
            })
        };
        self.servers.lock().unwrap().extend((0..count).map(engine));
    }

    /// Lists a stand-in as a ready server.
    pub fn list(&self, server: &StandIn, service: &str) {
        self.list_release(server, service, "v1");
    }

    /// Lists a stand-in as a ready server of a release.
    pub fn list_release(&self, server: &StandIn, service: &str, release: &str) {
        let listed = server.listed(service);
        self.servers.lock().unwrap().push(json!({
            "id": listed.id, "service": listed.service, "address": listed.addr, "zone": "here",
            "version": release, "slots": 8, "state": "ready", "cold_remaining_ms": 0,
        }));
    }

    /// Lists entries as they are.
    pub fn list_entries(&self, entries: Vec<Value>) {
        self.servers.lock().unwrap().extend(entries);
    }

    /// Lists a server no longer.
    pub fn unlist(&self, id: &str) {
        self.servers.lock().unwrap().retain(|listed| listed["id"] != id);
    }

    /// The calls to a path so far, with their fences.
    pub fn calls(&self, path: &str) -> Vec<(Value, Option<u64>)> {
        let calls = self.calls.lock().unwrap();
        let found = calls.iter().filter(|(to, ..)| to == path);
        found.map(|(_, body, fence)| (body.clone(), *fence)).collect()
    }
}
