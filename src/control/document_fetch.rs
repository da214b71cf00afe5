//! How a box without a disk gets the published document that it was told of: what changed, in pieces, one
//! question at a time.
//!
//! What has come stays until the document is whole, whichever replicas it came from. A document that came
//! with each word in an answer's time never came at all over a link that took longer for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::blackboard::Blackboard;
use crate::decide::nearest::Nearest;
use crate::group::directory::Directory;
use crate::ids::BoxId;
use crate::node::Node;
use crate::peer::method::{self, DocumentAsk, DocumentPiece};
use crate::peer::packed::Packed;
use crate::peer::{PeerError, Peers};
use crate::state::difference::{Difference, TEXT_LIMIT, Unfit};
use crate::state::document::{Document, Version};

/// How long a piece may take: thirty times what it takes of a link of 10 Mbit/s.
const PIECE_TIME: Duration = Duration::from_millis(1_500);

/// Mean pause after a piece that did not come: replicas that were all stopped are back one after the other.
const PAUSE: Duration = Duration::from_millis(60);

/// The pieces that have come of one difference.
#[derive(Default)]
struct Pieces {
    /// The first of them, without its bytes.
    head: Option<DocumentPiece>,
    bytes: Vec<u8>,
}

impl Pieces {
    /// What to ask for next, by a box that has `held` and was told of `newest`.
    fn ask(&self, held: Version, newest: Version) -> DocumentAsk {
        let begun = self.head.as_ref().map(|head| head.version);
        DocumentAsk { held, wanted: begun.unwrap_or(newest), offset: self.bytes.len() as u32 }
    }

    /// Takes a piece. One that does not go on with the others is of another difference, which begins anew.
    fn take(&mut self, piece: DocumentPiece) {
        let goes_on = self.head.as_ref().is_some_and(|head| {
            (head.former, head.version, head.digest, head.size)
                == (piece.former, piece.version, piece.digest, piece.size)
        });
        if !goes_on {
            *self = Self::default();
        }
        if piece.offset as usize == self.bytes.len() && piece.size as usize <= TEXT_LIMIT {
            self.bytes.extend_from_slice(&piece.bytes);
            self.head.get_or_insert(DocumentPiece { bytes: Vec::new(), ..piece });
        }
    }

    /// The head, once all has come.
    fn whole(&self) -> Option<&DocumentPiece> {
        self.head.as_ref().filter(|head| head.size as usize <= self.bytes.len())
    }

    /// The document that they make of the one held.
    fn put_together(&self, head: &DocumentPiece, held: &Document) -> Result<Document, Unfit> {
        let former = if head.former == held.version { &held.text } else { "" };
        let text = Difference::unpack(&self.bytes)?.apply(former, head.digest)?;
        Ok(Document { version: head.version, text: text.into() })
    }
}

/// A box's way to the document.
struct DocumentFetch {
    board: Arc<Blackboard>,
    peers: Peers,
    directory: Arc<Directory>,
    /// Has a document in force on this box.
    apply: Box<dyn Fn(&Document) + Send + Sync>,
}

/// Fetches each document that the node is told of, until dropped.
pub(crate) async fn run(node: Arc<Node>) {
    let fetch = DocumentFetch {
        board: node.board.clone(),
        peers: node.peers.clone(),
        directory: node.access.directory().clone(),
        apply: Box::new(move |document| node.put_routes(document)),
    };
    let mut nearest = Nearest::new(rand::random());
    loop {
        fetch.board.wait_behind().await;
        fetch.fetch(&mut nearest).await;
    }
}

impl DocumentFetch {
    /// Fetches until the box is no longer behind.
    async fn fetch(&self, nearest: &mut Nearest) {
        let begun = Instant::now();
        let mut pieces = Pieces::default();
        let mut is_unfit = false;
        while self.board.is_behind() {
            let held = if is_unfit { Arc::default() } else { self.board.document() };
            let ask = pieces.ask(held.version, self.board.newest());
            if let Some(piece) = self.ask(nearest, ask).await {
                pieces.take(piece);
            }
            let Some(head) = pieces.whole() else {
                continue;
            };
            let (version, former) = (head.version, head.former);
            match pieces.put_together(head, &held) {
                Ok(document) => {
                    let ms = begun.elapsed().as_millis() as u64;
                    tracing::info!(
                        event = "document_fetched", version = %version, former = %former,
                        bytes = pieces.bytes.len(), ms,
                    );
                    // The routes first: a box that holds a document counts as sure of its routes.
                    (self.apply)(&document);
                    self.board.put_document(Arc::new(document));
                    is_unfit = false;
                }
                Err(reason) => {
                    tracing::warn!(
                        event = "document_unfit", version = %version, former = %former, %reason,
                    );
                    is_unfit = true;
                    pause().await;
                }
            }
            pieces = Pieces::default();
        }
    }

    /// Asks the nearest replica that answers for a piece.
    async fn ask(&self, nearest: &mut Nearest, ask: DocumentAsk) -> Option<DocumentPiece> {
        let directory = &self.directory;
        let replicas: Vec<_> = directory.all().into_iter().map(|(box_id, _)| box_id).collect();
        let chosen = nearest.choose(&replicas, |it| directory.reach(it), Instant::now());
        let found = chosen.and_then(|it| Some((it.clone(), directory.find(&it)?)));
        let Some((box_id, addr)) = found else {
            pause().await;
            return None;
        };
        match self.ask_at(addr, ask).await {
            Ok(Some(piece)) => {
                nearest.answered(&box_id);
                Some(piece)
            }
            Ok(None) => self.failed(nearest, &box_id, "it does not have the document yet").await,
            Err(error) => self.failed(nearest, &box_id, &error.to_string()).await,
        }
    }

    async fn ask_at(
        &self,
        addr: SocketAddr,
        ask: DocumentAsk,
    ) -> Result<Option<DocumentPiece>, PeerError> {
        let asked = self.peers.call(addr, method::DOCUMENT, &Packed(ask), PIECE_TIME).await;
        asked.map(|Packed(piece)| piece)
    }

    async fn failed(
        &self,
        nearest: &mut Nearest,
        box_id: &BoxId,
        reason: &str,
    ) -> Option<DocumentPiece> {
        tracing::info!(event = "document_piece_missing", replica = %box_id, reason);
        nearest.failed(box_id, Instant::now());
        pause().await;
        None
    }
}

async fn pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
}
