//! Reads a configuration change from an INI file written by an operator.
//!
//! A section title is a kind and a name, such as `team portal` or `backend_server e1`; `remove
//! team portal` removes that team. A policy's program is in a separate file, which the key `file` names
//! relative to the change file.

use std::path::Path;
use std::str::FromStr;

use super::config::{
    BackendServer, Change, Class, Edit, KeyDigest, Limits, Service, ServiceKind, Team,
};
use crate::ids::{ChangeId, Revision};
use crate::settings::{Reader, Section, SettingsError};
use crate::units::{Millis, Price, Tokens};

const DEFAULT_SILENCE: Millis = Millis(30_000);
const DEFAULT_FIRST_TOKEN: Millis = Millis(600);
const DEFAULT_BETWEEN: Millis = Millis(60);
const DEFAULT_CONCURRENT: u32 = 256;
const DEFAULT_BUDGET: Tokens = Tokens(1 << 20);
const DEFAULT_SLOTS: u32 = 16;
const DEFAULT_PRICE: Price = Price(1_000_000);

/// Reads the change file at `path`.
///
/// # Errors
/// When the file or a policy's file cannot be read or is invalid; all faults are reported together.
pub fn load(path: &Path, id: ChangeId, expect: Option<Revision>) -> Result<Change, SettingsError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| SettingsError::unreadable(path, &error))?;
    let folder = path.parent().unwrap_or(Path::new("."));
    parse(&path.display().to_string(), &text, folder, id, expect)
}

/// Parses a change from text. `name` is the file name used in errors; paths of policy files are
/// relative to `folder`.
///
/// # Errors
/// As [`load`].
pub fn parse(
    name: &str,
    text: &str,
    folder: &Path,
    id: ChangeId,
    expect: Option<Revision>,
) -> Result<Change, SettingsError> {
    let mut reader = Reader::new(name, text)?;
    let mut edits = Vec::new();
    for title in reader.names() {
        let mut section = reader.section(&title);
        match read_edit(&mut section, &title, folder) {
            Ok(edit) => edits.extend(edit),
            Err(fault) => reader.fault(&title, "-", &fault),
        }
        reader.close(section);
    }
    if edits.is_empty() {
        reader.fault("-", "-", "the file changes nothing");
    }
    reader.finish()?;
    Ok(Change { id, expect, edits })
}

/// Reads one section. Returns `None` when the section has recorded faults of its own.
fn read_edit(section: &mut Section, title: &str, folder: &Path) -> Result<Option<Edit>, String> {
    let words: Vec<_> = title.split_whitespace().collect();
    let edit = match words.as_slice() {
        ["limits"] => Some(Edit::PutLimits(read_limits(section))),
        ["team", name] => {
            let name = parse_name(name)?;
            read_team(section).map(|team| Edit::PutTeam(name, team))
        }
        ["service", name] => {
            let name = parse_name(name)?;
            read_service(section).map(|service| Edit::PutService(name, service))
        }
        ["backend_server", name] => {
            let name = parse_name(name)?;
            read_backend(section).map(|backend| Edit::PutBackend(name, backend))
        }
        ["policy", name] => {
            let name = parse_name(name)?;
            read_policy(section, folder)?.map(|program| Edit::PutPolicy(name, program))
        }
        ["remove", "team", name] => Some(Edit::RemoveTeam(parse_name(name)?)),
        ["remove", "service", name] => Some(Edit::RemoveService(parse_name(name)?)),
        ["remove", "backend_server", name] => Some(Edit::RemoveBackend(parse_name(name)?)),
        ["remove", "policy", name] => Some(Edit::RemovePolicy(parse_name(name)?)),
        _ => {
            return Err("a section is limits, or team, service, backend_server or policy and a \
                        name, or remove before such a pair"
                .to_owned());
        }
    };
    Ok(edit)
}

fn parse_name<T>(text: &str) -> Result<T, String>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error| format!("{text:?}: {error}"))
}

fn read_limits(section: &mut Section) -> Limits {
    let defaults = Limits::default();
    Limits {
        entry_boxes: section.value("entry_boxes", defaults.entry_boxes),
        retry_percent: section.value("retry_percent", defaults.retry_percent),
        ledger_age: section.value("ledger_age", defaults.ledger_age),
        work_age: section.value("work_age", defaults.work_age),
    }
}

fn read_team(section: &mut Section) -> Option<Team> {
    let key: Option<String> = section.required("key");
    let team = Team {
        key: KeyDigest::of(key.as_deref().unwrap_or("")),
        class: section.value("class", Class::Interactive),
        first_token: section.value("first_token", DEFAULT_FIRST_TOKEN),
        between: section.value("between", DEFAULT_BETWEEN),
        concurrent: section.value("concurrent", DEFAULT_CONCURRENT),
        budget: section.value("budget", DEFAULT_BUDGET),
        weight: section.value("weight", 1),
    };
    key.map(|_| team)
}

fn read_service(section: &mut Section) -> Option<Service> {
    let kind = section.required("kind");
    let repeatable = kind == Some(ServiceKind::Engine);
    let repeatable = section.value("repeatable", repeatable);
    let silence = section.value("silence", DEFAULT_SILENCE);
    let policy = section.optional("policy");
    Some(Service { kind: kind?, repeatable, silence, policy })
}

fn read_backend(section: &mut Section) -> Option<BackendServer> {
    let service = section.required("service");
    let addr = section.required("addr");
    let data_centre = section.required("data_centre");
    let slots = section.value("slots", DEFAULT_SLOTS);
    let price = section.value("price", DEFAULT_PRICE);
    let reclaimable = section.value("reclaimable", true);
    let fenced = section.value("fenced", false);
    Some(BackendServer {
        service: service?,
        addr: addr?,
        data_centre: data_centre?,
        slots,
        price,
        reclaimable,
        fenced,
    })
}

fn read_policy(section: &mut Section, folder: &Path) -> Result<Option<String>, String> {
    let Some(file) = section.required::<String>("file") else {
        return Ok(None);
    };
    let path = folder.join(&file);
    match std::fs::read_to_string(&path) {
        Ok(text) => Ok(Some(text)),
        Err(error) => Err(format!("file {}: {error}", path.display())),
    }
}
