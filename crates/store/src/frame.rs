//! The form of a value on disk: a checksum, followed by the value's bytes.
//!
//! The checksum also covers the value's key, so that an intact value under another key is detected as damage.

use xxhash_rust::xxh3::Xxh3;

/// Size of the checksum, in bytes.
const CHECKSUM_BYTES: usize = 8;

/// Checksum of a key and the parts of its value.
pub(crate) fn checksum(key: &[u8], parts: &[&[u8]]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&(key.len() as u64).to_le_bytes());
    hash.update(key);
    for part in parts {
        hash.update(part);
    }
    hash.digest()
}

/// Frames a value for its key.
pub(crate) fn pack(key: &[u8], value: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(CHECKSUM_BYTES + value.len());
    framed.extend_from_slice(&checksum(key, &[value]).to_le_bytes());
    framed.extend_from_slice(value);
    framed
}

/// Returns the value that was framed for this key, or `None` if the checksum does not match.
pub(crate) fn unpack<'a>(key: &[u8], framed: &'a [u8]) -> Option<&'a [u8]> {
    let (head, value) = framed.split_first_chunk::<CHECKSUM_BYTES>()?;
    (u64::from_le_bytes(*head) == checksum(key, &[value])).then_some(value)
}
