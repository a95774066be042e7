//! Drains of workers that operators have asked for.

use crate::coordination::model::Time;
use crate::storage::DrainRecord;

/// A drain, as it is wanted and as it is stored.
#[derive(Debug, Default)]
pub(in crate::coordination) struct Drain {
    /// `None`: it is to end, which counts once it is stored.
    pub(in crate::coordination) record: Option<DrainRecord>,
    pub(in crate::coordination) until: Option<Time>,
    /// Of the stored record, 0 if there is none.
    pub(in crate::coordination) version: u64,
    /// What is stored differs from what is wanted.
    pub(in crate::coordination) due: bool,
    pub(in crate::coordination) writing: bool,
    /// Operators who are answered once it is stored.
    pub(in crate::coordination) waiters: Vec<u64>,
}
