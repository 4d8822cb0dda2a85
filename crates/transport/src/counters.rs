//! Counters of the links, by cause.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the links, printed as `name=value` pairs. A counter's printed name is that of its field.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Counters {
            /// The names and values of all counters, in the order of the fields.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.load(Relaxed)),)*]
            }
        }
    };
}

counters! {
    /// Connections accepted.
    peer_accepted,
    /// Failed accepts.
    peer_accept_failed,
    /// Accepted connections closed at once, because too many had no complete handshake.
    peer_no_place,
    /// Connections dialled.
    peer_dialled,
    /// Dials without a connection.
    peer_dial_failed,
    /// Failed dials reported to a user.
    peer_unreached,
    /// Links established.
    peer_up,
    /// Connections closed, because the peer has a link already.
    peer_second,
    /// Connections without a complete handshake in time.
    peer_no_hello,
    /// Connections that were lost, or closed by the peer, during the handshake.
    peer_unmet,
    /// Connections of unlisted peers, or of another cluster, protocol or domain.
    peer_stranger,
    /// Connections and links closed because of malformed data.
    peer_garbled,
    /// Links closed because of too many control frames.
    peer_flooded,
    /// Idle links closed by the router that dialled them.
    peer_idle,
    /// Links closed because of silence, or of a write without progress.
    peer_silent,
    /// Links lost.
    peer_broken,
    /// Links replaced by another incarnation of the peer.
    peer_replaced,
    /// Times that reading paused, because the link reached its rate limit.
    peer_paced,
    /// Times that reading paused, because a user's ring was full.
    peer_ring_waits,
    /// Users' frames read.
    peer_frames_in,
    /// Body bytes of the frames read.
    peer_bytes_in,
    /// Users' frames written completely.
    peer_frames_out,
    /// Body bytes of the frames written.
    peer_bytes_out,
    /// Frames rejected without a link to that incarnation of the router.
    peer_unsent_no_link,
    /// Frames rejected by a full queue.
    peer_unsent_full,
    /// Frames not written completely when their link went down.
    peer_unsent_broken,
}

/// Adds one.
pub fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// Adds an amount.
pub fn add(counter: &AtomicU64, amount: usize) {
    counter.fetch_add(amount as u64, Relaxed);
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, value)) in self.all().into_iter().enumerate() {
            write!(f, "{}{name}={value}", if index > 0 { " " } else { "" })?;
        }
        Ok(())
    }
}
