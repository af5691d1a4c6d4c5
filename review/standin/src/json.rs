//! Just enough JSON to read the members of an object; values stay text.

use std::collections::HashMap;

/// The members of an object, each with the text of its value; empty if `text` is no object.
#[must_use]
pub fn members(text: &str) -> HashMap<String, String> {
    let bytes = text.as_bytes();
    let mut found = HashMap::new();
    let mut at = skip_blank(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return found;
    }
    at += 1;
    loop {
        at = skip_blank(bytes, at);
        match bytes.get(at) {
            Some(b',') => at += 1,
            Some(b'"') => {
                let end = skip_string(bytes, at);
                let key = text[at + 1..end - 1].to_owned();
                at = skip_blank(bytes, end);
                if bytes.get(at) != Some(&b':') {
                    return found;
                }
                at = skip_blank(bytes, at + 1);
                let end = skip_value(bytes, at);
                found.insert(key, text[at..end].trim().to_owned());
                at = end;
            }
            _ => return found,
        }
    }
}

/// The text of a string value without its quotes; escapes are not decoded.
#[must_use]
pub fn unquoted(value: &str) -> &str {
    value.trim_matches('"')
}

fn skip_blank(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn skip_string(bytes: &[u8], mut at: usize) -> usize {
    at += 1;
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'\\' => at += 2,
            b'"' => return at + 1,
            _ => at += 1,
        }
    }
    at.min(bytes.len())
}

fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0_usize;
    while let Some(byte) = bytes.get(at) {
        match byte {
            b'"' => {
                at = skip_string(bytes, at);
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at.min(bytes.len())
}
