//! Rendezvous hashing: a choice among nodes on which all nodes with the same view agree, and which
//! changes only for the keys of a node that joins or leaves.

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Returns the weight of a candidate, given as the parts of its name and its key. Unlike the
/// standard library's hashes, it is the same on every build and machine.
pub(crate) fn weight(parts: &[&[u8]]) -> u64 {
    let hash = parts.iter().fold(FNV_OFFSET, |hash, part| {
        let length = (part.len() as u64).to_be_bytes();
        let bytes = length.iter().chain(part.iter());
        bytes.fold(hash, |hash, byte| {
            (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
        })
    });
    mix(hash)
}

/// Distributes the last bytes of the input over the whole hash.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
