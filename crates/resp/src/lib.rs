//! RESP arrays of bulk strings, decoded as bytes arrive and encoded whole; and the fields within a word.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::fmt;

/// Bytes that are no array of bulk strings, or one beyond the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(&'static str);

impl Malformed {
    /// A message of good form from which nothing can be made out.
    pub const SENSELESS: Self = Self("a message that makes no sense");
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Malformed {}

/// What a message may hold at most.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Words.
    pub words: usize,
    /// Bytes of all its words together.
    pub bytes: usize,
}

/// Digits of a length or count: more than any bound has.
const DIGITS: usize = 8;
/// Room that an empty buffer keeps for the next message.
const KEPT_ROOM: usize = 16 * 1024;

enum Expect {
    Array,
    Header,
    Body(usize),
}

/// Takes bytes in any pieces and gives whole messages.
pub struct Decoder {
    bounds: Bounds,
    buf: Vec<u8>,
    at: usize,
    expect: Expect,
    left: usize,
    /// Bytes that the message's further words may have.
    room: usize,
    words: Vec<Vec<u8>>,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, buf: Vec::new(), at: 0, expect: Expect::Array, left: 0, room: 0, words: Vec::new() }
    }

    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.drain(..self.at);
        self.at = 0;
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole message, if there is one. After an error the connection is of no more use.
    pub fn message(&mut self) -> Result<Option<Vec<Vec<u8>>>, Malformed> {
        loop {
            match self.expect {
                Expect::Array => {
                    let Some(count) = self.header(b'*', self.bounds.words)? else { break };
                    if count == 0 {
                        return Err(Malformed("an array without words"));
                    }
                    (self.left, self.room, self.expect) = (count, self.bounds.bytes, Expect::Header);
                }
                Expect::Header => {
                    let Some(length) = self.header(b'$', self.room)? else { break };
                    self.room -= length;
                    self.expect = Expect::Body(length);
                }
                Expect::Body(length) => {
                    let Some(bytes) = self.buf.get(self.at..self.at + length + 2) else { break };
                    let (word, end) = bytes.split_at(length);
                    if end != b"\r\n" {
                        return Err(Malformed("a word that does not end where its length says"));
                    }
                    self.words.push(word.to_vec());
                    self.at += length + 2;
                    self.left -= 1;
                    if self.left == 0 {
                        self.expect = Expect::Array;
                        return Ok(Some(std::mem::take(&mut self.words)));
                    }
                    self.expect = Expect::Header;
                }
            }
        }
        if self.at == self.buf.len() {
            self.buf.clear();
            self.at = 0;
            self.buf.shrink_to(KEPT_ROOM);
        }
        Ok(None)
    }

    /// Bytes held of a message that is not whole.
    pub fn held(&self) -> usize {
        self.buf.len() - self.at + self.words.iter().map(Vec::len).sum::<usize>()
    }

    /// A message has begun and is not whole.
    pub fn mid_message(&self) -> bool {
        self.at < self.buf.len() || !matches!(self.expect, Expect::Array)
    }

    /// A sign, digits and the line's end; `None` if the line is not whole yet.
    fn header(&mut self, sign: u8, most: usize) -> Result<Option<usize>, Malformed> {
        let bytes = &self.buf[self.at..];
        let Some((first, rest)) = bytes.split_first() else { return Ok(None) };
        if *first != sign {
            return Err(Malformed("another sign than the array's or the word's"));
        }
        let digits = rest.iter().take(DIGITS + 1).take_while(|b| b.is_ascii_digit()).count();
        if digits > DIGITS {
            return Err(Malformed("a length of too many digits"));
        }
        match rest.get(digits..) {
            None | Some([] | [b'\r']) => return Ok(None),
            Some([b'\r', b'\n', ..]) if digits > 0 => {}
            Some(_) => return Err(Malformed("a length that is no number")),
        }
        let number = rest[..digits].iter().fold(0, |n, b| n * 10 + usize::from(b - b'0'));
        if number > most {
            return Err(Malformed("over the limit"));
        }
        self.at += digits + 3;
        Ok(Some(number))
    }
}

/// A message's bytes.
pub fn encode(words: &[&[u8]]) -> Vec<u8> {
    let room = words.iter().map(|w| w.len() + 16).sum::<usize>() + 16;
    let mut bytes = Vec::with_capacity(room);
    bytes.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        bytes.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        bytes.extend_from_slice(word);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// Fields that a word may have: more than any message has.
const FIELDS: usize = 16;

/// The fields of a word: `name=value,name=value`, or `-` or nothing for none.
#[derive(Default)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Reads a word's fields; `None` if it has not that form, or names one twice.
    pub fn read(word: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(word).ok()?;
        let mut fields = Self::default();
        if text.is_empty() || text == "-" {
            return Some(fields);
        }
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            if name.is_empty() || fields.0.len() == FIELDS || fields.get(name).is_some() {
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

    /// The value of that name, as a decimal number of 0 or more; `None` if it is absent or none.
    pub fn decimal(&self, name: &str) -> Option<f64> {
        decimal(self.get(name)?)
    }

    /// The value of that name as a whole number, at most so large.
    pub fn whole(&self, name: &str, most: u64) -> Option<u64> {
        whole(self.get(name)?).filter(|n| *n <= most)
    }
}

/// Digits of any number in a message: more than a Unix time in nanoseconds has.
const NUMBER_DIGITS: usize = 20;

/// Digits only: no sign, no space, no exponent.
pub fn whole(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.len() <= NUMBER_DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| digits)
}

/// Digits, and perhaps a point and more digits.
pub fn decimal(text: &str) -> Option<f64> {
    let (before, after) = text.split_once('.').unwrap_or((text, "0"));
    whole(before).and(whole(after))?;
    text.parse().ok()
}

/// Writes fields one after another.
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
