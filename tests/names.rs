//! The names of types: none stands for two things, and names that were given up for the field's terms do not
//! come back. The table in `docs/glossary.md` says what each became.

#[path = "support/sources.rs"]
mod sources;

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

use sources::sources;

/// Folders of which the rooms are done: no former name stands in them.
const DONE: [&str; 6] =
    ["src/boxlist", "src/control", "src/decide", "src/member", "src/relay", "src/state"];

/// Type names that still stand for two things, each to go.
const DOUBLED: [&str; 11] = [
    "Action",
    "Arguments",
    "Call",
    "Command",
    "End",
    "Limits",
    "Phase",
    "Reader",
    "Role",
    "Service",
    "Team",
];

/// The sources of a folder, each with its text.
fn texts(folder: &str) -> impl Iterator<Item = (PathBuf, String)> {
    sources(folder).into_iter().map(|path| {
        let text = fs::read_to_string(&path).unwrap();
        (path, text)
    })
}

/// The names of the types that a source declares for others than itself.
fn declared(text: &str) -> impl Iterator<Item = &str> {
    let visible = ["pub struct ", "pub enum ", "pub(crate) struct ", "pub(crate) enum "];
    text.lines().filter_map(move |line| {
        let rest = visible.iter().find_map(|start| line.strip_prefix(start))?;
        rest.split(|it: char| !it.is_alphanumeric()).next()
    })
}

fn is_word_in(text: &str, word: &str) -> bool {
    text.match_indices(word).any(|(at, _)| {
        let is_letter = |it: Option<char>| it.is_some_and(|it| it.is_alphanumeric() || it == '_');
        !is_letter(text[..at].chars().next_back())
            && !is_letter(text[at + word.len()..].chars().next())
    })
}

/// The former names of types by the glossary: rows whose first two cells are code.
fn former() -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("docs/glossary.md");
    let text = fs::read_to_string(path).unwrap();
    let table = text.split("## Former names").nth(1).expect("a table of former names");
    let rows = table.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| row.split('`').nth(1).unwrap().to_owned()).collect()
}

#[test]
fn no_type_name_stands_for_two_things_but_those_listed() {
    let mut places: BTreeMap<String, Vec<PathBuf>> = BTreeMap::new();
    for (path, text) in texts("src").chain(texts("platform")) {
        for name in declared(&text) {
            places.entry(name.to_owned()).or_default().push(path.clone());
        }
    }
    places.retain(|_, places| places.len() > 1);
    let found: Vec<_> = places.keys().map(String::as_str).collect();
    assert_eq!(found, DOUBLED, "{places:#?}");
}

#[test]
fn names_that_were_given_up_do_not_come_back() {
    let former = former();
    assert!(former.len() > 10);
    for (path, text) in DONE.iter().flat_map(|folder| texts(folder)) {
        let held: Vec<_> = former.iter().filter(|name| is_word_in(&text, name)).collect();
        assert!(held.is_empty(), "{} holds former names: {held:?}", path.display());
    }
}
