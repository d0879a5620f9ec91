//! Tracks the nesting depth in a stream of JSON, to find where a value ends.

/// Tracks the nesting of objects, arrays and strings byte by byte. The JSON grammar is not checked.
#[derive(Debug, Default)]
pub(crate) struct Nesting {
    depth: usize,
    in_string: bool,
    escaped: bool,
}

impl Nesting {
    /// Returns the number of open objects and arrays. Only an object opens the first nesting level.
    pub(crate) fn depth(&self) -> usize {
        self.depth
    }

    /// Returns whether the position in the stream is within a string.
    pub(crate) fn is_in_string(&self) -> bool {
        self.in_string
    }

    /// Updates the nesting depth with the next byte of the stream.
    pub(crate) fn advance(&mut self, byte: u8) {
        if self.in_string {
            let ends = byte == b'"' && !self.escaped;
            self.escaped = byte == b'\\' && !self.escaped;
            self.in_string = !ends;
            return;
        }
        match byte {
            b'{' => self.depth += 1,
            b'[' if self.depth > 0 => self.depth += 1,
            b'}' | b']' if self.depth > 0 => self.depth -= 1,
            b'"' if self.depth > 0 => self.in_string = true,
            _ => {}
        }
    }
}
