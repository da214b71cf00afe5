//! The state that the gate tracks for a caller's connection.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use emberturn::error::{Failure, Kind};
use emberturn::http::gate::{Busy, Gate};
use emberturn::http::server::{self, Limits};
use emberturn::http::{answer, whole};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

const TIME: Duration = Duration::from_secs(10);

const LIMITS: Limits =
    Limits { callers: 4, head: 8_192, head_time: TIME, rest_time: TIME, write_time: TIME };

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";

/// The last bytes of an answer can be dropped after the next request has begun. The connection must
/// still count as busy: if it counted as waiting for a head, the head timeout would end the answer
/// to the next request.
#[tokio::test]
async fn connection_stays_busy_when_an_earlier_answer_is_dropped_late() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let gate = Gate::new(LIMITS);
    let held: Arc<Mutex<Vec<Arc<Busy>>>> = Arc::default();
    let (begun, go) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (handler_held, handler_begun, handler_go) = (held.clone(), begun.clone(), go.clone());
    let handler = move |request: Request<Incoming>| {
        let (held, begun, go) = (handler_held.clone(), handler_begun.clone(), handler_go.clone());
        async move {
            let busy = request.extensions().get::<Arc<Busy>>().unwrap().clone();
            let is_first = held.lock().unwrap().is_empty();
            if is_first {
                held.lock().unwrap().push(busy);
            } else {
                begun.notify_one();
                go.notified().await;
            }
            Response::new(whole("answer"))
        }
    };
    let refusal = || answer::failed(&Failure::new(Kind::TooManyCallers, "too many connections"));
    let (_open, closing) = watch::channel(false);
    tokio::spawn(server::run(listener, gate.clone(), closing, handler, refusal));
    let mut stream = TcpStream::connect(addr).await.unwrap();
    let mut read = [0; 1_024];
    stream.write_all(REQUEST).await.unwrap();
    assert!(stream.read(&mut read).await.unwrap() > 0);
    stream.write_all(REQUEST).await.unwrap();
    begun.notified().await;
    assert_eq!(gate.counts(), (1, 0));
    held.lock().unwrap().clear();
    assert_eq!(gate.counts(), (1, 0), "it counts as idle while its second request is answered");
    go.notify_one();
    assert!(stream.read(&mut read).await.unwrap() > 0);
}
