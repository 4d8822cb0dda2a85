//! What happened on the links, counted by cause.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

macro_rules! counts {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counters of the links, only ever up. Printed as `name=value` words.
        #[derive(Debug, Default)]
        pub struct Counts {
            $($(#[$doc])* pub $name: AtomicU64,)*
        }

        impl Counts {
            /// All names and values, in this order.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name.load(Relaxed)),)*]
            }
        }
    };
}

counts! {
    /// Connections taken from others.
    peer_accepted,
    /// Accepts that failed.
    peer_accept_failed,
    /// Connections from others closed at once: too many had not said who they are.
    peer_no_place,
    /// Connections asked of others.
    peer_dialled,
    /// Of these, not connected.
    peer_dial_failed,
    /// Routers that a user wanted and that were not reached, each time.
    peer_unreached,
    /// Links that came up.
    peer_up,
    /// Connections beside a link that was up, closed.
    peer_second,
    /// Connections without a whole hello in time.
    peer_no_hello,
    /// Connections that broke, or were closed by the other side, before they were a link.
    peer_unmet,
    /// Connections of strangers: not listed, or of another fleet, protocol or place.
    peer_stranger,
    /// Connections closed over what can't be read.
    peer_garbled,
    /// Links closed over too many frames of the links' own.
    peer_flooded,
    /// Links closed in order by whoever dialled them, here or there: idle, and wanted no more.
    peer_idle,
    /// Links closed over silence, or a write of which nothing was taken.
    peer_silent,
    /// Links that broke.
    peer_broken,
    /// Links whose peer began another life.
    peer_replaced,
    /// Times that reading waited: the link had brought its share of a second.
    peer_paced,
    /// Times that reading waited for a user to take what was told.
    peer_ring_waits,
    /// Frames of users read.
    peer_frames_in,
    /// Their bytes.
    peer_bytes_in,
    /// Frames of users written whole.
    peer_frames_out,
    /// Their bytes.
    peer_bytes_out,
    /// Frames refused without a link to that life of the router.
    peer_unsent_no_link,
    /// Frames refused by a full lane.
    peer_unsent_full,
    /// Frames not written whole when their link went.
    peer_unsent_broken,
}

/// Counts one.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

/// Counts some.
pub fn add(counter: &AtomicU64, some: usize) {
    counter.fetch_add(some as u64, Relaxed);
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (no, (name, value)) in self.all().into_iter().enumerate() {
            write!(f, "{}{name}={value}", if no > 0 { " " } else { "" })?;
        }
        Ok(())
    }
}
