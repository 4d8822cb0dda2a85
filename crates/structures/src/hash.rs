//! Stable hashing for rendezvous placement; the same at every router and in every build.

/// FNV-1a of an address.
pub fn address(s: &str) -> u64 {
    s.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Mixes two words into one (the finaliser of splitmix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The rendezvous score of a server of that weight for a key: the highest wins, each in proportion to its weight.
pub fn rendezvous(key: u64, server: u64, weight: f64) -> f64 {
    -weight / unit(mix(key, server)).ln()
}

/// A word as a number between 0 and 1, both excluded.
pub fn unit(word: u64) -> f64 {
    ((word >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Sets the hash of shares apart from that of placement, so that a server's share is no cut through its own objects' scores.
const SHARE_SALT: u64 = 0x6c62_272e_07bb_0142;

/// True if an object belongs to the share (0 to 1) that a server takes of its objects: what belongs to a share belongs to every larger
/// one, and all who reckon reckon alike.
pub fn within_share(object: u64, server: u64, share: f64) -> bool {
    share >= 1.0 || unit(mix(mix(object, SHARE_SALT), server)) < share
}
