//! The commands that read and edit the table.
//!
//! Invariant: "accepted" is printed only after the store has confirmed the edit, or after a lost
//! response once the edit has been found in the stored object.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use persimmon_store_client::{
    AcceptedEdit, Object, StoreClient, StoreError, TableEdit, TableObject,
};
use persimmon_table::{RowChange, Table, diff as diff_rows};
use persimmon_types::Clock;

use crate::Failure;

/// How many times the table is read to find out whether a push whose response was lost took effect.
const MAX_LOOKUPS: u32 = 5;

/// The file next to a pulled table that records its version.
fn version_file(file: &Path) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(".version");
    PathBuf::from(name)
}

async fn read_table(store: &StoreClient) -> Result<(u64, TableObject), Failure> {
    match store.read(TableObject::KEY).await? {
        Some(object) => Ok((object.version, TableObject::parse(&object.value)?)),
        None => Ok((0, TableObject::default())),
    }
}

/// Writes the table to a file and records its version.
pub(crate) async fn pull(store: &StoreClient, file: &Path) -> Result<(), Failure> {
    let (version, object) = read_table(store).await?;
    fs::write(file, object.text.as_bytes())?;
    fs::write(version_file(file), version.to_string())?;
    println!("wrote version {version} to {}", file.display());
    Ok(())
}

/// Checks the table in a file.
pub(crate) fn check(file: &Path) -> Result<(), Failure> {
    let table = Table::parse(&fs::read_to_string(file)?)?;
    println!(
        "ok: {} places, {} services, {} instances, {} kinds",
        table.failure_domains.len(),
        table.services.len(),
        table.instances.len(),
        table.request_classes.len()
    );
    Ok(())
}

/// Prints the rows that a file would change in the table.
pub(crate) async fn diff(store: &StoreClient, file: &Path) -> Result<(), Failure> {
    let (_, object) = read_table(store).await?;
    print_changes(&diff_rows(&object.text, &fs::read_to_string(file)?));
    Ok(())
}

fn print_changes(changes: &[RowChange]) {
    for change in changes {
        println!("{change}");
    }
    if changes.is_empty() {
        println!("no row differs");
    }
}

fn resolve_base(file: &Path, base: Option<u64>) -> Result<u64, Failure> {
    if let Some(base) = base {
        return Ok(base);
    }
    let recorded = fs::read_to_string(version_file(file)).map_err(|_| {
        let file = file.display();
        Failure::Other(format!("{file}.version is missing: pull first, or give --base VERSION"))
    })?;
    recorded
        .trim()
        .parse()
        .map_err(|_| Failure::Other("the recorded version is not a number".to_owned()))
}

/// Replaces the table with a file.
pub(crate) async fn push(
    store: &StoreClient,
    file: &Path,
    base: Option<u64>,
    author: &str,
    note: &str,
) -> Result<(), Failure> {
    let text = fs::read_to_string(file)?;
    Table::parse(&text)?;
    let base = resolve_base(file, base)?;
    let (version, current) = read_table(store).await?;
    // The id is derived from what is pushed, so that a retry of the same edit is recognized.
    let id = edit_id(base, author, &text);
    if current.has_edit(&id) {
        return finish_accepted(file, version);
    }
    if version != base {
        return Err(conflict_error(base, version, &current, &text));
    }
    let changes = diff_rows(&current.text, &text).iter().map(ToString::to_string).collect();
    let history_entry = AcceptedEdit {
        id: Arc::from(id.as_str()),
        base,
        author: Arc::from(author),
        note: Arc::from(note),
        at_ms: Clock.wall_ms(),
        changes,
    };
    let object = current.with_edit(TableEdit { text: Arc::from(text.as_str()), history_entry });
    let value = Arc::from(serde_json::to_string(&object)?);
    match store.write(TableObject::KEY, base, value).await {
        Ok(version) => finish_accepted(file, version),
        Err(StoreError::Conflict(conflicting)) => {
            let (version, conflicting) = parse_conflicting(conflicting)?;
            if conflicting.has_edit(&id) {
                return finish_accepted(file, version);
            }
            Err(conflict_error(base, version, &conflicting, &text))
        }
        Err(StoreError::Unavailable(reason)) => {
            resolve_lost_response(store, file, &id, &reason).await
        }
    }
}

fn parse_conflicting(conflicting: Option<Object>) -> Result<(u64, TableObject), Failure> {
    match conflicting {
        Some(object) => Ok((object.version, TableObject::parse(&object.value)?)),
        None => Ok((0, TableObject::default())),
    }
}

/// Finds out whether an edit whose response was lost took effect.
async fn resolve_lost_response(
    store: &StoreClient,
    file: &Path,
    id: &str,
    reason: &str,
) -> Result<(), Failure> {
    for _ in 0..MAX_LOOKUPS {
        if let Ok((version, object)) = read_table(store).await {
            if object.has_edit(id) {
                return finish_accepted(file, version);
            }
            return Err(Failure::Other(format!("not accepted ({reason}); push again")));
        }
        ntex::time::sleep(ntex::time::Millis(500)).await;
    }
    Err(Failure::Other(format!(
        "unknown whether the edit was accepted ({reason}); push the same file again to find out"
    )))
}

fn finish_accepted(file: &Path, version: u64) -> Result<(), Failure> {
    fs::write(version_file(file), version.to_string())?;
    println!("accepted as version {version}");
    Ok(())
}

fn edit_id(base: u64, author: &str, text: &str) -> String {
    let key = format!("{base}\n{author}\n{text}");
    format!("{:016x}", persimmon_types::fingerprint(key.as_bytes()))
}

fn conflict_error(base: u64, version: u64, current: &TableObject, text: &str) -> Failure {
    let mut message = format!("refused: the table is at version {version}, not {base}\n");
    message.push_str("changed since this edit's base version:\n");
    for edit in current.edits.iter().filter(|e| e.base >= base) {
        message.push_str(&format!("  by {}: {}\n", edit.author, edit.note));
        for change in &edit.changes {
            message.push_str(&format!("    {change}\n"));
        }
    }
    message.push_str("this file compared with the current table:\n");
    for change in diff_rows(&current.text, text) {
        message.push_str(&format!("    {change}\n"));
    }
    Failure::Conflict(message)
}

/// Lists the latest edits.
pub(crate) async fn history(store: &StoreClient) -> Result<(), Failure> {
    let (version, object) = read_table(store).await?;
    println!("version {version} is the newest accepted");
    for edit in object.edits.iter().rev() {
        println!("{} ms, on version {}, by {}: {}", edit.at_ms, edit.base, edit.author, edit.note);
        for change in &edit.changes {
            println!("  {change}");
        }
    }
    Ok(())
}
