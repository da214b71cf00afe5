//! Reads INI sections into typed values and collects every fault on the way.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::path::Path;
use std::str::FromStr;

use ini::Ini;

use crate::obstacle::Obstacle;
use crate::units::{ByteSize, Millis, Number};

/// What some editors put before the first character of a file.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// The last line of a file whose end is marked.
const END: &str = "[end]";

/// The section that is that line.
const END_SECTION: &str = "end";

/// Everything that is wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{}", .faults.join("\n"))]
pub struct SettingsError {
    /// One sentence a fault, each naming file, section and key.
    pub faults: Vec<String>,
    /// What is wrong with the file as a whole.
    obstacle: Obstacle,
}

impl SettingsError {
    pub(crate) fn invalid(faults: Vec<String>) -> Self {
        Self { faults, obstacle: Obstacle::SettingsInvalid }
    }

    pub(crate) fn one(name: &str, text: &str) -> Self {
        Self::invalid(vec![format!("{name}: {text}")])
    }

    pub(crate) fn incomplete(name: &str) -> Self {
        let faults = vec![format!("{name}: is incomplete: its last line is not {END}")];
        Self { faults, obstacle: Obstacle::SettingsIncomplete }
    }

    pub(crate) fn empty(name: &str) -> Self {
        let faults = vec![format!("{name}: is empty")];
        Self { faults, obstacle: Obstacle::SettingsIncomplete }
    }

    /// What keeps the node from its settings.
    pub const fn obstacle(&self) -> Obstacle {
        self.obstacle
    }

    pub(crate) fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        Self::one(&path.display().to_string(), &format!("cannot be read: {error}"))
    }
}

/// A parsed INI file and the faults found so far.
pub(crate) struct Reader {
    name: String,
    sections: BTreeMap<String, BTreeMap<String, String>>,
    seen: BTreeSet<String>,
    faults: Vec<String>,
    has_end: bool,
}

impl Reader {
    /// Parses `text`; `name` stands for the file in faults.
    pub(crate) fn new(name: &str, text: &str) -> Result<Self, SettingsError> {
        let options = ini::ParseOption { enabled_escape: false, ..Default::default() };
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        let ini = Ini::load_from_str_opt(text, options)
            .map_err(|error| SettingsError::one(name, &format!("is not INI: {error}")))?;
        let mut reader = Self {
            name: name.to_owned(),
            sections: BTreeMap::new(),
            seen: BTreeSet::new(),
            faults: Vec::new(),
            has_end: text.trim_end().lines().last() == Some(END),
        };
        reader.seen.insert(END_SECTION.to_owned());
        for (section, properties) in &ini {
            reader.take_section(section.unwrap_or(""), properties);
        }
        Ok(reader)
    }

    fn take_section(&mut self, name: &str, properties: &ini::Properties) {
        if name.is_empty() {
            for (key, _) in properties {
                self.fault("-", key, "stands before the first section");
            }
            return;
        }
        if self.sections.contains_key(name) {
            self.fault(name, "-", "stands twice");
        }
        let mut keys = BTreeMap::new();
        for (key, value) in properties {
            if keys.insert(key.to_owned(), value.to_owned()).is_some() {
                self.fault(name, key, "stands twice");
            }
        }
        self.sections.insert(name.to_owned(), keys);
    }

    /// Whether the last line marks the end of the file.
    pub(crate) const fn has_end(&self) -> bool {
        self.has_end
    }

    /// Every section's name, in order.
    pub(crate) fn names(&self) -> Vec<String> {
        self.sections.keys().cloned().collect()
    }

    /// Whether the file has the section.
    pub(crate) fn has(&self, name: &str) -> bool {
        self.sections.contains_key(name)
    }

    /// Opens a section; an absent one is empty.
    pub(crate) fn section(&mut self, name: &str) -> Section {
        self.seen.insert(name.to_owned());
        let keys = self.sections.get(name).cloned().unwrap_or_default();
        Section { name: name.to_owned(), keys, known: BTreeSet::new(), faults: Vec::new() }
    }

    /// Closes a section: its faults are kept and its unread keys become faults.
    pub(crate) fn close(&mut self, section: Section) {
        for (key, text) in &section.faults {
            self.fault(&section.name, key, text);
        }
        for key in section.keys.keys().filter(|key| !section.known.contains(*key)) {
            let known: Vec<_> = section.known.iter().map(String::as_str).collect();
            let text = format!("is not known here; known are {}", known.join(", "));
            self.fault(&section.name, key, &text);
        }
    }

