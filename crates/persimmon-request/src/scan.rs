//! Splits a statement into words and marks, enough to tell a plain `SELECT` from the rest.
//!
//! Invariant: text inside quotes and comments never yields a word.

/// One piece of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Piece<'a> {
    /// A key word or an unquoted name.
    Word(&'a str),
    /// A name in double quotes, or a literal.
    Quoted,
    /// One character of punctuation.
    Mark(u8),
    /// Something this scanner does not understand, such as an unfinished quote.
    Unclear,
}

/// Yields the pieces of a statement.
#[derive(Clone, Debug)]
pub(crate) struct Scanner<'a> {
    text: &'a str,
    at: usize,
}

impl<'a> Scanner<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self { text, at: 0 }
    }

    fn rest(&self) -> &'a [u8] {
        &self.text.as_bytes()[self.at..]
    }

    fn skip_blank(&mut self) -> bool {
        loop {
            let rest = self.rest();
            if rest.first().is_some_and(u8::is_ascii_whitespace) {
                self.at += 1;
            } else if rest.starts_with(b"--") {
                let end = rest.iter().position(|b| *b == b'\n');
                self.at += end.map_or(rest.len(), |i| i + 1);
            } else if rest.starts_with(b"/*") {
                let Some(length) = comment_length(rest) else {
                    return false;
                };
                self.at += length;
            } else {
                return true;
            }
        }
    }

    fn quoted(&mut self, quote: u8, escapes: bool) -> Piece<'a> {
        let bytes = self.text.as_bytes();
        let mut i = self.at + 1;
        while i < bytes.len() {
            if escapes && bytes[i] == b'\\' {
                i += 2;
            } else if bytes[i] != quote {
                i += 1;
            } else if bytes.get(i + 1) == Some(&quote) {
                i += 2;
            } else {
                self.at = i + 1;
                return Piece::Quoted;
            }
        }
        self.at = bytes.len();
        Piece::Unclear
    }
}

/// The length of a block comment at the start of `bytes`; block comments nest.
fn comment_length(bytes: &[u8]) -> Option<usize> {
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
    type Item = Piece<'a>;

    fn next(&mut self) -> Option<Piece<'a>> {
        if !self.skip_blank() {
            self.at = self.text.len();
            return Some(Piece::Unclear);
        }
        let rest = self.rest();
        let first = *rest.first()?;
        if first == b'\'' {
            return Some(self.quoted(b'\'', false));
        }
        if first == b'"' {
            return Some(self.quoted(b'"', false));
        }
        let is_word = |b: u8| b.is_ascii_alphanumeric() || b == b'_' || b >= 0x80;
        if first.is_ascii_alphabetic() || first == b'_' || first >= 0x80 {
            let length = rest.iter().position(|b| !is_word(*b)).unwrap_or(rest.len());
            let word = &self.text[self.at..self.at + length];
            self.at += length;
            // An escape string such as E'it\'s' begins with a word that touches its quote.
            if self.rest().first() == Some(&b'\'') {
                return Some(self.quoted(b'\'', word.eq_ignore_ascii_case("e")));
            }
            return Some(Piece::Word(word));
        }
        if first == b'$' && !rest.get(1).is_some_and(u8::is_ascii_digit) {
            // Dollar quotes are not followed; whoever meets one treats the statement as unclear.
            self.at = self.text.len();
            return Some(Piece::Unclear);
        }
        self.at += 1;
        Some(Piece::Mark(first))
    }
}
