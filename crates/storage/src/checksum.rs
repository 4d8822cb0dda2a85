//! Checksums, and the bit distance by which a corrupted file is distinguished from another kind of file.

/// Bytes of a checksum: 128 bits of BLAKE3.
pub const CHECKSUM_BYTES: usize = 16;

/// Bits in which the start of a corrupted file may differ from the expected one; more mean another kind of file.
pub const MAX_FLIPPED_BITS: u32 = 2;

/// A checksum.
pub type Checksum = [u8; CHECKSUM_BYTES];

/// The checksum of a sequence of parts; their lengths are part of it.
pub fn checksum(parts: &[&[u8]]) -> Checksum {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes()).update(part);
    }
    let mut checksum = [0; CHECKSUM_BYTES];
    hasher.finalize_xof().fill(&mut checksum);
    checksum
}

/// The number of bits in which two byte strings differ, over the length of the shorter.
pub fn bit_distance(found: &[u8], expected: &[u8]) -> u32 {
    found.iter().zip(expected).map(|(a, b)| (a ^ b).count_ones()).sum()
}
