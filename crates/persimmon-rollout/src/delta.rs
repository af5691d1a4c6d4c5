//! Changes of the table as replaced lines, so that an edit of one row costs one row on the wire.

use persimmon_kernel::TableDelta;

/// The change that makes `new` out of `old`.
#[must_use]
pub fn between(from: u64, old: &str, to: u64, new: &str) -> TableDelta {
    let old: Vec<&str> = old.split('\n').collect();
    let new: Vec<&str> = new.split('\n').collect();
    let common = old.len().min(new.len());
    let prefix = (0..common).take_while(|&i| old[i] == new[i]).count();
    let suffix = (0..common - prefix)
        .take_while(|&i| old[old.len() - 1 - i] == new[new.len() - 1 - i])
        .count();
    let added = new[prefix..new.len() - suffix].iter().map(|line| (*line).to_owned()).collect();
    TableDelta { from, to, at: prefix, removed: old.len() - suffix - prefix, added }
}

/// The text after a change, or nothing if the change does not fit the text.
#[must_use]
pub fn apply(old: &str, delta: &TableDelta) -> Option<String> {
    let old: Vec<&str> = old.split('\n').collect();
    let end = delta.at.checked_add(delta.removed)?;
    if end > old.len() {
        return None;
    }
    let mut lines: Vec<&str> = Vec::with_capacity(old.len() + delta.added.len());
    lines.extend_from_slice(&old[..delta.at]);
    lines.extend(delta.added.iter().map(String::as_str));
    lines.extend_from_slice(&old[end..]);
    Some(lines.join("\n"))
}
