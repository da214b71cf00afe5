//! What a replica gives of the published document: the difference from what a box has, in pieces.
//!
//! The newest document is the group's; those before it are kept in memory, as most boxes have one of them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;

use crate::node::Node;
use crate::peer::method::{DocumentAsk, DocumentPiece};
use crate::state::difference::{Difference, Digest};
use crate::state::document::{Document, Version};
use crate::sync::lock;

/// Bytes of a piece: others on a link of 10 Mbit/s wait some 50 ms for it.
const PIECE_BYTES: usize = 48 << 10;

/// How long a replica that does not have a document yet waits for it.
const WAIT: Duration = Duration::from_millis(300);

/// Bytes of the documents kept, the newest among them.
const KEPT_BYTES: usize = 8 << 20;

/// Documents kept at most.
const KEPT: usize = 16;

/// Differences kept at most: boxes are a few versions behind, and all that are as far behind need the same one.
const MADE: usize = 8;

/// A packed difference from one document to a later one.
#[derive(Clone)]
struct Made {
    former: Version,
    version: Version,
    packed: watch::Receiver<Option<Arc<Packed>>>,
}

struct Packed {
    digest: Digest,
    bytes: Vec<u8>,
}

impl Made {
    /// Has it made beside the runtime: for a megabyte that takes as long as the group's heartbeats may wait. It
    /// goes on when those who asked have gone, as what is thrown away then is asked for again.
    fn begin(former: &Arc<Document>, document: &Arc<Document>) -> Self {
        let (sender, packed) = watch::channel(None);
        let made = Self { former: former.version, version: document.version, packed };
        let (former, document) = (former.clone(), document.clone());
        tokio::task::spawn_blocking(move || {
            let digest = Digest::of(&document.text);
            let bytes = Difference::between(&former.text, &document.text).pack();
            sender.send_replace(Some(Arc::new(Packed { digest, bytes })));
        });
        made
    }

    /// Its bytes, once they are made.
    async fn packed(&mut self) -> Option<Arc<Packed>> {
        let made = self.packed.wait_for(Option::is_some).await.ok()?;
        made.clone()
    }
}

#[derive(Default)]
struct Kept {
    /// The documents, the newest last.
    documents: VecDeque<Arc<Document>>,
    made: VecDeque<Made>,
}

impl Kept {
    fn note(&mut self, document: Arc<Document>) {
        if self.documents.back().is_some_and(|newest| newest.version >= document.version) {
            return;
        }
        self.documents.push_back(document);
        let bytes = |kept: &VecDeque<Arc<Document>>| -> usize {
            kept.iter().map(|document| document.text.len()).sum()
        };
        while self.documents.len() > KEPT
            || (self.documents.len() > 1 && bytes(&self.documents) > KEPT_BYTES)
        {
            self.documents.pop_front();
        }
    }

    fn find(&self, version: Version) -> Option<&Arc<Document>> {
        self.documents.iter().find(|document| document.version == version)
    }

    /// The difference to a document from the one of a version, or from nothing where that is not kept.
    fn difference(&mut self, former: Version, document: &Arc<Document>) -> Made {
        let former = self.find(former).cloned().unwrap_or_default();
        let same = |made: &&Made| (made.former, made.version) == (former.version, document.version);
        if let Some(made) = self.made.iter().find(same) {
            return made.clone();
        }
        let made = Made::begin(&former, document);
        self.made.push_back(made.clone());
        if self.made.len() > MADE {
            self.made.pop_front();
        }
        made
    }
}

/// The documents that a replica gives.
#[derive(Default)]
pub(crate) struct DocumentSource {
    kept: Mutex<Kept>,
}

/// Keeps each document that this process's replica takes, until dropped.
pub(crate) async fn follow(node: Arc<Node>) {
    let mut documents = node.board.follow_document();
    loop {
        let document = documents.borrow_and_update().clone();
        if document.version.0 > 0 {
            lock(&node.documents.kept).note(document);
        }
        if documents.changed().await.is_err() {
            return;
        }
    }
}

/// Gives a piece of what a box lacks; nothing where this replica does not have the document yet.
pub(crate) async fn give(node: &Node, ask: DocumentAsk) -> Option<DocumentPiece> {
    let mut documents = node.board.follow_document();
    let wanted = documents.wait_for(|document| document.version >= ask.wanted);
    let newest = tokio::time::timeout(WAIT, wanted).await.ok()?.ok()?.clone();
    let mut made = {
        let mut kept = lock(&node.documents.kept);
        // What was begun goes on to its end, though there may be a newer document by now.
        let begun = kept.find(ask.wanted).cloned().filter(|_| ask.offset > 0);
        kept.difference(ask.held, &begun.unwrap_or(newest))
    };
    let packed = made.packed().await?;
    let size = packed.bytes.len();
    let goes_on = made.version == ask.wanted && (ask.offset as usize) < size;
    let offset = if goes_on { ask.offset as usize } else { 0 };
    let bytes = packed.bytes[offset..size.min(offset + PIECE_BYTES)].to_vec();
    Some(DocumentPiece {
        former: made.former,
        version: made.version,
        digest: packed.digest,
        size: size as u32,
        offset: offset as u32,
        bytes,
    })
}
