//! Messages on their way from a socket: the one loop that reads, decodes and hands them to the owner.

use crate::limits::{READ_BYTES, WAIT};
use crate::resp::{Bounds, Decoder, Malformed};
use crate::{Input, Shared};
use async_io::{Async, Timer};
use basaltgw::api::Ms;
use futures_lite::AsyncReadExt;
use std::net::TcpStream;

/// Reads messages until the connection ends or sends what can't be read. `full` holds the reading up; `typed` makes an input
/// of a message whose last byte was read at that time, or `None` if it makes no sense at all.
pub async fn read_all(
    mut socket: &Async<TcpStream>,
    bounds: Bounds,
    shared: &Shared,
    full: impl Fn() -> bool,
    typed: impl Fn(Vec<Vec<u8>>, Ms) -> Option<Input>,
) -> Result<(), Malformed> {
    let mut decoder = Decoder::new(bounds);
    let mut piece = vec![0; READ_BYTES];
    loop {
        while shared.meter.held() > shared.held_limit || full() {
            Timer::after(WAIT).await;
        }
        let n = match socket.read(&mut piece).await {
            Ok(n) if n > 0 => n,
            Ok(_) | Err(_) => return Ok(()),
        };
        decoder.feed(piece.get(..n).unwrap_or_default());
        let now = shared.clock.now();
        while let Some(words) = decoder.message()? {
            let input = typed(words, now).ok_or(Malformed::SENSELESS)?;
            if shared.queue.send(input).await.is_err() {
                return Ok(());
            }
        }
    }
}
