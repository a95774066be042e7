//! Drains of workers that operators have asked for.

use crate::coordination::model::Time;
use crate::storage::DrainRecord;
use crate::storage::writer::Written;

/// A drain, as it is wanted and as it is stored.
#[derive(Debug, Default)]
pub(in crate::coordination) struct Drain {
    /// `None`: it is to end, which takes effect once it is stored.
    pub(super) record: Option<DrainRecord>,
    /// The deadline, after which remaining tasks are stopped.
    pub(super) until: Option<Time>,
    /// Version of the stored record, 0 if there is none.
    pub(super) version: u64,
    /// What is stored differs from what is wanted.
    pub(super) due: bool,
    /// A write is in flight.
    pub(super) writing: bool,
    /// Tickets of the operators who are answered once it is stored.
    pub(super) waiters: Vec<u64>,
}

impl Drain {
    /// It is to end.
    pub(super) fn request_end(&mut self) {
        self.record = None;
        self.until = None;
        self.due = true;
    }

    /// A write of it has a result.
    pub(super) fn record_written(&mut self, written: &Written) {
        self.writing = false;
        match written {
            Written::Stored { version } => self.version = *version,
            Written::Again { version } => {
                self.version = *version;
                self.due = true;
            }
            Written::Ended(_) => {}
        }
    }
}
