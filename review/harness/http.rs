//! HTTP/1.1 messages over blocking sockets: just what the stand-ins and the clients need.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message head and its whole body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The request line or status line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing marks.
    pub complete: bool,
}

impl Message {
    /// A header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => return Ok(Some(message)),
        }
    }
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, |_| {})?;
    Ok(Some(message))
}

/// Reads the body that a head announces. `piece` gets each part as it arrives.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    mut piece: impl FnMut(&[u8]),
) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return Err(io::ErrorKind::InvalidData.into());
            };
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            chunk.truncate(length);
            piece(&chunk);
            message.body.extend_from_slice(&chunk);
            if length == 0 {
                message.complete = true;
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    piece(&body);
    message.body = body;
    message.complete = true;
    Ok(())
}

/// Sends one request on a new connection and reads the whole response.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    (&stream).write_all(request)?;
    let mut reader = BufReader::new(stream);
    let mut message = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &mut message, |_| {})?;
    Ok(message)
}
