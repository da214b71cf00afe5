//! JSON taken apart by its bytes: what cannot be read in one field spoils nothing beside it.
//!
//! An answer may hold entries and fields of other writers: of another type, out of range, or of bytes that
//! are no text. Only its frame, the marks between fields and entries, has to be sound.

use serde::de::DeserializeOwned;

/// Levels of lists and objects inside each other at most: answers have a few.
const DEPTH_LIMIT: usize = 64;

/// An object's members, their names and values as they came.
pub struct Fields<'a> {
    members: Vec<(&'a [u8], &'a [u8])>,
}

impl<'a> Fields<'a> {
    /// The members of the object that is the whole of `bytes`.
    pub fn of(bytes: &'a [u8]) -> Option<Self> {
        let parts = split(bytes, b'{', b'}')?;
        let members = parts.into_iter().map(|part| {
            let end = string_end(part)?;
            let value = trim(&part[end..]).strip_prefix(b":")?;
            Some((&part[1..end - 1], trim(value)))
        });
        Some(Self { members: members.collect::<Option<_>>()? })
    }

    /// The bytes of a member's value; none where it is there twice.
    pub fn raw(&self, name: &str) -> Option<&'a [u8]> {
        let mut found = self.members.iter().filter(|(member, _)| *member == name.as_bytes());
        let (_, value) = found.next()?;
        found.next().is_none().then_some(*value)
    }

    /// A member's value, if it can be read.
    pub fn get<T: DeserializeOwned>(&self, name: &str) -> Option<T> {
        serde_json::from_slice(self.raw(name)?).ok()
    }

    /// Whether a member is there and not null.
    pub fn has(&self, name: &str) -> bool {
        let named =
            |(member, value): &&(&[u8], &[u8])| *member == name.as_bytes() && *value != b"null";
        self.members.iter().any(|member| named(&member))
    }
}

/// The entries of the list that is the whole of `bytes`, as they came.
pub fn entries(bytes: &[u8]) -> Option<Vec<&[u8]>> {
    split(bytes, b'[', b']')
}

/// The parts between the commas inside a pair of marks.
fn split(bytes: &[u8], open: u8, close: u8) -> Option<Vec<&[u8]>> {
    let inner = trim(bytes).strip_prefix(&[open])?;
    let inner = inner.strip_suffix(&[close])?;
    let mut parts = Vec::new();
    let mut rest = trim(inner);
    if rest.is_empty() {
        return Some(parts);
    }
    loop {
        let end = part_end(rest)?;
        let part = trim(&rest[..end]);
        if part.is_empty() {
            return None;
        }
        parts.push(part);
        match rest.get(end) {
            Some(_) => rest = &rest[end + 1..],
            None => return Some(parts),
        }
    }
}

/// Where the first part ends: at a comma outside of strings, lists and objects, or at the end.
fn part_end(bytes: &[u8]) -> Option<usize> {
    let mut open = Vec::new();
    let mut place = 0;
    while place < bytes.len() {
        match bytes[place] {
            b'"' => place += string_end(&bytes[place..])? - 1,
            b'{' => open.push(b'}'),
            b'[' => open.push(b']'),
            mark @ (b'}' | b']') if open.pop() != Some(mark) => return None,
            b',' if open.is_empty() => return Some(place),
            _ => {}
        }
        if open.len() > DEPTH_LIMIT {
            return None;
        }
        place += 1;
    }
    open.is_empty().then_some(place)
}

/// Where the string with which `bytes` begin ends, behind its quotation mark.
fn string_end(bytes: &[u8]) -> Option<usize> {
    let mut escaped = false;
    let inner = bytes.strip_prefix(b"\"")?;
    let end = inner.iter().position(|byte| {
        let ends = *byte == b'"' && !escaped;
        escaped = *byte == b'\\' && !escaped;
        ends
    });
    end.map(|place| place + 2)
}

fn trim(bytes: &[u8]) -> &[u8] {
    bytes.trim_ascii()
}
