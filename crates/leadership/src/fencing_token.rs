//! The fencing token of a term.

/// Identifies a term by the version of the leader key that its leader wrote. Later terms have
/// greater tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Returns the token of the term whose leader key has this version.
    pub fn new(version: u64) -> Self {
        Self(version)
    }
}

impl From<u64> for FencingToken {
    fn from(version: u64) -> Self {
        Self::new(version)
    }
}
