//! Translates the few differences between PostgreSQL's SQL and that of the embedded engine.

/// Returns the statement in the engine's dialect, and the type that each cast parameter is cast to.
pub(crate) fn translate(sql: &str) -> (String, Vec<(usize, String)>) {
    let mut out = String::with_capacity(sql.len());
    let mut casts = Vec::new();
    let mut rest = sql;
    let mut is_quoted = false;
    while let Some(c) = rest.chars().next() {
        if c == '\'' {
            is_quoted = !is_quoted;
        }
        if !is_quoted && rest.starts_with("::") {
            let word = &rest[2..];
            let is_word = |c: char| c.is_ascii_alphanumeric() || c == '_';
            let end = word.find(|c| !is_word(c)).unwrap_or(word.len());
            if let Some(number) = trailing_parameter(&out) {
                casts.push((number, word[..end].to_ascii_lowercase()));
            }
            rest = &word[end..];
            continue;
        }
        if !is_quoted && starts_with_word(rest, "for update") {
            rest = &rest["for update".len()..];
            continue;
        }
        out.push(c);
        rest = &rest[c.len_utf8()..];
    }
    (out, casts)
}

fn starts_with_word(text: &str, word: &str) -> bool {
    text.get(..word.len()).is_some_and(|head| head.eq_ignore_ascii_case(word))
}

fn trailing_parameter(out: &str) -> Option<usize> {
    let digits = out.len() - out.trim_end_matches(|c: char| c.is_ascii_digit()).len();
    let (head, number) = out.split_at(out.len() - digits);
    if head.ends_with('$') { number.parse().ok() } else { None }
}

/// Splits a query string into statements at semicolons outside quotes.
pub(crate) fn split(sql: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut start = 0;
    let mut open_quote = None;
    for (i, c) in sql.char_indices() {
        match open_quote {
            Some(q) if c == q => open_quote = None,
            None if c == '\'' || c == '"' => open_quote = Some(c),
            None if c == ';' => {
                parts.push(&sql[start..i]);
                start = i + 1;
            }
            _ => {}
        }
    }
    parts.push(&sql[start..]);
    parts.into_iter().filter(|part| !part.trim().is_empty()).collect()
}

/// Returns the first word of a statement after white space and comments, in lower case.
pub(crate) fn first_word(sql: &str) -> String {
    let mut rest = sql.trim_start();
    while let Some(comment) = rest.strip_prefix("/*") {
        rest = comment.split_once("*/").map_or("", |(_, after)| after).trim_start();
    }
    let end = rest.find(|c: char| !c.is_ascii_alphabetic()).unwrap_or(rest.len());
    rest[..end].to_ascii_lowercase()
}
