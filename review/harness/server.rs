//! A sound server: it runs what it is sent, and each answer is its own.

use std::io::{BufReader, Write};
use std::net::{IpAddr, Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::system::{Listed, Record, System};

/// A stream has this many events, with this time between them.
const EVENTS: u64 = 30;
pub const GAP: Duration = Duration::from_millis(100);

/// The time that a whole answer takes.
const WORK: Duration = Duration::from_millis(15);

/// A server of one software version: a stream behind `/draft/`, a whole answer behind `/post/`.
pub struct Server {
    pub id: String,
    service: &'static str,
    slots: u32,
    version: &'static str,
    stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    record: Record,
}

impl Server {
    pub fn new(
        service: &'static str,
        slots: u32,
        number: u8,
        version: &'static str,
        record: &Record,
    ) -> Arc<Self> {
        Arc::new(Self {
            id: format!("i-{version}-{number}"),
            service,
            slots,
            version,
            stopped: AtomicBool::new(false),
            connections: Mutex::default(),
            record: record.clone(),
        })
    }

    /// Listens, and has the platform list the server.
    pub fn start(self: Arc<Self>, system: &System, ip: IpAddr) {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let (id, version) = (self.id.clone(), self.version.to_owned());
        let (service, slots) = (self.service.to_owned(), self.slots);
        let listed = Listed { id, service, addr, version, slots, state: "ready" };
        system.listing.lock().unwrap().push(listed);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if self.stopped.load(Ordering::SeqCst) {
                    return;
                }
                self.connections.lock().unwrap().push(stream.try_clone().unwrap());
                let server = self.clone();
                thread::spawn(move || {
                    let _ = server.converse(stream);
                });
            }
        });
    }

    /// Has the platform show that the server is leaving. It serves on.
    pub fn drain(&self, system: &System) {
        let mut listing = system.listing.lock().unwrap();
        listing.iter_mut().filter(|it| it.id == self.id).for_each(|it| it.state = "draining");
        self.record.line(&format!("server {} is draining", self.id));
    }

    /// Stops at once: all connections end.
    pub fn stop(&self, system: &System) {
        self.stopped.store(true, Ordering::SeqCst);
        let mut listing = system.listing.lock().unwrap();
        let addr = listing.iter().find(|it| it.id == self.id).map(|it| it.addr);
        listing.retain(|it| it.id != self.id);
        drop(listing);
        for stream in self.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = addr.map(TcpStream::connect);
        self.record.line(&format!("server {} is stopped", self.id));
    }

    fn converse(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            let id = request.header("request-id").to_owned();
            let is_stream = request.line.starts_with("POST /draft/");
            if !is_stream && !request.line.starts_with("POST /post/") {
                writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            }
            if request.header("expect-instance") != self.id {
                let head = "HTTP/1.1 421 Misdirected Request";
                let answer = format!(
                    "{head}\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            match is_stream {
                true => self.stream_events(&request, &id, &mut writer)?,
                false => self.answer(&id, &mut writer)?,
            }
        }
        Ok(())
    }

    fn answer(&self, id: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        self.record.line(&format!("server {} runs {id}", self.id));
        thread::sleep(WORK);
        let (own, body) = (&self.id, format!("done {id}"));
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {own}.{id}");
        let answer = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        writer.write_all(answer.as_bytes())
    }

    fn stream_events(
        &self,
        request: &Message,
        id: &str,
        writer: &mut TcpStream,
    ) -> std::io::Result<()> {
        let last: u64 = request.header("last-event-id").parse().unwrap_or(0);
        self.record.line(&format!("server {} runs {id} behind event {last}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\n\
             Response-Signature: {}.{id}\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes())?;
        for event in last + 1..=EVENTS {
            thread::sleep(GAP);
            let text = format!("id: {event}\ndata: {}\n\n", self.version);
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
