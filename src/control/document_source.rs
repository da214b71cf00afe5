//! Serves the published document from a replica to boxes: the difference from the version that a box holds, in
//! pieces.
//!
//! The newest document is part of the group's state. Earlier versions are kept in memory, since most boxes hold
//! one of them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;

use crate::node::Node;
use crate::peer::method::{DocumentAsk, DocumentPiece};
use crate::state::difference::{Difference, Digest};
use crate::state::document::{Document, Version};
use crate::sync::lock;

/// Bytes of a piece. It delays other traffic on a link of 10 Mbit/s by some 50 ms.
const PIECE_BYTES: usize = 48 << 10;

/// How long a request waits for a document that the replica does not have yet.
const DOCUMENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum bytes of the cached documents, including the newest.
const MAX_DOCUMENT_BYTES: usize = 8 << 20;

/// Maximum number of cached documents.
const MAX_DOCUMENTS: usize = 16;

/// Maximum number of cached differences. Boxes are a few versions behind, and all that hold the same version need
/// the same difference.
const MAX_DIFFERENCES: usize = 8;

/// A packed difference from one document to a later one, which may still be computed.
#[derive(Clone)]
struct CachedDifference {
    former: Version,
    version: Version,
    packed: watch::Receiver<Option<Arc<PackedDifference>>>,
}

/// The bytes of a packed difference.
struct PackedDifference {
    /// The digest of the later document.
    digest: Digest,
    bytes: Vec<u8>,
}

impl CachedDifference {
    /// Starts the computation on a blocking thread: for a document of a megabyte it takes as long as the group's
    /// heartbeats may be delayed. It continues when those that requested it are gone, since they will request it
    /// again.
    fn start(former: &Arc<Document>, document: &Arc<Document>) -> Self {
        let (sender, packed) = watch::channel(None);
        let difference = Self { former: former.version, version: document.version, packed };
        let (former, document) = (former.clone(), document.clone());
        tokio::task::spawn_blocking(move || {
            let digest = Digest::of(&document.text);
            let bytes = Difference::between(&former.text, &document.text).pack();
            sender.send_replace(Some(Arc::new(PackedDifference { digest, bytes })));
        });
        difference
    }

    /// Waits for the computation and returns its result.
    async fn packed(&mut self) -> Option<Arc<PackedDifference>> {
        let packed = self.packed.wait_for(Option::is_some).await.ok()?;
        packed.clone()
    }
}

/// The recent documents and the differences between them.
#[derive(Default)]
struct DocumentCache {
    /// The documents, the newest last.
    documents: VecDeque<Arc<Document>>,
    differences: VecDeque<CachedDifference>,
}

impl DocumentCache {
    /// Adds a document if it is newer than the cached ones, and evicts the oldest over the limits.
    fn insert(&mut self, document: Arc<Document>) {
        if self.documents.back().is_some_and(|newest| newest.version >= document.version) {
            return;
        }
        self.documents.push_back(document);
        let bytes = |documents: &VecDeque<Arc<Document>>| -> usize {
            documents.iter().map(|document| document.text.len()).sum()
        };
        while self.documents.len() > MAX_DOCUMENTS
            || (self.documents.len() > 1 && bytes(&self.documents) > MAX_DOCUMENT_BYTES)
        {
            self.documents.pop_front();
        }
    }

    fn find(&self, version: Version) -> Option<&Arc<Document>> {
        self.documents.iter().find(|document| document.version == version)
    }

    /// The difference from version `former` to a document, or from the empty document if that version is not
    /// cached.
    fn difference(&mut self, former: Version, document: &Arc<Document>) -> CachedDifference {
        let former = self.find(former).cloned().unwrap_or_default();
        let same =
            |it: &&CachedDifference| (it.former, it.version) == (former.version, document.version);
        if let Some(difference) = self.differences.iter().find(same) {
            return difference.clone();
        }
        let difference = CachedDifference::start(&former, document);
        self.differences.push_back(difference.clone());
        if self.differences.len() > MAX_DIFFERENCES {
            self.differences.pop_front();
        }
        difference
    }
}

/// The documents that a replica serves.
#[derive(Default)]
pub(crate) struct DocumentSource {
    cache: Mutex<DocumentCache>,
}

/// Caches each document that this process's replica applies, until dropped.
pub(crate) async fn run(node: Arc<Node>) {
    let mut documents = node.board.follow_document();
    loop {
        let document = documents.borrow_and_update().clone();
        if document.version.0 > 0 {
            lock(&node.documents.cache).insert(document);
        }
        if documents.changed().await.is_err() {
            return;
        }
    }
}

/// Returns the requested piece of the difference to the newest document, or `None` if this replica does not have
/// the document yet.
pub(crate) async fn read_piece(node: &Node, request: DocumentAsk) -> Option<DocumentPiece> {
    let mut documents = node.board.follow_document();
    let wanted = documents.wait_for(|document| document.version >= request.wanted);
    let newest = tokio::time::timeout(DOCUMENT_TIMEOUT, wanted).await.ok()?.ok()?.clone();
    let mut difference = {
        let mut cache = lock(&node.documents.cache);
        // A transfer that has started is finished, even if there is a newer document by now.
        let started = cache.find(request.wanted).cloned().filter(|_| request.offset > 0);
        cache.difference(request.held, &started.unwrap_or(newest))
    };
    let packed = difference.packed().await?;
    let size = packed.bytes.len();
    let continues = difference.version == request.wanted && (request.offset as usize) < size;
    let offset = if continues { request.offset as usize } else { 0 };
    let bytes = packed.bytes[offset..size.min(offset + PIECE_BYTES)].to_vec();
    Some(DocumentPiece {
        former: difference.former,
        version: difference.version,
        digest: packed.digest,
        size: size as u32,
        offset: offset as u32,
        bytes,
    })
}
