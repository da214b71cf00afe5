//! An answer being generated. It outlives attempts at engines, and callers' connections: readers
//! come and go, each from the place it asks for.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Instant;

use bytes::Bytes;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::backend::engine::Piece;
use crate::error::Failure;
use crate::ids::ServiceName;
use crate::state::ledger::RecordedAnswer;
use crate::sync::lock;

/// How a generation ended.
#[derive(Debug, Clone)]
pub enum End {
    /// Every piece is there.
    Whole,
    /// The same request was answered before; this is that answer.
    Recorded(RecordedAnswer),
    /// It cannot be finished.
    Failed(Failure),
}

/// What the answer looks like to callers.
#[derive(Debug, Clone)]
pub struct Shape {
    /// The answer's id.
    pub id: String,
    /// The model.
    pub service: ServiceName,
    /// Whether it is a chat.
    pub chat: bool,
    /// When it began, in seconds since the Unix epoch.
    pub created: u64,
    /// Estimated tokens of the prompt.
    pub prompt: u64,
}

/// The request a generation answers, as another node would need it.
#[derive(Debug, Clone)]
pub struct Origin {
    /// The path.
    pub path: String,
    /// The body.
    pub body: String,
    /// When the answer is too late.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeatable: bool,
}

/// An answer being generated.
#[derive(Debug)]
pub struct Generation {
    /// What it looks like.
    pub shape: Shape,
    /// The digest of the request it answers.
    pub digest: String,
    /// The request, where another node may go on with it.
    pub origin: Option<Origin>,
    chunk_head: String,
    pieces: Mutex<Vec<Piece>>,
    count: watch::Sender<usize>,
    end: OnceLock<End>,
    readers: AtomicUsize,
    abandoned: watch::Sender<Option<Instant>>,
}

