//! Keeps a replica's hard state, log and snapshot in its data folder.
//!
//! One embedded database file, `group-N.redb`. Every write is one transaction that is synced before
//! it returns. Each value carries a CRC-32 of its own, so that bit rot is found on opening and
//! refused with a clear error, while a torn last transaction is dropped by the database itself.
//!
//! A new file is made under another name and gets its own once it is complete: a process that ends, or a
//! disk that refuses writes, before that leaves nothing behind that cannot be opened.

use std::fs::{self, File};
use std::io::{self, ErrorKind, Read};
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::core::Stored;
use super::message::{Entry, HardState, Snapshot};
use crate::ids::{BoxId, Incarnation};
use crate::obstacle::Obstacle;
use crate::sync::lock;

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");

const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";
const IDENTITY: &str = "identity";

const CHECKSUM_BYTES: usize = 4;

/// Bytes at the start of a database file that are written last when it is created.
const MAGIC_BYTES: usize = 9;

/// Bytes of a database file's header; behind it nothing is written until the file is complete.
const HEADER_BYTES: usize = 4_096;

/// Why the data folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The database refuses.
    #[error("{path}: {source}")]
    Database {
        /// The file.
        path: PathBuf,
        /// What it says.
        source: Box<redb::Error>,
    },
    /// A value does not have its checksum, or cannot be read.
    #[error(
        "{path}: {what} is corrupt; replace this disk: remove the file, start, and replace the member"
    )]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Which value.
        what: String,
    },
    /// The library gave up in the middle.
    #[error("{path}: the database broke off")]
    Interrupted {
        /// The file.
        path: PathBuf,
    },
    /// The file belongs to another box.
    #[error("{path}: belongs to box {owner}")]
    Foreign {
        /// The file.
        path: PathBuf,
        /// Whose it is.
        owner: BoxId,
    },
}

impl StorageError {
    /// What keeps the replica from its storage.
    pub fn obstacle(&self) -> Obstacle {
        match self {
            Self::Corrupt { .. } => Obstacle::StorageCorrupt,
            Self::Foreign { .. } => Obstacle::StorageForeign,
            Self::Interrupted { .. } => Obstacle::DiskRefuses,
            Self::Database { source, .. } => match source.as_ref() {
                redb::Error::Corrupted(_) | redb::Error::UpgradeRequired(_) => {
                    Obstacle::StorageCorrupt
                }
                redb::Error::Io(error) if is_unreadable(error) => Obstacle::StorageCorrupt,
                _ => Obstacle::DiskRefuses,
            },
        }
    }
}

/// What one synced write holds.
#[derive(Debug, Clone, Default)]
pub struct Batch {
    /// The hard state, if it changed.
    pub hard: Option<HardState>,
    /// A snapshot that takes the place of the entries up to its index; of all entries when `reset`.
    pub snapshot: Option<Snapshot>,
    /// Whether the snapshot came from the leader, so that no entry held before it counts.
    pub reset: bool,
    /// Entries to append; what is held from the first one's index on is dropped.
    pub append: Vec<Entry>,
}

impl Batch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard.is_none() && self.snapshot.is_none() && self.append.is_empty()
    }
}

/// An open data folder.
pub struct Storage {
    /// Closed after a write that failed: the library refuses every further one then, and what the
    /// file does hold is known only once it has been opened again.
    database: Mutex<Option<Database>>,
    path: PathBuf,
}

impl Storage {
    /// Opens or creates a group's file in `folder`, and gives what it holds and the life of the
    /// disk. A new file starts a new life.
    ///
    /// # Errors
    /// When the file cannot be opened, is corrupt, or belongs to another box.
    pub fn open(
        folder: &Path,
        group: u32,
        box_id: &BoxId,
    ) -> Result<(Self, Stored, Incarnation), StorageError> {
        let path = Self::path(folder, group);
        fs::create_dir_all(folder).map_err(|error| refused(folder, error))?;
        if !is_complete(&path)? {
            create(&path, box_id)?;
        }
        // A process that ended behind the renaming may have left the name unsynced.
        File::open(folder)
            .and_then(|folder| folder.sync_all())
            .map_err(|error| refused(folder, error))?;
        let storage = Self { database: Mutex::new(None), path };
        let life = storage.identify(box_id)?;
        let stored = storage.load()?;
        Ok((storage, stored, life))
    }

