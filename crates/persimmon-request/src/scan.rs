//! A minimal SQL scanner, sufficient to recognize a plain `SELECT`.
//!
//! Invariant: text inside quotes or comments never yields a [`Lexeme::Word`].

/// One lexical element of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lexeme<'a> {
    /// A keyword or an unquoted identifier.
    Word(&'a str),
    /// A quoted identifier or a string literal.
    Quoted,
    /// One character of punctuation.
    Punctuation(u8),
    /// Text that the scanner does not support, such as an unterminated quote.
    Unrecognized,
}

/// Iterates over the lexical elements of a statement, without whitespace and comments.
#[derive(Clone, Debug)]
pub(crate) struct Scanner<'a> {
    text: &'a str,
    offset: usize,
}

impl<'a> Scanner<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text, offset: 0 }
    }

    fn rest(&self) -> &'a [u8] {
        &self.text.as_bytes()[self.offset..]
    }

    /// Skips whitespace and comments. Returns `false` at an unterminated comment.
    fn skip_whitespace(&mut self) -> bool {
        loop {
            let rest = self.rest();
            if rest.first().is_some_and(u8::is_ascii_whitespace) {
                self.offset += 1;
            } else if rest.starts_with(b"--") {
                let end = rest.iter().position(|b| *b == b'\n');
                self.offset += end.map_or(rest.len(), |i| i + 1);
            } else if rest.starts_with(b"/*") {
                let Some(len) = block_comment_len(rest) else {
                    return false;
                };
                self.offset += len;
            } else {
                return true;
            }
        }
    }

    /// Consumes a quoted element; a doubled quote is part of it.
    fn scan_quoted(&mut self, quote: u8, has_escapes: bool) -> Lexeme<'a> {
        let bytes = self.text.as_bytes();
        let mut i = self.offset + 1;
        while i < bytes.len() {
            if has_escapes && bytes[i] == b'\\' {
                i += 2;
            } else if bytes[i] != quote {
                i += 1;
            } else if bytes.get(i + 1) == Some(&quote) {
                i += 2;
            } else {
                self.offset = i + 1;
                return Lexeme::Quoted;
            }
        }
        self.offset = bytes.len();
        Lexeme::Unrecognized
    }
}

/// The length of the block comment at the start of `bytes`, or `None` if it is unterminated. Block
/// comments nest.
fn block_comment_len(bytes: &[u8]) -> Option<usize> {
    let mut depth = 0_usize;
    let mut i = 0;
    while i + 1 < bytes.len() {
        match (bytes[i], bytes[i + 1]) {
            (b'/', b'*') => {
                depth += 1;
                i += 2;
            }
            (b'*', b'/') => {
                depth -= 1;
                i += 2;
                if depth == 0 {
                    return Some(i);
                }
            }
            _ => i += 1,
        }
    }
    None
}

impl<'a> Iterator for Scanner<'a> {
    type Item = Lexeme<'a>;

    fn next(&mut self) -> Option<Lexeme<'a>> {
        if !self.skip_whitespace() {
            self.offset = self.text.len();
            return Some(Lexeme::Unrecognized);
        }
        let rest = self.rest();
        let first = *rest.first()?;
        if first == b'\'' {
            return Some(self.scan_quoted(b'\'', false));
        }
        if first == b'"' {
            return Some(self.scan_quoted(b'"', false));
        }
        let is_word = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b >= 0x80;
        if first.is_ascii_alphabetic() || first == b'_' || first >= 0x80 {
            let len = rest.iter().position(|b| !is_word(*b)).unwrap_or(rest.len());
            let word = &self.text[self.offset..self.offset + len];
            self.offset += len;
            // An escape string such as E'it\'s' starts with a word directly before its quote.
            if self.rest().first() == Some(&b'\'') {
                return Some(self.scan_quoted(b'\'', word.eq_ignore_ascii_case("e")));
            }
            return Some(Lexeme::Word(word));
        }
        if first == b'$' && !rest.get(1).is_some_and(u8::is_ascii_digit) {
            // Dollar-quoted strings are not supported: the rest of the statement is unrecognized,
            // so the statement is not classified as a read.
            self.offset = self.text.len();
            return Some(Lexeme::Unrecognized);
        }
        self.offset += 1;
        Some(Lexeme::Punctuation(first))
    }
}
