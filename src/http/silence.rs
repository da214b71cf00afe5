//! Connections whose other side has fallen silent: a box without power, or one behind a cut, resets
//! nothing.

use std::io;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// How long the other side may acknowledge nothing. Callers give a silent stream up within about this
/// time; a cut that heals sooner costs nothing.
pub const SILENCE_LIMIT: Duration = Duration::from_secs(4);

/// Time between two probes of a connection on which nothing goes: a pooled one that is dead is found
/// within [`SILENCE_LIMIT`] and this.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Has the system close the connection once its other side has acknowledged nothing for
/// [`SILENCE_LIMIT`]. A side that is merely slow acknowledges.
///
/// # Errors
/// When the system refuses an option.
pub fn limit_silence(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_TIME).with_interval(PROBE_TIME);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
