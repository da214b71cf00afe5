//! `emberturn trace`: shows the hops of one request, or what log files say of it.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use eyre::{Result, WrapErr};
use serde::Serialize;

use super::exit;
use super::operator::{CALL_TIME, Contact, contact, exit_with, json, print_json};
use crate::peer::method;
use crate::telemetry::Hop;

/// The arguments.
#[derive(Debug, Clone)]
pub struct Arguments {
    /// The nodes to ask; all of them are.
    pub contact: Option<Contact>,
    /// Log files to search in place of asking nodes.
    pub logs: Vec<PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
    /// The trace's id, as the answer's `emberturn-trace` header has it.
    pub id: String,
}

/// The parser.
pub fn parser() -> impl Parser<Arguments> {
    options().command("trace").help("Show the hops of one request")
}

fn options() -> OptionParser<Arguments> {
    let contact = contact().optional();
    let logs = long("log")
        .help("Log file to search for the request's id; no node is asked then")
        .argument("FILE")
        .many();
    let json = json();
    let id = positional("ID").help(
        "The trace's id, from the answer's emberturn-trace header; with --log the request's id",
    );
    construct!(Arguments { contact, logs, json, id })
        .to_options()
        .descr("Show the hops of one request")
}

/// A line of a log, in its fields.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// When it was written.
    pub ts: String,
    /// The file it stands in.
    pub file: String,
    /// Its fields by name.
    pub fields: BTreeMap<String, String>,
}

/// The fields of a key=value line; values with blanks stand in quotes.
pub fn read_line(line: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = line.trim_start();
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.rsplit(' ').next().unwrap_or(key);
        let (value, behind) = match after.strip_prefix('"') {
            Some(quoted) => read_quoted(quoted),
            None => {
                after.split_once(' ').map_or((after.to_owned(), ""), |(a, b)| (a.to_owned(), b))
            }
        };
        fields.insert(key.to_owned(), value);
        rest = behind;
    }
    fields
}

/// A value up to its closing quote, and what is behind it.
fn read_quoted(text: &str) -> (String, &str) {
    let mut value = String::new();
    let mut escaped = false;
    for (place, character) in text.char_indices() {
        match character {
            '\\' if !escaped => escaped = true,
            '"' if !escaped => return (value, &text[place + 1..]),
            _ => {
                escaped = false;
                value.push(character);
            }
        }
    }
    (value, "")
}

/// Every line of the logs about a request, in order of time.
fn search_logs(arguments: &Arguments) -> Result<ExitCode> {
    let mut found = Vec::new();
    for path in &arguments.logs {
        let text =
            std::fs::read_to_string(path).wrap_err_with(|| format!("read {}", path.display()))?;
        for line in text.lines().filter(|line| line.contains(&arguments.id)) {
            let fields = read_line(line);
            if fields.get("id") == Some(&arguments.id) {
                let ts = fields.get("ts").cloned().unwrap_or_default();
                found.push(LogLine { ts, file: path.display().to_string(), fields });
            }
        }
    }
    found.sort_by(|a, b| a.ts.cmp(&b.ts));
    if arguments.json {
        print_json(&found)?;
    } else {
        for line in &found {
            let shown = line.fields.iter().filter(|(key, _)| !HIDDEN.contains(&key.as_str()));
            let fields: Vec<_> = shown.map(|(key, value)| format!("{key}={value}")).collect();
            let event = line.fields.get("event").map_or("-", String::as_str);
            println!("{} {event} {}", line.ts, fields.join(" "));
        }
    }
    exit_with(if found.is_empty() { exit::REFUSED } else { exit::DONE })
}

/// Fields that each line begins with or that say nothing of the request.
const HIDDEN: [&str; 5] = ["ts", "event", "id", "level", "target"];

/// Collects the hops from every node named and prints them in order of time.
///
/// # Errors
/// Never; nodes that do not answer are named on standard error.
pub async fn execute(arguments: Arguments) -> Result<ExitCode> {
    if !arguments.logs.is_empty() {
        return search_logs(&arguments);
    }
    let Some(contact) = &arguments.contact else {
        eprintln!("name nodes with --node ADDR, or log files with --log FILE");
        return exit_with(exit::INVALID);
    };
    let peers = contact.peers();
    let mut hops: Vec<Hop> = Vec::new();
    for addr in &contact.nodes {
        match peers.call::<_, Vec<Hop>>(*addr, method::TRACE, &arguments.id, CALL_TIME).await {
            Ok(found) => hops.extend(found),
            Err(error) => eprintln!("{error}"),
        }
    }
    hops.sort_by_key(|hop| hop.began);
    if arguments.json {
        print_json(&hops)?;
    } else {
        for hop in &hops {
            println!(
                "began={} span={} parent={} name={} place={} outcome={} micros={}",
                hop.began, hop.span, hop.parent, hop.name, hop.place, hop.outcome, hop.micros
            );
        }
    }
    exit_with(if hops.is_empty() { exit::REFUSED } else { exit::DONE })
}