    fn identify(&self, box_id: &BoxId) -> Result<Incarnation, StorageError> {
        let held: Option<(BoxId, Incarnation)> = self.read_meta(IDENTITY)?;
        match held {
            Some((owner, life)) if owner == *box_id => Ok(life),
            Some((owner, _)) => Err(StorageError::Foreign { path: self.path.clone(), owner }),
            None => {
                self.create_tables()?;
                let life = Incarnation(rand::random::<u32>().max(1).into());
                self.write_meta(IDENTITY, &(box_id, life))?;
                Ok(life)
            }
        }
    }

    /// Runs `f` on the database, which is opened first where it is closed.
    fn with<R>(
        &self,
        f: impl FnOnce(&Database) -> Result<R, StorageError>,
    ) -> Result<R, StorageError> {
        let mut held = lock(&self.database);
        let database = match held.take() {
            Some(database) => database,
            None => Database::open(&self.path).map_err(|error| wrap(&self.path, error))?,
        };
        let result = f(&database);
        if result.is_ok() {
            *held = Some(database);
        }
        result
    }

    fn create_tables(&self) -> Result<(), StorageError> {
        self.with(|database| {
            let write = database.begin_write().map_err(|error| wrap(&self.path, error))?;
            write.open_table(ENTRIES).map_err(|error| wrap(&self.path, error))?;
            write.open_table(META).map_err(|error| wrap(&self.path, error))?;
            write.commit().map_err(|error| wrap(&self.path, error))
        })
    }

    fn load(&self) -> Result<Stored, StorageError> {
        let hard = self.read_meta(HARD)?.unwrap_or_default();
        let snapshot: Option<Snapshot> = self.read_meta(SNAPSHOT)?;
        let first = snapshot.as_ref().map_or(1, |snapshot| snapshot.index.0 + 1);
        let entries = self.with(|database| self.load_entries(database, first))?;
        Ok(Stored { hard, snapshot, entries })
    }

    fn load_entries(&self, database: &Database, first: u64) -> Result<Vec<Entry>, StorageError> {
        let mut entries: Vec<Entry> = Vec::new();
        let read = database.begin_read().map_err(|error| wrap(&self.path, error))?;
        let table = read.open_table(ENTRIES).map_err(|error| wrap(&self.path, error))?;
        for row in table.range(first..).map_err(|error| wrap(&self.path, error))? {
            let (index, value) = row.map_err(|error| wrap(&self.path, error))?;
            let expected = first + entries.len() as u64;
            let what = format!("entry {}", index.value());
            let entry: Entry = self.decode(&what, value.value())?;
            if entry.index.0 != expected || index.value() != expected {
                return Err(self.corrupt(format!("the log at entry {expected}")));
            }
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Writes a batch and syncs it.
    ///
    /// # Errors
    /// When the database cannot write; nothing of the batch counts then.
    pub fn write(&self, batch: &Batch) -> Result<(), StorageError> {
        match batch.is_empty() {
            true => Ok(()),
            false => self.with(|database| self.write_to(database, batch)),
        }
    }

    fn write_to(&self, database: &Database, batch: &Batch) -> Result<(), StorageError> {
        let wrapped = |error: redb::Error| wrap(&self.path, error);
        let mut write = database.begin_write().map_err(|error| wrapped(error.into()))?;
        // With one phase the database takes rot in the last commit for a torn one and goes back to
        // the commit before, silently: entries that were acknowledged would be gone.
        write.set_two_phase_commit(true);
        {
            let mut meta = write.open_table(META).map_err(|error| wrapped(error.into()))?;
            let mut entries = write.open_table(ENTRIES).map_err(|error| wrapped(error.into()))?;
            if let Some(hard) = &batch.hard {
                let bytes = encode(hard);
                meta.insert(HARD, bytes.as_slice()).map_err(|error| wrapped(error.into()))?;
            }
            if let Some(snapshot) = &batch.snapshot {
                let bytes = encode(snapshot);
                meta.insert(SNAPSHOT, bytes.as_slice()).map_err(|error| wrapped(error.into()))?;
                let last = if batch.reset { u64::MAX } else { snapshot.index.0 };
                entries.retain_in(..=last, |_, _| false).map_err(|error| wrapped(error.into()))?;
            }
            if let Some(first) = batch.append.first() {
                let held = entries.last().map_err(|error| wrapped(error.into()))?;
                let overlaps = held.is_some_and(|(index, _)| index.value() >= first.index.0);
                if overlaps {
                    entries
                        .retain_in(first.index.0.., |_, _| false)
                        .map_err(|error| wrapped(error.into()))?;
                }
            }
            for entry in &batch.append {
                let bytes = encode(entry);
                entries
                    .insert(entry.index.0, bytes.as_slice())
                    .map_err(|error| wrapped(error.into()))?;
            }
        }
        write.commit().map_err(|error| wrapped(error.into()))
    }

    fn read_meta<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StorageError> {
        self.with(|database| {
            let read = database.begin_read().map_err(|error| wrap(&self.path, error))?;
            let table = match read.open_table(META) {
                Err(TableError::TableDoesNotExist(_)) => return Ok(None),
                table => table.map_err(|error| wrap(&self.path, error))?,
            };
            let value = table.get(key).map_err(|error| wrap(&self.path, error))?;
            value.map(|value| self.decode(key, value.value())).transpose()
        })
    }

    fn write_meta<T: Serialize>(&self, key: &str, value: &T) -> Result<(), StorageError> {
        self.with(|database| {
            let write = database.begin_write().map_err(|error| wrap(&self.path, error))?;
            {
                let mut table = write.open_table(META).map_err(|error| wrap(&self.path, error))?;
                let bytes = encode(value);
                table.insert(key, bytes.as_slice()).map_err(|error| wrap(&self.path, error))?;
            }
            write.commit().map_err(|error| wrap(&self.path, error))
        })
    }

    fn decode<T: DeserializeOwned>(&self, what: &str, bytes: &[u8]) -> Result<T, StorageError> {
        let corrupt = || self.corrupt(what.to_owned());
        let split = bytes.len().checked_sub(CHECKSUM_BYTES).ok_or_else(corrupt)?;
        let (content, checksum) = bytes.split_at(split);
        if crc32fast::hash(content).to_le_bytes() != checksum {
            return Err(corrupt());
        }
        serde_json::from_slice(content).map_err(|_| corrupt())
    }

    pub(super) fn interrupted(&self) -> StorageError {
        StorageError::Interrupted { path: self.path.clone() }
    }

    /// The file of a group in `folder`.
    pub fn path(folder: &Path, group: u32) -> PathBuf {
        folder.join(format!("group-{group}.redb"))
    }

    fn corrupt(&self, what: String) -> StorageError {
        StorageError::Corrupt { path: self.path.clone(), what }
    }
}

/// A value's JSON with its checksum behind it.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(value).expect("stored types always encode");
    let checksum = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&checksum.to_le_bytes());
    bytes
}

