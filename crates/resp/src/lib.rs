//! RESP arrays of bulk strings: an incremental decoder and an encoder, and the `name=value` fields within a word.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;

/// What is wrong with bytes that are no array of bulk strings, or one beyond the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(&'static str);

impl Malformed {
    /// A well-formed array that is no message.
    pub const SENSELESS: Self = Self("a message that makes no sense");
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Malformed {}

/// The bounds of a message.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// The most words.
    pub words: usize,
    /// The most bytes of all its words together.
    pub bytes: usize,
}

/// The most digits of a length or count; more than any bound has.
const MAX_LENGTH_DIGITS: usize = 8;
/// The capacity that an empty buffer keeps for the next message.
const IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// What the next bytes are.
enum Expect {
    ArrayHeader,
    WordHeader,
    Word { length: usize },
}

/// Decodes messages from a byte stream in any chunks.
pub struct Decoder {
    bounds: Bounds,
    buffer: Vec<u8>,
    /// Bytes before this are decoded.
    position: usize,
    expect: Expect,
    words_left: usize,
    /// Bytes that the remaining words of the message may have.
    bytes_left: usize,
    words: Vec<Vec<u8>>,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            buffer: Vec::new(),
            position: 0,
            expect: Expect::ArrayHeader,
            words_left: 0,
            bytes_left: 0,
            words: Vec::new(),
        }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.position);
        self.position = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete message, if there is one.
    ///
    /// # Errors
    /// If the bytes are malformed or exceed the bounds; the stream can't be decoded any further.
    pub fn message(&mut self) -> Result<Option<Vec<Vec<u8>>>, Malformed> {
        loop {
            match self.expect {
                Expect::ArrayHeader => {
                    let Some(count) = self.header(b'*', self.bounds.words)? else { break };
                    if count == 0 {
                        return Err(Malformed("an array without words"));
                    }
                    (self.words_left, self.bytes_left, self.expect) =
                        (count, self.bounds.bytes, Expect::WordHeader);
                }
                Expect::WordHeader => {
                    let Some(length) = self.header(b'$', self.bytes_left)? else { break };
                    self.bytes_left -= length;
                    self.expect = Expect::Word { length };
                }
                Expect::Word { length } => {
                    let Some(bytes) = self.buffer.get(self.position..self.position + length + 2) else {
                        break;
                    };
                    let (word, end) = bytes.split_at(length);
                    if end != b"\r\n" {
                        return Err(Malformed("a word that does not end where its length says"));
                    }
                    self.words.push(word.to_vec());
                    self.position += length + 2;
                    self.words_left -= 1;
                    if self.words_left == 0 {
                        self.expect = Expect::ArrayHeader;
                        return Ok(Some(std::mem::take(&mut self.words)));
                    }
                    self.expect = Expect::WordHeader;
                }
            }
        }
        if self.position == self.buffer.len() {
            self.buffer.clear();
            self.position = 0;
            self.buffer.shrink_to(IDLE_BUFFER_BYTES);
        }
        Ok(None)
    }

    /// Bytes buffered of a partial message.
    pub fn held(&self) -> usize {
        self.buffer.len() - self.position + self.words.iter().map(Vec::len).sum::<usize>()
    }

    /// Whether a message has begun and is not complete.
    pub fn mid_message(&self) -> bool {
        self.position < self.buffer.len() || !matches!(self.expect, Expect::ArrayHeader)
    }

    /// Decodes a sign, digits and the line's end; `None` if the line is not complete.
    fn header(&mut self, sign: u8, max: usize) -> Result<Option<usize>, Malformed> {
        let bytes = &self.buffer[self.position..];
        let Some((first, rest)) = bytes.split_first() else { return Ok(None) };
        if *first != sign {
            return Err(Malformed("another sign than the array's or the word's"));
        }
        let digits = rest.iter().take(MAX_LENGTH_DIGITS + 1).take_while(|b| b.is_ascii_digit()).count();
        if digits > MAX_LENGTH_DIGITS {
            return Err(Malformed("a length of too many digits"));
        }
        match rest.get(digits..) {
            None | Some([] | [b'\r']) => return Ok(None),
            Some([b'\r', b'\n', ..]) if digits > 0 => {}
            Some(_) => return Err(Malformed("a length that is no number")),
        }
        let number = rest[..digits].iter().fold(0, |n, b| n * 10 + usize::from(b - b'0'));
        if number > max {
            return Err(Malformed("over the limit"));
        }
        self.position += digits + 3;
        Ok(Some(number))
    }
}

/// Encodes a message.
pub fn encode(words: &[&[u8]]) -> Vec<u8> {
    let capacity = words.iter().map(|w| w.len() + 16).sum::<usize>() + 16;
    let mut bytes = Vec::with_capacity(capacity);
    bytes.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// The most fields of a word; more than any message has.
const MAX_FIELDS: usize = 16;

/// The fields of a word: `name=value,name=value`, or `-` or nothing for none.
#[derive(Default)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Decodes a word's fields; `None` if it is malformed or has a name twice.
    pub fn read(word: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(word).ok()?;
        let mut fields = Self::default();
        if text.is_empty() || text == "-" {
            return Some(fields);
        }
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            if name.is_empty() || fields.0.len() == MAX_FIELDS || fields.get(name).is_some() {
                return None;
            }
            fields.0.push((name, value));
        }
        Some(fields)
    }

    /// The value of that name.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// The value of that name as a decimal number of 0 or more; `None` if it is absent or malformed.
    pub fn decimal(&self, name: &str) -> Option<f64> {
        decimal(self.get(name)?)
    }

    /// The value of that name as an integer up to `max`; `None` if it is absent, malformed or larger.
    pub fn whole(&self, name: &str, max: u64) -> Option<u64> {
        whole(self.get(name)?).filter(|n| *n <= max)
    }
}

/// The most digits of a number; more than a Unix time in nanoseconds has.
const MAX_NUMBER_DIGITS: usize = 20;

/// Parses an unsigned integer of digits only: no sign, space or exponent.
pub fn whole(text: &str) -> Option<u64> {
    let digits =
        !text.is_empty() && text.len() <= MAX_NUMBER_DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| digits)
}

/// Parses an unsigned decimal: digits, optionally a point and more digits.
pub fn decimal(text: &str) -> Option<f64> {
    let (before, after) = text.split_once('.').unwrap_or((text, "0"));
    whole(before).and(whole(after))?;
    text.parse().ok()
}

/// Encodes fields one after another.
#[derive(Default)]
pub struct FieldList(String);

impl FieldList {
    /// Adds a field.
    pub fn add(&mut self, name: &str, value: impl fmt::Display) {
        use fmt::Write;
        let comma = if self.0.is_empty() { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(self.0, "{comma}{name}={value}");
    }

    /// The fields as one word; empty without any.
    pub fn text(&self) -> &str {
        &self.0
    }
}
