//! RESP arrays of bulk strings: an incremental decoder and an encoder, and `name=value` fields within a bulk string.
//!
//! A message is one array; its elements are bulk strings only.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod pair;

pub use pair::Pair;
use std::fmt;

/// Why received bytes are not an array of bulk strings within the size limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DecodeError(&'static str);

impl DecodeError {
    /// A well-formed array that is not a message of the receiver's protocol.
    pub const UNKNOWN_MESSAGE: Self = Self("an array that is not a message of the protocol");
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for DecodeError {}

/// The size limits of a message.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// The most bulk strings in its array.
    pub max_elements: usize,
    /// The most bytes of all its bulk strings together, without headers and line ends.
    pub max_bytes: usize,
}

/// The most digits of a length or count; more than any limit has.
const MAX_LENGTH_DIGITS: usize = 8;
/// A bulk string longer than this gets a buffer of its own length, which becomes the string without a copy.
const LONG_STRING_BYTES: usize = 16 * 1024;

/// What the next bytes are expected to be.
enum Expect {
    ArrayHeader,
    BulkStringHeader,
    BulkString {
        length: usize,
    },
    /// The rest of a bulk string that is discarded, without its line end.
    Discarded {
        left: usize,
    },
}

/// What to do with a bulk string whose length is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is buffered.
    Admitted,
    /// Its bytes are discarded as they arrive.
    Discarded,
    /// Nothing yet: the question is asked again with the next call.
    Undecided,
}

/// A complete message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Array {
    /// Its bulk strings. A discarded one is empty.
    pub elements: Vec<Vec<u8>>,
    /// Whether a bulk string was discarded.
    pub discarded: bool,
}

/// Decodes messages from a byte stream that arrives in chunks of any size.
pub struct Decoder {
    limits: MessageLimits,
    buffer: Vec<u8>,
    /// Bytes before this are decoded.
    position: usize,
    expect: Expect,
    elements_left: usize,
    /// Bytes that the remaining bulk strings of the message may have.
    bytes_left: usize,
    /// The complete bulk strings of the partial message.
    elements: Vec<Vec<u8>>,
    /// Whether a bulk string of the partial message is discarded.
    discarded: bool,
}

