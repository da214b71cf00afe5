//! The project's own source files, for tests that read them.

use std::fs;
use std::path::{Path, PathBuf};

/// The source files in a folder of the project, at any depth.
pub fn sources(folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join(folder);
    let (mut folders, mut found) = (vec![root], Vec::new());
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|it| it == "rs") {
                found.push(path);
            }
        }
    }
    found
}
