//! How one box asks another to send a request to a backend server, and what the other answers.
//!
//! The request keeps the form in which the server gets it. Headers beside it, which the other box removes, name the
//! server, the time left and the connection that may be used. The answer is the server's own, marked as forwarded, or
//! says why there is none and what that proves. An answer that is neither proves nothing.
//!
//! The other box ends the answer by its last chunk, whatever marked its end at the server. It therefore names the
//! server's framing, without which an early end would pass for a complete answer.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;

use crate::backend::{Reuse, SendFault};
use crate::decide::completeness::Framing;
use crate::ids::BackendId;

/// The version of these headers. It changes when one of them changes its meaning.
const VERSION: &str = "1";

const VERSION_HEADER: &str = "emberturn-hop";
const SECRET: &str = "emberturn-hop-secret";
const ACTION: &str = "emberturn-hop-action";
const SERVER: &str = "emberturn-hop-server";
/// The time left, in milliseconds.
const TIME_LEFT: &str = "emberturn-hop-time-left";
/// The longest idle time, in milliseconds, of a pooled connection that may carry the request; 0 if none may.
const MAX_IDLE: &str = "emberturn-hop-max-idle";
const FAULT: &str = "emberturn-hop-fault";
/// The version, then the framing of the server's answer in a line of its own. A box of the former release reads only
/// the first line, and removes both.
const FORWARDED: &str = "emberturn-hop-forwarded";

/// All headers of this module.
const HEADERS: [&str; 8] =
    [VERSION_HEADER, SECRET, ACTION, SERVER, TIME_LEFT, MAX_IDLE, FAULT, FORWARDED];

/// What a box asks another one to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HopAction {
    /// To send the request.
    Send,
    /// To find out whether it can connect to the server.
    Probe,
}

/// What a box asks of another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HopRequest {
    /// What the other box is to do.
    pub action: HopAction,
    /// The server.
    pub server: BackendId,
    /// The time left for the answer.
    pub time_left: Duration,
    /// The connection that may carry the request.
    pub reuse: Reuse,
}

/// Why the other box has no answer of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HopFault {
    /// It does not forward for whoever asks: the secret is wrong.
    Unauthorized,
    /// It does not understand the request: it is of another release.
    Unsupported,
    /// It has no room, or is stopping.
    Busy,
    /// It does not reach the service either.
    CutOff,
    /// It could not connect, and cannot tell whether its own path or the server is at fault.
    Unsure,
    /// It does not know the server, knows that it is leaving, or was asked by it for a pause.
    Unavailable,
    /// It could not connect, although it reaches other servers of the service.
    NotSent,
    /// The same, as nobody listens at the server's address.
    Refused,
    /// The connection broke after bytes may have been sent.
    Broke,
    /// No answer in time after bytes may have been sent.
    TimedOut,
}

impl HopFault {
    const ALL: [Self; 10] = [
        Self::Unauthorized,
        Self::Unsupported,
        Self::Busy,
        Self::CutOff,
        Self::Unsure,
        Self::Unavailable,
        Self::NotSent,
        Self::Refused,
        Self::Broke,
        Self::TimedOut,
    ];

    /// The name in the header.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Unsupported => "unsupported",
            Self::Busy => "busy",
            Self::CutOff => "cut_off",
            Self::Unsure => "unsure",
            Self::Unavailable => "unavailable",
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Broke => "broke",
            Self::TimedOut => "timed_out",
        }
    }

    fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}

impl From<&SendFault> for HopFault {
    fn from(fault: &SendFault) -> Self {
        match fault {
            SendFault::NotSent(_) => Self::NotSent,
            SendFault::Refused(_) => Self::Refused,
            SendFault::Broke(_)
            | SendFault::TooLarge(_)
            | SendFault::Endless(_)
            | SendFault::Status(_) => Self::Broke,
            SendFault::TimedOut => Self::TimedOut,
        }
    }
}

/// What the other box answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HopReply {
    /// The answer of the server, and what marked its end there; or to a probe that it can connect.
    Forwarded(Framing),
    /// There is none.
    Failed(HopFault),
    /// Neither: the answer is not of a box, or of an unknown release.
    Unknown,
}

