//! What a caller's connection is taken to be doing.

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

/// The last piece of an answer may be given up once the next request has begun: the connection is at that
/// one, and whatever arrives then is no new head, whose time would end the answer.
#[tokio::test]
async fn connection_is_at_its_request_although_an_earlier_answer_is_given_up_late() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let gate = Gate::new(LIMITS);
    let held: Arc<Mutex<Vec<Arc<Busy>>>> = Arc::default();
    let (begun, go) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (keeping, starting, waiting) = (held.clone(), begun.clone(), go.clone());
    let handler = move |request: Request<Incoming>| {
        let (held, begun, go) = (keeping.clone(), starting.clone(), waiting.clone());
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
    let refusal = || answer::failed(&Failure::new(Kind::TooManyCallers, "no place"));
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
    assert_eq!(gate.counts(), (1, 0), "it rests while its second request is answered");
    go.notify_one();
    assert!(stream.read(&mut read).await.unwrap() > 0);
}