impl Decoder {
    /// A decoder at the start of a connection.
    pub fn new(limits: MessageLimits) -> Self {
        Self {
            limits,
            buffer: Vec::new(),
            position: 0,
            expect: Expect::ArrayHeader,
            elements_left: 0,
            bytes_left: 0,
            elements: Vec::new(),
            discarded: false,
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
    /// If the bytes are malformed or exceed the size limits; the stream can't be decoded any further.
    pub fn next_message(&mut self) -> Result<Option<Vec<Vec<u8>>>, DecodeError> {
        Ok(self.next_message_within(|_| Admission::Admitted)?.map(|array| array.elements))
    }

    /// As [`Self::next_message`], within a budget of memory: `admit` decides on each bulk string by the bytes of all bulk strings of the
    /// message up to the end of this one.
    ///
    /// # Errors
    /// As for [`Self::next_message`].
    pub fn next_message_within(
        &mut self,
        mut admit: impl FnMut(usize) -> Admission,
    ) -> Result<Option<Array>, DecodeError> {
        loop {
            match self.expect {
                Expect::ArrayHeader => {
                    let Some(count) = self.header(b'*', self.limits.max_elements)? else { break };
                    if count == 0 {
                        return Err(DecodeError("an empty array"));
                    }
                    (self.elements_left, self.bytes_left, self.expect) =
                        (count, self.limits.max_bytes, Expect::BulkStringHeader);
                }
                Expect::BulkStringHeader => {
                    let header_position = self.position;
                    let Some(length) = self.header(b'$', self.bytes_left)? else { break };
                    self.expect = match admit(self.limits.max_bytes - self.bytes_left + length) {
                        Admission::Admitted => Expect::BulkString { length },
                        Admission::Discarded => Expect::Discarded { left: length },
                        Admission::Undecided => {
                            self.position = header_position;
                            break;
                        }
                    };
                    self.discarded |= matches!(self.expect, Expect::Discarded { .. });
                    self.bytes_left -= length;
                }
                Expect::Discarded { left } => {
                    let discarded = left.min(self.buffer.len() - self.position);
                    self.position += discarded;
                    if discarded < left {
                        self.expect = Expect::Discarded { left: left - discarded };
                        break;
                    }
                    self.expect = Expect::BulkString { length: 0 };
                }
                Expect::BulkString { length } => {
                    let Some(element) = self.take_bulk_string(length)? else { break };
                    self.elements.push(element);
                    self.elements_left -= 1;
                    if self.elements_left == 0 {
                        self.expect = Expect::ArrayHeader;
                        let discarded = std::mem::take(&mut self.discarded);
                        return Ok(Some(Array { elements: std::mem::take(&mut self.elements), discarded }));
                    }
                    self.expect = Expect::BulkStringHeader;
                }
            }
        }
        if self.position == self.buffer.len() {
            // An idle connection keeps no buffer.
            (self.buffer, self.position) = (Vec::new(), 0);
        }
        Ok(None)
    }

    /// The next message, if it is complete and has two bulk strings; it stays undecoded.
    pub fn peek_pair(&self) -> Option<Pair<'_>> {
        if !matches!(self.expect, Expect::ArrayHeader) {
            return None;
        }
        Pair::decode(self.undecoded())
    }

    /// Skips bytes that are buffered, such as those of a message from [`Self::peek_pair`].
    pub fn skip(&mut self, bytes: usize) {
        self.position = (self.position + bytes).min(self.buffer.len());
    }

    /// Discards what is buffered of the bulk string that is not complete, and the rest of it as it arrives; no effect between bulk strings.
    pub fn discard_partial_string(&mut self) {
        let Expect::BulkString { length } = self.expect else { return };
        let buffered = length.min(self.buffer.len() - self.position);
        // Its line end may be buffered too.
        self.buffer = self.buffer.split_off(self.position + buffered);
        self.position = 0;
        self.discarded = true;
        self.expect = Expect::Discarded { left: length - buffered };
    }

    /// Takes a bulk string from the buffer; `None` if it is not complete.
    fn take_bulk_string(&mut self, length: usize) -> Result<Option<Vec<u8>>, DecodeError> {
        let end = self.position + length;
        let Some(bytes) = self.buffer.get(self.position..end + 2) else {
            if length > LONG_STRING_BYTES {
                self.buffer.drain(..self.position);
                self.position = 0;
                self.buffer.reserve_exact((length + 2).saturating_sub(self.buffer.len()));
            }
            return Ok(None);
        };
        let (element, line_end) = bytes.split_at(length);
        if line_end != b"\r\n" {
            return Err(DecodeError("a bulk string that does not end after its length"));
        }
        // A long bulk string at the end of the buffer takes the buffer with it, in place of a copy.
        if length > LONG_STRING_BYTES && end + 2 == self.buffer.len() {
            let mut element = std::mem::take(&mut self.buffer);
            element.truncate(end);
            element.drain(..self.position);
            self.position = 0;
            return Ok(Some(element));
        }
        let element = element.to_vec();
        self.position = end + 2;
        Ok(Some(element))
    }

    /// Bytes buffered of messages that are not yet returned.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.position + self.elements.iter().map(Vec::len).sum::<usize>()
    }

    /// Received bytes that are not decoded.
    pub fn undecoded(&self) -> &[u8] {
        &self.buffer[self.position..]
    }

    /// Bytes that complete the bulk string whose length was read last; `None` between bulk strings.
    pub fn missing_bytes(&self) -> Option<usize> {
        match self.expect {
            Expect::ArrayHeader | Expect::BulkStringHeader => None,
            // Its line end has two bytes.
            Expect::BulkString { length } => {
                Some((length + 2).saturating_sub(self.buffer.len() - self.position))
            }
            Expect::Discarded { left } => Some(left + 2),
        }
    }

    /// Whether a message has begun and is not complete.
    pub fn has_partial_message(&self) -> bool {
        self.position < self.buffer.len() || !matches!(self.expect, Expect::ArrayHeader)
    }