impl HopRequest {
    /// Adds the headers.
    pub fn write(&self, headers: &mut HeaderMap, secret: &str) {
        let action = match self.action {
            HopAction::Send => "send",
            HopAction::Probe => "probe",
        };
        let max_idle = match self.reuse {
            Reuse::Any => None,
            Reuse::Rested(rest) => Some(rest.as_millis() as u64),
            Reuse::Never => Some(0),
        };
        headers.insert(VERSION_HEADER, HeaderValue::from_static(VERSION));
        headers.insert(ACTION, HeaderValue::from_static(action));
        headers.insert(TIME_LEFT, HeaderValue::from(self.time_left.as_millis() as u64));
        if let Some(max_idle) = max_idle {
            headers.insert(MAX_IDLE, HeaderValue::from(max_idle));
        }
        for (name, value) in [(SERVER, self.server.as_str()), (SECRET, secret)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                headers.insert(name, value);
            }
        }
    }

    /// Takes the headers out of a request.
    ///
    /// # Errors
    /// [`HopFault::Unauthorized`] or [`HopFault::Unsupported`].
    pub fn take(headers: &mut HeaderMap, secret: &str) -> Result<Self, HopFault> {
        let read = Self::read(headers, secret);
        HEADERS.iter().for_each(|name| drop(headers.remove(*name)));
        read
    }

    fn read(headers: &HeaderMap, secret: &str) -> Result<Self, HopFault> {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let millis = |name: &str| text(name)?.parse().ok().map(Duration::from_millis);
        if text(VERSION_HEADER) != Some(VERSION) {
            return Err(HopFault::Unsupported);
        }
        if text(SECRET).unwrap_or_default() != secret {
            return Err(HopFault::Unauthorized);
        }
        let action = match text(ACTION) {
            Some("send") => HopAction::Send,
            Some("probe") => HopAction::Probe,
            Some(_) | None => return Err(HopFault::Unsupported),
        };
        let reuse = match millis(MAX_IDLE) {
            None if headers.contains_key(MAX_IDLE) => Reuse::Never,
            None => Reuse::Any,
            Some(Duration::ZERO) => Reuse::Never,
            Some(rest) => Reuse::Rested(rest),
        };
        let server = text(SERVER).and_then(|text| text.parse().ok());
        let (Some(server), Some(time_left)) = (server, millis(TIME_LEFT)) else {
            return Err(HopFault::Unsupported);
        };
        Ok(Self { action, server, time_left, reuse })
    }
}

impl HopReply {
    /// Adds the headers.
    pub fn write(self, headers: &mut HeaderMap) {
        match self {
            Self::Forwarded(framing) => {
                headers.insert(FORWARDED, HeaderValue::from_static(VERSION));
                headers.append(FORWARDED, HeaderValue::from_static(framing.name()));
            }
            Self::Failed(fault) => {
                headers.insert(FAULT, HeaderValue::from_static(fault.name()));
            }
            Self::Unknown => {}
        }
    }

    /// Takes the headers out of an answer. A server's own header of such a name does not count: the other box removes
    /// it.
    pub fn take(headers: &mut HeaderMap) -> Self {
        let fault = headers.remove(FAULT);
        let fault = fault.and_then(|value| HopFault::from_name(value.to_str().ok()?));
        let forwarded = forwarded_framing(headers);
        headers.remove(FORWARDED);
        match (fault, forwarded) {
            (Some(fault), None) => Self::Failed(fault),
            (None, Some(framing)) => Self::Forwarded(framing),
            (Some(_), Some(_)) | (None, None) => Self::Unknown,
        }
    }
}

/// The framing of a forwarded answer; `None` if it is not forwarded. Nothing vouches for the end of an answer whose
/// framing is missing, as from a box of the former release, or unknown.
fn forwarded_framing(headers: &HeaderMap) -> Option<Framing> {
    let mut values = headers.get_all(FORWARDED).iter();
    values.next().filter(|value| *value == VERSION)?;
    let named = values.next().and_then(|value| value.to_str().ok()?.parse().ok());
    Some(named.unwrap_or(Framing::Close))
}

/// Removes the headers of this module from the answer of a server.
pub fn strip(headers: &mut HeaderMap) {
    HEADERS.iter().for_each(|name| drop(headers.remove(*name)));
}
