/// Hashes a name to 64 bits, with the same result in all processes and builds.
///
/// Gossip messages identify targets and organisations by this hash to save space.
#[must_use]
pub fn stable_hash(text: &str) -> u64 {
    stable_hash_bytes(&[text.as_bytes()])
}

/// Hashes the concatenation of some bytes to 64 bits, with the same result in all processes and builds.
pub(crate) fn stable_hash_bytes(parts: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(part);
    }
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the upper 32 bits, which gossip messages use.
pub(crate) fn short_hash(hash: u64) -> u32 {
    (hash >> 32) as u32
}

/// Maps a hash to the interval [0, 1).
pub(crate) fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Combines two hashes into a pseudorandom value.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut x = a ^ b.rotate_left(32);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
