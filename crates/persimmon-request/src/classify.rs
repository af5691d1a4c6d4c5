//! Tells what a statement is, as far as routing needs to know; this is no SQL parser.
//!
//! Invariant: whatever is not plainly a read, and not plainly transaction control, is
//! [`Class::Write`] or [`Class::Pin`].

use crate::scan::{Piece, Scanner};

/// What a statement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Class {
    /// Nothing but blanks and comments.
    Empty,
    /// A plain `SELECT` without side effects.
    Read,
    /// Anything that may write.
    Write,
    /// The beginning of a transaction.
    Begin {
        /// Whether it says that it only reads.
        read_only: bool,
    },
    /// The end of a transaction that keeps its work.
    Commit,
    /// The end of a transaction that drops its work.
    Rollback,
    /// A setting of this daemon: `SET persimmon.name = value`.
    Setting,
    /// A statement that changes the state of its connection beyond a transaction.
    Pin,
    /// A bulk copy, which this daemon does not carry.
    Copy,
}

/// Functions without side effects that a plain `SELECT` may call.
const PURE_FUNCTIONS: &[&str] = &[
    "abs",
    "avg",
    "cast",
    "ceil",
    "coalesce",
    "concat",
    "count",
    "date_part",
    "date_trunc",
    "exists",
    "extract",
    "floor",
    "greatest",
    "least",
    "left",
    "length",
    "lower",
    "max",
    "min",
    "mod",
    "now",
    "nullif",
    "pg_sleep",
    "position",
    "replace",
    "right",
    "round",
    "row_number",
    "string_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "trim",
    "upper",
];

/// Key words that an opening parenthesis may follow without being a call.
const KEYWORDS_BEFORE_PAREN: &[&str] = &[
    "all",
    "and",
    "any",
    "as",
    "between",
    "by",
    "case",
    "distinct",
    "else",
    "except",
    "filter",
    "from",
    "having",
    "in",
    "intersect",
    "join",
    "like",
    "limit",
    "not",
    "offset",
    "on",
    "or",
    "over",
    "select",
    "then",
    "union",
    "using",
    "values",
    "when",
    "where",
];

/// Words that make a `SELECT` more than a read.
const WRITING_WORDS: &[&str] = &["into", "update", "share", "insert", "delete", "merge", "call"];

/// Words that begin a statement which changes the state of its connection.
const PINNING_WORDS: &[&str] =
    &["set", "reset", "listen", "unlisten", "prepare", "deallocate", "discard", "load", "declare"];

/// Functions that change the state of their connection.
const PINNING_FUNCTIONS: &[&str] = &["set_config"];

/// Classifies the text of one message.
#[must_use]
pub fn classify(sql: &str) -> Class {
    match classify_first(sql) {
        Class::Write if pins(sql) => Class::Pin,
        class => class,
    }
}

/// Whether any statement of a message changes the state of its connection.
fn pins(sql: &str) -> bool {
    let mut at_start = true;
    let mut scanner = Scanner::new(sql);
    while let Some(piece) = scanner.next() {
        if let Piece::Word(word) = piece {
            let keeps = is_word(scanner.clone().next(), &["transaction", "local"]);
            let begins_pinning = at_start && is_any(word, PINNING_WORDS) && !keeps;
            if begins_pinning || is_any(word, &["temp", "temporary"]) || calls_pinning(word) {
                return true;
            }
        }
        at_start = piece == Piece::Mark(b';');
    }
    false
}

fn calls_pinning(word: &str) -> bool {
    is_any(word, PINNING_FUNCTIONS) || word.to_ascii_lowercase().starts_with("pg_advisory")
}

/// Classifies a message by its first statement.
fn classify_first(sql: &str) -> Class {
    let mut scanner = Scanner::new(sql);
    let first = match scanner.next() {
        None => return Class::Empty,
        Some(Piece::Word(word)) => word.to_ascii_lowercase(),
        Some(_) => return Class::Write,
    };
    match first.as_str() {
        "select" => classify_select(scanner),
        "begin" | "start" => {
            alone(scanner, |rest| Class::Begin { read_only: says_read_only(rest) })
        }
        "commit" | "end" => alone(scanner, |_| Class::Commit),
        "rollback" | "abort" => classify_rollback(scanner),
        "copy" => Class::Copy,
        "set" if is_own_setting(scanner.clone()) => alone(scanner, |_| Class::Setting),
        "set" if is_word(scanner.clone().next(), &["transaction", "local"]) => Class::Write,
        word if PINNING_WORDS.contains(&word) => Class::Pin,
        _ => Class::Write,
    }
}

/// The class of transaction control that stands alone in its message; with anything behind it the
/// message may write.
fn alone(scanner: Scanner<'_>, class: impl Fn(&[Piece<'_>]) -> Class) -> Class {
    let rest: Vec<Piece<'_>> = scanner.collect();
    let body = match rest.iter().position(|p| *p == Piece::Mark(b';')) {
        Some(end) if end + 1 < rest.len() => return Class::Write,
        Some(end) => &rest[..end],
        None => &rest[..],
    };
    class(body)
}

fn classify_rollback(scanner: Scanner<'_>) -> Class {
    alone(scanner, |rest| {
        let goes_to_savepoint = rest.iter().any(|p| is_word(Some(*p), &["to"]));
        if goes_to_savepoint { Class::Write } else { Class::Rollback }
    })
}

fn is_word(piece: Option<Piece<'_>>, words: &[&str]) -> bool {
    let Some(Piece::Word(word)) = piece else {
        return false;
    };
    words.iter().any(|w| word.eq_ignore_ascii_case(w))
}

fn says_read_only(rest: &[Piece<'_>]) -> bool {
    rest.windows(2).any(|w| is_word(Some(w[0]), &["read"]) && is_word(Some(w[1]), &["only"]))
}

fn is_own_setting(mut scanner: Scanner<'_>) -> bool {
    let mut next = scanner.next();
    if is_word(next, &["session"]) {
        next = scanner.next();
    }
    is_word(next, &["persimmon"]) && scanner.next() == Some(Piece::Mark(b'.'))
}

fn classify_select(scanner: Scanner<'_>) -> Class {
    let mut previous = "select";
    let mut pieces = scanner.peekable();
    while let Some(piece) = pieces.next() {
        match piece {
            Piece::Unclear => return Class::Write,
            Piece::Mark(b';') if pieces.peek().is_some() => return Class::Write,
            Piece::Word(word) if is_any(word, WRITING_WORDS) => return Class::Write,
            Piece::Word(word) if calls_pinning(word) => return Class::Pin,
            Piece::Mark(b'(') if !may_open(previous) => return Class::Write,
            _ => {}
        }
        previous = match piece {
            Piece::Word(word) => word,
            // A quoted name before a parenthesis is a call of an unknown function.
            Piece::Quoted => "\"",
            _ => "",
        };
    }
    Class::Read
}

fn is_any(word: &str, words: &[&str]) -> bool {
    words.iter().any(|w| word.eq_ignore_ascii_case(w))
}

fn may_open(previous: &str) -> bool {
    previous.is_empty()
        || is_any(previous, KEYWORDS_BEFORE_PAREN)
        || is_any(previous, PURE_FUNCTIONS)
}
