//! How a box without a disk gets the published document that it was told of: what changed, in pieces, one
//! question at a time.
//!
//! What has come stays until the document is whole, whichever replicas it came from. A document that came
//! with each word in an answer's time never came at all over a link that took longer for it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;

use crate::decide::nearest::ReplicaSelector;
use crate::ids::BoxId;
use crate::node::Node;
use crate::peer::Peers;
use crate::peer::method::{self, DocumentAsk, DocumentPiece};
use crate::peer::packed::Packed;
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
    node: Arc<Node>,
    nearest: ReplicaSelector,
    /// The replica that had no piece last.
    failed: Option<BoxId>,
    pieces: Pieces,
    /// When the box was found to be behind.
    begun: Instant,
    /// Whether the last difference did not fit what the box holds.
    is_unfit: bool,
}

/// Fetches each document that the node is told of, until dropped.
pub(crate) async fn run(node: Arc<Node>) {
    let mut fetch = DocumentFetch {
        node,
        nearest: ReplicaSelector::new(rand::random()),
        failed: None,
        pieces: Pieces::default(),
        begun: Instant::now(),
        is_unfit: false,
    };
    loop {
        fetch.node.board.wait_behind().await;
        fetch.begun = Instant::now();
        while fetch.node.board.is_behind() {
            fetch.step().await;
        }
    }
}

impl DocumentFetch {
    /// Asks for a piece, and puts the document together if that was the last one.
    async fn step(&mut self) {
        let board = &self.node.board;
        let held = if self.is_unfit { Arc::default() } else { board.document() };
        let ask = self.pieces.ask(held.version, board.newest());
        match self.next_piece(ask).await {
            Some(piece) => self.pieces.take(piece),
            None => pause().await,
        }
        let Some(head) = self.pieces.whole() else {
            return;
        };
        let (version, former) = (head.version, head.former);
        match self.pieces.put_together(head, &held) {
            Ok(document) => {
                tracing::info!(
                    event = "document_fetched", version = %version, former = %former,
                    bytes = self.pieces.bytes.len(), ms = self.begun.elapsed().as_millis() as u64,
                );
                // The routes first: a box that holds a document counts as sure of its routes.
                self.node.put_routes(&document);
                self.node.board.put_document(Arc::new(document));
                self.is_unfit = false;
            }
            Err(reason) => {
                tracing::warn!(
                    event = "document_unfit", version = %version, former = %former, %reason,
                );
                self.is_unfit = true;
                pause().await;
            }
        }
        self.pieces = Pieces::default();
    }

    async fn next_piece(&mut self, ask: DocumentAsk) -> Option<DocumentPiece> {
        let (box_id, addr) = self.choose()?;
        let piece = ask_at(&self.node.peers, &box_id, addr, ask).await;
        match piece {
            Some(_) => self.nearest.record_success(&box_id),
            None => {
                self.nearest.record_failure(&box_id, Instant::now());
                self.failed = Some(box_id);
            }
        }
        piece
    }

    /// The replica that told of the document last, unless it failed last; else the nearest that answers.
    fn choose(&mut self) -> Option<(BoxId, SocketAddr)> {
        let directory = self.node.access.directory();
        let teller = self.node.board.teller().filter(|it| Some(it) != self.failed.as_ref());
        let told = teller.and_then(|it| Some((directory.find(&it)?, it)));
        if let Some((addr, box_id)) = told {
            return Some((box_id, addr));
        }
        let replicas: Vec<_> = directory.all().into_iter().map(|(box_id, _)| box_id).collect();
        let reach = |box_id: &BoxId| directory.reach(box_id);
        let chosen = self.nearest.choose(&replicas, reach, Instant::now())?;
        let addr = directory.find(&chosen)?;
        Some((chosen, addr))
    }
}

/// Asks a replica for a piece.
async fn ask_at(
    peers: &Peers,
    box_id: &BoxId,
    addr: SocketAddr,
    ask: DocumentAsk,
) -> Option<DocumentPiece> {
    let reason = match peers.call(addr, method::DOCUMENT, &Packed(ask), PIECE_TIME).await {
        Ok(Packed(Some(piece))) => return Some(piece),
        Ok(Packed(None)) => "it does not have the document yet".to_owned(),
        Err(error) => error.to_string(),
    };
    tracing::info!(event = "document_piece_missing", replica = %box_id, reason);
    None
}

async fn pause() {
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(PAUSE.mul_f64(jitter)).await;
}