/// Whether the file itself is at fault: it is no database, ends too early, or was removed while it was in use.
fn is_unreadable(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof | ErrorKind::NotFound)
}

/// Whether the file exists and its creation came to its end.
///
/// # Errors
/// When the file cannot be read, or lacks its beginning although something was stored in it.
fn is_complete(path: &Path) -> Result<bool, StorageError> {
    let mut magic = Vec::new();
    let opened = File::open(path);
    match opened.and_then(|file| file.take(MAGIC_BYTES as u64).read_to_end(&mut magic)) {
        Ok(_) => {}
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(false),
        Err(error) => return Err(refused(path, error)),
    }
    if magic.iter().any(|byte| *byte != 0) {
        return Ok(true);
    }
    let whole = fs::read(path).map_err(|error| refused(path, error))?;
    if whole.iter().skip(HEADER_BYTES).any(|byte| *byte != 0) {
        let what = "the beginning of the file".to_owned();
        return Err(StorageError::Corrupt { path: path.to_owned(), what });
    }
    tracing::warn!(event = "storage_incomplete", path = %path.display());
    Ok(false)
}

/// Creates the file with its tables and a new life.
fn create(path: &Path, box_id: &BoxId) -> Result<(), StorageError> {
    let draft = path.with_extension("new");
    match fs::remove_file(&draft) {
        Err(error) if error.kind() != ErrorKind::NotFound => return Err(refused(&draft, error)),
        _ => {}
    }
    let database = Database::create(&draft).map_err(|error| wrap(&draft, error))?;
    let storage = Storage { database: Mutex::new(Some(database)), path: draft };
    storage.identify(box_id)?;
    let Storage { database, path: draft } = storage;
    drop(database);
    fs::rename(&draft, path).map_err(|error| refused(path, error))
}

fn wrap(path: &Path, error: impl Into<redb::Error>) -> StorageError {
    StorageError::Database { path: path.to_owned(), source: Box::new(error.into()) }
}

/// What the file system refuses before there is a database.
fn refused(path: &Path, error: io::Error) -> StorageError {
    wrap(path, redb::Error::Io(error))
}
