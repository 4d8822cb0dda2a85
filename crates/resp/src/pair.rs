//! Messages of two short bulk strings, decoded in place.

/// A complete message of two bulk strings in a decoder's buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pair<'a> {
    /// The first bulk string.
    pub first: &'a [u8],
    /// The second bulk string.
    pub second: &'a [u8],
    /// The length of the encoded message.
    pub encoded_bytes: usize,
}

impl<'a> Pair<'a> {
    /// The message at the start of the bytes; `None` if it is not complete, or has another form.
    pub(crate) fn decode(bytes: &'a [u8]) -> Option<Self> {
        let (first, rest) = split_bulk_string(bytes.strip_prefix(b"*2\r\n")?)?;
        let (second, rest) = split_bulk_string(rest)?;
        Some(Self { first, second, encoded_bytes: bytes.len() - rest.len() })
    }
}

/// Splits a complete bulk string of fewer than 100 bytes off the bytes; `None` if it is not complete, malformed or longer.
fn split_bulk_string(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let digit = |byte: u8| byte.is_ascii_digit().then(|| usize::from(byte - b'0'));
    let (length, rest) = match bytes {
        [b'$', a, b'\r', b'\n', rest @ ..] => (digit(*a)?, rest),
        [b'$', a, b, b'\r', b'\n', rest @ ..] => (digit(*a)? * 10 + digit(*b)?, rest),
        _ => return None,
    };
    let (string, rest) = rest.split_at_checked(length)?;
    Some((string, rest.strip_prefix(b"\r\n")?))
}
