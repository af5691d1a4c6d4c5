//! Classifies SQL statements as far as instance selection needs it. This is not a SQL parser.
//!
//! Invariant: a statement that is not clearly a read or transaction control is
//! [`StatementClass::Write`] or [`StatementClass::Pin`].

use crate::scan::{Lexeme, Scanner};

/// The class of a SQL statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StatementClass {
    /// Only whitespace and comments.
    Empty,
    /// A plain `SELECT` without side effects.
    Read,
    /// Anything that may write.
    Write,
    /// Starts a transaction.
    Begin {
        /// Whether the statement contains `READ ONLY`.
        read_only: bool,
    },
    /// Commits a transaction.
    Commit,
    /// Rolls back a whole transaction.
    Rollback,
    /// Sets an option of the proxy itself: `SET persimmon.name = value`.
    Setting,
    /// Changes connection state that outlives a transaction, so the connection is pinned to the
    /// session.
    Pin,
    /// `COPY`, which the proxy does not support.
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

/// Keywords before an opening parenthesis that does not start a function call.
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

/// Words that may give a `SELECT` side effects.
const WRITING_WORDS: &[&str] = &["into", "update", "share", "insert", "delete", "merge", "call"];

/// First words of statements that change connection state.
const PINNING_WORDS: &[&str] =
    &["set", "reset", "listen", "unlisten", "prepare", "deallocate", "discard", "load", "declare"];

/// Functions that change connection state.
const PINNING_FUNCTIONS: &[&str] = &["set_config"];

/// Classifies the text of one query message, which may hold several statements.
#[must_use]
pub fn classify(sql: &str) -> StatementClass {
    match classify_first(sql) {
        StatementClass::Write if changes_connection_state(sql) => StatementClass::Pin,
        class => class,
    }
}

/// Whether any statement of a message changes connection state. `SET TRANSACTION` and `SET LOCAL`
/// end with the transaction and do not.
fn changes_connection_state(sql: &str) -> bool {
    let mut at_start = true;
    let mut scanner = Scanner::new(sql);
    while let Some(lexeme) = scanner.next() {
        if let Lexeme::Word(word) = lexeme {
            let ends_with_transaction = is_word(scanner.clone().next(), &["transaction", "local"]);
            let starts_pinning = at_start && is_any(word, PINNING_WORDS) && !ends_with_transaction;
            if starts_pinning || is_any(word, &["temp", "temporary"]) || is_pinning_function(word) {
                return true;
            }
        }
        at_start = lexeme == Lexeme::Punctuation(b';');
    }
    false
}

fn is_pinning_function(word: &str) -> bool {
    is_any(word, PINNING_FUNCTIONS) || word.to_ascii_lowercase().starts_with("pg_advisory")
}

/// Classifies a message by its first statement.
fn classify_first(sql: &str) -> StatementClass {
    let mut scanner = Scanner::new(sql);
    let first = match scanner.next() {
        None => return StatementClass::Empty,
        Some(Lexeme::Word(word)) => word.to_ascii_lowercase(),
        Some(_) => return StatementClass::Write,
    };
    match first.as_str() {
        "select" => classify_select(scanner),
        "begin" | "start" => classify_single(scanner, |rest| StatementClass::Begin {
            read_only: contains_read_only(rest),
        }),
        "commit" | "end" => classify_single(scanner, |_| StatementClass::Commit),
        "rollback" | "abort" => classify_rollback(scanner),
        "copy" => StatementClass::Copy,
        "set" if is_proxy_setting(scanner.clone()) => {
            classify_single(scanner, |_| StatementClass::Setting)
        }
        "set" if is_word(scanner.clone().next(), &["transaction", "local"]) => {
            StatementClass::Write
        }
        word if PINNING_WORDS.contains(&word) => StatementClass::Pin,
        _ => StatementClass::Write,
    }
}

/// Classifies transaction control by the rest of its statement. With another statement after it,
/// the message may write.
fn classify_single(
    scanner: Scanner<'_>,
    class: impl Fn(&[Lexeme<'_>]) -> StatementClass,
) -> StatementClass {
    let rest: Vec<Lexeme<'_>> = scanner.collect();
    let body = match rest.iter().position(|lexeme| *lexeme == Lexeme::Punctuation(b';')) {
        Some(end) if end + 1 < rest.len() => return StatementClass::Write,
        Some(end) => &rest[..end],
        None => &rest[..],
    };
    class(body)
}

fn classify_rollback(scanner: Scanner<'_>) -> StatementClass {
    classify_single(scanner, |rest| {
        let is_to_savepoint = rest.iter().any(|lexeme| is_word(Some(*lexeme), &["to"]));
        if is_to_savepoint { StatementClass::Write } else { StatementClass::Rollback }
    })
}

fn is_word(lexeme: Option<Lexeme<'_>>, words: &[&str]) -> bool {
    let Some(Lexeme::Word(word)) = lexeme else {
        return false;
    };
    words.iter().any(|w| word.eq_ignore_ascii_case(w))
}

fn contains_read_only(rest: &[Lexeme<'_>]) -> bool {
    rest.windows(2).any(|w| is_word(Some(w[0]), &["read"]) && is_word(Some(w[1]), &["only"]))
}

fn is_proxy_setting(mut scanner: Scanner<'_>) -> bool {
    let mut next = scanner.next();
    if is_word(next, &["session"]) {
        next = scanner.next();
    }
    is_word(next, &["persimmon"]) && scanner.next() == Some(Lexeme::Punctuation(b'.'))
}

fn classify_select(scanner: Scanner<'_>) -> StatementClass {
    let mut previous = "select";
    let mut lexemes = scanner.peekable();
    while let Some(lexeme) = lexemes.next() {
        match lexeme {
            Lexeme::Unrecognized => return StatementClass::Write,
            Lexeme::Punctuation(b';') if lexemes.peek().is_some() => return StatementClass::Write,
            Lexeme::Word(word) if is_any(word, WRITING_WORDS) => return StatementClass::Write,
            Lexeme::Word(word) if is_pinning_function(word) => return StatementClass::Pin,
            Lexeme::Punctuation(b'(') if !may_precede_paren(previous) => {
                return StatementClass::Write;
            }
            _ => {}
        }
        previous = match lexeme {
            Lexeme::Word(word) => word,
            // A quoted name before a parenthesis calls an unknown function.
            Lexeme::Quoted => "\"",
            _ => "",
        };
    }
    StatementClass::Read
}

fn is_any(word: &str, words: &[&str]) -> bool {
    words.iter().any(|w| word.eq_ignore_ascii_case(w))
}

fn may_precede_paren(previous: &str) -> bool {
    previous.is_empty()
        || is_any(previous, KEYWORDS_BEFORE_PAREN)
        || is_any(previous, PURE_FUNCTIONS)
}