impl Generation {
    /// A generation that holds `pieces` already.
    pub fn new(
        shape: Shape,
        digest: String,
        origin: Option<Origin>,
        pieces: Vec<Piece>,
    ) -> Arc<Self> {
        let count = pieces.len();
        Arc::new(Self {
            chunk_head: chunk_head(&shape),
            shape,
            digest,
            origin,
            pieces: Mutex::new(pieces),
            count: watch::Sender::new(count),
            end: OnceLock::new(),
            readers: AtomicUsize::new(0),
            abandoned: watch::Sender::new(None),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Piece>> {
        lock(&self.pieces)
    }

    /// Adds a piece.
    pub fn push(&self, piece: Piece) {
        let mut pieces = self.lock();
        pieces.push(piece);
        let count = pieces.len();
        drop(pieces);
        self.count.send_replace(count);
    }

    /// Ends the generation; the first end stays.
    pub fn finish(&self, end: End) {
        let _ = self.end.set(end);
        self.count.send_modify(|_| {});
    }

    /// How it ended, once it has.
    pub fn end(&self) -> Option<&End> {
        self.end.get()
    }

    /// Whether it ended without an answer: the same request may then be tried anew.
    pub fn has_failed(&self) -> bool {
        matches!(self.end.get(), Some(End::Failed(_)))
    }

    /// Waits for the end.
    pub async fn ended(&self) {
        let mut count = self.count.subscribe();
        while self.end.get().is_none() {
            if count.changed().await.is_err() {
                return;
            }
        }
    }

    /// How many pieces there are.
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether there is no piece yet.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// A copy of all pieces.
    pub fn pieces(&self) -> Vec<Piece> {
        self.lock().clone()
    }

    /// The text so far.
    pub fn text(&self) -> String {
        self.lock().iter().map(|piece| piece.text.as_str()).collect()
    }

    /// A reader that begins behind `seen` pieces.
    pub fn read_from(self: &Arc<Self>, seen: usize) -> Reader {
        self.readers.fetch_add(1, Ordering::SeqCst);
        self.abandoned.send_replace(None);
        Reader { generation: self.clone(), seen, count: self.count.subscribe() }
    }

    /// Follows since when nobody reads.
    pub fn follow_abandoned(&self) -> watch::Receiver<Option<Instant>> {
        self.abandoned.subscribe()
    }

    /// The answer as one JSON value.
    pub fn whole_value(&self) -> Value {
        let pieces = self.lock();
        let text: String = pieces.iter().map(|piece| piece.text.as_str()).collect();
        let finish = pieces.last().and_then(|piece| piece.finish.clone());
        let count = pieces.len() as u64;
        drop(pieces);
        let choice = match self.shape.chat {
            true => json!({
                "index": 0, "message": { "role": "assistant", "content": text },
                "finish_reason": finish,
            }),
            false => json!({ "index": 0, "text": text, "finish_reason": finish }),
        };
        let object = if self.shape.chat { "chat.completion" } else { "text_completion" };
        json!({
            "id": self.shape.id, "object": object, "created": self.shape.created,
            "model": self.shape.service, "choices": [choice],
            "usage": {
                "prompt_tokens": self.shape.prompt, "completion_tokens": count,
                "total_tokens": self.shape.prompt + count,
            },
        })
    }

    /// A piece as a streamed event. What all chunks of a generation have in common is written once.
    pub fn chunk_event(&self, place: usize, piece: &Piece) -> Bytes {
        let text = json_text(&piece.text);
        let finish = piece.finish.as_deref().map_or("null".to_owned(), json_text);
        let (before, behind) = if self.shape.chat { ("{\"content\":", "}") } else { ("", "") };
        let Self { chunk_head: head, .. } = self;
        let event = format!(
            "id: {place}\ndata: {head}{before}{text}{behind},\"finish_reason\":{finish}}}]}}\n\n"
        );
        Bytes::from(event)
    }
}

/// What every chunk of a generation begins with, up to its text.
fn chunk_head(shape: &Shape) -> String {
    let (object, field) = match shape.chat {
        true => ("chat.completion.chunk", "delta"),
        false => ("text_completion", "text"),
    };
    let (id, model) = (json_text(&shape.id), json_text(shape.service.as_str()));
    let created = shape.created;
    format!(
        "{{\"id\":{id},\"object\":\"{object}\",\"created\":{created},\"model\":{model},\
         \"choices\":[{{\"index\":0,\"{field}\":"
    )
}

/// A text as JSON.
fn json_text(text: &str) -> String {
    serde_json::to_string(text).unwrap_or_else(|_| "\"\"".to_owned())
}

/// What a reader gets next.
#[derive(Debug, Clone)]
pub enum Item {
    /// A piece and its place, counted from 0.
    Piece(usize, Piece),
    /// Nothing more will come.
    End(End),
}

/// Reads a generation from some place on. When the last reader is dropped, the generation is
/// abandoned.
#[derive(Debug)]
pub struct Reader {
    generation: Arc<Generation>,
    seen: usize,
    count: watch::Receiver<usize>,
}

impl Reader {
    /// The next piece, or the end.
    pub async fn next(&mut self) -> Item {
        loop {
            if let Some(item) = self.ready() {
                return item;
            }
            // The generation is held by this reader, so its sender cannot be gone.
            let _ = self.count.changed().await;
        }
    }

    /// The next item if it is there already.
    pub fn ready(&mut self) -> Option<Item> {
        self.count.mark_unchanged();
        let end = self.generation.end.get().cloned();
        let piece = self.generation.lock().get(self.seen).cloned();
        if let Some(piece) = piece {
            self.seen += 1;
            return Some(Item::Piece(self.seen - 1, piece));
        }
        end.map(Item::End)
    }

    /// What is read.
    pub fn generation(&self) -> &Arc<Generation> {
        &self.generation
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if self.generation.readers.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.generation.abandoned.send_replace(Some(Instant::now()));
        }
    }
}
