//! Where in nested JSON the bytes of a stream stand.

/// Follows objects, arrays and strings byte by byte. It checks no grammar: it only finds where a value ends.
#[derive(Debug, Default)]
pub(crate) struct Nesting {
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Nesting {
    /// Objects and arrays that are open; only an object opens the first level.
    pub(crate) fn depth(&self) -> usize {
        self.depth
    }

    /// The bytes stand in a string.
    pub(crate) fn is_quoted(&self) -> bool {
        self.quoted
    }

    /// Takes the next byte.
    pub(crate) fn advance(&mut self, byte: u8) {
        if self.quoted {
            let ends = byte == b'"' && !self.escaped;
            self.escaped = byte == b'\\' && !self.escaped;
            self.quoted = !ends;
            return;
        }
        match byte {
            b'{' => self.depth += 1,
            b'[' if self.depth > 0 => self.depth += 1,
            b'}' | b']' if self.depth > 0 => self.depth -= 1,
            b'"' if self.depth > 0 => self.quoted = true,
            _ => {}
        }
    }
}
