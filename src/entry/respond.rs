//! Answers a caller from a generation, as one JSON value or as a stream.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use async_stream::stream;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::Frame;

use super::generation::{End, Item, Reader};
use crate::error::Failure;
use crate::http::answer::{self, Body};
use crate::ids::TeamName;
use crate::node::Node;

/// Counts what a caller is given.
pub(super) struct Tally {
    /// The node.
    pub(super) node: Arc<Node>,
    /// Whose request.
    pub(super) team: TeamName,
    /// When it arrived.
    pub(super) arrived: Instant,
}

impl Tally {
    fn first(&self) {
        let seconds = self.arrived.elapsed().as_secs_f64();
        self.node.metrics.record_first_token(self.team.as_str(), seconds);
    }

    fn end(&self, tokens: usize, end: &End) {
        let outcome = match end {
            End::Whole => "done".to_owned(),
            End::Recorded(_) => "recorded".to_owned(),
            End::Failed(failure) => failure.kind.to_string(),
        };
        self.node.metrics.count_tokens(self.team.as_str(), tokens as u64);
        self.node.metrics.count_request(self.team.as_str(), &outcome);
    }
}

/// Waits for the first item, so that a failure before it has its own status, then answers.
pub(super) async fn answer_from(
    mut reader: Reader,
    stream: bool,
    tally: Option<Tally>,
) -> Result<Response<Body>, Failure> {
    let first = reader.next().await;
    if let Some(tally) = &tally {
        tally.first();
    }
    match first {
        Item::End(End::Failed(failure)) => {
            if let Some(tally) = &tally {
                tally.end(0, &End::Failed(failure.clone()));
            }
            Err(failure)
        }
        Item::End(End::Recorded(answer)) if stream => Ok(answer::recorded_stream(&answer)),
        Item::End(End::Recorded(answer)) => Ok(answer::recorded(&answer)),
        first if stream => Ok(stream_answer(reader, first, tally)),
        first => whole_answer(reader, first, tally).await,
    }
}

/// Waits for the end, so that a failure at any point has its own status, then answers. For kept work: nobody
/// reads it while it is generated, and a stream that failed must not be stored as its answer.
pub(super) async fn answer_when_ended(
    reader: Reader,
    stream: bool,
    tally: Tally,
) -> Result<Response<Body>, Failure> {
    let generation = reader.generation().clone();
    generation.ended().await;
    if let Some(end @ End::Failed(failure)) = generation.end() {
        tally.end(generation.len(), end);
        return Err(failure.clone());
    }
    answer_from(reader, stream, Some(tally)).await
}

async fn whole_answer(
    mut reader: Reader,
    first: Item,
    tally: Option<Tally>,
) -> Result<Response<Body>, Failure> {
    let mut item = first;
    loop {
        if let Item::End(end) = item {
            if let Some(tally) = &tally {
                tally.end(reader.generation().len(), &end);
            }
            return match end {
                End::Whole => Ok(answer::done(&reader.generation().whole_value())),
                End::Recorded(recorded) => Ok(answer::recorded(&recorded)),
                End::Failed(failure) => Err(failure),
            };
        }
        item = reader.next().await;
    }
}

fn stream_answer(mut reader: Reader, first: Item, tally: Option<Tally>) -> Response<Body> {
    let events = stream! {
        let mut item = first;
        loop {
            match item {
                Item::Piece(place, piece) => {
                    yield Ok(Frame::data(reader.generation().chunk_event(place, &piece)));
                }
                Item::End(end) => {
                    if let Some(tally) = &tally {
                        tally.end(reader.generation().len(), &end);
                    }
                    yield closing(&end);
                    return;
                }
            }
            item = reader.next().await;
        }
    };
    let body = BodyExt::boxed_unsync(StreamBody::new(events));
    answer::event_stream(body)
}

/// The closing event: `[DONE]` only when every piece was sent.
fn closing(end: &End) -> Result<Frame<Bytes>, io::Error> {
    match end {
        End::Whole | End::Recorded(_) => Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))),
        End::Failed(failure) => {
            let value = answer::failure_value(failure);
            Ok(Frame::data(Bytes::from(format!("event: error\ndata: {value}\n\n"))))
        }
    }
}
