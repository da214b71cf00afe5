//! A body that another task writes. Its end is a message of its own: a task that panics, is aborted or
//! gives up drops its [`BodyWriter`], which breaks the body off instead of completing it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use super::Body;

/// A body and what writes it. The writer bounds what it sends.
pub fn channel() -> (BodyWriter, Body) {
    let (sender, messages) = mpsc::unbounded_channel();
    let body = WrittenBody { messages, ended: false };
    (BodyWriter { sender }, body.boxed_unsync())
}

enum Message {
    Data(Bytes),
    Failed(io::Error),
    End,
}

/// Writes a body, which is complete only after [`finish`](Self::finish).
#[derive(Debug)]
pub struct BodyWriter {
    sender: UnboundedSender<Message>,
}

impl BodyWriter {
    /// Sends bytes. Those that the connection no longer wants are dropped.
    pub fn send(&self, bytes: Bytes) {
        let _ = self.sender.send(Message::Data(bytes));
    }

    /// Ends the body as complete.
    pub fn finish(self) {
        let _ = self.sender.send(Message::End);
    }

    /// Breaks the body off.
    pub fn fail(self, error: io::Error) {
        let _ = self.sender.send(Message::Failed(error));
    }

    /// Waits until the connection no longer wants the body.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

struct WrittenBody {
    messages: UnboundedReceiver<Message>,
    ended: bool,
}

impl hyper::body::Body for WrittenBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let body = self.get_mut();
        if body.ended {
            return Poll::Ready(None);
        }
        let message = ready!(body.messages.poll_recv(context));
        body.ended = !matches!(message, Some(Message::Data(_)));
        Poll::Ready(match message {
            Some(Message::Data(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Message::End) => None,
            Some(Message::Failed(error)) => Some(Err(error)),
            None => Some(Err(io::Error::other("the body was given up before its end"))),
        })
    }
}