    /// Notes a fault.
    pub(crate) fn fault(&mut self, section: &str, key: &str, text: &str) {
        self.faults.push(format!("{}: [{section}] {key} {text}", self.name));
    }

    /// Ends the reading: sections nobody opened become faults.
    pub(crate) fn finish(mut self) -> Result<(), SettingsError> {
        let unknown: Vec<_> =
            self.sections.keys().filter(|name| !self.seen.contains(*name)).cloned().collect();
        for name in unknown {
            self.fault(&name, "-", "is not a known section");
        }
        match self.faults.is_empty() {
            true => Ok(()),
            false => Err(SettingsError::invalid(self.faults)),
        }
    }
}

/// One open section.
pub(crate) struct Section {
    name: String,
    keys: BTreeMap<String, String>,
    known: BTreeSet<String>,
    faults: Vec<(String, String)>,
}

impl Section {
    /// The value of `key`, or `default` when absent.
    pub(crate) fn value<T>(&mut self, key: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(key).unwrap_or(default)
    }

    /// The span of time under `key`, or `default` when absent. A unit without a number is absent too:
    /// that is what a template makes of a figure that is not given.
    pub(crate) fn time(&mut self, key: &str, default: Millis) -> Millis {
        self.measure(key, &Millis::UNITS, default)
    }

    /// The size under `key`, or `default` when absent, as with times.
    pub(crate) fn size(&mut self, key: &str, default: ByteSize) -> ByteSize {
        self.measure(key, &ByteSize::UNITS, default)
    }

    fn measure<T>(&mut self, key: &str, units: &[(&str, f64)], default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.known.insert(key.to_owned());
        match self.text(key).filter(|text| !units.iter().any(|(unit, _)| unit == text)) {
            Some(text) => self.parse(key, &text).unwrap_or(default),
            None => default,
        }
    }

    /// The number under `key`, or `default` when absent.
    pub(crate) fn number(&mut self, key: &str, default: f64) -> f64 {
        self.value(key, Number(default)).0
    }

    /// The value of `key`; its absence is a fault.
    pub(crate) fn required<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        if self.text(key).is_none() {
            self.known.insert(key.to_owned());
            self.faults.push((key.to_owned(), "is missing".to_owned()));
            return None;
        }
        self.optional(key)
    }

    /// The text of `key`; one that is blank is absent.
    fn text(&self, key: &str) -> Option<String> {
        let text = self.keys.get(key)?.trim();
        (!text.is_empty()).then(|| text.to_owned())
    }

    /// The value of `key`, when present.
    pub(crate) fn optional<T>(&mut self, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.known.insert(key.to_owned());
        let text = self.text(key)?;
        self.parse(key, &text)
    }

    /// The comma-separated values of `key`, when present.
    pub(crate) fn list<T>(&mut self, key: &str) -> Option<Vec<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.known.insert(key.to_owned());
        let text = self.text(key)?;
        let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
        words.map(|word| self.parse(key, word)).collect()
    }

    /// Every key of the section, as names with values.
    pub(crate) fn table<K, V>(&mut self) -> BTreeMap<K, V>
    where
        K: FromStr + Ord,
        K::Err: Display,
        V: FromStr,
        V::Err: Display,
    {
        let mut table = BTreeMap::new();
        for (key, text) in self.keys.clone() {
            self.known.insert(key.clone());
            let name = key.parse::<K>();
            if let Err(error) = &name {
                self.faults.push((key.clone(), format!("is not a name: {error}")));
            }
            let value = self.parse::<V>(&key, text.trim());
            if let (Ok(name), Some(value)) = (name, value) {
                table.insert(name, value);
            }
        }
        table
    }

    /// Notes a fault at `key` unless `holds`.
    pub(crate) fn check(&mut self, key: &str, holds: bool, rule: &str) {
        if !holds {
            self.faults.push((key.to_owned(), rule.to_owned()));
        }
    }

    fn parse<T>(&mut self, key: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.faults.push((key.to_owned(), format!("= {text:?} is not valid: {error}")));
                None
            }
        }
    }
}