    /// Decodes a header line (type byte, decimal length or count, CRLF); `None` if the line is not complete.
    fn header(&mut self, type_byte: u8, max: usize) -> Result<Option<usize>, DecodeError> {
        let bytes = &self.buffer[self.position..];
        let Some((first, rest)) = bytes.split_first() else { return Ok(None) };
        if *first != type_byte {
            return Err(DecodeError(
                "a type byte other than '*' before an array or '$' before a bulk string",
            ));
        }
        let digits = rest.iter().take(MAX_LENGTH_DIGITS + 1).take_while(|b| b.is_ascii_digit()).count();
        if digits > MAX_LENGTH_DIGITS {
            return Err(DecodeError("a length or count with too many digits"));
        }
        match rest.get(digits..) {
            None | Some([] | [b'\r']) => return Ok(None),
            Some([b'\r', b'\n', ..]) if digits > 0 => {}
            Some(_) => return Err(DecodeError("a length or count that is not a number")),
        }
        let number = rest[..digits].iter().fold(0, |n, b| n * 10 + usize::from(b - b'0'));
        if number > max {
            return Err(DecodeError("a message over its size limits"));
        }
        self.position += digits + 3;
        Ok(Some(number))
    }
}

/// Encodes an array of these bulk strings.
pub fn encode(elements: &[&[u8]]) -> Vec<u8> {
    /// Capacity for a header (type byte, length, CRLF) and a CRLF after the element; more than any message within its limits needs.
    const FRAMING_BYTES: usize = 16;
    let capacity = elements.iter().map(|e| e.len() + FRAMING_BYTES).sum::<usize>() + FRAMING_BYTES;
    let mut bytes = Vec::with_capacity(capacity);
    bytes.extend_from_slice(format!("*{}\r\n", elements.len()).as_bytes());
    for element in elements {
        bytes.extend_from_slice(format!("${}\r\n", element.len()).as_bytes());
        bytes.extend_from_slice(element);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// The most fields in a bulk string; more than any message has.
const MAX_FIELDS: usize = 16;

/// The fields in a bulk string: `name=value,name=value`, or `-` or nothing for none.
#[derive(Default)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Parses the fields; `None` if they are malformed, too many, or have a name twice.
    pub fn parse(bulk_string: &'a [u8]) -> Option<Self> {
        let text = std::str::from_utf8(bulk_string).ok()?;
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

    /// The value of the field with that name, as text.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(n, _)| *n == name).map(|(_, v)| *v)
    }

    /// The value of the field with that name as a decimal number of 0 or more; `None` if it is absent or malformed.
    pub fn decimal(&self, name: &str) -> Option<f64> {
        parse_decimal(self.get(name)?)
    }

    /// The value of the field with that name as an integer up to `max`; `None` if it is absent, malformed or larger.
    pub fn integer(&self, name: &str, max: u64) -> Option<u64> {
        parse_integer(self.get(name)?).filter(|n| *n <= max)
    }
}

/// The most digits of a number; more than a Unix time in nanoseconds has.
const MAX_NUMBER_DIGITS: usize = 20;

/// Parses an unsigned integer of digits only: no sign, space or exponent.
pub fn parse_integer(text: &str) -> Option<u64> {
    let digits =
        !text.is_empty() && text.len() <= MAX_NUMBER_DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| digits)
}

/// Parses an unsigned decimal: digits, optionally a point and more digits.
pub fn parse_decimal(text: &str) -> Option<f64> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    parse_integer(integer).and(parse_integer(fraction))?;
    text.parse().ok()
}

/// Encodes fields as one bulk string, in the order in which they are added.
#[derive(Default)]
pub struct FieldEncoder(String);

impl FieldEncoder {
    /// Adds a field. Neither the name nor the value may contain `,`, and the name no `=`; this is not checked.
    pub fn add(&mut self, name: &str, value: impl fmt::Display) {
        use fmt::Write;
        let comma = if self.0.is_empty() { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(self.0, "{comma}{name}={value}");
    }

    /// The encoded fields; empty without any.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}
