//! Line-based deltas of the table text, so that an edit of one row sends only that row.

use persimmon_kernel::TableDelta;

/// Computes the delta from `old`, at version `from`, to `new`, at version `to`.
#[must_use]
pub fn compute_delta(from: u64, old: &str, to: u64, new: &str) -> TableDelta {
    let old: Vec<&str> = old.split('\n').collect();
    let new: Vec<&str> = new.split('\n').collect();
    let shorter_len = old.len().min(new.len());
    let prefix_len = (0..shorter_len).take_while(|&i| old[i] == new[i]).count();
    let suffix_len = (0..shorter_len - prefix_len)
        .take_while(|&i| old[old.len() - 1 - i] == new[new.len() - 1 - i])
        .count();
    let added =
        new[prefix_len..new.len() - suffix_len].iter().map(|line| (*line).to_owned()).collect();
    TableDelta { from, to, at: prefix_len, removed: old.len() - suffix_len - prefix_len, added }
}

/// Applies a delta to `old`. Returns `None` if the delta does not fit the text.
#[must_use]
pub fn apply_delta(old: &str, delta: &TableDelta) -> Option<String> {
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
