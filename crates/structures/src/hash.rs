//! Stable hashing for rendezvous placement; the same at every router and in every build.

/// The 64-bit FNV-1a hash of a text, such as a server's address or a router's name.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Mixes two numbers into one hash (the finaliser of splitmix64).
pub fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The rendezvous score of a server of that weight for a key: the highest wins, each server with a probability in
/// proportion to its weight.
pub fn rendezvous_score(key: u64, server: u64, weight: f64) -> f64 {
    -weight / unit_interval(mix(key, server)).ln()
}

/// Maps a hash to a number between 0 and 1, both excluded. The low 11 of the 64 bits are ignored, since the mantissa of an `f64` has 53.
pub fn unit_interval(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Makes the hash for shares independent of that for placement; else a server's share would depend on the scores of its objects. Any
/// fixed number will do; this is the upper half of the offset basis of 128-bit FNV.
const SHARE_SALT: u64 = 0x6c62_272e_07bb_0142;

/// Whether an object belongs to the share (0 to 1) that a server takes of its objects. An object within a share is within every larger one,
/// and all routers get the same result.
pub fn within_share(object: u64, server: u64, share: f64) -> bool {
    share >= 1.0 || unit_interval(mix(mix(object, SHARE_SALT), server)) < share
}
