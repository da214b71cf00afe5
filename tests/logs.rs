//! Logs explain a request afterwards, and never hold one up.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use emberturn::cmd::trace::read_line;
use emberturn_fakes::cluster::binary;

/// How long a test waits for what must come.
const PATIENCE: Duration = Duration::from_secs(20);

const LINES: &str = "\
ts=2026-01-02T00:00:02Z level=info target=emberturn::relay event=request_failed id=r-7 kind=no_backend detail=\"no backend server of a \\\"b\\\" takes work\" ms=3\n\
ts=2026-01-02T00:00:01Z level=info target=emberturn::relay event=server_chosen id=r-7 backend_server=i-1 requests=4\n\
ts=2026-01-02T00:00:01Z level=info target=emberturn::relay event=server_chosen id=r-70 backend_server=i-2\n";

#[test]
fn line_is_read_into_its_fields() {
    let fields = read_line(LINES.lines().next().unwrap());
    assert_eq!(fields["event"], "request_failed");
    assert_eq!(fields["detail"], "no backend server of a \"b\" takes work");
    assert_eq!(fields["ms"], "3");
}

#[test]
fn trace_shows_a_request_from_logs_in_order_of_time() {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(LINES.as_bytes()).unwrap();
    let run = |words: &[&str]| {
        let command = Command::new(binary("emberturn")).arg("trace").args(words).output().unwrap();
        (command.status.code(), String::from_utf8(command.stdout).unwrap())
    };
    let path = file.path().to_str().unwrap();
    let (code, text) = run(&["--log", path, "r-7"]);
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(code, Some(0), "{text}");
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].contains("server_chosen") && lines[1].contains("no_backend"), "{text}");
    let (code, text) = run(&["--log", path, "--json", "r-70"]);
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!((code, value[0]["fields"]["backend_server"].as_str()), (Some(0), Some("i-2")));
    assert_eq!(run(&["--log", path, "r-8"]).0, Some(3));
}

#[test]
fn reader_that_stops_reading_holds_no_request_up() {
    let folder = tempfile::tempdir().unwrap();
    let free = || TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (front, ready, peer, metrics) = (free(), free(), free(), free());
    let file = folder.path().join("relay.ini");
    let text = format!(
        "[node]\nbox_id = relay\ndata_centre = here\nroles = relay\n[replicas]\nr = 127.0.0.1:1\n\
         [peer]\nlisten = {peer}\n[metrics]\nlisten = {metrics}\n\
         [relay]\nlisten = {front}\nready = {ready}\n"
    );
    std::fs::write(&file, text).unwrap();
    // Its output goes into a pipe that nobody reads.
    let mut child = Command::new(binary("emberturn"))
        .arg("node")
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut stream = connect(front);
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    // Every one is refused with a line of its own: many times what a pipe holds.
    let request = b"GET /x HTTP/1.1\r\nHost: a\r\nRequest-Id: r-1\r\n\r\n";
    let mut held = Vec::new();
    for _ in 0..4_000 {
        stream.write_all(request).unwrap();
        while !held.windows(4).any(|four| four == b"\r\n\r\n") {
            let mut piece = [0; 4_096];
            let read = stream.read(&mut piece).unwrap();
            assert!(read > 0);
            held.extend_from_slice(&piece[..read]);
        }
        let head = String::from_utf8_lossy(&held).into_owned();
        assert!(head.starts_with("HTTP/1.1 503"), "{head}");
        let (front, _) = head.split_once("\r\n\r\n").unwrap();
        let length = front.to_ascii_lowercase();
        let length: usize = length
            .split("content-length: ")
            .nth(1)
            .unwrap()
            .lines()
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let whole = front.len() + 4 + length;
        while held.len() < whole {
            let mut piece = [0; 4_096];
            let read = stream.read(&mut piece).unwrap();
            held.extend_from_slice(&piece[..read]);
        }
        held.drain(..whole);
    }
    child.kill().unwrap();
    child.wait().unwrap();
}

/// Connects as soon as the address is listened at.
fn connect(addr: SocketAddr) -> TcpStream {
    let began = Instant::now();
    loop {
        match TcpStream::connect(addr) {
            Ok(stream) => return stream,
            Err(error) if began.elapsed() > PATIENCE => panic!("{error}"),
            Err(_) => std::thread::yield_now(),
        }
    }
}
