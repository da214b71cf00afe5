//! Fetches the published document to a box that holds no replica, as a difference from the version that the box
//! has. The difference comes in pieces, one request at a time.
//!
//! Received pieces are kept until the difference is complete, whichever replicas sent them. If the whole document
//! came with each answer, it would never arrive over a link that needs longer for it than the timeout of an
//! answer.

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
use crate::state::difference::{Difference, DifferenceError, MAX_TEXT_LEN};
use crate::state::document::{Document, Version};

/// Timeout for a piece: thirty times its transfer time over a link of 10 Mbit/s.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Mean delay before a retry. It is short because replicas that were all stopped come back one after the other.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The received part of one difference.
#[derive(Default)]
struct PartialDifference {
    /// The first piece without its bytes, which identifies the difference and tells its size.
    head: Option<DocumentPiece>,
    /// The bytes received so far.
    bytes: Vec<u8>,
}

impl PartialDifference {
    /// The request for the next piece, for a box that holds version `held` and knows of version `newest`.
    fn next_request(&self, held: Version, newest: Version) -> DocumentAsk {
        let started = self.head.as_ref().map(|head| head.version);
        DocumentAsk { held, wanted: started.unwrap_or(newest), offset: self.bytes.len() as u32 }
    }

    /// Appends a piece. A piece of another difference discards what was received before.
    fn add(&mut self, piece: DocumentPiece) {
        let is_same = self.head.as_ref().is_some_and(|head| {
            (head.former, head.version, head.digest, head.size)
                == (piece.former, piece.version, piece.digest, piece.size)
        });
        if !is_same {
            *self = Self::default();
        }
        if piece.offset as usize == self.bytes.len() && piece.size as usize <= MAX_TEXT_LEN {
            self.bytes.extend_from_slice(&piece.bytes);
            self.head.get_or_insert(DocumentPiece { bytes: Vec::new(), ..piece });
        }
    }

    /// The head, once all bytes have arrived.
    fn completed(&self) -> Option<&DocumentPiece> {
        self.head.as_ref().filter(|head| head.size as usize <= self.bytes.len())
    }

    /// Applies the difference to the held document.
    fn apply(&self, head: &DocumentPiece, held: &Document) -> Result<Document, DifferenceError> {
        let former = if head.former == held.version { &held.text } else { "" };
        let text = Difference::unpack(&self.bytes)?.apply(former, head.digest)?;
        Ok(Document { version: head.version, text: text.into() })
    }
}

/// Fetches documents to a box.
struct DocumentFetcher {
    node: Arc<Node>,
    selector: ReplicaSelector,
    /// The replica of the last failed request.
    last_failed: Option<BoxId>,
    partial: PartialDifference,
    /// When the box was found to be behind.
    started: Instant,
    /// Whether the last difference could not be applied to the held document. The next one is requested from
    /// scratch.
    needs_whole: bool,
}

/// Fetches each newer document that the node learns of, until dropped.
pub(crate) async fn run(node: Arc<Node>) {
    let mut fetcher = DocumentFetcher {
        node,
        selector: ReplicaSelector::new(rand::random()),
        last_failed: None,
        partial: PartialDifference::default(),
        started: Instant::now(),
        needs_whole: false,
    };
    loop {
        fetcher.node.board.wait_behind().await;
        fetcher.started = Instant::now();
        while fetcher.node.board.is_behind() {
            fetcher.step().await;
        }
    }
}

impl DocumentFetcher {
    /// Requests a piece, and applies the difference if that was the last one.
    async fn step(&mut self) {
        let board = &self.node.board;
        let held = if self.needs_whole { Arc::default() } else { board.document() };
        let request = self.partial.next_request(held.version, board.newest());
        match self.fetch_piece(request).await {
            Some(piece) => self.partial.add(piece),
            None => wait_to_retry().await,
        }
        let Some(head) = self.partial.completed() else {
            return;
        };
        let (version, former) = (head.version, head.former);
        match self.partial.apply(head, &held) {
            Ok(document) => {
                tracing::info!(
                    event = "document_fetched", version = %version, former = %former,
                    bytes = self.partial.bytes.len(), ms = self.started.elapsed().as_millis() as u64,
                );
                // The routes come first: a box that holds a document is taken to be certain of its routes.
                self.node.put_routes(&document);
                self.node.board.put_document(Arc::new(document));
                self.needs_whole = false;
            }
            Err(reason) => {
                tracing::warn!(
                    event = "document_unfit", version = %version, former = %former, %reason,
                );
                self.needs_whole = true;
                wait_to_retry().await;
            }
        }
        self.partial = PartialDifference::default();
    }

    /// Requests a piece from the chosen replica and records whether that succeeded.
    async fn fetch_piece(&mut self, request: DocumentAsk) -> Option<DocumentPiece> {
        let (box_id, addr) = self.choose_replica()?;
        let piece = request_piece(&self.node.peers, &box_id, addr, request).await;
        match piece {
            Some(_) => self.selector.record_success(&box_id),
            None => {
                self.selector.record_failure(&box_id, Instant::now());
                self.last_failed = Some(box_id);
            }
        }
        piece
    }

    /// Chooses the replica that last announced a document, unless the last request to it failed; otherwise the
    /// nearest replica that responds.
    fn choose_replica(&mut self) -> Option<(BoxId, SocketAddr)> {
        let directory = self.node.access.directory();
        let announcer = self.node.board.teller().filter(|it| Some(it) != self.last_failed.as_ref());
        let announced = announcer.and_then(|it| Some((directory.find(&it)?, it)));
        if let Some((addr, box_id)) = announced {
            return Some((box_id, addr));
        }
        let replicas: Vec<_> = directory.all().into_iter().map(|(box_id, _)| box_id).collect();
        let reach = |box_id: &BoxId| directory.reach(box_id);
        let chosen = self.selector.choose(&replicas, reach, Instant::now())?;
        let addr = directory.find(&chosen)?;
        Some((chosen, addr))
    }
}

/// Requests a piece from a replica.
async fn request_piece(
    peers: &Peers,
    box_id: &BoxId,
    addr: SocketAddr,
    request: DocumentAsk,
) -> Option<DocumentPiece> {
    let reason = match peers.call(addr, method::DOCUMENT, &Packed(request), PIECE_TIMEOUT).await {
        Ok(Packed(Some(piece))) => return Some(piece),
        Ok(Packed(None)) => "the replica does not have the document yet".to_owned(),
        Err(error) => error.to_string(),
    };
    tracing::info!(event = "document_piece_missing", replica = %box_id, reason);
    None
}

/// Waits for the delay of a retry, with jitter.
async fn wait_to_retry() {
    let jitter = rand::rng().random_range(0.5..1.5);
    tokio::time::sleep(RETRY_DELAY.mul_f64(jitter)).await;
}
