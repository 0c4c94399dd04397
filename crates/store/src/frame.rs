//! A value as it stands on the disk: a checksum, then its bytes.
//!
//! The checksum covers the place as well: a whole value in another's place is damage too.

use xxhash_rust::xxh3::Xxh3;

/// Bytes of the checksum.
const SUM: usize = 8;

/// The checksum of some bytes that belong at a place.
pub(crate) fn sum(place: &[u8], parts: &[&[u8]]) -> u64 {
    let mut sum = Xxh3::new();
    sum.update(&(place.len() as u64).to_le_bytes());
    sum.update(place);
    for part in parts {
        sum.update(part);
    }
    sum.digest()
}

/// What is written for these bytes.
pub(crate) fn pack(place: &[u8], bytes: &[u8]) -> Vec<u8> {
    let mut framed = Vec::with_capacity(SUM + bytes.len());
    framed.extend_from_slice(&sum(place, &[bytes]).to_le_bytes());
    framed.extend_from_slice(bytes);
    framed
}

/// The bytes that were packed for this place; `None` where they are not what was written.
pub(crate) fn unpack<'a>(place: &[u8], framed: &'a [u8]) -> Option<&'a [u8]> {
    let (head, bytes) = framed.split_first_chunk::<SUM>()?;
    (u64::from_le_bytes(*head) == sum(place, &[bytes])).then_some(bytes)
}
