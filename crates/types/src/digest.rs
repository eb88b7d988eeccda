use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// The first eight bytes of a SHA-256 hash, by which damaged or differing documents are detected.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Digest(pub u64);

impl Digest {
    /// Hashes `parts` in order. Each part is prefixed by its length, so that the digest changes
    /// when a byte moves from one part to the next.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let bytes: [u8; 32] = hash.finalize().into();
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&bytes[..8]);
        Self(u64::from_le_bytes(prefix))
    }
}

impl Display for Digest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
